package gatherer

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/services/forwarder"
)

// kind is the kind of a frame.
type kind uint64

const (
	// kindCall asks for parts, kindGo lets an accepted call begin, and kindEnd ends it.
	kindCall kind = iota + 1
	kindGo
	kindEnd
	// kindAccepted, kindRefused and kindPartial answer a call.
	kindAccepted
	kindRefused
	kindPartial
)

// frame is one message between two VMs.
type frame struct {
	kind kind
	// call is chosen by the VM that asks, and unique on its connection.
	call uint64
	body []byte
}

// Field numbers of a frame.
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

// Field numbers of a call and of a header field.
const (
	callID       protowire.Number = 1
	callMethod   protowire.Number = 2
	callTarget   protowire.Number = 3
	callHost     protowire.Number = 4
	callField    protowire.Number = 5
	callBody     protowire.Number = 6
	callRoute    protowire.Number = 7
	callShard    protowire.Number = 8
	callTotal    protowire.Number = 9
	callNeed     protowire.Number = 10
	callTop      protowire.Number = 11
	callLatency  protowire.Number = 12
	callAttempts protowire.Number = 13
	callCutoff   protowire.Number = 14
	callDeadline protowire.Number = 15
	callRan      protowire.Number = 16

	fieldName  protowire.Number = 1
	fieldValue protowire.Number = 2
)

const (
	// maxShards bounds the shards of a call, and the receipts and reasons of a partial answer.
	maxShards = 1 << 14
	// maxTime bounds the times of a call.
	maxTime = 10 * time.Minute
	// maxTop bounds the records of an answer.
	maxTop = 1 << 16
)

// appendCall writes a call as it is sent at now. Times go as time left, in microseconds, since the
// clocks of two VMs differ.
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
	b = encoder.AppendVarint(b, callTotal, uint64(c.TotalShards))
	b = encoder.AppendVarint(b, callNeed, uint64(c.MinParts))
	b = encoder.AppendVarint(b, callTop, uint64(c.TopK))
	b = encoder.AppendVarint(b, callLatency, microseconds(c.TargetLatency))
	b = encoder.AppendVarint(b, callAttempts, uint64(c.MaxAttempts))
	b = encoder.AppendVarint(b, callCutoff, microseconds(c.Cutoff.Sub(now)))
	b = encoder.AppendVarint(b, callDeadline, microseconds(c.Deadline.Sub(now)))
	return encoder.AppendVarint(b, callRan, uint64(c.PriorAttempts))
}

func microseconds(d time.Duration) uint64 {
	return uint64(max(d, 0).Microseconds())
}

// duration bounds what another VM says.
func duration(v uint64) time.Duration {
	return time.Duration(min(v, uint64(maxTime.Microseconds()))) * time.Microsecond
}

// number bounds what another VM says.
func number(v uint64, most int) int {
	return int(min(v, uint64(most)))
}

// decodeCall reads a call that arrived at now. Errors match encoder.ErrMalformed.
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
		case callTotal:
			c.TotalShards = number(v, maxShards)
		case callNeed:
			c.MinParts = number(v, maxShards)
		case callTop:
			c.TopK = number(v, maxTop)
		case callLatency:
			c.TargetLatency = duration(v)
		case callAttempts:
			c.MaxAttempts = number(v, math.MaxInt16)
		case callCutoff:
			c.Cutoff = now.Add(duration(v))
		case callDeadline:
			c.Deadline = now.Add(duration(v))
		case callRan:
			c.PriorAttempts = number(v, math.MaxInt16)
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

// Field numbers of a partial answer and of a receipt.
const (
	partialReceipt protowire.Number = 1
	partialBody    protowire.Number = 2
	partialFinal   protowire.Number = 3
	partialRan     protowire.Number = 4
	partialReason  protowire.Number = 5
	partialRetry   protowire.Number = 6

	receiptShard protowire.Number = 1
	receiptStamp protowire.Number = 2
)

func appendPartial(b []byte, p forwarder.Partial) []byte {
	var receipt []byte
	for _, r := range p.Parts {
		receipt = encoder.AppendVarint(receipt[:0], receiptShard, uint64(r.Shard))
		receipt = encoder.AppendBytes(receipt, receiptStamp, []byte(r.Stamp))
		b = encoder.AppendBytes(b, partialReceipt, receipt)
	}
	b = encoder.AppendBytes(b, partialBody, p.Body)
	if p.Final {
		b = encoder.AppendVarint(b, partialFinal, 1)
	}
	if p.MayHaveRun {
		b = encoder.AppendVarint(b, partialRan, 1)
	}
	b = encoder.AppendVarint(b, partialRetry, microseconds(p.RetryAfter))
	for _, r := range p.Reasons {
		b = encoder.AppendBytes(b, partialReason, []byte(r))
	}
	return b
}

// decodePartial reads a partial answer. Errors match encoder.ErrMalformed.
func decodePartial(b []byte) (p forwarder.Partial, err error) {
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case partialReceipt:
			r, err := decodeReceipt(raw)
			if p.Parts = append(p.Parts, r); len(p.Parts) > maxShards {
				return encoder.ErrMalformed
			}
			return err
		case partialBody:
			p.Body = append([]byte(nil), raw...)
		case partialFinal:
			p.Final = v != 0
		case partialRan:
			p.MayHaveRun = v != 0
		case partialRetry:
			p.RetryAfter = duration(v)
		case partialReason:
			if p.Reasons = append(p.Reasons, string(raw)); len(p.Reasons) > maxShards {
				return encoder.ErrMalformed
			}
		}
		return nil
	})
	return p, err
}

func decodeReceipt(b []byte) (r forwarder.ReceivedPart, err error) {
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case receiptShard:
			r.Shard = number(v, maxShards)
		case receiptStamp:
			r.Stamp = string(raw)
		}
		return nil
	})
	if err == nil && r.Stamp == "" {
		err = encoder.ErrMalformed
	}
	return r, err
}
