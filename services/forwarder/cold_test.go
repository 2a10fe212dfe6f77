package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
)

// TestAllReplicasCold guards against cold replicas that get all requests because the service has no others: they
// crash. What doesn't fit is refused at once, and the caller is told when to come back.
func TestAllReplicasCold(t *testing.T) {
	for _, vms := range []int{1, 3, 7, 40} {
		arrived := make(map[string][]time.Time)
		runTest(t, true, func(c *registrar.Candidate) behaviour {
			arrived[c.ID] = append(arrived[c.ID], time.Now())
			return served(60 * time.Millisecond)
		}, func(is *is.I, _ *Forwarder, b *fakeBackend) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			state := testState(vms)
			state.Table.Config.Services["single"] = router.Service{Name: "single", WarmupPerSecond: 4, MaxConns: 100}
			for _, c := range state.View.Services["single"] {
				c.ColdUntil = time.Now().Add(10 * time.Second)
			}
			var fleet []*Forwarder
			for i := range vms {
				own := *state
				own.Rank = i
				fleet = append(fleet, New(Config{
					DataCentre: "dc-0", RetryRatio: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second, FirstStart: true,
					WarmupOvershoot: 1.5, WarmupSlack: 5, Log: log, RoutineLog: log,
				}, fixedState{&own}, b))
			}
			counts := make(map[int]int)
			var mu sync.Mutex
			var wg sync.WaitGroup
			send := func(i int) {
				r := request("/read/x", 1500*time.Millisecond)
				a := fleet[i%vms].Serve(context.Background(), r)
				mu.Lock()
				defer mu.Unlock()
				counts[a.Status]++
				if a.Status != http.StatusOK {
					is.Equal(a.Status, http.StatusServiceUnavailable)
					is.Equal(time.Since(r.Arrived), time.Duration(0))
					is.True(a.RetryAfter > 0 && a.RetryAfter <= 1001*time.Millisecond)
				}
			}
			for i := range 9 * 45 {
				wg.Go(func() { send(i) })
				time.Sleep(time.Second / 45)
			}
			wg.Wait()
			for _, list := range arrived {
				for i := 11; i < len(list); i++ {
					is.True(list[i].Sub(list[i-11]) > time.Second) // at most 11 within a second
				}
			}
			if vms <= 8 {
				is.True(counts[http.StatusOK] > 100)
			}
			clear(counts)
			time.Sleep(2 * time.Second)
			for i := range 90 { // they are warm
				wg.Go(func() { send(i) })
				time.Sleep(time.Second / 45)
			}
			wg.Wait()
			is.Equal(counts[http.StatusOK], 90)
		})
	}
}

// TestMisdirectedRequestsDoNotCount checks that a request that a cold replica answers with 421 leaves room for another.
func TestMisdirectedRequestsDoNotCount(t *testing.T) {
	runTest(t, true, func(*registrar.Candidate) behaviour {
		return behaviour{after: time.Millisecond, reply: &Reply{Status: http.StatusMisdirectedRequest, Misdirected: true}}
	}, func(is *is.I, f *Forwarder, _ *fakeBackend) {
		state := f.states.State()
		state.VMs = 1
		state.Table.Config.Services["single"] = router.Service{Name: "single", WarmupPerSecond: 1}
		for _, c := range state.View.Services["single"] {
			c.ColdUntil = time.Now().Add(10 * time.Second)
		}
		serveRead(f, 1, time.Second)
		for _, c := range state.View.Services["single"] {
			is.True(f.cold.Begin(c.Key, 1, time.Now()))
		}
	})
}
