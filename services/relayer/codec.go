package relayer

import (
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/reporter"
	"github.com/ebonylock/ebonylock/services/replicator"
)

// question asks for a snapshot, or for what changed after a revision.
type question struct {
	whole bool
	after replicator.Cursor
	wait  time.Duration
}

// Field numbers of a question.
const (
	questionWhole protowire.Number = 1
	questionAfter protowire.Number = 2
	questionWait  protowire.Number = 3
	questionEpoch protowire.Number = 4
	// questionTallies has what the VM that asks has seen of replicas.
	questionTallies protowire.Number = 5
)

func (q question) append(b []byte) []byte {
	if q.whole {
		b = encoder.AppendVarint(b, questionWhole, 1)
	}
	b = encoder.AppendVarint(b, questionAfter, q.after.Revision)
	b = encoder.AppendVarint(b, questionEpoch, q.after.Epoch)
	return encoder.AppendVarint(b, questionWait, uint64(q.wait.Milliseconds()))
}

func decodeQuestion(b []byte) (q question, tallies []reporter.Tally, err error) {
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) (err error) {
		switch num {
		case questionWhole:
			q.whole = v != 0
		case questionAfter:
			q.after.Revision = v
		case questionEpoch:
			q.after.Epoch = v
		case questionWait:
			q.wait = milliseconds(v)
		case questionTallies:
			tallies, err = reporter.DecodeTallies(raw)
		}
		return err
	})
	return q, tallies, err
}

// milliseconds bounds what another VM says to a day.
func milliseconds(v uint64) time.Duration {
	return time.Duration(min(v, uint64(24*time.Hour/time.Millisecond))) * time.Millisecond
}

// Field numbers of a reply, of a batch and of its items. The batch is compressed, and the same
// for all followers at one revision.
const (
	replyAge   protowire.Number = 1
	replyBatch protowire.Number = 2
	// replyVerdicts has the beliefs of all VMs about replicas that do badly.
	replyVerdicts protowire.Number = 3

	batchRevision protowire.Number = 1
	batchItem     protowire.Number = 3
	batchEpoch    protowire.Number = 4

	itemKey      protowire.Number = 1
	itemValue    protowire.Number = 2
	itemRevision protowire.Number = 3
	itemRemoved  protowire.Number = 4
)

func appendBatch(b []byte, batch replicator.Batch) []byte {
	b = encoder.AppendVarint(b, batchRevision, batch.Revision)
	b = encoder.AppendVarint(b, batchEpoch, batch.Epoch)
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
		case batchItem:
			it, err := decodeItem(raw)
			if err != nil {
				return err
			}
			out.Items = append(out.Items, it)
		}
		return nil
	})
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

// compress returns the batch in the zstd format.
func compress(batch replicator.Batch) []byte {
	return coder.EncodeAll(appendBatch(nil, batch), nil)
}

// maxBatch bounds a batch, in bytes.
const maxBatch = 64 << 20

var (
	// Neither can fail with these options.
	coder, _  = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstd.MinWindowSize<<6))
	reader, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBatch), zstd.WithDecoderLowmem(true))
)

// appendReply writes the age of what a compressed batch holds, and the batch.
func appendReply(b []byte, age time.Duration, batch []byte) []byte {
	b = encoder.AppendVarint(b, replyAge, uint64(max(age, 0).Milliseconds()))
	return encoder.AppendBytes(b, replyBatch, batch)
}

func decodeReply(b []byte) (out replicator.Batch, verdicts []reporter.Verdict, err error) {
	var age time.Duration
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) (err error) {
		switch num {
		case replyAge:
			age = milliseconds(v)
		case replyBatch:
			plain, err := reader.DecodeAll(raw, nil)
			if err != nil {
				return encoder.ErrMalformed
			}
			out, err = decodeBatch(plain)
			return err
		case replyVerdicts:
			verdicts, err = reporter.DecodeVerdicts(raw)
		}
		return err
	})
	out.Age = age
	return out, verdicts, err
}
