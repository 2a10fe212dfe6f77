// Package emulator runs the request path of several entry VMs in one process against
// backend stand-ins over HTTP, and puts load on it.
package emulator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/lister"
	"github.com/ebonylock/ebonylock/modules/locator"
	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/recorder"
	"github.com/ebonylock/ebonylock/services/dispatcher"
	"github.com/ebonylock/ebonylock/services/scatterer"
	"github.com/ebonylock/ebonylock/tests/standin"
)

// Limits says who holds the limits of a backend server.
type Limits int

// Ways to hold the limits.
const (
	// ByOwner gives each server one owner.
	ByOwner Limits = iota
	// EqualSplit lets each VM send to each server, with its share of the slots, at least one.
	EqualSplit
	// Nobody lets each VM send to each server as it likes.
	Nobody
)

// Config sets up an Emulator.
type Config struct {
	// VMs is the number of entry VMs, spread over DataCentres.
	VMs, DataCentres int
	// Services and Replicas give the backend servers.
	Services, Replicas int
	// Backend is the pattern for all servers.
	Backend standin.BackendConfig
	// Distance is the time one way between data centres.
	Distance time.Duration
	// Limits says who holds the limits.
	Limits Limits
	// Search sets up the scatterers.
	Search scatterer.Config
	// Fast makes the search return at MinCoverage.
	Fast        bool
	MinCoverage float64
}

// searchName is the name of the only search.
const searchName = "search"

// Emulator is the running VMs and servers.
type Emulator struct {
	cfg      Config
	Backends []*standin.Backend
	vms      []*vm
	servers  []lister.BackendServer
}

// vm is one entry VM's request path.
type vm struct {
	e        *Emulator
	id, dc   string
	view     *locator.View
	dispatch *dispatcher.Dispatcher
	scatter  *scatterer.Scatterer
	losses   quarantiner.Tracker
	ring     recorder.Ring
}

// Start starts servers and VMs; every server is owned and open, and cold.
func Start(cfg Config) (*Emulator, error) {
	e := &Emulator{cfg: cfg}
	if err := e.startBackends(); err != nil {
		e.Close()
		return nil, err
	}
	e.startVMs()
	return e, nil
}

func (e *Emulator) startBackends() error {
	for i := range e.cfg.Services {
		for r := range e.cfg.Replicas {
			b := e.cfg.Backend
			b.Service = "service-" + string(rune('a'+i/26)) + string(rune('a'+i%26))
			b.ID = b.Service + "-r" + string(rune('0'+r))
			b.DataCentre = dcName((i + r) % e.cfg.DataCentres)
			b.Seed = uint64(i*e.cfg.Replicas + r + 1)
			b.Generations = standin.FirstGenerations()
			started, err := standin.NewBackend(b)
			if err != nil {
				return err
			}
			e.Backends = append(e.Backends, started)
			e.servers = append(e.servers, toServer(started.ListEntry()))
		}
	}
	return nil
}

func dcName(i int) string {
	return "dc-" + string(rune('1'+i))
}

func toServer(l standin.ListedServer) lister.BackendServer {
	return lister.BackendServer{
		ID:         l.ID,
		Service:    l.Service,
		DataCentre: l.DataCentre,
		Addr:       standin.MustAddr(l.Addr),
		Slots:      l.Slots,
		MaxConns:   l.MaxConns,
	}
}

func (e *Emulator) startVMs() {
	var members []prober.Member
	var list lister.List
	for i := range e.cfg.VMs {
		id := "vm-" + string(rune('a'+i))
		members = append(members, prober.Member{ID: id, DataCentre: dcName(i % e.cfg.DataCentres)})
		list.VMs = append(list.VMs, lister.VM{ID: id, DataCentre: dcName(i % e.cfg.DataCentres)})
	}
	list.BackendServers = e.servers
	services := make(map[string]bool)
	for _, s := range e.servers {
		services[s.Service] = true
	}
	search := planner.Search{Services: slices.Sorted(maps.Keys(services)), MinCoverage: e.cfg.MinCoverage, Fast: e.cfg.Fast}
	conf := planner.Config{Revision: 1, Searches: map[string]planner.Search{searchName: search}}
	for _, m := range members {
		v := &vm{e: e, id: m.ID, dc: m.DataCentre}
		v.view = locator.Build(locator.Input{Self: m.ID, Config: conf, Members: members, List: list})
		alive := func(now time.Time) time.Time { return now }
		dial := func(b lister.BackendServer) dispatcher.Runner { return executor.New(b.Addr, b.MaxConns) }
		v.dispatch = dispatcher.New(dispatcher.Config{RunLimit: 10 * time.Second}, dial, alive, &v.losses, &v.ring)
		v.scatter = scatterer.New(e.cfg.Search, v, &v.losses)
		e.vms = append(e.vms, v)
	}
	for _, v := range e.vms {
		v.own()
	}
}

// own takes and opens the servers that the VM may send to.
func (v *vm) own() {
	owned := v.view.Owned()
	if v.e.cfg.Limits != ByOwner {
		owned = slices.Clone(v.e.servers)
		for i := range owned {
			owned[i].Slots = max(1, owned[i].Slots/len(v.e.vms))
			if v.e.cfg.Limits == Nobody {
				owned[i].Slots = owned[i].MaxConns
			}
		}
	}
	now := time.Now()
	v.dispatch.Open(now, v.dispatch.SetOwned(now, owned, v.view.Shares))
}

// View returns the fixed view.
func (v *vm) View() *locator.View {
	return v.view
}

// Owner returns the way to another VM, as far away as its data centre is.
func (v *vm) Owner(id string) scatterer.Owner {
	if v.e.cfg.Limits != ByOwner {
		return v.dispatch
	}
	i := slices.IndexFunc(v.e.vms, func(o *vm) bool { return o.id == id })
	to := v.e.vms[i]
	if to.dc == v.dc {
		return to.dispatch
	}
	return distant{to.dispatch, v.e.cfg.Distance}
}

// distant is a Dispatcher in another data centre.
type distant struct {
	d     *dispatcher.Dispatcher
	delay time.Duration
}

// Dispatch runs the batch after the delay, and gives each event after the delay.
func (r distant) Dispatch(ctx context.Context, batch []dispatcher.Subrequest, cancels <-chan int, emit func(dispatcher.Event)) error {
	time.Sleep(r.delay)
	return r.d.Dispatch(ctx, batch, cancels, func(e dispatcher.Event) {
		time.AfterFunc(r.delay, func() { emit(e) })
	})
}

// Search sends one query through the VM with the number, modulo the number of VMs.
func (e *Emulator) Search(n int, body []byte, deadline time.Duration) (scatterer.Answer, error) {
	v := e.vms[n%len(e.vms)]
	q := scatterer.Query{Search: searchName, Body: body, Deadline: time.Now().Add(deadline)}
	return v.scatter.Search(context.Background(), q)
}

// Records sums what the servers have seen.
func (e *Emulator) Records() standin.Record {
	var sum standin.Record
	for _, b := range e.Backends {
		r := b.Record()
		sum.Started += r.Started
		sum.Finished += r.Finished
		sum.Refused += r.Refused
		sum.Overruns += r.Overruns
		sum.MostRunning = max(sum.MostRunning, r.MostRunning)
		sum.MostConns = max(sum.MostConns, r.MostConns)
		sum.Crashes += r.Crashes
	}
	return sum
}

// Close ends the servers.
func (e *Emulator) Close() {
	for _, b := range e.Backends {
		b.Close()
	}
}
