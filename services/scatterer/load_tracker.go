package scatterer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadShards is the number of shards of the load table, each with its own lock.
	loadShards = 64
	// loadHalfLife is the half-life of a reported load.
	loadHalfLife = 30 * time.Millisecond
	// failedLoad is the load assumed for a server or owner after a failure.
	failedLoad = 8
	// failedHalfLife is the half-life of failedLoad.
	failedHalfLife = 250 * time.Millisecond
	// tieNoise is the maximum random addition to a score. It spreads the choices among servers of
	// about the same load.
	tieNoise = 0.25
)

// loadTracker chooses replicas by their last reported load and by the attempts that this VM has
// in flight there. It tracks owners in the same way. The zero value is ready for use.
type loadTracker struct {
	shards [loadShards]loadShard
}

// loadShard is the part of the load table that one lock guards.
type loadShard struct {
	mu    sync.Mutex
	loads map[string]*load
}

// load is what is known about the load of a server or an owner.
type load struct {
	reported   float64
	reportedAt time.Time
	halfLife   time.Duration
	// lastEvent is the time of the last event from an owner.
	lastEvent time.Time
	// inFlight is the number of this VM's own attempts at the server.
	inFlight int
}

// update calls f with the load of a server or owner, under the lock of its shard.
func (t *loadTracker) update(server string, f func(*load)) {
	s := &t.shards[xxhash.Sum64String(server)%loadShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loads == nil {
		s.loads = make(map[string]*load)
	}
	l := s.loads[server]
	if l == nil {
		l = &load{halfLife: loadHalfLife}
		s.loads[server] = l
	}
	f(l)
}

// begin counts an attempt sent to the server.
func (t *loadTracker) begin(server string) {
	t.update(server, func(l *load) { l.inFlight++ })
}

// finish counts an attempt that has ended or was cancelled.
func (t *loadTracker) finish(server string) {
	t.update(server, func(l *load) { l.inFlight-- })
}

// report records a load that an owner reported for a server.
func (t *loadTracker) report(server string, v float64, now time.Time) {
	t.update(server, func(l *load) { l.reported, l.reportedAt, l.halfLife = v, now, loadHalfLife })
}

// recordEvent records that an owner has sent an event.
func (t *loadTracker) recordEvent(owner string, now time.Time) {
	t.update(owner, func(l *load) { l.lastEvent = now })
}

// silent reports whether an owner has sent no event for d.
func (t *loadTracker) silent(owner string, d time.Duration, now time.Time) bool {
	var lastEvent time.Time
	t.update(owner, func(l *load) { lastEvent = l.lastEvent })
	return now.Sub(lastEvent) >= d
}

// reportFailure makes a server or owner count as loaded for a while.
func (t *loadTracker) reportFailure(server string, now time.Time) {
	t.update(server, func(l *load) { l.reported, l.reportedAt, l.halfLife = failedLoad, now, failedHalfLife })
}

// score returns the estimated load of a server or owner at now.
func (t *loadTracker) score(server string, now time.Time) float64 {
	var v float64
	t.update(server, func(l *load) {
		age := float64(now.Sub(l.reportedAt)) / float64(l.halfLife)
		v = l.reported*math.Exp2(-age) + float64(l.inFlight)
	})
	return v
}

// leastLoaded returns the server with the lowest score, to which the score of its owner is added,
// and that score. If there are no servers, the ID is empty.
func (t *loadTracker) leastLoaded(servers []string, owners map[string]string, now time.Time) (string, float64) {
	var id string
	lowest := math.Inf(1)
	for _, s := range servers {
		v := t.score(s, now) + t.score(owners[s], now)
		if noisy := v + tieNoise*rand.Float64(); noisy < lowest {
			id, lowest = s, noisy
		}
	}
	return id, lowest
}
