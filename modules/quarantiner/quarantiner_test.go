package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestVerdicts(t *testing.T) {
	loss := func(server string, at time.Duration) Loss {
		return Loss{Fingerprint: 1, Server: server, At: epoch.Add(at)}
	}
	for _, tc := range []struct {
		name   string
		losses []Loss
		at     time.Duration
		want   Verdict
	}{
		{"unknown", nil, 0, Allowed},
		{"one loss", []Loss{loss("a", 0)}, time.Second, Suspect},
		{"one loss reported twice", []Loss{loss("a", 0), loss("a", time.Millisecond)}, time.Second, Suspect},
		{"two servers", []Loss{loss("a", 0), loss("b", 0)}, time.Second, Blocked},
		{"one server twice", []Loss{loss("a", 0), loss("a", time.Second)}, time.Second, Blocked},
		{"expired losses", []Loss{loss("a", 0), loss("b", 0)}, time.Hour, Allowed},
		{"one of two losses expired", []Loss{loss("a", 0), loss("b", 9*time.Minute)}, 11 * time.Minute, Suspect},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var r Tracker
			for _, l := range tc.losses {
				r.Report(l)
			}
			is.Equal(r.Verdict(1, epoch.Add(tc.at)), tc.want)
		})
	}
}

func TestSuspectRunsAlone(t *testing.T) {
	is := is.New(t)
	var r Tracker
	is.True(!r.TryAcquire(1, epoch)) // not a suspect
	r.Report(Loss{Fingerprint: 1, Server: "a", At: epoch})
	is.True(r.TryAcquire(1, epoch))
	is.True(!r.TryAcquire(1, epoch))
	r.Release(1)
	is.True(r.TryAcquire(1, epoch))
}

// TestBystander checks that a request known to be safe does not become a suspect after a crash.
func TestBystander(t *testing.T) {
	is := is.New(t)
	var r Tracker
	r.MarkSafe(1)
	is.True(!r.Report(Loss{Fingerprint: 1, Server: "a", At: epoch}))
	is.Equal(r.Verdict(1, epoch), Allowed)
	r.Report(Loss{Fingerprint: 2, Server: "a", At: epoch})
	r.MarkSafe(2)
	is.Equal(r.Verdict(2, epoch), Allowed) // a complete reply clears a suspect
}

func TestBounds(t *testing.T) {
	is := is.New(t)
	var r Tracker
	for i := range Fingerprint(3 * maxRecords) {
		r.Report(Loss{Fingerprint: i, Server: "a", At: epoch.Add(time.Duration(i))})
	}
	is.Equal(len(r.records), maxRecords)
	for i := range Fingerprint(3 * maxSafe) {
		r.MarkSafe(i)
	}
	is.True(len(r.safe)+len(r.olderSafe) <= maxSafe)
}
