// Package emulator runs the request path of several entry VMs in one process, sends it load and
// measures the answers. Its backend servers are stand-ins reached over HTTP.
package emulator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/fetcher"
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

// LimitMode is the way in which VMs enforce the concurrency limit of a backend server.
type LimitMode int

// Modes.
const (
	// ByOwner gives each server one owner, which sends all requests to it.
	ByOwner LimitMode = iota
	// EqualSplit lets each VM send to each server, within an equal share of the slots of at
	// least one.
	EqualSplit
	// Uncoordinated lets each VM send to each server, limited only by the server's maximum number
	// of connections.
	Uncoordinated
)

// Config is the configuration of an Emulator.
type Config struct {
	// VMs is the number of entry VMs, spread over DataCentres data centres.
	VMs, DataCentres int
	// Services is the number of services, Replicas the number of backend servers of each.
	Services, Replicas int
	// Backend is the template for the configuration of all servers.
	Backend standin.BackendConfig
	// OneWayDelay is the one-way latency between two VMs in different data centres.
	OneWayDelay time.Duration
	// Limits is the way in which the limits of the servers are enforced.
	Limits LimitMode
	// Search is the configuration of the scatterers.
	Search scatterer.Config
	// Fast makes the search return as soon as it covers the share MinCoverage of partitions.
	Fast        bool
	MinCoverage float64
}

// searchName is the name of the single configured search.
const searchName = "search"

// Emulator holds the running VMs and backend servers.
type Emulator struct {
	cfg      Config
	Backends []*standin.Backend
	vms      []*vm
	servers  []lister.BackendServer
}

// vm is the request path of one entry VM.
type vm struct {
	e        *Emulator
	id, dc   string
	view     *locator.View
	dispatch *dispatcher.Dispatcher
	scatter  *scatterer.Scatterer
	losses   quarantiner.Tracker
	ring     recorder.Ring
}

// Start starts the servers and the VMs. It returns when every server has an owner and is open;
// all servers are cold.
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
		dial := func(b lister.BackendServer) dispatcher.Runner {
			return executor.New(b.Addr, b.MaxConns, fetcher.Limits{})
		}
		v.dispatch = dispatcher.New(dispatcher.Config{RunLimit: 10 * time.Second}, dial, alive, &v.losses, &v.ring)
		v.scatter = scatterer.New(e.cfg.Search, v, &v.losses)
		e.vms = append(e.vms, v)
	}
	for _, v := range e.vms {
		v.openServers()
	}
}

// openServers opens the servers that the VM may send requests to.
func (v *vm) openServers() {
	owned := v.view.Owned()
	if v.e.cfg.Limits != ByOwner {
		owned = slices.Clone(v.e.servers)
		for i := range owned {
			owned[i].Slots = max(1, owned[i].Slots/len(v.e.vms))
			if v.e.cfg.Limits == Uncoordinated {
				owned[i].Slots = owned[i].MaxConns
			}
		}
	}
	now := time.Now()
	v.dispatch.Open(now, v.dispatch.SetOwned(now, owned, v.view.Shares))
}

// View returns the view of the fleet, which never changes.
func (v *vm) View() *locator.View {
	return v.view
}

// Owner returns the dispatcher of another VM, with a delay if that VM is in another data centre.
// Without owners it returns the VM's own dispatcher.
func (v *vm) Owner(id string) scatterer.Owner {
	if v.e.cfg.Limits != ByOwner {
		return v.dispatch
	}
	i := slices.IndexFunc(v.e.vms, func(o *vm) bool { return o.id == id })
	target := v.e.vms[i]
	if target.dc == v.dc {
		return target.dispatch
	}
	return delayedOwner{target.dispatch, v.e.cfg.OneWayDelay}
}

// delayedOwner is a Dispatcher in another data centre.
type delayedOwner struct {
	dispatcher *dispatcher.Dispatcher
	delay      time.Duration
}

// Dispatch runs the batch after the delay, and emits each event after the delay.
func (r delayedOwner) Dispatch(ctx context.Context, batch []dispatcher.Subrequest, cancels <-chan int, emit func(dispatcher.Event)) error {
	time.Sleep(r.delay)
	return r.dispatcher.Dispatch(ctx, batch, cancels, func(e dispatcher.Event) {
		time.AfterFunc(r.delay, func() { emit(e) })
	})
}

// Search sends a query through VM number n, modulo the number of VMs.
func (e *Emulator) Search(n int, body []byte, deadline time.Duration) (scatterer.Answer, error) {
	v := e.vms[n%len(e.vms)]
	q := scatterer.Query{Search: searchName, Body: body, Deadline: time.Now().Add(deadline)}
	return v.scatter.Search(context.Background(), q)
}

// Totals adds up the records of all servers. MostRunning and MostConns are the maximum of any
// server.
func (e *Emulator) Totals() standin.Record {
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

// Close stops the servers.
func (e *Emulator) Close() {
	for _, b := range e.Backends {
		b.Close()
	}
}
