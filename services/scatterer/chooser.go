package scatterer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadShards is the number of locks over the servers' loads.
	loadShards = 64
	// loadHalfLife is the time after which a load that was heard counts half.
	loadHalfLife = 30 * time.Millisecond
	// failedLoad is the load assumed of a server after a failure.
	failedLoad = 8
	// failedHalfLife is the time after which a failure counts half.
	failedHalfLife = 250 * time.Millisecond
	// tieNoise spreads choices between servers of the same load.
	tieNoise = 0.25
)

// loadTracker picks replicas by the load last heard of and the work that this VM has under
// way. The zero value is ready for use.
type loadTracker struct {
	shards [loadShards]loadShard
}

type loadShard struct {
	mu    sync.Mutex
	loads map[string]*load
}

type load struct {
	reported   float64
	reportedAt time.Time
	halfLife   time.Duration
	// lastEvent is the time of the last event from an owner.
	lastEvent time.Time
	// inFlight is the number of this VM's own tries at the server.
	inFlight int
}

func (c *loadTracker) update(server string, f func(*load)) {
	s := &c.shards[xxhash.Sum64String(server)%loadShards]
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

func (c *loadTracker) begin(server string) {
	c.update(server, func(l *load) { l.inFlight++ })
}

func (c *loadTracker) finish(server string) {
	c.update(server, func(l *load) { l.inFlight-- })
}

// report takes in a load that an owner told.
func (c *loadTracker) report(server string, v float64, now time.Time) {
	c.update(server, func(l *load) { l.reported, l.reportedAt, l.halfLife = v, now, loadHalfLife })
}

// recordEvent takes in that an owner has sent an event.
func (c *loadTracker) recordEvent(owner string, now time.Time) {
	c.update(owner, func(l *load) { l.lastEvent = now })
}

// silent reports whether an owner has sent no event for d.
func (c *loadTracker) silent(owner string, d time.Duration, now time.Time) bool {
	var lastEvent time.Time
	c.update(owner, func(l *load) { lastEvent = l.lastEvent })
	return now.Sub(lastEvent) >= d
}

// reportFailure makes the server look loaded for a while.
func (c *loadTracker) reportFailure(server string, now time.Time) {
	c.update(server, func(l *load) { l.reported, l.reportedAt, l.halfLife = failedLoad, now, failedHalfLife })
}

// score is the expected load of a server now.
func (c *loadTracker) score(server string, now time.Time) float64 {
	var v float64
	c.update(server, func(l *load) {
		age := float64(now.Sub(l.reportedAt)) / float64(l.halfLife)
		v = l.reported*math.Exp2(-age) + float64(l.inFlight)
	})
	return v
}

// leastLoaded returns the server with the lowest score, its owner's included, and that score;
// without servers it returns an empty ID.
func (c *loadTracker) leastLoaded(servers []string, owners map[string]string, now time.Time) (string, float64) {
	var id string
	lowest := math.Inf(1)
	for _, s := range servers {
		v := c.score(s, now) + c.score(owners[s], now)
		if noisy := v + tieNoise*rand.Float64(); noisy < lowest {
			id, lowest = s, noisy
		}
	}
	return id, lowest
}
