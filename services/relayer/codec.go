package relayer

import (
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/reporter"
	"github.com/ebonylock/ebonylock/services/linker"
	"github.com/ebonylock/ebonylock/services/replicator"
)

// readRequest asks for a snapshot, or for the changes after a cursor.
type readRequest struct {
	snapshot bool
	after    replicator.Cursor
	wait     time.Duration
	// allLosses asks for all losses that the other VM knows, not only for recent ones.
	allLosses bool
}

// Protobuf field numbers of a readRequest.
const (
	requestSnapshot protowire.Number = 1
	requestAfter    protowire.Number = 2
	requestWait     protowire.Number = 3
	requestEpoch    protowire.Number = 4
	// requestTallies holds what the requesting VM has observed of replicas.
	requestTallies protowire.Number = 5
	// requestLeavers holds the replicas that have said that they leave.
	requestLeavers   protowire.Number = 6
	requestAllLosses protowire.Number = 7
)

func (q readRequest) append(b []byte) []byte {
	if q.snapshot {
		b = encoder.AppendVarint(b, requestSnapshot, 1)
	}
	if q.allLosses {
		b = encoder.AppendVarint(b, requestAllLosses, 1)
	}
	b = encoder.AppendVarint(b, requestAfter, q.after.Revision)
	b = encoder.AppendVarint(b, requestEpoch, q.after.Epoch)
	return encoder.AppendVarint(b, requestWait, uint64(q.wait.Milliseconds()))
}

func decodeRequest(b []byte) (q readRequest, tallies []reporter.Tally, leavers []uint64, err error) {
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) (err error) {
		switch num {
		case requestSnapshot:
			q.snapshot = v != 0
		case requestAfter:
			q.after.Revision = v
		case requestEpoch:
			q.after.Epoch = v
		case requestWait:
			q.wait = boundedMilliseconds(v)
		case requestTallies:
			tallies, err = reporter.DecodeTallies(raw)
		case requestLeavers:
			leavers, err = reporter.DecodeLeavers(raw)
		case requestAllLosses:
			q.allLosses = v != 0
		}
		return err
	})
	return q, tallies, leavers, err
}

// boundedMilliseconds converts a value that another VM sends to a duration of at most one day.
func boundedMilliseconds(v uint64) time.Duration {
	return time.Duration(min(v, uint64(24*time.Hour/time.Millisecond))) * time.Millisecond
}

// Protobuf field numbers of a reply, of a batch and of its items. The batch is compressed
// separately, so that one compressed batch can be sent to all followers that are at the same
// revision.
const (
	replyAge   protowire.Number = 1
	replyBatch protowire.Number = 2
	// replyVerdicts holds the verdicts, combined from all VMs, about replicas that perform badly.
	replyVerdicts protowire.Number = 3
	// replyLeavers holds the replicas that have said that they leave.
	replyLeavers protowire.Number = 4
	// replyLoss holds a loss of a replica.
	replyLoss protowire.Number = 5
	// replyStable holds the milliseconds since the store answered again, rounded up.
	replyStable protowire.Number = 6

	batchRevision protowire.Number = 1
	batchItem     protowire.Number = 3
	batchEpoch    protowire.Number = 4
	// batchEra is the era of the batch and of all its items. VMs that don't know it send none.
	batchEra protowire.Number = 5

	itemKey      protowire.Number = 1
	itemValue    protowire.Number = 2
	itemRevision protowire.Number = 3
	itemRemoved  protowire.Number = 4
)

func appendBatch(b []byte, batch replicator.Batch) []byte {
	b = encoder.AppendVarint(b, batchRevision, batch.Revision)
	b = encoder.AppendVarint(b, batchEpoch, batch.Epoch)
	b = encoder.AppendVarint(b, batchEra, batch.Era)
	var item []byte
	for _, it := range batch.Items {
		item = encoder.AppendBytes(item[:0], itemKey, []byte(it.Key))
		item = encoder.AppendBytes(item, itemValue, it.Value)
		item = encoder.AppendVarint(item, itemRevision, it.Revision)
		if it.Removed {
			item = encoder.AppendVarint(item, itemRemoved, 1)
		}
		b = encoder.AppendBytes(b, batchItem, item)
	}
	return b
}

func decodeBatch(b []byte) (replicator.Batch, error) {
	var out replicator.Batch
	err := encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case batchRevision:
			out.Revision = v
		case batchEpoch:
			out.Epoch = v
		case batchEra:
			out.Era = v
		case batchItem:
			it, err := decodeItem(raw)
			if err != nil {
				return err
			}
			out.Items = append(out.Items, it)
		}
		return nil
	})
	for i := range out.Items {
		out.Items[i].Era = out.Era
	}
	return out, err
}

func decodeItem(b []byte) (replicator.Item, error) {
	var it replicator.Item
	err := encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case itemKey:
			it.Key = string(raw)
		case itemValue:
			it.Value = append([]byte(nil), raw...)
		case itemRevision:
			it.Revision = v
		case itemRemoved:
			it.Removed = v != 0
		}
		return nil
	})
	return it, err
}

// compress returns the encoded batch in zstd format.
func compress(batch replicator.Batch) []byte {
	return zstdEncoder.EncodeAll(appendBatch(nil, batch), nil)
}

// maxBatch is the maximum size of a decompressed batch, in bytes.
const maxBatch = 64 << 20

var (
	// The constructors return errors only for invalid options; these options are valid.
	zstdEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstd.MinWindowSize<<6))
	zstdDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBatch), zstd.WithDecoderLowmem(true))
)

// appendStable appends the StableFor of a batch.
func appendStable(b []byte, stable time.Duration) []byte {
	if stable <= 0 {
		return b
	}
	return encoder.AppendVarint(b, replyStable, uint64(stable.Milliseconds()+1))
}

// appendReply appends the age of the data in a compressed batch, and the batch.
func appendReply(b []byte, age time.Duration, batch []byte) []byte {
	b = encoder.AppendVarint(b, replyAge, uint64(max(age, 0).Milliseconds()))
	return encoder.AppendBytes(b, replyBatch, batch)
}

// appendLosses appends losses to a reply.
func appendLosses(b []byte, list []quarantiner.Loss, now time.Time) []byte {
	var item []byte
	for _, l := range list {
		item = linker.AppendAgedLoss(item[:0], l, now)
		b = encoder.AppendBytes(b, replyLoss, item)
	}
	return b
}

// reply is a decoded reply.
type reply struct {
	batch    replicator.Batch
	verdicts []reporter.Verdict
	leavers  []uint64
	// losses holds at most quarantiner.MaxReported losses.
	losses []quarantiner.Loss
}

// decodeReply decodes a reply that was received at now.
func decodeReply(b []byte, now time.Time) (r reply, err error) {
	var age, stable time.Duration
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) (err error) {
		switch num {
		case replyAge:
			age = boundedMilliseconds(v)
		case replyStable:
			stable = boundedMilliseconds(v)
		case replyBatch:
			plain, err := zstdDecoder.DecodeAll(raw, nil)
			if err != nil {
				return encoder.ErrMalformed
			}
			r.batch, err = decodeBatch(plain)
			return err
		case replyVerdicts:
			r.verdicts, err = reporter.DecodeVerdicts(raw)
		case replyLeavers:
			r.leavers, err = reporter.DecodeLeavers(raw)
		case replyLoss:
			l, err := linker.DecodeAgedLoss(raw, now)
			if err != nil || len(r.losses) == quarantiner.MaxReported {
				return err
			}
			r.losses = append(r.losses, l)
		}
		return err
	})
	r.batch.Age, r.batch.StableFor = age, stable
	return r, err
}
