package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	v1    = Software{Service: "a", Version: "1"}
	v2    = Software{Service: "a", Version: "2"}
	other = Software{Service: "b", Version: "1"}
)

// step is an event of request 1 at a time after epoch: the loss of server, or a reply if server is empty.
type step struct {
	at       time.Duration
	software Software
	server   string
	// ran is the duration of the run that was lost.
	ran time.Duration
}

// play records steps and returns the verdict on request 1 for a software at a time after epoch.
func play(steps []step, software Software, at time.Duration) Verdict {
	var r Tracker
	for _, s := range steps {
		now := epoch.Add(s.at)
		if s.server == "" {
			r.MarkAnswered(Answer{Fingerprint: 1, Group: 9, Software: s.software, At: now})
			continue
		}
		r.Report(Loss{Fingerprint: 1, Group: 9, Software: s.software, Server: s.server, Began: now.Add(-s.ran), At: now})
	}
	return r.Verdict(1, software, epoch.Add(at))
}

// TestAnswerProvesItsSoftwareOnly guards against a request that was answered once and crashes servers without limit
// afterwards: those of another service or version, or the same ones after a change that nobody announced.
func TestAnswerProvesItsSoftwareOnly(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		name     string
		steps    []step
		software Software
		at       time.Duration
		want     Verdict
	}{
		{"service changes", []step{{0, v1, "", 0}, {s, other, "x", 0}, {2 * s, other, "y", 0}}, other, 3 * s, Blocked},
		{"version changes", []step{{0, v1, "", 0}, {s, v2, "x", 0}, {2 * s, v2, "y", 0}}, v2, 3 * s, Blocked},
		{"losses of two services", []step{{0, v1, "", 0}, {s, v2, "x", 0}, {2 * s, other, "y", 0}}, v2, 3 * s, Blocked},
		{"the service that replied", []step{{0, v1, "", 0}, {s, other, "x", 0}, {2 * s, other, "y", 0}}, v1, 3 * s, Allowed},
		{"the service replies to the end", []step{{0, other, "x", 0}, {s, other, "y", 0}, {2 * s, v1, "", 0}}, other, 3 * s, Blocked},
		{"one loss after a reply", []step{{0, v1, "", 0}, {s, v1, "x", 0}}, v1, 3 * s, Allowed},
		{"two losses after a reply", []step{{0, v1, "", 0}, {s, v1, "x", 0}, {2 * s, v1, "y", 0}}, v1, 3 * s, Suspect},
		{"three losses after a reply", []step{{0, v1, "", 0}, {s, v1, "x", 0}, {2 * s, v1, "y", 0}, {3 * s, v1, "z", 0}}, v1, 4 * s, Blocked},
		{"two losses long after a reply", []step{{0, v1, "", 0}, {700 * s, v1, "x", 0}, {701 * s, v1, "y", 0}}, v1, 702 * s, Blocked},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(play(tc.steps, tc.software, tc.at), tc.want)
		})
	}
}

// TestHarmlessRequestIsNotBlocked guards against a request being blocked that ran on servers which something else
// crashed.
func TestHarmlessRequestIsNotBlocked(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		name  string
		steps []step
		want  Verdict
	}{
		{"replies between crashes", []step{{0, v1, "u", 0}, {s, v1, "", 0}, {2 * s, v1, "v", 0}, {3 * s, v1, "", 0}, {4 * s, v1, "w", 0}}, Allowed},
		{"several servers at once", []step{{0, v1, "u", s}, {s / 10, v1, "v", s}, {s / 5, v1, "w", s}}, Suspect},
		{"one run after the other", []step{{0, v1, "u", s}, {s, v1, "v", s / 2}}, Blocked},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(play(tc.steps, v1, 10*s), tc.want)
		})
	}
}

// TestBlamedCrash guards against requests being blocked that ran on the servers which a blocked one crashed, and
// against another one that crashes servers going unnoticed since the first is blamed.
func TestBlamedCrash(t *testing.T) {
	is := is.New(t)
	var r Tracker
	lose := func(f Fingerprint, server string, at time.Duration) bool {
		return r.Report(Loss{Fingerprint: f, Group: f + 100, Software: v1, Server: server, At: epoch.Add(at)})
	}
	verdict := func(f Fingerprint) Verdict { return r.Verdict(f, v1, epoch.Add(time.Minute)) }
	lose(2, "a", 0)
	lose(1, "a", time.Millisecond)
	is.Equal(verdict(2), Suspect)
	lose(1, "b", time.Second)
	is.Equal(verdict(1), Blocked)
	is.Equal(verdict(2), Allowed)         // request 1 explains the crash
	is.True(!lose(3, "b", time.Second))   // as well as this one, which is reported later
	is.True(!r.HasLosses(2, 3, 102, 103)) // nor do their groups count it
	is.True(lose(2, "b", 10*time.Second)) // server b has started anew
	is.Equal(verdict(2), Suspect)
	lose(4, "c", 20*time.Second)
	lose(4, "d", 21*time.Second)
	lose(5, "e", 20*time.Second)
	lose(5, "d", 21*time.Second)
	is.Equal(verdict(4), Blocked)
	is.Equal(verdict(5), Blocked) // one that is blocked explains no loss of another that would be blocked, too
}

// TestGroupAnswerProvesItsSoftwareOnly guards against a request with a field that differs in each attempt and that is
// never blocked since another service replied to a request of its group.
func TestGroupAnswerProvesItsSoftwareOnly(t *testing.T) {
	for _, tc := range []struct {
		name   string
		proven Software
		losses int
		want   Verdict
	}{
		{"another service replied", v1, 3, Blocked},
		{"this service replied", other, 3, Allowed},
		{"this service replied before more losses", other, 4, Blocked},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var r Tracker
			r.MarkAnswered(Answer{Fingerprint: 50, Group: 9, Software: tc.proven, At: epoch})
			for i := range tc.losses {
				at := epoch.Add(time.Duration(i+1) * time.Second)
				is.True(r.Report(Loss{Fingerprint: Fingerprint(i + 1), Group: 9, Software: other, Server: string(rune('a' + i)), At: at}))
			}
			is.Equal(r.Verdict(9, other, epoch.Add(time.Minute)), tc.want)
		})
	}
}

// TestAnswersTravelWithLosses guards against a VM that blocks a request after the crash of two servers, although
// another VM has had replies to it.
func TestAnswersTravelWithLosses(t *testing.T) {
	is := is.New(t)
	var seen, told Tracker
	seen.MarkAnswered(Answer{Fingerprint: 1, Group: 9, Software: v1, At: epoch})
	now := epoch.Add(3 * time.Second)
	for i, server := range []string{"a", "b"} {
		at := epoch.Add(time.Duration(i+1) * time.Second)
		seen.Report(Loss{Fingerprint: 1, Group: 9, Software: v1, Server: server, At: at})
	}
	told.Merge(seen.Losses(true, now), now)
	is.Equal(told.Verdict(1, v1, now), Suspect)
	is.True(told.MarkAnswered(Answer{Fingerprint: 1, Group: 9, Software: v1, At: now}))
	is.True(!told.MarkAnswered(Answer{Fingerprint: 1, Group: 9, Software: v1, At: now})) // no news
	told.Merge(seen.Losses(true, now), now)                                              // older than the reply
	is.Equal(told.Verdict(1, v1, now), Allowed)
}

// TestLateReportKeepsOrder guards against two runs that followed each other counting as one, since the report of the
// first loss was late on its way to another VM.
func TestLateReportKeepsOrder(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	var seen, told Tracker
	for i, server := range []string{"a", "b"} {
		at := epoch.Add(time.Duration(i+1) * ms)
		seen.Report(Loss{Fingerprint: 1, Software: v1, Server: server, Began: at.Add(-ms), At: at})
		late := epoch.Add(time.Second)
		list := seen.LossesOf(1, at)
		for j := range list {
			list[j] = list[j].MovedTo(list[j].At.Add(late.Sub(at) - time.Duration(i)*5*ms))
		}
		told.Merge(list, late)
	}
	is.Equal(told.Verdict(1, v1, epoch.Add(2*time.Second)), Blocked)
	is.Equal(len(told.LossesOf(1, epoch.Add(2*time.Second))), 2)
	is.Equal(len(told.LossesOf(1, epoch.Add(time.Hour))), 0)
}

// TestExcusedRequestIsClearedElsewhere guards against a harmless request that one VM goes on to block, since it ran on
// the same servers as the one to blame and was reported first there, while the others have cleared it.
func TestExcusedRequestIsClearedElsewhere(t *testing.T) {
	is := is.New(t)
	const harmless, crashing = 1, 2
	var first, second Tracker
	report := func(r *Tracker, f Fingerprint) {
		for i, server := range []string{"a", "b"} {
			r.Report(Loss{Fingerprint: f, Software: v1, Server: server, At: epoch.Add(time.Duration(i) * time.Millisecond)})
		}
	}
	report(&first, harmless)
	report(&first, crashing)
	report(&second, crashing)
	report(&second, harmless)
	now := epoch.Add(time.Second)
	is.Equal(first.Verdict(harmless, v1, now), Blocked)
	is.True(second.Verdict(harmless, v1, now) != Blocked)
	reply := Answer{Fingerprint: harmless, Software: v1, At: now}
	is.True(second.MarkAnswered(reply)) // it is reported
	is.True(!second.MarkAnswered(reply))
	first.MarkAnswered(reply)
	is.Equal(first.Verdict(harmless, v1, now), Allowed)
	// The first one has blamed the wrong request. It learns of the other one's losses anew.
	first.Merge(second.Losses(false, now), now)
	is.Equal(first.Verdict(harmless, v1, now), Allowed)
	is.Equal(first.Verdict(crashing, v1, now), Blocked)
}

// TestGroupAnswerTakesNoBlameBack guards against the blame for a crash being taken back, and bystanders being blocked, as
// another request of the group gets a reply.
func TestGroupAnswerTakesNoBlameBack(t *testing.T) {
	is := is.New(t)
	var r Tracker
	for i, server := range []string{"a", "b"} {
		r.Report(Loss{Fingerprint: 1, Group: 9, Software: v1, Server: server, At: epoch.Add(time.Duration(i) * time.Millisecond)})
	}
	is.Equal(r.Verdict(1, v1, epoch.Add(time.Second)), Blocked)
	r.MarkAnswered(Answer{Fingerprint: 2, Group: 9, Software: v1, At: epoch.Add(time.Second)})
	for i, server := range []string{"a", "b"} {
		is.True(!r.Report(Loss{Fingerprint: 3, Group: 8, Software: v1, Server: server, At: epoch.Add(time.Duration(i) * time.Millisecond)}))
	}
	is.Equal(r.Verdict(3, v1, epoch.Add(time.Second)), Allowed)
}
