// Package coordinator ties membership, the VM list and the configuration into one view of
// the fleet, and takes over and gives up backend servers as the view changes.
package coordinator

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
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
	// readyAnyway is the time after which a VM counts as ready although some of the
	// servers that it owns are closed; others can still be reached through it.
	readyAnyway = 3 * time.Second
	// watchersPerCentre is the number of VMs in a data centre that hold a watch on the store.
	watchersPerCentre = 2
)

// ListReader reads the platform's list.
type ListReader interface {
	Read(deadline time.Time) (lister.List, error)
}

// Coordinator holds the view of one VM.
type Coordinator struct {
	self     string
	ring     *recorder.Ring
	lists    ListReader
	dispatch *dispatcher.Dispatcher
	config   *configurer.Configurer
	gossip   *gossiper.Gossiper
	link     *linker.Linker
	submit   *submitter.Submitter
	losses   *quarantiner.Tracker

	view atomic.Pointer[locator.View]
	// rebuilds holds at most one request for a new view.
	rebuilds chan struct{}
	// started is closed once the parts are set; calls from outside wait for it.
	started chan struct{}
	// fetching is true while a configuration is being fetched from another VM.
	fetching atomic.Bool

	// ownMu keeps the closed servers in step with the dispatcher's.
	ownMu sync.Mutex

	mu       sync.Mutex
	list     lister.List
	haveList bool
	draining bool
	// settled is the time before which this VM opens no server and answers every claim
	// as held: a former process of the same VM may have runs under way.
	settled time.Time
	// diedAt is the time at which each dead member was declared dead.
	diedAt map[string]time.Time
	// closed are the servers owned but not open.
	closed []string
}

// Parts are what a Coordinator works with.
type Parts struct {
	Self     string
	Ring     *recorder.Ring
	Lists    ListReader
	Dispatch *dispatcher.Dispatcher
	Config   *configurer.Configurer
	Gossip   *gossiper.Gossiper
	Link     *linker.Linker
	Submit   *submitter.Submitter
	Losses   *quarantiner.Tracker
}

// New returns a Coordinator without parts, to which the parts can refer.
func New(self string) *Coordinator {
	return &Coordinator{
		self:     self,
		rebuilds: make(chan struct{}, 1),
		started:  make(chan struct{}),
		diedAt:   make(map[string]time.Time),
	}
}

// Run works until ctx ends.
func (c *Coordinator) Run(ctx context.Context, p Parts) {
	c.ring, c.lists, c.dispatch, c.config = p.Ring, p.Lists, p.Dispatch, p.Config
	c.gossip, c.link, c.submit, c.losses = p.Gossip, p.Link, p.Submit, p.Losses
	c.settle(time.Now())
	close(c.started)
	var wg sync.WaitGroup
	wg.Go(func() { c.readLists(ctx) })
	wg.Go(func() { c.rebuildLoop(ctx) })
	wg.Go(func() { c.claimLoop(ctx) })
	wg.Go(func() { every(ctx, stateInterval, c.dispatch.Poll) })
	wg.Go(func() { c.config.Run(ctx, c.watches) })
	wg.Wait()
}

func every(ctx context.Context, d time.Duration, f func()) {
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

// settle closes everything until the quiet period is over.
func (c *Coordinator) settle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settled = now.Add(c.dispatch.TakeoverDelay())
}

// View returns the present view, nil before the first.
func (c *Coordinator) View() *locator.View {
	return c.view.Load()
}

// Ready reports whether this VM can answer callers.
func (c *Coordinator) Ready() bool {
	v := c.View()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if v == nil || len(v.Servers) == 0 || c.draining || now.Before(c.settled) {
		return false
	}
	return len(c.closed) == 0 || now.Sub(c.settled) > readyAnyway
}

// Owner returns the way to a VM of the view.
func (c *Coordinator) Owner(vm string) scatterer.Owner {
	if vm == c.self {
		return c.dispatch
	}
	v := c.View()
	return c.link.Remote(v.VMs[vm].Link)
}

// Remote returns the way to a member.
func (c *Coordinator) Remote(m prober.Member) submitter.Remote {
	return c.link.Remote(m.Link)
}

func (c *Coordinator) rebuild() {
	select {
	case c.rebuilds <- struct{}{}:
	default:
	}
}

func (c *Coordinator) rebuildLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.rebuilds:
			c.rebuildNow(time.Now())
		}
	}
}

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
	c.own(now, v)
	if first {
		c.ring.Record(now, recorder.Ready, c.self, "configuration and VM list are known")
	}
}

// own takes over and gives up servers as the view says.
func (c *Coordinator) own(now time.Time, v *locator.View) {
	c.ownMu.Lock()
	defer c.ownMu.Unlock()
	closed := c.dispatch.SetOwned(now, v.Owned(), v.Shares)
	c.mu.Lock()
	c.closed = closed
	c.mu.Unlock()
}

func (c *Coordinator) readLists(ctx context.Context) {
	for {
		list, err := c.lists.Read(time.Now().Add(listTimeout))
		if err == nil {
			c.takeList(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listInterval/2 + time.Duration(rand.Int64N(int64(listInterval)))):
		}
	}
}

func (c *Coordinator) takeList(list lister.List) {
	c.mu.Lock()
	changed := !c.haveList || !slices.Equal(list.VMs, c.list.VMs) || !slices.Equal(list.BackendServers, c.list.BackendServers)
	c.list, c.haveList = list, true
	c.mu.Unlock()
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

// ConfigChanged takes in a new revision.
func (c *Coordinator) ConfigChanged(cfg planner.Config) {
	<-c.started
	c.gossip.SetRevision(cfg.Revision)
	c.rebuild()
}

// MembersChanged takes in changes of members' states.
func (c *Coordinator) MembersChanged(now time.Time, changes []prober.Change) {
	<-c.started
	affected := false
	for _, ch := range changes {
		c.noteMember(now, ch.Member)
		affected = affected || ch.New || ch.Drain || (ch.Before < prober.Dead) != (ch.Member.State < prober.Dead)
	}
	if affected {
		c.rebuild()
	}
}

var memberKinds = map[prober.State]recorder.Kind{
	prober.Alive:   recorder.VMAlive,
	prober.Suspect: recorder.VMSuspect,
	prober.Dead:    recorder.VMDead,
	prober.Left:    recorder.VMLeft,
}

func (c *Coordinator) noteMember(now time.Time, m prober.Member) {
	c.ring.Record(now, memberKinds[m.State], m.ID, m.DataCentre)
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

// RevisionSeen fetches the configuration of a VM that announces a higher revision.
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

func (c *Coordinator) fetch(vm string) {
	for _, m := range c.gossip.Members() {
		if m.ID != vm || m.State >= prober.Dead {
			continue
		}
		ctx, stop := context.WithTimeout(context.Background(), fetchTimeout)
		defer stop()
		raw, err := c.link.Remote(m.Link).Config(ctx)
		if err == nil && len(raw) > 0 {
			_ = c.config.Adopt(raw)
		}
		return
	}
}

// Paused closes everything held after this process was frozen or cut off.
func (c *Coordinator) Paused(now time.Time, _ time.Duration) {
	<-c.started
	c.dispatch.Reset(now)
	c.settle(now)
	c.rebuild()
}

// watches reports whether this VM is one of the few in its data centre that hold a watch.
func (c *Coordinator) watches() bool {
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
