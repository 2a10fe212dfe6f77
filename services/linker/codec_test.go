package linker

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

func batch() []dispatcher.Subrequest {
	deadline := time.UnixMicro(1_700_000_000_000_000)
	return []dispatcher.Subrequest{
		{Server: "a", ID: "1", Service: "s", Generation: 3, Body: []byte("{}"), Deadline: deadline, Idempotent: true, MayMove: true, Urgent: true, SlowAfter: time.Millisecond, Fingerprint: 9},
		{Server: "b", ID: "2", Service: "t", Body: []byte("{}"), Deadline: deadline, Describe: true, Fingerprint: 9},
	}
}

func TestBatchRoundTrip(t *testing.T) {
	is := is.New(t)
	got, err := decodeBatch(appendBatch(nil, batch()))
	is.NoErr(err)
	is.Equal(got, batch())
}

func TestEventRoundTrip(t *testing.T) {
	is := is.New(t)
	in := dispatcher.Event{Index: 1, Kind: dispatcher.Done, Load: 1.5, Reply: executor.Reply{
		BootID:     "boot",
		Generation: 2,
		Partitions: []string{"p0"},
		Results:    [][]byte{[]byte(`{"a":1}`)},
		Held:       []executor.Generation{{Number: 2, Partitions: []string{"p0"}}},
	}}
	got, err := decodeEvent(appendEvent(nil, in))
	is.NoErr(err)
	is.Equal(got, in)
}

// TestErrorsKeepTheirMeaning encodes and decodes each error: ErrNotRun must neither be lost nor
// appear for work that may have run, and the error code must stay the same.
func TestErrorsKeepTheirMeaning(t *testing.T) {
	for _, known := range []error{executor.ErrNotRun, executor.ErrUnknownOutcome} {
		for _, cause := range []error{dispatcher.ErrNotOwner, dispatcher.ErrMoved, dispatcher.ErrQuarantined, executor.ErrShed, executor.ErrLost, executor.ErrTimeout, errors.New("other")} {
			t.Run(known.Error()+" "+cause.Error(), func(t *testing.T) {
				is := is.New(t)
				in := dispatcher.Event{Kind: dispatcher.Failed, Err: errors.Join(known, cause)}
				got, err := decodeEvent(appendEvent(nil, in))
				is.NoErr(err)
				is.Equal(errors.Is(got.Err, executor.ErrNotRun), known == executor.ErrNotRun)
				is.Equal(dispatcher.Code(got.Err), dispatcher.Code(cause))
			})
		}
	}
}

func FuzzDecodeBatch(f *testing.F) {
	f.Add(appendBatch(nil, batch()))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if got, err := decodeBatch(raw); err == nil && len(got) > maxSubrequests {
			t.Fatal("decoded batch has more than maxSubrequests subrequests")
		}
	})
}

func FuzzDecodeEvent(f *testing.F) {
	f.Add(appendEvent(nil, dispatcher.Event{Kind: dispatcher.Done, Reply: executor.Reply{Held: []executor.Generation{{Number: 1}}}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := decodeEvent(raw)
		if err == nil && (e.Kind == dispatcher.Failed) != (e.Err != nil) {
			t.Fatal("decoded event is Failed without an error, or has an error without being Failed")
		}
	})
}
