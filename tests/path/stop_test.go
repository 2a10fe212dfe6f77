package path

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that a stopping VM reads, passes on to a replica that is slow or whose answer is lost,
// and drops without an answer when its process ends.
func TestLateRequestsGetAnswersInStop(t *testing.T) {
	is := is.New(t)
	f := startStopFleet(t, 3, map[string][]replicaKind{
		"lot": {{factor: 8}, {factor: 8}},
		"big": {{factor: 1, lost: true}, {factor: 1, lost: true}},
	})
	uses := []struct {
		route string
		work  time.Duration
	}{
		{"lot", 250 * time.Millisecond},
		{"booking", 1200 * time.Millisecond},
		{"hold", 1200 * time.Millisecond},
		{"big", 100 * time.Millisecond},
	}
	const gap = 50 * time.Millisecond
	vm := f.vms[1]
	began := time.Now().Add(time.Second)
	var wg sync.WaitGroup
	for i := range int(stopGrace / gap) {
		c, err := f.dial(vm, 0)
		is.NoErr(err)
		wg.Go(func() {
			defer func() { _ = c.conn.Close() }()
			q := c.newRequest("warm", "search")
			c.send(q.text(time.Millisecond, 160), q)
			if !c.read(q) {
				return
			}
			time.Sleep(time.Until(began.Add(time.Duration(i)*gap - gap/2)))
			use := uses[i%len(uses)]
			q = c.newRequest("late", use.route)
			c.send(q.text(use.work, 3000), q)
			c.read(q)
		})
	}
	time.Sleep(time.Until(began))
	f.stop(vm)
	wg.Wait()
	f.check()
}

// Guards against answers that are cut as their connection is closed, or as the process ends, because the caller
// reads them slowly.
func TestSlowReadersGetAnswersInStop(t *testing.T) {
	is := is.New(t)
	const size = 6 << 20
	f := startStopFleet(t, 2, nil)
	vm := f.vms[1]
	stopped := make(chan struct{})
	began := time.Now().Add(time.Second)
	var wg sync.WaitGroup
	// One answer is under way when SIGTERM comes, the other one begins later.
	for _, at := range []time.Duration{-300 * time.Millisecond, 300 * time.Millisecond} {
		c, err := f.dial(vm, 4<<10)
		is.NoErr(err)
		wg.Go(func() {
			defer func() { _ = c.conn.Close() }()
			time.Sleep(time.Until(began.Add(at)))
			q := c.newRequest("slow reader", "big")
			c.send(q.text(time.Millisecond, size), q)
			c.conn.pause, c.conn.slowUntil = 100*time.Millisecond, began.Add(3800*time.Millisecond)
			c.read(q)
		})
	}
	time.Sleep(time.Until(began))
	go func() {
		f.stop(vm)
		close(stopped)
	}()
	wg.Wait()
	<-stopped
	f.check()
}
