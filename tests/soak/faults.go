package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults; faults overlap.
	meanFaultInterval = 350 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the time that a fault lasts.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// drainTime is how long a draining server stays in the store, and then goes on serving without its
	// entry.
	drainTime = 3 * time.Second
	// addressReuseDelay is the time after a crash at which the server's address is reused.
	addressReuseDelay = 2 * time.Second
	// shutdownTimeout limits the wait for a graceful shutdown; it is longer than the grace period.
	shutdownTimeout = 8 * time.Second
	// recoveryTimeout is the time after the last fault within which all VMs must serve complete answers.
	recoveryTimeout = 12 * time.Second
	// meanStopSpan is the mean time in which all VMs are stopped in turn.
	meanStopSpan = 5 * time.Second
	// maxSecondSignal is the longest time after which a stopping VM gets another signal.
	maxSecondSignal = 4 * time.Second
	// serviceFaultFactor is how much longer faults last that concern several servers of a service.
	serviceFaultFactor = 3
	// minSlowness and maxSlowness bound the factor by which slow servers are slower.
	minSlowness, maxSlowness = 5, 8
	// pollInterval is the time between two checks of a condition that the soak waits for.
	pollInterval = 100 * time.Millisecond
)

// fault prepares a random fault. It returns a description and a function that injects the fault and
// returns once it is over; the function is nil if the fault is impossible at present.
type fault func(h *harness, rng *rand.Rand, lasts time.Duration) (name string, act func())

// faults lists the faults. Each entry is drawn with the same probability, so that a repeated one is
// more frequent.
var faults = []fault{
	storeFault, storeFault, storeLinkFault, storeLinkFault, compactStore,
	serverFault, serverFault, serverFault, serverLinkFault, serverLinkFault,
	crashServer, drainServer, reuseAddress, resetConns,
	stopVM, stopVM, killVM, pauseVM, reloadVM,
	reconfigure, evacuate,
}

// stopFaults are the faults of a soak with Config.Stops.
var stopFaults = slices.Concat(faults, []fault{
	stopInTurn, stopInTurn, stopInTurn, reloadVM, reconfigure, slowService, slowService, loseAnswers, loseAnswers,
})

// injectFaults injects faults for the duration of the soak and waits until all are over.
func (h *harness) injectFaults() {
	var wg sync.WaitGroup
	list := faults
	if h.cfg.Stops {
		list = stopFaults
	}
	if h.cfg.Notices {
		list = slices.Concat(list, []fault{leaveServer, leaveServer, pauseServer, pauseServer, pauseServer, sendStrayRefusals, sendStrayRefusals})
	}
	switch {
	case h.cfg.Drills:
		list = drillFaults
	case h.cfg.Cuts:
		list = cutFaults
	}
	end := time.Now().Add(h.cfg.FaultDuration)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(h.rng.ExpFloat64() * float64(meanFaultInterval)))
		rng := rand.New(rand.NewPCG(h.rng.Uint64(), 0))
		lasts := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		name, act := list[rng.IntN(len(list))](h, rng, lasts)
		if act == nil {
			continue
		}
		line := fmt.Sprintf("%7.3f s: %s, for %v", time.Since(h.begin).Seconds(), name, lasts)
		h.injected = append(h.injected, line)
		_, _ = fmt.Fprintln(h.cfg.Log, line)
		wg.Go(act)
	}
	wg.Wait()
}

// randomElement returns a random element of list.
func randomElement[T any](rng *rand.Rand, list []T) T {
	return list[rng.IntN(len(list))]
}

func storeFault(h *harness, rng *rand.Rand, lasts time.Duration) (string, func()) {
	f := randomElement(rng, []site.Faults{
		{Hang: true}, {Status: 503}, {Status: 429}, {Delay: 200 * time.Millisecond}, {DropEvents: true}, {Malformed: true},
	})
	return fmt.Sprintf("store %+v", f), func() {
		h.store.SetFaults(f)
		time.Sleep(lasts)
		h.store.SetFaults(site.Faults{})
	}
}

func storeLinkFault(h *harness, rng *rand.Rand, lasts time.Duration) (string, func()) {
	v, m := randomElement(rng, h.vms), randomElement(rng, []proxyMode{modeDelay, modeDropReplies, modeStall, modeRefuse})
	return fmt.Sprintf("link of %s to the store in mode %d", v.id, m), func() { v.store.setFor(m, lasts) }
}

// setFor sets a mode for the given time and then forwards again.
func (p *proxy) setFor(m proxyMode, lasts time.Duration) {
	p.set(m)
	time.Sleep(lasts)
	p.set(modePass)
	if m == modeDropReplies {
		// Connections that have lost bytes can't be used again.
		p.reset()
	}
}

func compactStore(h *harness, _ *rand.Rand, _ time.Duration) (string, func()) {
	return "store compacts its history", h.store.Compact
}

func serverFault(h *harness, rng *rand.Rand, lasts time.Duration) (string, func()) {
	s := h.pickServer()
	t := randomElement(rng, []serverFaults{
		{shed: 0.5}, {fail: 0.5}, {reset: 0.3}, {truncate: 0.3}, {unsolicited: 0.3}, {delay: 60 * time.Millisecond}, {delay: time.Second},
	})
	return fmt.Sprintf("%s of %s: %+v", s.id, s.service, t), func() {
		s.setFaults(t)
		time.Sleep(lasts)
		s.setFaults(serverFaults{})
	}
}

func serverLinkFault(h *harness, rng *rand.Rand, lasts time.Duration) (string, func()) {
	s, m := h.pickServer(), randomElement(rng, []proxyMode{modeDelay, modeDropReplies, modeStall, modeRefuse})
	return fmt.Sprintf("link to %s of %s in mode %d", s.id, s.service, m), func() { s.proxy.setFor(m, lasts) }
}

// crashServer crashes a server, which stays in the store until the fault is over, and then replaces it.
func crashServer(h *harness, _ *rand.Rand, lasts time.Duration) (string, func()) {
	s := h.pickServer()
	h.removeServer(s)
	return fmt.Sprintf("%s of %s crashes", s.id, s.service), func() {
		s.replica.Close()
		s.proxy.reset()
		time.Sleep(lasts)
		h.writer.remove("servers/" + s.id)
		s.proxy.close()
		h.replaceServer(s)
	}
}

// replaceServer starts another server of the same service in the same data centre.
func (h *harness) replaceServer(s *server) {
	if err := h.addServer(s.service, s.dataCentre); err != nil {
		h.history.addViolation("soak: new server of %s failed to start: %v", s.service, err)
	}
}

// drainServer replaces a server and shuts it down gracefully.
func drainServer(h *harness, _ *rand.Rand, _ time.Duration) (string, func()) {
	s := h.pickServer()
	h.removeServer(s)
	return fmt.Sprintf("%s of %s drains", s.id, s.service), func() {
		h.replaceServer(s)
		h.writer.put("servers/"+s.id, s.entry("draining"))
		time.Sleep(drainTime)
		h.writer.remove("servers/" + s.id)
		time.Sleep(drainTime)
		s.proxy.close()
		s.replica.Close()
	}
}

// leaveServer replaces a server that says in its answers that it leaves, before the store says so.
func leaveServer(h *harness, _ *rand.Rand, _ time.Duration) (string, func()) {
	s := h.pickServer()
	h.removeServer(s)
	return fmt.Sprintf("%s of %s says that it leaves", s.id, s.service), func() {
		h.replaceServer(s)
		s.setFaults(serverFaults{leaving: true})
		time.Sleep(3 * drainTime)
		h.writer.put("servers/"+s.id, s.entry("draining"))
		time.Sleep(drainTime)
		h.writer.remove("servers/" + s.id)
		s.proxy.close()
		s.replica.Close()
	}
}

// pauseServer makes a server refuse requests and ask for pauses.
func pauseServer(h *harness, rng *rand.Rand, lasts time.Duration) (string, func()) {
	s := h.pickServer()
	t := serverFaults{pause: minFaultDuration + time.Duration(rng.Int64N(int64(2*maxFaultDuration)))}
	return fmt.Sprintf("%s of %s asks for pauses of %v", s.id, s.service, t.pause), func() {
		s.setFaults(t)
		time.Sleep(lasts)
		s.setFaults(serverFaults{})
	}
}

// sendStrayRefusals makes the servers of single requests send refusals that name no request after some answers.
func sendStrayRefusals(h *harness, rng *rand.Rand, lasts time.Duration) (string, func()) {
	h.mu.Lock()
	var hit []*server
	for _, s := range h.servers {
		if slices.Contains(services[write], s.service) {
			hit = append(hit, s)
		}
	}
	h.mu.Unlock()
	t := serverFaults{strayRefusal: 0.1 + 0.4*rng.Float64()}
	return fmt.Sprintf("%d servers: %+v", len(hit), t), func() {
		for _, s := range hit {
			s.setFaults(t)
		}
		time.Sleep(lasts)
		for _, s := range hit {
			s.setFaults(serverFaults{})
		}
	}
}

// reuseAddress crashes a server whose address is then taken over by a server of another service. With
// probability 0.5 the entry of the crashed server is still in the store at that time.
func reuseAddress(h *harness, rng *rand.Rand, _ time.Duration) (string, func()) {
	s, other := h.pickServer(), h.pickServer()
	if s.service == other.service {
		return "", nil
	}
	h.removeServer(s)
	return fmt.Sprintf("%s of %s crashes; its address is reused by %s of %s", s.id, s.service, other.id, other.service), func() {
		s.replica.Close()
		s.proxy.reset()
		h.replaceServer(s)
		if rng.Float64() < 0.5 {
			h.writer.remove("servers/" + s.id)
		}
		time.Sleep(addressReuseDelay)
		s.proxy.retarget(other.replica.Addr())
		time.Sleep(addressReuseDelay)
		h.writer.remove("servers/" + s.id)
		s.proxy.close()
	}
}

func resetConns(h *harness, rng *rand.Rand, _ time.Duration) (string, func()) {
	h.mu.Lock()
	var hit []*server
	for _, s := range h.servers {
		if rng.Float64() < 0.5 {
			hit = append(hit, s)
		}
	}
	h.mu.Unlock()
	return fmt.Sprintf("connections to %d servers are reset", len(hit)), func() {
		for _, s := range hit {
			s.proxy.reset()
		}
	}
}

// reserveVM reserves a random VM's process for a fault. It returns nil if that process is in use by
// another fault.
func (h *harness) reserveVM(rng *rand.Rand) *vm {
	if v := randomElement(rng, h.vms); v.reserve() {
		return v
	}
	return nil
}

// reserve reserves the VM's process for a fault. It returns false if another fault uses the process.
func (v *vm) reserve() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	free := !v.busy
	v.busy = true
	return free
}

func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy = false
}

// hangUp makes the VM's process reload its settings.
func (v *vm) hangUp() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.up {
		_ = v.Signal(syscall.SIGHUP)
	}
}

// restartVM starts the VM's process again and releases the VM.
func (h *harness) restartVM(v *vm) {
	v.mu.Lock()
	v.up = false
	v.mu.Unlock()
	h.history.recordStart(v.id)
	if err := v.Start(h.cfg.Bin, h.dir, h.logs.newWriter()); err != nil {
		h.history.addViolation("soak: %s failed to start: %v", v.id, err)
	}
	v.release()
}

// stopSignals are the signals that a VM gets besides the SIGTERM that stops it.
type stopSignals struct {
	// before and after are SIGHUPs right before and right after SIGTERM.
	before, after bool
	// second is sent after delay, if it is not 0.
	second syscall.Signal
	delay  time.Duration
}

// drawSignals draws the signals of a stop. Without Config.Stops there are none.
func (h *harness) drawSignals(rng *rand.Rand) stopSignals {
	if !h.cfg.Stops {
		return stopSignals{}
	}
	second := randomElement(rng, []syscall.Signal{0, 0, syscall.SIGTERM, syscall.SIGHUP})
	return stopSignals{before: rng.IntN(3) == 0, after: rng.IntN(3) == 0, second: second, delay: time.Duration(rng.Int64N(int64(maxSecondSignal)))}
}

// stop stops a reserved VM gracefully, starts it again and releases it.
func (h *harness) stop(v *vm, signals stopSignals) {
	if signals.before {
		v.hangUp()
	}
	h.history.recordStop(v.id)
	_ = v.Signal(syscall.SIGTERM)
	if signals.after {
		v.hangUp()
	}
	if signals.second != 0 && !v.Wait(signals.delay) {
		_ = v.Signal(signals.second)
	}
	if !v.Wait(h.timeout(shutdownTimeout)) {
		h.history.addViolation("stop: %s is still running %v after SIGTERM", v.id, h.timeout(shutdownTimeout))
		v.Kill()
	}
	h.restartVM(v)
}

func stopVM(h *harness, rng *rand.Rand, _ time.Duration) (string, func()) {
	v := h.reserveVM(rng)
	if v == nil {
		return "", nil
	}
	signals := h.drawSignals(rng)
	return fmt.Sprintf("%s is stopped gracefully, signals %+v", v.id, signals), func() { h.stop(v, signals) }
}

// stopInTurn stops two or more VMs one after another, with less than a grace period in between. Other
// VMs reload their settings and the configuration changes meanwhile.
func stopInTurn(h *harness, rng *rand.Rand, _ time.Duration) (string, func()) {
	if len(h.vms) < 2 {
		return "", nil
	}
	order := rng.Perm(len(h.vms))[:2+rng.IntN(len(h.vms)-1)]
	text := "VMs are stopped in turn:"
	for _, i := range order {
		text += " " + h.vms[i].id
	}
	return text, func() {
		var wg sync.WaitGroup
		defer wg.Wait()
		for _, i := range order {
			signals, other := h.drawSignals(rng), randomElement(rng, h.vms)
			gap := time.Duration(rng.Int64N(2 * int64(meanStopSpan) / int64(len(h.vms))))
			if v := h.vms[i]; v.reserve() {
				wg.Go(func() { h.stop(v, signals) })
			}
			time.Sleep(gap / 2)
			other.hangUp()
			if rng.IntN(2) == 0 {
				h.writeConfig(rng)
			}
			time.Sleep(gap / 2)
		}
	}
}

// slowService makes all servers of a service slow.
func slowService(h *harness, rng *rand.Rand, lasts time.Duration) (string, func()) {
	t := serverFaults{slow: minSlowness + (maxSlowness-minSlowness)*rng.Float64()}
	return h.serviceFault(rng, t, 1, serviceFaultFactor*lasts)
}

// loseAnswers makes some servers of a service lose their answers.
func loseAnswers(h *harness, rng *rand.Rand, lasts time.Duration) (string, func()) {
	return h.serviceFault(rng, serverFaults{lose: true}, 0.3+0.7*rng.Float64(), serviceFaultFactor*lasts)
}

// serviceFault prepares a fault of the given share of the servers of one service, which is that of long
// requests in half of the cases.
func (h *harness) serviceFault(rng *rand.Rand, t serverFaults, share float64, lasts time.Duration) (string, func()) {
	service := longService
	if rng.IntN(2) == 0 {
		service = h.pickServer().service
	}
	var hit []*server
	h.mu.Lock()
	for _, s := range h.servers {
		if s.service == service && rng.Float64() < share {
			hit = append(hit, s)
		}
	}
	h.mu.Unlock()
	return fmt.Sprintf("%d servers of %s: %+v, for %v in all", len(hit), service, t, lasts), func() {
		for _, s := range hit {
			s.setFaults(t)
		}
		time.Sleep(lasts)
		for _, s := range hit {
			s.setFaults(serverFaults{})
		}
	}
}

func killVM(h *harness, rng *rand.Rand, lasts time.Duration) (string, func()) {
	v := h.reserveVM(rng)
	if v == nil {
		return "", nil
	}
	return v.id + " is killed", func() {
		done := h.history.beginProcessFault(v.id)
		v.Kill()
		done()
		time.Sleep(lasts)
		h.restartVM(v)
	}
}

func pauseVM(h *harness, rng *rand.Rand, lasts time.Duration) (string, func()) {
	v := h.reserveVM(rng)
	if v == nil {
		return "", nil
	}
	return v.id + " is paused", func() {
		done := h.history.beginProcessFault(v.id)
		_ = v.Signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		_ = v.Signal(syscall.SIGCONT)
		done()
		v.release()
	}
}

func reloadVM(h *harness, rng *rand.Rand, _ time.Duration) (string, func()) {
	v := h.reserveVM(rng)
	if v == nil {
		return "", nil
	}
	return v.id + " reloads its settings", func() {
		v.hangUp()
		v.release()
	}
}

// reconfigure writes one to four configuration versions in quick succession.
func reconfigure(h *harness, rng *rand.Rand, _ time.Duration) (string, func()) {
	n := 1 + rng.IntN(4)
	return fmt.Sprintf("%d new versions of the configuration", n), func() {
		for range n {
			h.writeConfig(rng)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func evacuate(h *harness, rng *rand.Rand, lasts time.Duration) (string, func()) {
	key := "op/evacuate/" + randomElement(rng, dataCentres)
	return key, func() {
		h.writer.put(key, []byte("{}"))
		time.Sleep(lasts)
		h.writer.remove(key)
	}
}

// waitRecovered waits until each VM gives complete answers to searches and executes writes. It returns
// false if that takes longer than recoveryTimeout.
func (h *harness) waitRecovered() bool {
	healed := time.Now()
	for time.Since(healed) < h.timeout(recoveryTimeout) {
		well := h.history.healthyVMs(healed)
		n := 0
		for _, v := range h.vms {
			if well[v.id] {
				n++
			}
		}
		if n == len(h.vms) {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}
