// Package coordinator builds a view of the fleet from the membership, the VM list and the configuration. It
// takes over and releases backend servers as the view changes.
package coordinator

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonylock/ebonylock/modules/lister"
	"github.com/ebonylock/ebonylock/modules/locator"
	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/recorder"
	"github.com/ebonylock/ebonylock/services/configurer"
	"github.com/ebonylock/ebonylock/services/dispatcher"
	"github.com/ebonylock/ebonylock/services/gossiper"
	"github.com/ebonylock/ebonylock/services/linker"
	"github.com/ebonylock/ebonylock/services/scatterer"
	"github.com/ebonylock/ebonylock/services/submitter"
)

const (
	listInterval  = 2 * time.Second
	listTimeout   = time.Second
	stateInterval = time.Second
	claimInterval = 60 * time.Millisecond
	claimTimeout  = 300 * time.Millisecond
	fetchTimeout  = time.Second
	// readyTimeout is the time after which a VM counts as ready although some of its own servers are
	// still closed, as callers can reach the other servers through it.
	readyTimeout = 3 * time.Second
	// watchersPerCentre is the number of VMs in each data centre that watch the store.
	watchersPerCentre = 2
)

// ListReader reads the platform's list of VMs and backend servers.
type ListReader interface {
	Read(deadline time.Time) (lister.List, error)
}

// Coordinator maintains one VM's view of the fleet.
type Coordinator struct {
	self       string
	ring       *recorder.Ring
	lists      ListReader
	dispatch   *dispatcher.Dispatcher
	config     *configurer.Configurer
	gossip     *gossiper.Gossiper
	link       *linker.Linker
	submit     *submitter.Submitter
	quarantine *quarantiner.Tracker

	view atomic.Pointer[locator.View]
	// rebuildRequests has room for one pending request to rebuild the view.
	rebuildRequests chan struct{}
	// started is closed once the dependencies are set. Calls from other components wait for it.
	started chan struct{}
	// fetching is true while a configuration is being fetched from another VM.
	fetching atomic.Bool

	// ownMu keeps closed consistent with the state of the dispatcher.
	ownMu sync.Mutex

	mu       sync.Mutex
	list     lister.List
	haveList bool
	draining bool
	// quietUntil is the end of the quiet period. Before it, this VM opens no server and reports every
	// claimed server as held, as an earlier process of the same VM may still have runs in progress.
	quietUntil time.Time
	// diedAt holds the time at which each dead member was declared dead.
	diedAt map[string]time.Time
	// closed holds the servers that this VM owns but has not opened.
	closed []string
}

// Dependencies are the components that a Coordinator uses.
type Dependencies struct {
	Self       string
	Ring       *recorder.Ring
	Lists      ListReader
	Dispatch   *dispatcher.Dispatcher
	Config     *configurer.Configurer
	Gossip     *gossiper.Gossiper
	Link       *linker.Linker
	Submit     *submitter.Submitter
	Quarantine *quarantiner.Tracker
}

// New returns a Coordinator without its dependencies, as these need a reference to the Coordinator
// themselves. Run sets them.
func New(self string) *Coordinator {
	return &Coordinator{
		self:            self,
		rebuildRequests: make(chan struct{}, 1),
		started:         make(chan struct{}),
		diedAt:          make(map[string]time.Time),
	}
}

// Run sets the dependencies and runs the background loops until ctx ends.
func (c *Coordinator) Run(ctx context.Context, deps Dependencies) {
	c.ring, c.lists, c.dispatch, c.config = deps.Ring, deps.Lists, deps.Dispatch, deps.Config
	c.gossip, c.link, c.submit, c.quarantine = deps.Gossip, deps.Link, deps.Submit, deps.Quarantine
	c.startQuietPeriod(time.Now())
	close(c.started)
	var wg sync.WaitGroup
	wg.Go(func() { c.readLists(ctx) })
	wg.Go(func() { c.rebuildLoop(ctx) })
	wg.Go(func() { c.claimLoop(ctx) })
	wg.Go(func() { runEvery(ctx, stateInterval, c.dispatch.Poll) })
	wg.Go(func() { c.config.Run(ctx, c.isWatcher) })
	wg.Wait()
}

// runEvery calls f at each interval d until ctx ends.
func runEvery(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// startQuietPeriod starts the quiet period at now. This VM opens no server until it is over.
func (c *Coordinator) startQuietPeriod(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quietUntil = now.Add(c.dispatch.TakeoverDelay())
}

// View returns the current view, or nil before the first one was built.
func (c *Coordinator) View() *locator.View {
	return c.view.Load()
}

// Ready reports whether this VM can serve callers.
func (c *Coordinator) Ready() bool {
	v := c.View()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if v == nil || len(v.Servers) == 0 || c.draining || now.Before(c.quietUntil) {
		return false
	}
	return len(c.closed) == 0 || now.Sub(c.quietUntil) > readyTimeout
}

// Owner returns the local dispatcher or the client for another VM of the view.
func (c *Coordinator) Owner(vm string) scatterer.Owner {
	if vm == c.self {
		return c.dispatch
	}
	v := c.View()
	return c.link.Remote(v.VMs[vm].Link)
}

// Remote returns the client for a member.
func (c *Coordinator) Remote(m prober.Member) submitter.Remote {
	return c.link.Remote(m.Link)
}

// rebuild requests a rebuild of the view unless one is pending already.
func (c *Coordinator) rebuild() {
	select {
	case c.rebuildRequests <- struct{}{}:
	default:
	}
}

func (c *Coordinator) rebuildLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.rebuildRequests:
			c.rebuildNow(time.Now())
		}
	}
}

// rebuildNow builds the view, provided that the configuration and the VM list are known.
func (c *Coordinator) rebuildNow(now time.Time) {
	cfg, known := c.config.Current()
	c.mu.Lock()
	list, haveList := c.list, c.haveList
	c.mu.Unlock()
	if !known || !haveList {
		return
	}
	v := locator.Build(locator.Input{Self: c.self, Config: cfg, Members: c.gossip.Members(), List: list})
	first := c.view.Swap(v) == nil
	c.applyOwnership(now, v)
	if first {
		c.ring.Record(now, recorder.Ready, c.self, "configuration and VM list are known")
	}
}

// applyOwnership takes over and releases servers according to the view.
func (c *Coordinator) applyOwnership(now time.Time, v *locator.View) {
	c.ownMu.Lock()
	defer c.ownMu.Unlock()
	closed := c.dispatch.SetOwned(now, v.Owned(), v.Shares)
	c.mu.Lock()
	c.closed = closed
	c.mu.Unlock()
}

// readLists reads the platform's list at random intervals around listInterval until ctx ends.
func (c *Coordinator) readLists(ctx context.Context) {
	for {
		list, err := c.lists.Read(time.Now().Add(listTimeout))
		if err == nil {
			c.applyList(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listInterval/2 + time.Duration(rand.Int64N(int64(listInterval)))):
		}
	}
}

// applyList stores the list. If it has changed, it also sets the seeds and rebuilds the view.
func (c *Coordinator) applyList(list lister.List) {
	c.mu.Lock()
	changed := !c.haveList || !slices.Equal(list.VMs, c.list.VMs) || !slices.Equal(list.BackendServers, c.list.BackendServers)
	malformed := list.Malformed != c.list.Malformed
	c.list, c.haveList = list, true
	c.mu.Unlock()
	if malformed {
		c.ring.Record(time.Now(), recorder.ListMalformed, "backend-servers", strconv.Itoa(list.Malformed)+" malformed entries left out")
	}
	if !changed {
		return
	}
	var seeds []netip.AddrPort
	for _, vm := range list.VMs {
		if vm.ID != c.self {
			seeds = append(seeds, vm.Gossip)
		}
	}
	c.gossip.SetSeeds(seeds)
	c.rebuild()
}

// ConfigChanged announces a new configuration revision to the fleet and rebuilds the view.
func (c *Coordinator) ConfigChanged(cfg planner.Config) {
	<-c.started
	c.gossip.SetRevision(cfg.Revision)
	c.rebuild()
}

// MembersChanged implements gossiper.Observer. It rebuilds the view if a change affects ownership.
func (c *Coordinator) MembersChanged(now time.Time, changes []prober.Change) {
	<-c.started
	affected := false
	for _, ch := range changes {
		c.recordMember(now, ch.Member)
		affected = affected || ch.New || ch.Drain || (ch.Before < prober.Dead) != (ch.Member.State < prober.Dead)
	}
	if affected {
		c.rebuild()
	}
}

var memberEvents = map[prober.State]recorder.Kind{
	prober.Alive:   recorder.VMAlive,
	prober.Suspect: recorder.VMSuspect,
	prober.Dead:    recorder.VMDead,
	prober.Left:    recorder.VMLeft,
}

// recordMember records the state of a member, and closes the connection to one that is dead or has left.
func (c *Coordinator) recordMember(now time.Time, m prober.Member) {
	c.ring.Record(now, memberEvents[m.State], m.ID, m.DataCentre)
	c.mu.Lock()
	if m.State == prober.Dead {
		c.diedAt[m.ID] = now
	} else {
		delete(c.diedAt, m.ID)
	}
	c.mu.Unlock()
	if m.State >= prober.Dead {
		go c.link.Drop(m.Link)
	}
}

// RevisionSeen implements gossiper.Observer. It fetches the configuration of a VM that announces a higher
// revision, one fetch at a time.
func (c *Coordinator) RevisionSeen(vm string, revision uint64) {
	<-c.started
	cfg, known := c.config.Current()
	if known && revision <= cfg.Revision || revision == 0 || !c.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.fetching.Store(false)
		c.fetch(vm)
	}()
}

// fetch reads and adopts the configuration of a VM. Errors are ignored, as every further packet of
// the VM announces its revision again.
func (c *Coordinator) fetch(vm string) {
	for _, m := range c.gossip.Members() {
		if m.ID != vm || m.State >= prober.Dead {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		raw, err := c.link.Remote(m.Link).Config(ctx)
		if err == nil && len(raw) > 0 {
			_ = c.config.Adopt(raw)
		}
		return
	}
}

// Paused implements gossiper.Observer. It closes all servers after this process was suspended or cut off from
// the fleet, and starts a new quiet period.
func (c *Coordinator) Paused(now time.Time, _ time.Duration) {
	<-c.started
	c.dispatch.Reset(now)
	c.startQuietPeriod(now)
	c.rebuild()
}

// isWatcher reports whether this VM is one of the watchersPerCentre VMs of its data centre that watch the
// store. All VMs with the same view of the members choose the same ones.
func (c *Coordinator) isWatcher() bool {
	type ranked struct {
		id   string
		rank uint64
	}
	var all []ranked
	var dc string
	members := c.gossip.Members()
	for _, m := range members {
		if m.ID == c.self {
			dc = m.DataCentre
		}
	}
	for _, m := range members {
		if m.DataCentre == dc && m.State == prober.Alive {
			all = append(all, ranked{m.ID, xxhash.Sum64String("watch " + m.ID)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	i := slices.IndexFunc(all, func(r ranked) bool { return r.id == c.self })
	return i >= 0 && i < watchersPerCentre
}
