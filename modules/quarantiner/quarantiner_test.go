package quarantiner

import (
	"strconv"
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
			is.Equal(r.Verdict(1, Software{}, epoch.Add(tc.at)), tc.want)
		})
	}
}

func TestSuspectRunsAlone(t *testing.T) {
	is := is.New(t)
	var r Tracker
	is.True(!r.TryAcquire(1, Software{}, epoch)) // not a suspect
	r.Report(Loss{Fingerprint: 1, Server: "a", At: epoch})
	is.True(r.TryAcquire(1, Software{}, epoch))
	is.True(!r.TryAcquire(1, Software{}, epoch))
	r.Release(1)
	is.True(r.TryAcquire(1, Software{}, epoch))
}

// TestBystander checks that a request known to be safe does not become a suspect after a crash.
func TestBystander(t *testing.T) {
	is := is.New(t)
	var r Tracker
	r.MarkAnswered(Answer{Fingerprint: 1, At: epoch})
	is.True(!r.Report(Loss{Fingerprint: 1, Server: "a", At: epoch}))
	is.Equal(r.Verdict(1, Software{}, epoch), Allowed)
	r.Report(Loss{Fingerprint: 2, Server: "a", At: epoch})
	r.MarkAnswered(Answer{Fingerprint: 2, At: epoch})
	is.Equal(r.Verdict(2, Software{}, epoch), Allowed) // a complete reply clears a suspect
}

func TestBounds(t *testing.T) {
	is := is.New(t)
	var r Tracker
	for i := range Fingerprint(3 * maxRecords) {
		r.Report(Loss{Fingerprint: i, Server: "a", At: epoch.Add(time.Duration(i))})
	}
	is.Equal(len(r.records), maxRecords)
	for i := range Fingerprint(3 * maxProofs) {
		r.MarkAnswered(Answer{Fingerprint: i + 1, At: epoch})
	}
	is.Equal(len(r.proofs.entries), maxProofs)
	r = Tracker{}
	for i := range 2 * maxRecords {
		for f := range Fingerprint(blockAfter) {
			at := epoch.Add(time.Duration(i)*time.Second + time.Duration(f)*time.Millisecond)
			r.Report(Loss{Fingerprint: 1 << 40, Server: strconv.Itoa(2*i + int(f)), At: at})
		}
	}
	is.True(len(r.blamed) <= maxRecords)
	is.Equal(len(r.records[1<<40].losses), maxLosses)
}

// TestCrashingRequestInSafeGroup guards against a request that crashes servers and is never blocked because others
// ask for the same without harm, and against those others being blocked with it.
func TestCrashingRequestInSafeGroup(t *testing.T) {
	is := is.New(t)
	var r Tracker
	r.MarkAnswered(Answer{Fingerprint: 3, Group: 9, At: epoch.Add(-time.Second)})
	for i, server := range []string{"a", "b", "c"} {
		is.Equal(r.Verdict(1, Software{}, epoch) == Blocked, false)
		is.True(r.Report(Loss{Fingerprint: 1, Group: 9, Server: server, At: epoch}))
		if i < 2 { // others ran beside it
			is.True(r.Report(Loss{Fingerprint: 2, Group: 9, Server: server, At: epoch}))
		}
	}
	r.MarkAnswered(Answer{Fingerprint: 3, Group: 9, At: epoch}) // to another request
	is.Equal(r.Verdict(1, Software{}, epoch), Blocked)
	for _, f := range []Fingerprint{2, 3, 9} {
		is.True(r.Verdict(f, Software{}, epoch) != Blocked)
	}
}

// TestGroupIsBlocked guards against a request that looks new with each attempt, as a header field differs. The group is
// blocked after three requests on three servers, until one of it has a complete reply.
func TestGroupIsBlocked(t *testing.T) {
	for _, tc := range []struct {
		name     string
		requests [3]Fingerprint
		servers  [3]string
		want     Verdict
	}{
		{"three requests", [3]Fingerprint{1, 2, 3}, [3]string{"a", "b", "c"}, Blocked},
		{"two requests", [3]Fingerprint{1, 2, 2}, [3]string{"a", "b", "c"}, Allowed},
		{"one crash", [3]Fingerprint{1, 2, 3}, [3]string{"a", "a", "a"}, Allowed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var r Tracker
			for i, f := range tc.requests {
				r.Report(Loss{Fingerprint: f, Group: 9, Server: tc.servers[i], At: epoch})
			}
			is.Equal(r.Verdict(9, Software{}, epoch), tc.want)
			r.Report(Loss{Fingerprint: 4, Group: 9, GroupAnswered: epoch, Server: "d", At: epoch})
			is.Equal(r.Verdict(9, Software{}, epoch), Allowed)
		})
	}
}

// TestRestartedVMLearnsLosses guards against a VM that forgets crashing requests as it restarts, and against a loss
// that counts twice since it comes from several VMs.
func TestRestartedVMLearnsLosses(t *testing.T) {
	is := is.New(t)
	var old, started, third Tracker
	for i, server := range []string{"a", "b"} {
		old.Report(Loss{Fingerprint: 1, Group: 9, Server: server, At: epoch.Add(time.Duration(i))})
	}
	old.Report(Loss{Fingerprint: 2, Group: 8, Server: "c", At: epoch})
	now := epoch.Add(time.Minute)
	is.Equal(len(old.Losses(false, now)), 0)
	list := old.Losses(true, now)
	is.Equal(list[0].Fingerprint, Fingerprint(1)) // the one that lost several servers
	for range 3 {
		started.Merge(list, now)
		for i := range list {
			list[i].At = list[i].At.Add(500 * time.Millisecond) // time on the way
		}
	}
	is.Equal(started.Verdict(1, Software{}, now), Blocked)
	is.Equal(started.Verdict(2, Software{}, now), Suspect)
	third.Merge(started.Losses(false, now), now) // it passes on what it has just learned
	is.Equal(third.Verdict(1, Software{}, now), Blocked)
	is.Equal(len(started.Losses(false, now.Add(time.Minute))), 0)
	is.Equal(third.Verdict(1, Software{}, epoch.Add(DefaultRetention+time.Minute)), Allowed) // age is kept on the way
	old.Merge([]Loss{{Fingerprint: 5, Server: "a", At: now.Add(-time.Hour)}}, now)
	is.Equal(old.Verdict(5, Software{}, now), Allowed)
}

// TestBlockedRequestIsKept guards against the record of a crashing request being pushed out by the losses of many
// requests that ran beside others.
func TestBlockedRequestIsKept(t *testing.T) {
	is := is.New(t)
	var r Tracker
	for _, server := range []string{"a", "b"} {
		r.Report(Loss{Fingerprint: 1, Server: server, At: epoch})
	}
	for i := range Fingerprint(maxRecords + 10) {
		r.Report(Loss{Fingerprint: i + 10, Server: "c", At: epoch.Add(time.Duration(i))})
	}
	is.Equal(r.Verdict(1, Software{}, epoch), Blocked)
	is.Equal(len(r.Losses(true, epoch.Add(time.Second))), MaxReported)
	is.Equal(len(r.Losses(false, epoch.Add(time.Second))), maxRecent)
}

// BenchmarkMarkAnswered measures what each reply of a replica costs.
func BenchmarkMarkAnswered(b *testing.B) {
	var r Tracker
	software := Software{Service: "stand-search-01", Version: "v1"}
	for i := range b.N {
		r.MarkAnswered(Answer{Fingerprint: Fingerprint(i + 1), Group: Fingerprint(i + 1<<40), Software: software, At: epoch})
	}
}
