package linker

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

// maxSubrequests is the largest accepted number of subrequests in one batch.
const maxSubrequests = 4096

// loadScale is the factor by which a load is multiplied to encode it as an integer, which keeps
// three decimal places.
const loadScale = 1000

// Field numbers of a batch and of its subrequests. The body, the deadline and the fingerprint are
// encoded once, as all subrequests of a batch share them.
const (
	batchBody        = 1
	batchDeadline    = 2
	batchFingerprint = 3
	batchSubrequest  = 4

	subServer     = 1
	subID         = 2
	subService    = 3
	subGeneration = 4
	subIdempotent = 5
	subMayMove    = 6
	subSlowAfter  = 7
	subDescribe   = 8
	subUrgent     = 9
)

// Field numbers of an event and of the generations held that it lists.
const (
	eventIndex      = 1
	eventKind       = 2
	eventCode       = 3
	eventRan        = 4
	eventLoad       = 5
	eventBoot       = 6
	eventGeneration = 7
	eventPartition  = 8
	eventResult     = 9
	eventHeld       = 10

	heldNumber    = 1
	heldPartition = 2
)

func boolToUint(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// unixMicro returns the Unix time in microseconds, the encoding of all times on the link.
func unixMicro(t time.Time) uint64 {
	return uint64(t.UnixMicro())
}

// appendBatch encodes batch. The fields shared by all subrequests are taken from the first.
func appendBatch(b []byte, batch []dispatcher.Subrequest) []byte {
	if len(batch) == 0 {
		return b
	}
	b = encoder.AppendBytes(b, batchBody, batch[0].Body)
	b = encoder.AppendVarint(b, batchDeadline, unixMicro(batch[0].Deadline))
	b = encoder.AppendVarint(b, batchFingerprint, uint64(batch[0].Fingerprint))
	var buf []byte
	for i := range batch {
		buf = appendSubrequest(buf[:0], &batch[i])
		b = encoder.AppendBytes(b, batchSubrequest, buf)
	}
	return b
}

func appendSubrequest(b []byte, s *dispatcher.Subrequest) []byte {
	b = encoder.AppendBytes(b, subServer, []byte(s.Server))
	b = encoder.AppendBytes(b, subID, []byte(s.ID))
	b = encoder.AppendBytes(b, subService, []byte(s.Service))
	b = encoder.AppendVarint(b, subGeneration, s.Generation)
	b = encoder.AppendVarint(b, subIdempotent, boolToUint(s.Idempotent))
	b = encoder.AppendVarint(b, subMayMove, boolToUint(s.MayMove))
	b = encoder.AppendVarint(b, subSlowAfter, uint64(s.SlowAfter.Microseconds()))
	b = encoder.AppendVarint(b, subDescribe, boolToUint(s.Describe))
	return encoder.AppendVarint(b, subUrgent, boolToUint(s.Urgent))
}

// decodeBatch decodes what appendBatch encoded. More than maxSubrequests subrequests are refused
// with encoder.ErrMalformed. The shared fields are copied into the subrequests at the end, as
// fields may come in any order.
func decodeBatch(b []byte) ([]dispatcher.Subrequest, error) {
	var out []dispatcher.Subrequest
	var shared dispatcher.Subrequest
	err := encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case batchBody:
			shared.Body = raw
		case batchDeadline:
			shared.Deadline = time.UnixMicro(int64(v))
		case batchFingerprint:
			shared.Fingerprint = quarantiner.Fingerprint(v)
		case batchSubrequest:
			s, err := decodeSubrequest(raw)
			if err != nil || len(out) >= maxSubrequests {
				return encoder.ErrMalformed
			}
			out = append(out, s)
		}
		return nil
	})
	for i := range out {
		out[i].Body = shared.Body
		out[i].Deadline = shared.Deadline
		out[i].Fingerprint = shared.Fingerprint
	}
	return out, err
}

func decodeSubrequest(b []byte) (dispatcher.Subrequest, error) {
	var s dispatcher.Subrequest
	err := encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case subServer:
			s.Server = string(raw)
		case subID:
			s.ID = string(raw)
		case subService:
			s.Service = string(raw)
		case subGeneration:
			s.Generation = v
		case subIdempotent:
			s.Idempotent = v != 0
		case subMayMove:
			s.MayMove = v != 0
		case subSlowAfter:
			s.SlowAfter = time.Duration(v) * time.Microsecond
		case subDescribe:
			s.Describe = v != 0
		case subUrgent:
			s.Urgent = v != 0
		}
		return nil
	})
	return s, err
}

func appendEvent(b []byte, e dispatcher.Event) []byte {
	b = encoder.AppendVarint(b, eventIndex, uint64(e.Index))
	b = encoder.AppendVarint(b, eventKind, uint64(e.Kind))
	if e.Err != nil {
		b = encoder.AppendBytes(b, eventCode, []byte(dispatcher.Code(e.Err)))
		b = encoder.AppendVarint(b, eventRan, boolToUint(!isNotRun(e.Err)))
	}
	b = encoder.AppendVarint(b, eventLoad, uint64(e.Load*loadScale))
	b = encoder.AppendBytes(b, eventBoot, []byte(e.Reply.BootID))
	b = encoder.AppendVarint(b, eventGeneration, e.Reply.Generation)
	for _, p := range e.Reply.Partitions {
		b = encoder.AppendBytes(b, eventPartition, []byte(p))
	}
	for _, r := range e.Reply.Results {
		b = encoder.AppendBytes(b, eventResult, r)
	}
	for _, g := range e.Reply.Held {
		b = encoder.AppendBytes(b, eventHeld, appendHeld(nil, g))
	}
	return b
}

func appendHeld(b []byte, g executor.Generation) []byte {
	b = encoder.AppendVarint(b, heldNumber, g.Number)
	for _, p := range g.Partitions {
		b = encoder.AppendBytes(b, heldPartition, []byte(p))
	}
	return b
}

// decodeEvent decodes what appendEvent encoded. An event of an unknown kind is malformed, and so is
// one that has an error without being Failed, or is Failed without an error.
func decodeEvent(b []byte) (dispatcher.Event, error) {
	var e dispatcher.Event
	var code string
	var ran bool
	err := encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case eventIndex:
			e.Index = int(v)
		case eventKind:
			e.Kind = dispatcher.EventKind(v)
		case eventCode:
			code = string(raw)
		case eventRan:
			ran = v != 0
		case eventLoad:
			e.Load = float64(v) / loadScale
		case eventBoot:
			e.Reply.BootID = string(raw)
		case eventGeneration:
			e.Reply.Generation = v
		case eventPartition:
			e.Reply.Partitions = append(e.Reply.Partitions, string(raw))
		case eventResult:
			e.Reply.Results = append(e.Reply.Results, raw)
		case eventHeld:
			return decodeHeld(&e.Reply, raw)
		}
		return nil
	})
	if code != "" {
		e.Err = dispatcher.FromCode(code, ran)
	}
	if err == nil && (e.Kind < dispatcher.Done || e.Kind > dispatcher.Slow || (e.Kind == dispatcher.Failed) != (e.Err != nil)) {
		err = encoder.ErrMalformed
	}
	return e, err
}

// decodeHeld appends a decoded generation to r.Held.
func decodeHeld(r *executor.Reply, raw []byte) error {
	var g executor.Generation
	err := encoder.Fields(raw, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case heldNumber:
			g.Number = v
		case heldPartition:
			g.Partitions = append(g.Partitions, string(raw))
		}
		return nil
	})
	r.Held = append(r.Held, g)
	return err
}

// Execute is a non-idempotent request that is forwarded to the VM that issued its ticket.
type Execute struct {
	// Ticket is the encoded ticket.
	Ticket string
	// Service is the name of the service that runs the request.
	Service string
	// Body is the caller's request, as JSON.
	Body []byte
	// Deadline is the time after which the answer is no longer of use to the caller.
	Deadline time.Time
}

// Executed is the answer to an Execute.
type Executed struct {
	// Status is the HTTP status code of the answer.
	Status int
	// Body is the complete body of the answer, as JSON.
	Body []byte
}

// Field numbers of Execute and Executed.
const (
	executeTicket   = 1
	executeService  = 2
	executeBody     = 3
	executeDeadline = 4

	executedStatus = 1
	executedBody   = 2
)

func appendExecute(b []byte, x Execute) []byte {
	b = encoder.AppendBytes(b, executeTicket, []byte(x.Ticket))
	b = encoder.AppendBytes(b, executeService, []byte(x.Service))
	b = encoder.AppendBytes(b, executeBody, x.Body)
	return encoder.AppendVarint(b, executeDeadline, unixMicro(x.Deadline))
}

func decodeExecute(b []byte) (Execute, error) {
	var x Execute
	err := encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case executeTicket:
			x.Ticket = string(raw)
		case executeService:
			x.Service = string(raw)
		case executeBody:
			x.Body = raw
		case executeDeadline:
			x.Deadline = time.UnixMicro(int64(v))
		}
		return nil
	})
	return x, err
}

func appendExecuted(b []byte, x Executed) []byte {
	b = encoder.AppendVarint(b, executedStatus, uint64(x.Status))
	return encoder.AppendBytes(b, executedBody, x.Body)
}

func decodeExecuted(b []byte) (Executed, error) {
	var x Executed
	err := encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case executedStatus:
			x.Status = int(v)
		case executedBody:
			x.Body = raw
		}
		return nil
	})
	return x, err
}

// Field numbers of a list of server names with a configuration revision.
const (
	fieldName     = 1
	fieldRevision = 2
)

func appendNames(b []byte, names []string, revision uint64) []byte {
	for _, n := range names {
		b = encoder.AppendBytes(b, fieldName, []byte(n))
	}
	return encoder.AppendVarint(b, fieldRevision, revision)
}

func decodeNames(b []byte) (names []string, revision uint64, err error) {
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case fieldName:
			names = append(names, string(raw))
		case fieldRevision:
			revision = v
		}
		return nil
	})
	return names, revision, err
}

// Field numbers of a loss. Those up to lossAt and those of its software are used for an answer as well.
// Durations are in microseconds before lossAt; those of replies are greater by one, as 0 stands for none. Number 5 was in
// use and must not be used again.
const (
	lossFingerprint   = 1
	lossServer        = 2
	lossAt            = 3
	lossGroup         = 4
	lossService       = 6
	lossVersion       = 7
	lossRan           = 8
	lossAnswered      = 9
	lossGroupAnswered = 10
	lossInexact       = 11
)

// Field numbers of a loss with its age, in place of its time.
const (
	// agedLossAge is the age in milliseconds, and agedLossRest the microseconds by which the age exceeds it.
	agedLossAge  = 1
	agedLoss     = 2
	agedLossRest = 3
)

// maxReportAge limits the durations in a loss.
const maxReportAge = 24 * time.Hour

// AppendLoss appends the encoding of a loss, in which VMs report it to each other, to b.
func AppendLoss(b []byte, l quarantiner.Loss) []byte {
	b = AppendAnswer(b, quarantiner.Answer{Fingerprint: l.Fingerprint, Group: l.Group, Software: l.Software, At: l.At})
	b = encoder.AppendBytes(b, lossServer, []byte(l.Server))
	if !l.Began.IsZero() {
		b = encoder.AppendVarint(b, lossRan, uint64(max(l.At.Sub(l.Began), 0).Microseconds()))
	}
	b = appendAge(b, lossAnswered, l.At, l.Answered)
	if l.Inexact {
		b = encoder.AppendVarint(b, lossInexact, 1)
	}
	return appendAge(b, lossGroupAnswered, l.At, l.GroupAnswered)
}

// appendAge appends how long before now a time was, unless it is zero.
func appendAge(b []byte, num protowire.Number, now, at time.Time) []byte {
	if at.IsZero() {
		return b
	}
	return encoder.AppendVarint(b, num, uint64(max(now.Sub(at), 0).Microseconds())+1)
}

// DecodeLoss decodes what AppendLoss encoded. Errors match encoder.ErrMalformed.
func DecodeLoss(b []byte) (quarantiner.Loss, error) {
	a, err := DecodeAnswer(b)
	if err != nil {
		return quarantiner.Loss{}, err
	}
	// The other times are relative to lossAt, which may come last.
	l := quarantiner.Loss{Fingerprint: a.Fingerprint, Group: a.Group, Software: a.Software, At: a.At}
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		before := func(v uint64) time.Time {
			return l.At.Add(-time.Duration(min(v, uint64(maxReportAge.Microseconds()))) * time.Microsecond)
		}
		switch num {
		case lossServer:
			l.Server = string(raw)
		case lossRan:
			l.Began = before(v)
		case lossAnswered:
			l.Answered = before(max(v, 1) - 1)
		case lossGroupAnswered:
			l.GroupAnswered = before(max(v, 1) - 1)
		case lossInexact:
			l.Inexact = v != 0
		}
		return nil
	})
	return l, err
}

// AppendAgedLoss appends the encoding of a loss with its age at now to b. The clocks of two VMs differ, and may jump, so
// VMs exchange ages.
func AppendAgedLoss(b []byte, l quarantiner.Loss, now time.Time) []byte {
	age := max(now.Sub(l.At), 0)
	b = encoder.AppendVarint(b, agedLossAge, uint64(age.Milliseconds()))
	b = encoder.AppendVarint(b, agedLossRest, uint64((age % time.Millisecond).Microseconds()))
	return encoder.AppendBytes(b, agedLoss, AppendLoss(nil, l))
}

// DecodeAgedLoss decodes what AppendAgedLoss encoded, as if that had been at now. Errors match encoder.ErrMalformed.
func DecodeAgedLoss(b []byte, now time.Time) (l quarantiner.Loss, err error) {
	var age, rest time.Duration
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) (err error) {
		switch num {
		case agedLossAge:
			age = time.Duration(min(v, uint64(maxReportAge.Milliseconds()))) * time.Millisecond
		case agedLossRest:
			rest = time.Duration(min(v, 999)) * time.Microsecond
		case agedLoss:
			l, err = DecodeLoss(raw)
		}
		return err
	})
	return l.MovedTo(now.Add(-age - rest)), err
}

// AppendAnswer appends the encoding of a reply to a request, in which VMs report it to each other, to b.
func AppendAnswer(b []byte, a quarantiner.Answer) []byte {
	b = encoder.AppendVarint(b, lossFingerprint, uint64(a.Fingerprint))
	b = encoder.AppendVarint(b, lossGroup, uint64(a.Group))
	b = encoder.AppendBytes(b, lossService, []byte(a.Software.Service))
	b = encoder.AppendBytes(b, lossVersion, []byte(a.Software.Version))
	return encoder.AppendVarint(b, lossAt, unixMicro(a.At))
}

// DecodeAnswer decodes what AppendAnswer encoded. Errors match encoder.ErrMalformed.
func DecodeAnswer(b []byte) (quarantiner.Answer, error) {
	var a quarantiner.Answer
	err := encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case lossFingerprint:
			a.Fingerprint = quarantiner.Fingerprint(v)
		case lossAt:
			a.At = time.UnixMicro(int64(v))
		case lossGroup:
			a.Group = quarantiner.Fingerprint(v)
		case lossService:
			a.Software.Service = string(raw)
		case lossVersion:
			a.Software.Version = string(raw)
		}
		return nil
	})
	return a, err
}
