package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"time"
)

const (
	// warmupTime and warmupRate are warmup_s and warmup_per_s of the service; warmupBound is the number of requests that a
	// cold replica may get in a second: warmupRate x warmup_overshoot + warmup_slack.
	warmupTime  = 3 * time.Second
	warmupRate  = 10
	warmupBound = 20
	// coldLimit is the rate, well above the tolerated one, at which a cold replica crashes.
	coldLimit = 2 * warmupBound
	// storeOutage is the time for which the store is down, and crashTime that for which a replica is.
	storeOutage = 5 * time.Second
	crashTime   = 1500 * time.Millisecond
	// interval is the time between two requests to a machine.
	interval = 35 * time.Millisecond
)

// coldStart shows whether a replica that has started again under its ID while the store is down gets no more than a cold
// replica bears: FAILBACK.
func coldStart(ctx context.Context, rec *record, trouble bool) error {
	d, err := newDrill(rec)
	if err != nil {
		return err
	}
	defer d.end()
	d.work, d.warmupRate = 20*time.Millisecond, warmupRate
	if err := d.prepare(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.load(ctx, interval)
	pause(ctx, 5*time.Second)
	if trouble {
		rec.notef("store is down")
		d.store.close()
	}
	pause(ctx, time.Second)
	var again []*replica
	for _, old := range d.servers {
		if old.service == "reservations" {
			old.stop()
			again = append(again, &replica{
				id: old.id, service: old.service, zone: old.zone, addr: old.addr, work: d.work, store: d.store, rec: rec, runs: &d.runs, warmup: warmupTime,
			})
		}
	}
	rec.notef("the replicas of reservations crash")
	pause(ctx, crashTime)
	for _, p := range again {
		p.reply = p.crashIfCold
		if err := p.start(); err != nil {
			return err
		}
		d.servers = append(d.servers, p)
	}
	rec.notef("they are back under their IDs, cold for %v", warmupTime)
	pause(ctx, storeOutage-time.Second-crashTime)
	if trouble {
		if err := d.store.open(); err != nil {
			return err
		}
		rec.notef("store is back")
	}
	pause(ctx, 5*time.Second)
	if err := ctx.Err(); err != nil {
		return err
	}
	cancel()
	d.wg.Wait()
	return d.judgeCold(again)
}

// crashIfCold makes a cold replica crash if it gets far more requests in a second than it tolerates.
func (p *replica) crashIfCold(http.ResponseWriter, *http.Request) bool {
	now := time.Now()
	p.mu.Lock()
	p.arrivals = append(p.arrivals, now)
	n := len(p.arrivals) - sort.Search(len(p.arrivals), func(i int) bool { return now.Sub(p.arrivals[i]) < time.Second })
	p.mu.Unlock()
	if now.Sub(p.born) < p.warmup && n > coldLimit && p.crashed.CompareAndSwap(false, true) {
		p.rec.notef("cold replica %s crashes: %d requests in a second", p.id, n)
		go p.stop()
		return true
	}
	return false
}

// judgeCold checks the requests that reached a replica within any second while it was cold.
func (d *drill) judgeCold(list []*replica) error {
	most := 0
	for _, p := range list {
		n := p.mostInASecond()
		d.rec.notef("cold replica %s got at most %d requests in a second, %d are allowed", p.id, n, warmupBound)
		most = max(most, n)
	}
	lost := 0
	for _, x := range d.callers.all() {
		if x.at.After(list[0].born) && x.status != http.StatusOK && x.status != http.StatusServiceUnavailable {
			lost++
		}
	}
	d.rec.notef("%d requests sent since then were neither served nor refused", lost)
	if most > warmupBound {
		return fmt.Errorf("%w: FAILBACK", errBroken)
	}
	return nil
}

// mostInASecond returns the largest number of requests that reached the replica within a second while it was cold.
func (p *replica) mostInASecond() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most, first := 0, 0
	for i, at := range p.arrivals {
		if at.Sub(p.born) >= p.warmup {
			break
		}
		for at.Sub(p.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
