package gatherer

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/services/forwarder"
)

// kind is the type of a frame.
type kind uint64

const (
	// Sent by the client: kindCall requests parts, kindStart starts an accepted call, and kindEnd
	// ends a call.
	kindCall kind = iota + 1
	kindStart
	kindEnd
	// Sent by the server in answer to a call.
	kindAccepted
	kindRefused
	kindPartial
)

// frame is one message between two VMs.
type frame struct {
	kind kind
	// call is the ID of the call. The client chooses it, and it is unique on its connection.
	call uint64
	body []byte
}

// Protobuf field numbers of a frame.
const (
	frameKind protowire.Number = 1
	frameCall protowire.Number = 2
	frameBody protowire.Number = 3
)

func (f frame) append(b []byte) []byte {
	b = encoder.AppendVarint(b, frameKind, uint64(f.kind))
	b = encoder.AppendVarint(b, frameCall, f.call)
	return encoder.AppendBytes(b, frameBody, f.body)
}

func decodeFrame(b []byte) (f frame, err error) {
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case frameKind:
			f.kind = kind(v)
		case frameCall:
			f.call = v
		case frameBody:
			f.body = raw
		}
		return nil
	})
	return f, err
}

// Protobuf field numbers of a call and of a header field.
const (
	callID            protowire.Number = 1
	callMethod        protowire.Number = 2
	callTarget        protowire.Number = 3
	callHost          protowire.Number = 4
	callField         protowire.Number = 5
	callBody          protowire.Number = 6
	callRoute         protowire.Number = 7
	callShard         protowire.Number = 8
	callTotalShards   protowire.Number = 9
	callMinParts      protowire.Number = 10
	callTopK          protowire.Number = 11
	callTargetLatency protowire.Number = 12
	callAttempts      protowire.Number = 13
	callCutoff        protowire.Number = 14
	callDeadline      protowire.Number = 15
	callPriorAttempts protowire.Number = 16

	fieldName  protowire.Number = 1
	fieldValue protowire.Number = 2
)

const (
	// maxShards is the maximum number of shards in a call, and of parts and reasons in a partial
	// answer.
	maxShards = 1 << 14
	// maxDuration is the maximum of a duration that another VM sends.
	maxDuration = 10 * time.Minute
	// maxTopK is the maximum number of records in an answer.
	maxTopK = 1 << 16
)

// appendCall appends the encoding of a call that is sent at now. Cutoff and deadline are sent as
// the remaining time in microseconds, since the clocks of two VMs differ.
func appendCall(b []byte, c *forwarder.Call, now time.Time) []byte {
	b = encoder.AppendBytes(b, callID, []byte(c.ID))
	b = encoder.AppendBytes(b, callMethod, []byte(c.Method))
	b = encoder.AppendBytes(b, callTarget, []byte(c.Request.Target))
	b = encoder.AppendBytes(b, callHost, []byte(c.Host))
	for _, f := range c.Fields {
		field := encoder.AppendBytes(nil, fieldName, []byte(f.Name))
		b = encoder.AppendBytes(b, callField, encoder.AppendBytes(field, fieldValue, []byte(f.Value)))
	}
	b = encoder.AppendBytes(b, callBody, c.Body)
	b = encoder.AppendBytes(b, callRoute, []byte(c.Route))
	for _, s := range c.Shards {
		b = encoder.AppendBytes(b, callShard, []byte(s))
	}
	b = encoder.AppendVarint(b, callTotalShards, uint64(c.TotalShards))
	b = encoder.AppendVarint(b, callMinParts, uint64(c.MinParts))
	b = encoder.AppendVarint(b, callTopK, uint64(c.TopK))
	b = encoder.AppendVarint(b, callTargetLatency, microseconds(c.TargetLatency))
	b = encoder.AppendVarint(b, callAttempts, uint64(c.MaxAttempts))
	b = encoder.AppendVarint(b, callCutoff, microseconds(c.Cutoff.Sub(now)))
	b = encoder.AppendVarint(b, callDeadline, microseconds(c.Deadline.Sub(now)))
	return encoder.AppendVarint(b, callPriorAttempts, uint64(c.PriorAttempts))
}

func microseconds(d time.Duration) uint64 {
	return uint64(max(d, 0).Microseconds())
}

// boundedDuration converts microseconds that another VM sends to a duration of at most maxDuration.
func boundedDuration(v uint64) time.Duration {
	return time.Duration(min(v, uint64(maxDuration.Microseconds()))) * time.Microsecond
}

// boundedInt converts a number that another VM sends to an int of at most limit.
func boundedInt(v uint64, limit int) int {
	return int(min(v, uint64(limit)))
}

// decodeCall decodes a call that was received at now. Errors match encoder.ErrMalformed.
func decodeCall(b []byte, now time.Time) (*forwarder.Call, error) {
	c := &forwarder.Call{Request: &forwarder.Request{Arrived: now}, Cutoff: now, Deadline: now}
	err := encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case callID:
			c.ID = string(raw)
		case callMethod:
			c.Method = string(raw)
		case callTarget:
			c.Request.Target = string(raw)
		case callHost:
			c.Host = string(raw)
		case callField:
			f, err := decodeField(raw)
			c.Fields = append(c.Fields, f)
			return err
		case callBody:
			c.Body = append([]byte(nil), raw...)
		case callRoute:
			c.Route = string(raw)
		case callShard:
			if c.Shards = append(c.Shards, string(raw)); len(raw) == 0 || len(c.Shards) > maxShards {
				return encoder.ErrMalformed
			}
		case callTotalShards:
			c.TotalShards = boundedInt(v, maxShards)
		case callMinParts:
			c.MinParts = boundedInt(v, maxShards)
		case callTopK:
			c.TopK = boundedInt(v, maxTopK)
		case callTargetLatency:
			c.TargetLatency = boundedDuration(v)
		case callAttempts:
			c.MaxAttempts = boundedInt(v, math.MaxInt16)
		case callCutoff:
			c.Cutoff = now.Add(boundedDuration(v))
		case callDeadline:
			c.Deadline = now.Add(boundedDuration(v))
		case callPriorAttempts:
			c.PriorAttempts = boundedInt(v, math.MaxInt16)
		}
		return nil
	})
	if err == nil && (len(c.Shards) == 0 || c.TotalShards < len(c.Shards) || c.MinParts > c.TotalShards || c.MinParts < 1 || c.ID == "" || c.Method == "") {
		err = encoder.ErrMalformed
	}
	return c, err
}

func decodeField(b []byte) (f forwarder.HeaderField, err error) {
	err = encoder.Fields(b, func(num protowire.Number, _ uint64, raw []byte) error {
		switch num {
		case fieldName:
			f.Name = string(raw)
		case fieldValue:
			f.Value = string(raw)
		}
		return nil
	})
	if err == nil && f.Name == "" {
		err = encoder.ErrMalformed
	}
	return f, err
}

// Protobuf field numbers of a partial answer and of a received part.
const (
	partialPart       protowire.Number = 1
	partialBody       protowire.Number = 2
	partialFinal      protowire.Number = 3
	partialMayHaveRun protowire.Number = 4
	partialReason     protowire.Number = 5
	partialRetry      protowire.Number = 6

	partShard protowire.Number = 1
	partStamp protowire.Number = 2
)

func appendPartial(b []byte, p forwarder.Partial) []byte {
	var part []byte
	for _, r := range p.Parts {
		part = encoder.AppendVarint(part[:0], partShard, uint64(r.Shard))
		part = encoder.AppendBytes(part, partStamp, []byte(r.Stamp))
		b = encoder.AppendBytes(b, partialPart, part)
	}
	b = encoder.AppendBytes(b, partialBody, p.Body)
	if p.Final {
		b = encoder.AppendVarint(b, partialFinal, 1)
	}
	if p.MayHaveRun {
		b = encoder.AppendVarint(b, partialMayHaveRun, 1)
	}
	b = encoder.AppendVarint(b, partialRetry, microseconds(p.RetryAfter))
	for _, r := range p.Reasons {
		b = encoder.AppendBytes(b, partialReason, []byte(r))
	}
	return b
}

// decodePartial decodes a partial answer. Errors match encoder.ErrMalformed.
func decodePartial(b []byte) (p forwarder.Partial, err error) {
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case partialPart:
			r, err := decodePart(raw)
			if p.Parts = append(p.Parts, r); len(p.Parts) > maxShards {
				return encoder.ErrMalformed
			}
			return err
		case partialBody:
			p.Body = append([]byte(nil), raw...)
		case partialFinal:
			p.Final = v != 0
		case partialMayHaveRun:
			p.MayHaveRun = v != 0
		case partialRetry:
			p.RetryAfter = boundedDuration(v)
		case partialReason:
			if p.Reasons = append(p.Reasons, string(raw)); len(p.Reasons) > maxShards {
				return encoder.ErrMalformed
			}
		}
		return nil
	})
	return p, err
}

func decodePart(b []byte) (r forwarder.ReceivedPart, err error) {
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case partShard:
			r.Shard = boundedInt(v, maxShards)
		case partStamp:
			r.Stamp = string(raw)
		}
		return nil
	})
	if err == nil && r.Stamp == "" {
		err = encoder.ErrMalformed
	}
	return r, err
}
