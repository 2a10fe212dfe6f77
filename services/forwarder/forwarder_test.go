package forwarder

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/decider"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
)

// behaviour defines how a fake replica responds: after a delay, with a reply or an error.
type behaviour struct {
	after time.Duration
	reply *Reply
	err   error
}

// fakeBackend responds as defined by behave and counts what it receives.
type fakeBackend struct {
	behave func(c *registrar.Candidate) behaviour

	mu          sync.Mutex
	sends       map[string]int
	byShard     map[string]int
	warmed      []string
	withdrawn   []string
	down        map[string]bool
	canceled    int
	maxTimeLeft time.Duration
}

func (b *fakeBackend) Send(c *registrar.Candidate, m ReplicaRequest, s SendHandler) Exchange {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		reply, err := b.exchange(ctx, c, m, s.StillNeeded)
		if reply != nil && reply.Notice != (Notice{}) {
			s.Noted(reply.Notice)
		}
		s.Done(reply, err)
	}()
	return canceler(cancel)
}

// canceler is an Exchange that cancels a context.
type canceler context.CancelFunc

func (c canceler) Cancel() { c() }

func (b *fakeBackend) exchange(ctx context.Context, c *registrar.Candidate, m ReplicaRequest, wanted func() bool) (*Reply, error) {
	b.mu.Lock()
	if b.sends == nil {
		b.sends, b.byShard = make(map[string]int), make(map[string]int)
	}
	b.sends[c.ID]++
	b.byShard[c.Service]++
	b.maxTimeLeft = max(b.maxTimeLeft, time.Until(m.Deadline))
	how := b.behave(c)
	b.mu.Unlock()
	if !unsent(how.err) && !wanted() {
		return nil, ErrNotNeeded
	}
	select {
	case <-time.After(how.after):
		return how.reply, how.err
	case <-ctx.Done():
		b.mu.Lock()
		b.canceled++
		b.mu.Unlock()
		return nil, ErrReplyTimeout
	}
}

func (b *fakeBackend) Withdraw(c *registrar.Candidate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawn = append(b.withdrawn, c.ID)
}

func (b *fakeBackend) Warm(ctx context.Context, c *registrar.Candidate) error {
	if c.Service == darkService {
		<-ctx.Done()
		return ErrNotSent
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmed = append(b.warmed, c.ID)
	return nil
}

func (b *fakeBackend) Probe(_ context.Context, c *registrar.Candidate) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down[c.ID] {
		return ErrNotSent
	}
	return nil
}

func (b *fakeBackend) warmUps() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.warmed...)
}

func (b *fakeBackend) total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, v := range b.sends {
		n += v
	}
	return n
}

func served(after time.Duration) behaviour {
	return behaviour{after: after, reply: &Reply{Status: http.StatusOK, Stamp: "stamp", Body: make([]byte, 16)}}
}

func shed() behaviour {
	return behaviour{after: time.Millisecond, reply: &Reply{Status: http.StatusServiceUnavailable, NotRun: true}}
}

// silent returns the behaviour of a replica that never replies.
func silent() behaviour {
	return behaviour{after: time.Hour, err: ErrReplyTimeout}
}

type fixedState struct {
	state *State
}

func (f fixedState) State() *State       { return f.state }
func (f fixedState) SyncedAt() time.Time { return time.Now() }

const (
	shards = 10
	target = 80 * time.Millisecond
)

// testState returns a State with ten shards and one single service. Each has three replicas, one in
// each of three data centres.
func testState(vms int) *State {
	cfg := router.Config{Version: 7, Services: map[string]router.Service{}}
	view := &registrar.View{Services: map[string][]*registrar.Candidate{}}
	sweep := router.Route{
		Name: "sweep", Host: "h", Prefix: "/sweep/", Idempotent: true, Timeout: 3 * time.Second,
		TargetLatency: target, MaxAttempts: 2, TopK: 5, MinShardShare: 0.89,
	}
	port := uint16(1)
	add := func(service string) {
		cfg.Services[service] = router.Service{Name: service, MaxConns: 26}
		for r := range 3 {
			id := fmt.Sprintf("%s/%d", service, r)
			view.Services[service] = append(view.Services[service], &registrar.Candidate{Key: id, Replica: registrar.Replica{
				ID: id, Service: service, DataCentre: fmt.Sprintf("dc-%d", r),
				Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), Slots: 2,
			}})
			port++
		}
	}
	for i := range shards {
		name := fmt.Sprintf("shard-%d", i)
		sweep.Shards = append(sweep.Shards, name)
		add(name)
	}
	add("single")
	single := router.Route{
		Host: "h", Timeout: 1500 * time.Millisecond, TargetLatency: 250 * time.Millisecond,
		MaxAttempts: 2, Shares: []router.Share{{Service: "single", Weight: 1}},
	}
	read, write := single, single
	read.Name, read.Prefix, read.Idempotent = "read", "/read/", true
	write.Name, write.Prefix = "write", "/write/"
	claim := sweep
	claim.Name, claim.Prefix, claim.MinShardShare = "claim", "/claim/", 0.75
	cfg.Routes = []router.Route{sweep, claim, read, write}
	return &State{Table: router.New(cfg), View: view, VMs: vms}
}

func newForwarder(b *fakeBackend, firstStart bool) *Forwarder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{
		DataCentre: "dc-0", RetryRatio: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second, FirstStart: firstStart,
		CallerDelay: 3 * time.Millisecond, Log: log, RoutineLog: log,
	}, fixedState{testState(7)}, b)
}

func request(path string, patience time.Duration) *Request {
	return &Request{ID: "id", Method: http.MethodGet, Target: path, Path: path, Host: "h", Arrived: time.Now(), CallerTimeout: patience}
}

// runTest runs a test in virtual time with a fake backend.
func runTest(t *testing.T, firstStart bool, behave func(c *registrar.Candidate) behaviour, test func(is *is.I, f *Forwarder, b *fakeBackend)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{behave: behave}
		defer func() {
			// Attempts that outlive their request end by their deadline.
			time.Sleep(time.Minute)
			synctest.Wait()
		}()
		test(is.New(t), newForwarder(b, firstStart), b)
	})
}

// sweep sends one gathered request. It returns the response and the time taken.
func sweep(f *Forwarder) (Response, time.Duration) {
	r := request("/sweep/x", 400*time.Millisecond)
	a := f.Serve(context.Background(), r)
	return a, time.Since(r.Arrived)
}

func TestGatherWhole(t *testing.T) {
	runTest(t, true, func(*registrar.Candidate) behaviour { return served(7 * time.Millisecond) }, func(is *is.I, f *Forwarder, b *fakeBackend) {
		a, took := sweep(f)
		is.Equal(a.Status, http.StatusOK)
		is.Equal(a.MissingParts, 0)
		is.Equal(len(a.Stamps), shards)
		is.Equal(len(a.Body), 5*16)
		is.Equal(took, 7*time.Millisecond)
		is.Equal(b.total(), shards)
		is.True(b.maxTimeLeft <= 400*time.Millisecond)
		for id := range b.sends {
			is.Equal(id[len(id)-1], byte('0')) // all from this VM's data centre
		}
	})
}

// TestSlowFirstChoicesAreHedged checks that hedges replace the slow replies when the first choice
// of every shard becomes slow.
func TestSlowFirstChoicesAreHedged(t *testing.T) {
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		if c.DataCentre == "dc-0" {
			return served(90 * time.Millisecond)
		}
		return served(8 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, _ *fakeBackend) {
		a, took := sweep(f)
		is.Equal(a.MissingParts, 0)
		is.True(took < target)
		a, took = sweep(f) // replicas known to be slow are not the first choice again
		is.Equal(a.MissingParts, 0)
		is.True(took < 40*time.Millisecond)
	})
}

// TestAnswerAtTheTarget checks that the response meets the target without a shard whose replicas
// all hang.
func TestAnswerAtTheTarget(t *testing.T) {
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		if c.Service == "shard-3" {
			return silent()
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, _ *fakeBackend) {
		a, took := sweep(f)
		is.Equal(a.Status, http.StatusOK)
		is.Equal(a.MissingParts, 1)
		is.True(took <= target-2*3*time.Millisecond)
		is.True(took > target/2) // it waited for the part as long as it could still be in time
	})
}

// TestDeadShardIsNotWaitedFor checks that parts of a shard are not waited for once all its replicas
// are known to be down.
func TestDeadShardIsNotWaitedFor(t *testing.T) {
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		if c.Service == "shard-3" {
			return behaviour{after: time.Millisecond, err: ErrNotSent}
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, b *fakeBackend) {
		known := 0
		for i := range 100 {
			if i == 30 {
				known = b.byShard["shard-3"]
			}
			a, took := sweep(f)
			is.Equal(a.Status, http.StatusOK)
			is.Equal(a.MissingParts, 1)
			is.True(took < 20*time.Millisecond)
			time.Sleep(20 * time.Millisecond)
		}
		is.True(b.byShard["shard-3"]-known < 20) // retried occasionally
	})
}

// TestTwoDeadShardsAreRefusedAtOnce covers more shards down than a response may lack. The caller
// has to be told at once that nothing was run, and this has to be true.
func TestTwoDeadShardsAreRefusedAtOnce(t *testing.T) {
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		if c.Service == "shard-3" || c.Service == "shard-4" {
			return behaviour{after: time.Millisecond, err: ErrNotSent}
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, b *fakeBackend) {
		for range 30 {
			sweep(f)
			time.Sleep(20 * time.Millisecond)
		}
		before := b.total()
		a, took := sweep(f)
		is.Equal(a.Status, http.StatusServiceUnavailable)
		is.True(a.RetryAfter > 0)
		is.Equal(took, time.Duration(0))
		is.Equal(b.total(), before) // nothing was sent
	})
}

// TestRetryAfterGrowsWithTheOutage covers shards that are down for seconds and callers that retry
// only once. The longer the outage has lasted, the later callers are told to retry, up to the
// longest delay that they follow.
func TestRetryAfterGrowsWithTheOutage(t *testing.T) {
	down := false
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		if down && (c.Service == "shard-3" || c.Service == "shard-4") {
			return behaviour{after: time.Millisecond, err: ErrNotSent}
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, b *fakeBackend) {
		sweep(f)
		b.mu.Lock()
		down = true
		b.mu.Unlock()
		var last time.Duration
		for range 60 {
			a := f.Serve(context.Background(), request("/sweep/x", 3*time.Second))
			if a.Status == http.StatusServiceUnavailable {
				is.True(a.RetryAfter >= last/2 && a.RetryAfter >= decider.DefaultRetryAfter)
				last = a.RetryAfter
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(last, time.Second) // a third of three seconds
		a := f.Serve(context.Background(), request("/sweep/x", 300*time.Millisecond))
		is.Equal(a.RetryAfter, decider.DefaultRetryAfter)
	})
}

// TestSilentReplicaIsAvoided covers a replica that stops replying, as seen by one VM of a large
// fleet that has a request only now and then. The listener cancels a request's context when the
// response is sent. The missing reply has to count against the replica even though the response was
// sent without its part.
func TestSilentReplicaIsAvoided(t *testing.T) {
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		if c.ID == "shard-3/0" {
			return silent()
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, b *fakeBackend) {
		const n = 40
		for range n {
			ctx, cancel := context.WithCancel(context.Background())
			a := f.Serve(ctx, request("/sweep/", time.Second))
			cancel()
			is.Equal(a.Status, http.StatusOK)
			time.Sleep(500 * time.Millisecond)
		}
		is.True(b.sends["shard-3/0"] <= n/3)
	})
}

// TestRecoveredShardIsUsedAgain checks that a shard that was down is used again soon after its
// recovery.
func TestRecoveredShardIsUsedAgain(t *testing.T) {
	var mu sync.Mutex
	up := false
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		mu.Lock()
		defer mu.Unlock()
		if c.Service == "shard-3" && !up {
			return behaviour{after: time.Millisecond, err: ErrNotSent}
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, _ *fakeBackend) {
		for range 100 {
			sweep(f)
			time.Sleep(20 * time.Millisecond)
		}
		mu.Lock()
		up = true
		mu.Unlock()
		back := time.Now()
		for {
			if a, _ := sweep(f); a.MissingParts == 0 {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		is.True(time.Since(back) < 2*time.Second)
	})
}

// TestExtraSendsStayInTheBudget covers a slowdown of the whole fleet. However many parts are late,
// the extra sends to each shard have to stay within this VM's share of the budget.
func TestExtraSendsStayInTheBudget(t *testing.T) {
	runTest(t, true, func(*registrar.Candidate) behaviour { return served(70 * time.Millisecond) }, func(_ *is.I, f *Forwarder, b *fakeBackend) {
		const n = 80
		for range n {
			sweep(f)
			time.Sleep(20 * time.Millisecond)
		}
		for s, sends := range b.byShard {
			extra := float64(sends - n)
			if extra > 0.2*n+54.0/7 {
				t.Fatalf("%s: %v extra sends for %d requests", s, extra, n)
			}
		}
	})
}

// TestBudgetAfterARestart covers a restart of all VMs at once, after which each knows only three
// VMs at first. Extra sends have to be possible soon after, and must stay within the budget
// together with those of the previous processes.
func TestBudgetAfterARestart(t *testing.T) {
	runTest(t, false, func(*registrar.Candidate) behaviour { return served(time.Millisecond) }, func(is *is.I, f *Forwarder, _ *fakeBackend) {
		const fleet = 67
		is.True(!f.budget("s", 1.0/3, time.Now()).Withdraw(time.Now()))
		time.Sleep(3 * time.Second)
		b := f.budget("s", 1.0/fleet, time.Now())
		b.Deposit(5, time.Now()) // two requests a second
		is.True(b.Withdraw(time.Now()))
		is.True(slackShare+restartSlackShare <= 1)
		time.Sleep(f.cfg.RetryWindow)
		is.Equal(f.currentSlackShare(time.Now()), slackShare)
	})
}

// TestBudgetIsReservedForRequiredParts covers a shard that sheds most of its requests next to a
// slow shard. When the budget is low, extra attempts go to the part without which there would be no
// response.
func TestBudgetIsReservedForRequiredParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &fakeBackend{behave: func(*registrar.Candidate) behaviour { return served(time.Millisecond) }}
		f := newForwarder(b, false)
		fl := &flight{
			f: f, state: f.states.State(), route: f.states.State().Table.Match("h", "/sweep/").Route,
			r: request("/sweep/", time.Second), ctx: t.Context(), deadline: time.Now().Add(time.Second),
			target: time.Now().Add(target),
		}
		fl.start([]string{"shard-0", "shard-1"}, 1)
		defer fl.finish()
		now := time.Now()
		p, other := fl.parts[0], fl.parts[1]
		p.budget.SetSlack(8)
		p.budget.Deposit(10, now)
		p.budget.Spend(7, now)
		p.sent, p.ran = 1, 1
		c := (&flight{f: f}).bestReplica(p, nil, now)
		is.Equal(fl.declineReason(p, c, false, now), decider.Reserved)
		fl.giveUp(other, decider.Unhealthy)
		is.Equal(fl.declineReason(p, c, false, now), "")
	})
}

// drainBudgets sends some requests and then spends the budgets of all shards until less than half
// of decider.ReservedShare is left.
func drainBudgets(f *Forwarder) {
	for range 20 {
		sweep(f)
		time.Sleep(100 * time.Millisecond)
	}
	for i := range shards {
		b := f.budget(fmt.Sprintf("shard-%d", i), 1.0/7, time.Now())
		for b.Remaining(time.Now()) >= decider.ReservedShare/2 {
			b.Spend(1, time.Now())
		}
	}
}

// TestShedPartWaitsForTheBudget covers replicas of many shards that shed some of their requests
// while the budget is low. A shed part is left out if all other parts arrive, and is retried if one
// of them does not.
func TestShedPartWaitsForTheBudget(t *testing.T) {
	for _, unreachable := range []bool{false, true} {
		shedding := false
		runTest(t, true, func(c *registrar.Candidate) behaviour {
			switch {
			case shedding && c.ID == "shard-3/0":
				return shed()
			case shedding && unreachable && c.Service == "shard-4":
				return silent()
			}
			return served(7 * time.Millisecond)
		}, func(is *is.I, f *Forwarder, b *fakeBackend) {
			drainBudgets(f)
			shedding = true
			before := b.byShard["shard-3"]
			a, took := sweep(f)
			is.Equal(a.Status, http.StatusOK)
			is.Equal(a.MissingParts, 1)
			is.True(took < target)
			if !unreachable {
				is.True(took < 20*time.Millisecond)
				is.Equal(b.byShard["shard-3"], before+1)
			}
		})
	}
}

// TestHedgeThatIsShed covers a replica that pauses while the replica that gets the hedge sheds it.
// The third replica has to be asked.
func TestHedgeThatIsShed(t *testing.T) {
	degraded := false
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		switch {
		case degraded && c.ID == "shard-3/0":
			return served(300 * time.Millisecond)
		case degraded && c.ID == "shard-3/1":
			return shed()
		case c.ID == "shard-3/2":
			return served(9 * time.Millisecond)
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, _ *fakeBackend) {
		for range 20 {
			sweep(f)
			time.Sleep(100 * time.Millisecond)
		}
		degraded = true
		a, took := sweep(f)
		is.Equal(a.MissingParts, 0)
		is.True(took < target)
	})
}

// TestStragglersBesideADarkShard covers a shard whose replicas all stop replying while one replica
// of another shard pauses and the budget is low. A response may lack one part only, so the part of
// the paused replica has to be retried while it can still be in time.
func TestStragglersBesideADarkShard(t *testing.T) {
	pause := false
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		switch {
		case c.Service == "shard-3" && pause:
			return silent()
		case c.ID == "shard-4/0" && pause:
			return served(200 * time.Millisecond)
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, _ *fakeBackend) {
		drainBudgets(f)
		pause = true
		a, took := sweep(f)
		is.Equal(a.Status, http.StatusOK)
		is.Equal(a.MissingParts, 1)
		is.True(took < target)
	})
}

// TestSlowShardIsSkippedAndRetried covers a shard whose replicas are all slower than the target. It
// has to be left out without sending to it, and retried occasionally.
func TestSlowShardIsSkippedAndRetried(t *testing.T) {
	var mu sync.Mutex
	slow := true
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		mu.Lock()
		defer mu.Unlock()
		if c.Service == "shard-3" && slow {
			return served(150 * time.Millisecond)
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, b *fakeBackend) {
		for range 100 {
			a, _ := sweep(f)
			is.Equal(a.Status, http.StatusOK)
			time.Sleep(10 * time.Millisecond)
		}
		is.True(b.byShard["shard-3"] < 80) // 100 requests
		mu.Lock()
		slow = false
		mu.Unlock()
		healed := time.Now()
		for {
			if a, _ := sweep(f); a.MissingParts == 0 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(healed) < 2*time.Second)
	})
}

// TestColdReplicasComeLast covers a data centre that returns with cold servers, which handle only a
// limited request rate until they are warm.
func TestColdReplicasComeLast(t *testing.T) {
	runTest(t, true, func(*registrar.Candidate) behaviour { return served(7 * time.Millisecond) }, func(is *is.I, f *Forwarder, b *fakeBackend) {
		state := f.states.State()
		state.Table.Config.Services["single"] = router.Service{Name: "single", WarmupPerSecond: 2}
		state.View.Services["single"][0].ColdUntil = time.Now().Add(time.Second)
		get := func() { f.Serve(context.Background(), request("/read/x", time.Second)) }
		for range 10 {
			get()
		}
		is.Equal(b.sends["single/0"], 0)
		time.Sleep(time.Second)
		for range 10 {
			get()
		}
		is.True(b.sends["single/0"] > 0)
	})
}

// TestRequestThatCrashesReplicas covers a request that crashes every replica that starts to run it
// and is retried at any VM. It has to be refused after a few replicas were lost.
func TestRequestThatCrashesReplicas(t *testing.T) {
	poison := false
	runTest(t, true, func(*registrar.Candidate) behaviour {
		if poison {
			return behaviour{after: time.Millisecond, err: ErrConnLost}
		}
		return served(time.Millisecond)
	}, func(is *is.I, f *Forwarder, b *fakeBackend) {
		var losses, elsewhere quarantiner.Tracker
		f.cfg.Quarantine = &losses
		f.cfg.Announce = func(list []quarantiner.Loss) { elsewhere.Merge(list, time.Now()) }
		ask := func(path string) Response {
			a := f.Serve(context.Background(), request(path, time.Second))
			synctest.Wait()
			return a
		}
		// Lost replies alone do not quarantine a request.
		is.Equal(ask("/read/harmless").Status, 200)
		poison = true
		for range 5 {
			ask("/read/lost-replies")
		}
		before := b.total()
		ask("/read/lost-replies")
		is.True(b.total() > before)
		// Lost replies of replicas that go down do.
		b.down = map[string]bool{"single/0": true, "single/1": true, "single/2": true}
		for range 3 {
			ask("/read/poison")
			time.Sleep(time.Second)
		}
		before = b.total()
		a := ask("/read/poison")
		is.Equal(a.Status, http.StatusServiceUnavailable)
		is.Equal(b.total(), before)
		fp := quarantiner.FingerprintOf("GET h/read/poison", nil)
		is.Equal(elsewhere.Verdict(fp, quarantiner.Software{Service: "single"}, time.Now()), quarantiner.Blocked) // other VMs know
		// A request that gets replies between the crashes during its runs is never quarantined.
		for range 3 {
			poison = true
			ask("/read/harmless")
			time.Sleep(time.Second)
			poison = false
			is.Equal(ask("/read/harmless").Status, 200)
		}
		// One that gets none any more is, although it has had some.
		poison = true
		for range 3 {
			ask("/read/harmless")
			time.Sleep(time.Second)
		}
		before = b.total()
		is.Equal(ask("/read/harmless").Status, http.StatusServiceUnavailable)
		is.Equal(b.total(), before)
	})
}

func TestCallerLeaves(t *testing.T) {
	runTest(t, true, func(*registrar.Candidate) behaviour { return silent() }, func(is *is.I, f *Forwarder, b *fakeBackend) {
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, leave)
		began := time.Now()
		f.Serve(ctx, request("/sweep/x", 400*time.Millisecond))
		is.Equal(time.Since(began), 30*time.Millisecond)
		synctest.Wait()
		is.Equal(b.canceled, b.total()) // all attempts were cancelled
	})
}

// TestSingle checks, for each way in which a first attempt can end, whether a second one follows
// and what the caller gets.
func TestSingle(t *testing.T) {
	stamped := func(status int) behaviour {
		return behaviour{after: time.Millisecond, reply: &Reply{Status: status, Stamp: "stamp", Body: []byte("why")}}
	}
	for _, tc := range []struct {
		name              string
		first             behaviour
		read, write       int
		readSent, writing int
	}{
		{"served", served(time.Millisecond), 200, 200, 1, 1},
		{"shed", shed(), 200, 200, 2, 2},
		{"never sent", behaviour{after: time.Millisecond, err: ErrNotSent}, 200, 200, 2, 2},
		{"connection lost", behaviour{after: time.Millisecond, err: ErrConnLost}, 200, 502, 2, 1},
		{"bad reply", behaviour{after: time.Millisecond, err: ErrBadReply}, 200, 502, 2, 1},
		{"misdirected", behaviour{after: time.Millisecond, reply: &Reply{Status: 421, Misdirected: true}}, 200, 200, 2, 2},
		{"failed", stamped(500), 200, 500, 2, 1},
		{"refusal that may have run", stamped(503), 200, 502, 2, 1},
		{"success without receipt", behaviour{after: time.Millisecond, reply: &Reply{Status: 200, Body: []byte("x")}}, 200, 502, 2, 1},
	} {
		for _, kind := range []string{"read", "write"} {
			t.Run(tc.name+" "+kind, func(t *testing.T) {
				n := 0
				runTest(t, true, func(*registrar.Candidate) behaviour {
					if n++; n == 1 {
						return tc.first
					}
					return served(time.Millisecond)
				}, func(is *is.I, f *Forwarder, b *fakeBackend) {
					a := f.Serve(context.Background(), request("/"+kind+"/x", 1500*time.Millisecond))
					want, sent := tc.read, tc.readSent
					if kind == "write" {
						want, sent = tc.write, tc.writing
					}
					is.Equal(a.Status, want)
					is.Equal(b.total(), sent)
				})
			})
		}
	}
}

// TestNonIdempotentIsNeverHedged checks that a request that is not idempotent is sent only once,
// even if the replica does not reply.
func TestNonIdempotentIsNeverHedged(t *testing.T) {
	runTest(t, true, func(*registrar.Candidate) behaviour { return silent() }, func(is *is.I, f *Forwarder, b *fakeBackend) {
		a := f.Serve(context.Background(), request("/write/x", 300*time.Millisecond))
		is.Equal(a.Status, http.StatusGatewayTimeout)
		is.Equal(b.total(), 1)
	})
}

func TestRefusals(t *testing.T) {
	runTest(t, true, func(*registrar.Candidate) behaviour { return shed() }, func(is *is.I, f *Forwarder, _ *fakeBackend) {
		a := f.Serve(context.Background(), request("/none/", time.Second))
		is.Equal(a.Status, http.StatusNotFound)
		a = f.Serve(context.Background(), request("/write/", time.Second))
		is.Equal(a.Status, http.StatusServiceUnavailable) // all replicas said that it was not run
		is.True(a.RetryAfter > 0)
		g := New(f.cfg, fixedState{}, &fakeBackend{})
		is.Equal(g.Serve(context.Background(), request("/read/", time.Second)).Status, http.StatusServiceUnavailable)
	})
}

// TestRetryShortensTheTarget covers a caller whose first attempt failed. Less of the target latency
// is left for the second one, so its response has to be sent earlier.
func TestRetryShortensTheTarget(t *testing.T) {
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		if c.Service == "shard-3" {
			return silent()
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, _ *fakeBackend) {
		_, first := sweep(f)
		r := request("/sweep/x", 370*time.Millisecond)
		a := f.Serve(context.Background(), r)
		is.Equal(a.Status, http.StatusOK)
		is.Equal(first-time.Since(r.Arrived), 30*time.Millisecond)
	})
}

func TestUsualTimeout(t *testing.T) {
	is := is.New(t)
	var u usualTimeout
	for range 20 {
		u.observe(400 * time.Millisecond)
	}
	is.Equal(u.observe(393*time.Millisecond), 400*time.Millisecond)
	is.Equal(u.observe(900*time.Millisecond), 400*time.Millisecond) // one caller with a longer timeout
	for range 2000 {
		u.observe(300 * time.Millisecond)
	}
	is.Equal(u.observe(393*time.Millisecond), 300*time.Millisecond) // the operator changed the timeout
	for i := range 1000 {
		u.observe(time.Duration(i) * time.Second)
	}
	is.True(len(u.counts) <= maxTimeoutValues+1)
}

func TestConnectionQuota(t *testing.T) {
	is := is.New(t)
	s := testState(7)
	f := newForwarder(&fakeBackend{}, true)
	is.Equal(f.quota(s, "shard-0", true).conns, 3) // 26 for 7 VMs
	s.VMs = 67
	is.Equal(f.quota(s, "shard-0", true).conns, 1)
	is.Equal(f.quota(s, "unknown", true).conns, defaultConns)
}

var _ Backend = (*fakeBackend)(nil)

// TestReplicaOutcome checks what each end of an attempt indicates about its replica.
func TestReplicaOutcome(t *testing.T) {
	is := is.New(t)
	fl := &flight{ctx: context.Background()}
	is.Equal(fl.replicaOutcome(served(0).reply, nil), ranker.Served)
	is.Equal(fl.replicaOutcome(shed().reply, nil), ranker.Shed)
	is.Equal(fl.replicaOutcome(&Reply{Status: 421, Misdirected: true}, nil), ranker.Unreachable)
	is.Equal(fl.replicaOutcome(&Reply{Status: 500, Stamp: "s"}, nil), ranker.Failed)
	is.Equal(fl.replicaOutcome(nil, ErrBadReply), ranker.Failed)
	is.Equal(fl.replicaOutcome(nil, ErrReplyTimeout), ranker.NoReply)
	is.Equal(fl.replicaOutcome(nil, ErrNoFreeConn), ranker.Inconclusive)
	is.Equal(fl.replicaOutcome(nil, ErrConnLost), ranker.Unreachable)
}

// TestWarmOwnDataCentre checks that one connection is opened in advance to each replica in this
// VM's data centre, spread over time.
func TestWarmOwnDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &fakeBackend{}
		f := newForwarder(b, true)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Warm(ctx)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		n := len(b.warmUps())
		is.True(n > 0 && n < shards)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		is.Equal(len(b.warmUps()), shards+1)
		for _, id := range b.warmUps() {
			is.Equal(id[len(id)-1], byte('0'))
		}
	})
}

// darkService is a service whose replicas of a fakeBackend accept no connection and refuse none.
const darkService = "dark"

// movingState is a StateSource whose state changes.
type movingState struct {
	atomic.Pointer[State]
}

func (m *movingState) State() *State       { return m.Load() }
func (m *movingState) SyncedAt() time.Time { return time.Now() }

// TestOddEntriesDelayNoWarming guards against entries of another writer, of a service that nobody has
// configured, whose addresses hold up the connections to sound replicas for a second each.
func TestOddEntriesDelayNoWarming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &fakeBackend{}
		f := newForwarder(b, true)
		odd, states := testState(7), &movingState{}
		for i := range 60 {
			id := fmt.Sprintf("odd-%d", i)
			odd.View.Services[darkService] = append(odd.View.Services[darkService], &registrar.Candidate{Key: id, Replica: registrar.Replica{ID: id, Service: darkService, DataCentre: "dc-0"}})
		}
		states.Store(odd)
		f.states = states
		ctx, cancel := context.WithCancel(t.Context())
		go f.Warm(ctx)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		is.Equal(len(b.warmUps()), shards+1)
		more := *odd
		more.View = &registrar.View{Services: maps.Clone(odd.View.Services)}
		more.View.Services["single"] = append(slices.Clone(odd.View.Services["single"]), &registrar.Candidate{Key: "new", Replica: registrar.Replica{ID: "new", Service: "single", DataCentre: "dc-0"}})
		states.Store(&more)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		is.True(slices.Contains(b.warmUps(), "new"))
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}
