package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// cutTime is how long VMs are cut off from the store.
	cutTime = 4 * time.Second
	// sampleTime is the time in which the VMs that read the store are found by what they send to it.
	sampleTime = 2 * time.Second
	// contactTime is the time without a disturbance after which a VM must follow the store in time.
	contactTime = 4 * time.Second
	// readerPair is the number of VMs that are cut off at once, as many as read the store.
	readerPair = 2
	// secondCutProbability is the probability that the VMs that take over are cut off before the first cut ends.
	secondCutProbability = 0.7
	// vanishingServers is the number of servers that leave during a cut.
	vanishingServers = 2
)

// cutFaults are the faults of a soak with Config.Cuts. The store itself has none, so that a removal that it has
// acknowledged counts.
var cutFaults = []fault{
	cutReaders, cutReaders, cutReaders, cutReaders, vanishServer, vanishServer,
	serverFault, serverFault, crashServer, drainServer, stopVM, killVM, pauseVM, reloadVM, reconfigure, evacuate,
}

// readersOfTheStore returns the VMs, those that send most to the store first. It takes sampleTime.
func (h *harness) readersOfTheStore() []*vm {
	before, sent := make(map[*vm]int64), make(map[*vm]int64)
	for _, v := range h.vms {
		before[v] = v.store.sent.Load()
	}
	time.Sleep(sampleTime)
	for _, v := range h.vms {
		sent[v] = v.store.sent.Load() - before[v]
	}
	list := slices.Clone(h.vms)
	slices.SortFunc(list, func(a, b *vm) int { return cmp.Compare(sent[b], sent[a]) })
	return list
}

// cutReaders cuts the VMs that read the store off from it, and often those that take over too, so that the cuts
// overlap. Servers leave meanwhile.
func cutReaders(h *harness, rng *rand.Rand, _ time.Duration) (string, func()) {
	if len(h.vms) <= 2*readerPair || !h.cutting.CompareAndSwap(false, true) {
		return "", nil
	}
	second := rng.Float64() < secondCutProbability
	gap := time.Duration(rng.Int64N(int64(cutTime - sampleTime)))
	leave := time.Duration(rng.Int64N(int64(cutTime)))
	text := fmt.Sprintf("readers are cut off from the store, the next ones: %v, after %v; servers leave after %v", second, sampleTime+gap, leave)
	return text, func() {
		defer h.cutting.Store(false)
		var wg sync.WaitGroup
		defer wg.Wait()
		cut := func(list []*vm) {
			for _, v := range list {
				wg.Go(func() { v.store.setFor(modeStall, cutTime) })
			}
		}
		first := h.readersOfTheStore()[:readerPair]
		cut(first)
		wg.Go(func() {
			time.Sleep(leave)
			for range vanishingServers {
				if list := h.serversOf("single"); len(list) > 0 {
					h.vanish(randomElement(rng, list), rng)
				}
			}
		})
		if second {
			time.Sleep(gap)
			next := slices.DeleteFunc(h.readersOfTheStore(), func(v *vm) bool { return slices.Contains(first, v) })
			cut(next[:readerPair])
		}
	}
}

func vanishServer(h *harness, rng *rand.Rand, _ time.Duration) (string, func()) {
	s := h.pickServer()
	h.removeServer(s)
	return fmt.Sprintf("%s of %s leaves without a report", s.id, s.service), func() { h.vanish(s, rng) }
}

// vanish removes the entry of a server, which serves on for longer than drainTime. The other servers of its service
// refuse half of the requests meanwhile, so that there is a use for a last resort.
func (h *harness) vanish(s *server, rng *rand.Rand) {
	h.removeServer(s)
	others := h.serversOf(s.service)
	serves := drainTime + time.Duration(rng.Int64N(int64(drainTime)))
	for _, o := range others {
		o.setFaults(serverFaults{shed: 0.5})
	}
	h.writer.remove("servers/" + s.id)
	h.history.recordGone(s)
	time.AfterFunc(serves, func() {
		for _, o := range others {
			o.setFaults(serverFaults{})
		}
		s.proxy.close()
		s.replica.Close()
		h.replaceServer(s)
	})
}

// serversOf returns the servers of a service among those that run.
func (h *harness) serversOf(service string) []*server {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*server
	for _, s := range h.servers {
		if s.service == service {
			list = append(list, s)
		}
	}
	return list
}

// recordGone records that the store has removed the entry of a server.
func (b *history) recordGone(s *server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gone[s.id] = time.Now()
}

// inTouch reports whether a VM has run undisturbed, with its link to the store, for contactTime before a time. The
// caller must hold b.mu.
func (b *history) inTouch(vm string, at time.Time) bool {
	since := at.Add(-contactTime)
	return !slices.ContainsFunc(b.stops[vm], since.Before) && b.undisturbedSince(vm, since) && b.links[vm].calmSince(since)
}

// checkGone checks that a server whose entry is gone gets no request after drainTime from a VM in touch. The caller must
// hold b.mu.
func (b *history) checkGone(q *request, a arrival) {
	gone := b.gone[a.server.id]
	if !gone.IsZero() && a.at.Sub(gone) > b.drainLimit && b.inTouch(q.vm, a.at) {
		b.addViolationLocked("gone server: %s of %s got request %s at %s, %v after its entry was removed", a.server.id, a.server.service, q.id, q.vm, a.at.Sub(gone))
	}
}
