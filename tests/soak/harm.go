package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

const (
	// faultGap is the mean time between two faults; they overlap.
	faultGap = 350 * time.Millisecond
	// leastFault and mostFault bound the time that a fault lasts.
	leastFault = 200 * time.Millisecond
	mostFault  = 2500 * time.Millisecond
	// drainTime is how long a leaving server serves on.
	drainTime = 3 * time.Second
	// reuseTime is the time after which the address of a server that is gone is used again.
	reuseTime = 2 * time.Second
	// stopWait limits the wait for a graceful shutdown, the grace and some more.
	stopWait = 8 * time.Second
	// recoveryTime is the time after the last fault in which all VMs serve whole answers.
	recoveryTime = 12 * time.Second
	// recoveryPoll is the time between two looks at that.
	recoveryPoll = 100 * time.Millisecond
)

// fault is a way to harm the system. It returns what it does, and does it until the time is over.
type fault func(w *world, draw *rand.Rand, lasts time.Duration) (name string, act func())

// faults are drawn with equal chances.
var faults = []fault{
	storeFault, storeFault, storeCut, storeCut, compact,
	serverTrouble, serverTrouble, serverTrouble, serverLink, serverLink,
	crash, drain, reuse, resets,
	stopVM, stopVM, killVM, pauseVM, hangupVM,
	reconfigure, evacuate,
}

// harm makes faults for the time of the soak and waits until all are over.
func (w *world) harm() {
	var wg sync.WaitGroup
	end := time.Now().Add(w.cfg.For)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(w.draw.ExpFloat64() * float64(faultGap)))
		draw := rand.New(rand.NewPCG(w.draw.Uint64(), 0))
		lasts := leastFault + time.Duration(draw.Int64N(int64(mostFault-leastFault)))
		name, act := faults[draw.IntN(len(faults))](w, draw, lasts)
		if act == nil {
			continue
		}
		line := fmt.Sprintf("%7.3f s: %s, for %v", time.Since(w.begin).Seconds(), name, lasts)
		w.made = append(w.made, line)
		_, _ = fmt.Fprintln(w.cfg.Log, line)
		wg.Go(act)
	}
	wg.Wait()
}

// pickOne returns one of a list.
func pickOne[T any](draw *rand.Rand, list []T) T {
	return list[draw.IntN(len(list))]
}

func storeFault(w *world, draw *rand.Rand, lasts time.Duration) (string, func()) {
	f := pickOne(draw, []site.Faults{
		{Hang: true}, {Status: 503}, {Status: 429}, {Delay: 200 * time.Millisecond}, {DropEvents: true}, {Malformed: true},
	})
	return fmt.Sprintf("store %+v", f), func() {
		w.store.SetFaults(f)
		time.Sleep(lasts)
		w.store.SetFaults(site.Faults{})
	}
}

func storeCut(w *world, draw *rand.Rand, lasts time.Duration) (string, func()) {
	v, m := pickOne(draw, w.vms), pickOne(draw, []mode{delayed, oneWay, silent, refuse})
	return fmt.Sprintf("link of %s to the store in mode %d", v.id, m), func() { v.store.harm(m, lasts) }
}

// harm sets a mode for a time.
func (p *proxy) harm(m mode, lasts time.Duration) {
	p.set(m)
	time.Sleep(lasts)
	p.set(pass)
	if m == oneWay {
		// Connections that have lost bytes are of no more use.
		p.reset()
	}
}

func compact(w *world, _ *rand.Rand, _ time.Duration) (string, func()) {
	return "store forgets its history", w.store.Compact
}

func serverTrouble(w *world, draw *rand.Rand, lasts time.Duration) (string, func()) {
	s := w.server()
	t := pickOne(draw, []trouble{
		{shed: 0.5}, {fail: 0.5}, {lose: 0.3}, {spoil: 0.3}, {extra: 0.3}, {slow: 60 * time.Millisecond}, {slow: time.Second},
	})
	return fmt.Sprintf("%s of %s: %+v", s.id, s.service, t), func() {
		s.set(t)
		time.Sleep(lasts)
		s.set(trouble{})
	}
}

func serverLink(w *world, draw *rand.Rand, lasts time.Duration) (string, func()) {
	s, m := w.server(), pickOne(draw, []mode{delayed, oneWay, silent, refuse})
	return fmt.Sprintf("link to %s of %s in mode %d", s.id, s.service, m), func() { s.proxy.harm(m, lasts) }
}

// crash ends a server without a word and starts another in its place.
func crash(w *world, _ *rand.Rand, lasts time.Duration) (string, func()) {
	s := w.server()
	w.remove(s)
	return fmt.Sprintf("%s of %s crashes", s.id, s.service), func() {
		s.replica.Close()
		s.proxy.reset()
		time.Sleep(lasts)
		w.store.Remove("servers/" + s.id)
		s.proxy.close()
		w.replace(s)
	}
}

// replace starts another server of the same service.
func (w *world) replace(s *server) {
	if err := w.add(s.service, s.dataCentre); err != nil {
		w.book.fault("soak: no new server of %s: %v", s.service, err)
	}
}

// drain takes a server out in good order.
func drain(w *world, _ *rand.Rand, _ time.Duration) (string, func()) {
	s := w.server()
	w.remove(s)
	return fmt.Sprintf("%s of %s drains", s.id, s.service), func() {
		w.replace(s)
		w.store.Put("servers/"+s.id, s.entry("draining"))
		time.Sleep(drainTime)
		w.store.Remove("servers/" + s.id)
		time.Sleep(drainTime)
		s.proxy.close()
		s.replica.Close()
	}
}

// reuse crashes a server whose address then belongs to one of another service.
func reuse(w *world, draw *rand.Rand, _ time.Duration) (string, func()) {
	s, other := w.server(), w.server()
	if s.service == other.service {
		return "", nil
	}
	w.remove(s)
	return fmt.Sprintf("%s of %s crashes, its address goes to %s of %s", s.id, s.service, other.id, other.service), func() {
		s.replica.Close()
		s.proxy.reset()
		w.replace(s)
		if draw.Float64() < 0.5 {
			w.store.Remove("servers/" + s.id)
		}
		time.Sleep(reuseTime)
		s.proxy.retarget(other.replica.Addr())
		time.Sleep(reuseTime)
		w.store.Remove("servers/" + s.id)
		s.proxy.close()
	}
}

func resets(w *world, draw *rand.Rand, _ time.Duration) (string, func()) {
	w.mu.Lock()
	var hit []*server
	for _, s := range w.servers {
		if draw.Float64() < 0.5 {
			hit = append(hit, s)
		}
	}
	w.mu.Unlock()
	return fmt.Sprintf("connections to %d servers are reset", len(hit)), func() {
		for _, s := range hit {
			s.proxy.reset()
		}
	}
}

// take reserves a VM's process for a fault; nil if none is free.
func (w *world) take(draw *rand.Rand) *vm {
	v := pickOne(draw, w.vms)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.busy {
		return nil
	}
	v.busy = true
	return v
}

func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy = false
}

// restart starts the VM's process again.
func (w *world) restart(v *vm) {
	if err := v.Start(w.cfg.Bin, w.dir, w.logs.process()); err != nil {
		w.book.fault("soak: %s does not start: %v", v.id, err)
	}
	v.release()
}

func stopVM(w *world, draw *rand.Rand, _ time.Duration) (string, func()) {
	v := w.take(draw)
	if v == nil {
		return "", nil
	}
	return v.id + " is stopped gracefully", func() {
		_ = v.Signal(syscall.SIGTERM)
		if !v.Wait(w.limit(stopWait)) {
			w.book.fault("stop: %s still runs %v after SIGTERM", v.id, w.limit(stopWait))
			v.Kill()
		}
		w.restart(v)
	}
}

func killVM(w *world, draw *rand.Rand, lasts time.Duration) (string, func()) {
	v := w.take(draw)
	if v == nil {
		return "", nil
	}
	return v.id + " is killed", func() {
		done := w.book.harming(v.id)
		v.Kill()
		done()
		time.Sleep(lasts)
		w.restart(v)
	}
}

func pauseVM(w *world, draw *rand.Rand, lasts time.Duration) (string, func()) {
	v := w.take(draw)
	if v == nil {
		return "", nil
	}
	return v.id + " is paused", func() {
		done := w.book.harming(v.id)
		_ = v.Signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		_ = v.Signal(syscall.SIGCONT)
		done()
		v.release()
	}
}

func hangupVM(w *world, draw *rand.Rand, _ time.Duration) (string, func()) {
	v := w.take(draw)
	if v == nil {
		return "", nil
	}
	return v.id + " reads its settings again", func() {
		_ = v.Signal(syscall.SIGHUP)
		v.release()
	}
}

// reconfigure writes a few versions in quick succession.
func reconfigure(w *world, draw *rand.Rand, _ time.Duration) (string, func()) {
	n := 1 + draw.IntN(4)
	return fmt.Sprintf("%d new versions of the configuration", n), func() {
		for range n {
			w.configure()
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func evacuate(w *world, draw *rand.Rand, lasts time.Duration) (string, func()) {
	key := "op/evacuate/" + pickOne(draw, dataCentres)
	return key, func() {
		w.store.Put(key, []byte("{}"))
		time.Sleep(lasts)
		w.store.Remove(key)
	}
}

// recovered reports whether each VM gives whole answers to searches, and runs writes, within the
// time for that.
func (w *world) recovered() bool {
	healed := time.Now()
	for time.Since(healed) < w.limit(recoveryTime) {
		well := w.book.well(healed)
		n := 0
		for _, v := range w.vms {
			if well[v.id] {
				n++
			}
		}
		if n == len(w.vms) {
			return true
		}
		time.Sleep(recoveryPoll)
	}
	return false
}
