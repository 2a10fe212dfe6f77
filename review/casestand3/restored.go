//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	restoreHost = "leno12.example"
	restorePath = "/book/"
	// settleTime is the time after the start in which the system writes the last of what it keeps in the store.
	settleTime = 15 * time.Second
	// copyAge is the age of the copy from which the store comes back, and awayTime the time for which it is away.
	copyAge  = 5 * time.Second
	awayTime = time.Second
	// calmTime is the time between the return of the store and the next change. It is longer than contact_ms.
	calmTime = 8 * time.Second
	// Bounds of the small deployments.
	configApply = 3 * time.Second
	drainTime   = 3 * time.Second
	evacuate    = 5 * time.Second
	// evacuated is the zone that is evacuated.
	evacuated = "bole"
)

// drill is what the cases have in common in which the store comes back from a copy.
type drill struct {
	rec     *record
	store   *store
	fleet   *fleet
	callers *callers
	runs    runs
	answers statuses
	servers []*replica
	// work is the time that a replica needs for a request.
	work time.Duration
	// procs holds the replicas that run as processes.
	procMu sync.Mutex
	procs  []*process
	wg     sync.WaitGroup
}

func newDrill(rec *record) (*drill, error) {
	s, err := newStore(rec)
	if err != nil {
		return nil, err
	}
	d := &drill{rec: rec, store: s, callers: newCallers(rec), work: 60 * time.Millisecond}
	d.fleet, err = newFleet(rec, s.addr, 7)
	return d, err
}

func (d *drill) end() {
	d.wg.Wait()
	if d.fleet != nil {
		d.fleet.end()
	}
	for _, p := range d.servers {
		p.stop()
	}
	d.store.close()
}

// addReplica starts a replica and registers it.
func (d *drill) addReplica(id, service, zone string, warmup time.Duration) (*replica, error) {
	p := &replica{id: id, service: service, zone: zone, work: d.work, store: d.store, rec: d.rec, runs: &d.runs, warmup: warmup}
	if err := p.start(); err != nil {
		return nil, err
	}
	d.servers = append(d.servers, p)
	return p, nil
}

// configure writes a configuration whose only route goes to a service, and returns the time of the acknowledgement.
func (d *drill) configure(version int, service string) time.Time {
	return d.configureRoutes(version, [][2]string{{restorePath, service}})
}

// configureRoutes is like configure for several routes, each a path prefix and a service.
func (d *drill) configureRoutes(version int, list [][2]string) time.Time {
	routes := make([]string, len(list))
	for i, r := range list {
		routes[i] = fmt.Sprintf(`{"name":"r-%d","hostname":%q,"path_prefix":%q,"type":"non_idempotent","timeout_ms":1500,`+
			`"target_latency_ms":250,"priority":2,"service":%q,"max_attempts":2}`, i+1, restoreHost, r[0], r[1])
	}
	d.store.put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],`+
		`"services":[{"name":"reservations","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"warmup_s":3,"warmup_per_s":0},`+
		`{"name":"returns-desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"warmup_s":3,"warmup_per_s":0}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, strings.Join(routes, ",")))
	d.rec.notef("configuration %d acknowledged: %v", version, list)
	return time.Now()
}

// load sends a request for path to each machine at every interval until ctx ends, as many users do who don't know of each
// other.
func (d *drill) load(ctx context.Context, interval time.Duration, path string) {
	for i, v := range d.fleet.vms {
		d.wg.Go(func() {
			pause(ctx, interval*time.Duration(i)/time.Duration(len(d.fleet.vms)))
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					d.wg.Go(func() {
						d.callers.send(context.Background(), v, "POST", restoreHost, path+"1", 1500*time.Millisecond, []byte("a hall"))
					})
				}
			}
		})
	}
}

// prepare starts replicas of both services, the first configuration and the machines, and waits until the system has
// nothing more to write.
func (d *drill) prepare(ctx context.Context) error {
	for i, zone := range []string{"bole", "piassa", "merkato"} {
		for _, service := range []string{"reservations", "returns-desk"} {
			if _, err := d.addReplica(fmt.Sprintf("i-%s-%d", service, i+1), service, zone, 0); err != nil {
				return err
			}
		}
	}
	d.configure(3, "reservations")
	if err := d.fleet.start(); err != nil {
		return err
	}
	pause(ctx, settleTime)
	return ctx.Err()
}

// change does what happens in the seconds that the copy lacks: a replica starts, and a version of the configuration
// comes that leaves the route as it is.
func (d *drill) change(ctx context.Context) error {
	if _, err := d.addReplica("i-reservations-4", "reservations", "bole", 2*heartbeat+heartbeat/2); err != nil {
		return err
	}
	pause(ctx, 4*heartbeat-heartbeat/2)
	d.configure(5, "reservations")
	return nil
}

// restore takes the store away for a moment and brings it back from a copy of the given time. The operator then writes
// the newest configuration again; the replicas write their entries again with their next heartbeat.
func (d *drill) restore(ctx context.Context, moment time.Time) error {
	d.rec.notef("store is away")
	config := d.store.get("op/config")
	d.store.close()
	pause(ctx, awayTime)
	if err := d.store.restore(moment); err != nil {
		return err
	}
	pause(ctx, 500*time.Millisecond)
	d.store.put("op/config", config)
	d.rec.notef("operator has written its newest configuration again")
	return nil
}

// disrupt runs the changes and, if trouble is true, the drill that loses them, and waits until all is calm.
func (d *drill) disrupt(ctx context.Context, trouble bool) error {
	moment := time.Now()
	if err := d.change(ctx); err != nil {
		return err
	}
	pause(ctx, time.Until(moment.Add(copyAge)))
	if trouble {
		if err := d.restore(ctx, moment); err != nil {
			return err
		}
	}
	pause(ctx, calmTime)
	return ctx.Err()
}

// restoredConfig shows whether a configuration is in force everywhere that comes after the store has come back from a
// copy: CONFIG.
func restoredConfig(ctx context.Context, rec *record, trouble bool) error {
	d, err := newDrill(rec)
	if err != nil {
		return err
	}
	defer d.end()
	if err := d.prepare(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.load(ctx, 100*time.Millisecond, restorePath)
	if err := d.disrupt(ctx, trouble); err != nil {
		return err
	}
	acked := d.configure(8, "returns-desk")
	pause(ctx, configApply+5*time.Second)
	// The replicas of the old service are taken away once the version is due everywhere.
	for _, p := range d.servers {
		if p.service == "reservations" {
			p.drain()
		}
	}
	pause(ctx, drainTime+2*time.Second)
	gone := time.Now()
	for _, p := range d.servers {
		if p.service == "reservations" {
			p.leave()
		}
	}
	pause(ctx, 8*time.Second)
	if err := ctx.Err(); err != nil {
		return err
	}
	cancel()
	d.wg.Wait()
	return d.judgeConfig(acked, gone)
}

// judgeConfig checks that requests sent later than config_apply_ms after the acknowledgement run at the new service.
func (d *drill) judgeConfig(acked, gone time.Time) error {
	services := make(map[string]string)
	for _, r := range d.runs.all() {
		services[r.id] = r.service
	}
	due, old, lost, lostAfter := 0, 0, 0, 0
	machines := make(map[string]bool)
	for _, x := range d.callers.all() {
		if x.at.Before(acked.Add(configApply)) {
			continue
		}
		due++
		switch {
		case services[x.id] == "reservations":
			old++
			machines[x.vm] = true
		case x.status != 200:
			lost++
			if x.at.After(gone) {
				lostAfter++
			}
		}
	}
	d.rec.notef("of %d requests sent later than config_apply_ms after the acknowledgement of version 8, the old service ran %d, from %d of %d machines",
		due, old, len(machines), len(d.fleet.vms))
	d.rec.notef("%d of them were not served at all, %d of these after the old replicas had left", lost, lostAfter)
	if due == 0 {
		return fmt.Errorf("no requests")
	}
	if old > 0 {
		return fmt.Errorf("%w: CONFIG", errBroken)
	}
	return nil
}

// restoredEvacuation shows whether all machines leave the replicas of a zone alone whose evacuation is asked for after the
// store has come back from a copy: EVAC.
func restoredEvacuation(ctx context.Context, rec *record, trouble bool) error {
	d, err := newDrill(rec)
	if err != nil {
		return err
	}
	defer d.end()
	d.work = 220 * time.Millisecond
	if err := d.prepare(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.load(ctx, 100*time.Millisecond, restorePath)
	if err := d.disrupt(ctx, trouble); err != nil {
		return err
	}
	d.store.put("op/evacuate/"+evacuated, []byte("{}"))
	acked := time.Now()
	rec.notef("evacuation of %s acknowledged", evacuated)
	pause(ctx, evacuate+6*time.Second)
	// The zone is taken down, which is what it was evacuated for.
	down := time.Now()
	for _, p := range d.servers {
		if p.zone == evacuated {
			p.stop()
		}
	}
	rec.notef("replicas of %s are taken down", evacuated)
	pause(ctx, 4*time.Second)
	if err := ctx.Err(); err != nil {
		return err
	}
	cancel()
	d.wg.Wait()
	return d.judgeEvacuation(acked, down)
}

// judgeEvacuation checks that no request reached a replica of the zone later than evacuate_ms after the acknowledgement.
func (d *drill) judgeEvacuation(acked, down time.Time) error {
	zones, ran := make(map[string]string), make(map[string]bool)
	for _, p := range d.servers {
		zones[p.id] = p.zone
	}
	late := 0
	for _, r := range d.runs.all() {
		if zones[r.replica] == evacuated && r.at.After(acked.Add(evacuate)) {
			late++
			ran[r.id] = true
		}
	}
	machines := make(map[string]bool)
	lost := 0
	for _, x := range d.callers.all() {
		if !ran[x.id] {
			continue
		}
		machines[x.vm] = true
		if x.status != 200 && x.at.Before(down.Add(time.Second)) {
			lost++
		}
	}
	d.rec.notef("%d requests reached replicas of %s later than evacuate_ms after the acknowledgement, from %d of %d machines; %d of them were cut off as the zone went down",
		late, evacuated, len(machines), len(d.fleet.vms), lost)
	if late > 0 {
		return fmt.Errorf("%w: EVAC", errBroken)
	}
	return nil
}
