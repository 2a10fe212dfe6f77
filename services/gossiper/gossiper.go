// Package gossiper runs the membership protocol between entry VMs over UDP.
package gossiper

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"

	"github.com/ebonylock/ebonylock/modules/muter"
	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/sealer"
	"github.com/ebonylock/ebonylock/modules/stamper"
)

// tickInterval is the time between two ticks of the protocol.
const tickInterval = 20 * time.Millisecond

// Observer is told of what the protocol finds. Calls come one at a time.
type Observer interface {
	// MembersChanged is called after changes of members' states.
	MembersChanged(now time.Time, changes []prober.Change)
	// RevisionSeen is called when a VM announces a configuration revision.
	RevisionSeen(vm string, revision uint64)
	// Paused is called when the process was frozen or cut off for gap.
	Paused(now time.Time, gap time.Duration)
}

// Config sets up a Gossiper.
type Config struct {
	// Bind is the UDP address, of which port 0 takes a free port.
	Bind netip.AddrPort
	// Self is this VM; its Gossip address is filled in after the bind.
	Self prober.Member
	// Keys are 32-byte keys: the first one seals, all of them open.
	Keys [][]byte
	// Timing sets the times of the protocol.
	Timing prober.Config
	// Clock is stamped on packets and follows those of other VMs; nil for none.
	Clock *stamper.Clock
	// PauseAfter is the silence that counts as a pause.
	PauseAfter time.Duration
	// Tick is the time between two looks for what is due; 0 means 20 ms.
	Tick time.Duration
}

// Gossiper is one VM's side of the membership protocol.
type Gossiper struct {
	gnet.BuiltinEventEngine
	cfg      Config
	sealer   *sealer.Sealer
	observer Observer
	metrics  *metrics
	eng      gnet.Engine
	booted   chan error

	mu     sync.Mutex
	p      *prober.Prober
	conn   *net.UDPConn
	paused bool
	// lastTick is the time of the last tick.
	lastTick time.Time
	buf      []byte
}

// Start binds the address and starts the protocol.
func Start(cfg Config, newProber func(self prober.Member) *prober.Prober, observer Observer) (*Gossiper, error) {
	s, err := sealer.New(cfg.Keys)
	if err != nil {
		return nil, err
	}
	g := &Gossiper{
		cfg:      cfg,
		sealer:   s,
		observer: observer,
		metrics:  newMetrics(),
		booted:   make(chan error, 1),
		lastTick: time.Now(),
	}
	g.mu.Lock()
	go func() {
		err := gnet.Run(g, "udp://"+cfg.Bind.String(), gnet.WithTicker(true), gnet.WithLogger(muter.Logger{}))
		select {
		case g.booted <- oops.Wrapf(err, "listen for membership on %s", cfg.Bind):
		default:
		}
	}()
	err = <-g.booted
	if err == nil {
		g.cfg.Self.Gossip = netip.MustParseAddrPort(g.conn.LocalAddr().String())
		g.p = newProber(g.cfg.Self)
	}
	g.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return g, nil
}

// OnBoot duplicates the socket, so that packets can be sent from it at any time.
func (g *Gossiper) OnBoot(eng gnet.Engine) gnet.Action {
	g.eng = eng
	fd, err := eng.Dup()
	if err != nil {
		g.booted <- oops.Wrapf(err, "duplicate the membership socket")
		return gnet.Shutdown
	}
	f := os.NewFile(uintptr(fd), "membership")
	defer func() { _ = f.Close() }()
	pc, err := net.FilePacketConn(f)
	if err != nil {
		g.booted <- oops.Wrapf(err, "use the membership socket")
		return gnet.Shutdown
	}
	g.conn = pc.(*net.UDPConn)
	g.booted <- nil
	return gnet.None
}

// OnTraffic takes in one datagram.
func (g *Gossiper) OnTraffic(c gnet.Conn) gnet.Action {
	raw, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	g.metrics.bytes.WithLabelValues("in").Add(float64(len(raw)))
	g.metrics.packets.WithLabelValues("in").Inc()
	from, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return gnet.None
	}
	plain, err := g.sealer.Open(raw)
	if err != nil {
		g.metrics.refused.Inc()
		return gnet.None
	}
	packet, err := prober.Decode(plain)
	if err != nil {
		g.metrics.refused.Inc()
		return gnet.None
	}
	g.handle(from, packet)
	return gnet.None
}

func (g *Gossiper) handle(from netip.AddrPort, packet prober.Packet) {
	if g.cfg.Clock != nil {
		g.cfg.Clock.Observe(stamper.Stamp{Wall: packet.Sent, Logical: packet.Logical})
	}
	g.mu.Lock()
	now := time.Now()
	g.send(g.p.Handle(now, from, packet))
	changes := g.p.TakeChanges()
	g.mu.Unlock()
	g.report(now, changes)
	g.observer.RevisionSeen(packet.From, packet.Revision)
}

func (g *Gossiper) report(now time.Time, changes []prober.Change) {
	if len(changes) > 0 {
		g.observer.MembersChanged(now, changes)
	}
}

// OnTick does what is due and returns the time until the next tick.
func (g *Gossiper) OnTick() (time.Duration, gnet.Action) {
	g.mu.Lock()
	now := time.Now()
	gap := now.Sub(g.heartbeat())
	newlyPaused := gap > g.cfg.PauseAfter && !g.paused
	g.paused = gap > g.cfg.PauseAfter
	g.lastTick = now
	g.send(g.p.Tick(now))
	changes := g.p.TakeChanges()
	g.mu.Unlock()
	if newlyPaused {
		g.observer.Paused(now, gap)
	}
	g.report(now, changes)
	return cmp.Or(g.cfg.Tick, tickInterval), gnet.None
}

// send needs the lock.
func (g *Gossiper) send(out []prober.Outgoing) {
	for _, o := range out {
		if g.cfg.Clock != nil {
			stamp := g.cfg.Clock.Now(o.Packet.Sent)
			o.Packet.Sent, o.Packet.Logical = stamp.Wall, stamp.Logical
		}
		g.buf = o.Packet.Append(g.buf[:0])
		sealed := g.sealer.Seal(g.buf)
		g.metrics.bytes.WithLabelValues("out").Add(float64(len(sealed)))
		g.metrics.packets.WithLabelValues("out").Inc()
		_, _ = g.conn.WriteToUDPAddrPort(sealed, o.To)
	}
}

// heartbeat needs the lock.
func (g *Gossiper) heartbeat() time.Time {
	heard := g.p.LastAck()
	if g.p.Alone() || heard.After(g.lastTick) {
		return g.lastTick
	}
	return heard
}

// Heartbeat returns the time of the last proof that this process runs and is in touch
// with the fleet; alone in the fleet, the first is enough.
func (g *Gossiper) Heartbeat(time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heartbeat()
}

// Members returns what is believed of each known VM, this one included.
func (g *Gossiper) Members() []prober.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.p.Members()
}

// SetSeeds sets the addresses of VMs that may be alive.
func (g *Gossiper) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.p.SetSeeds(seeds)
}

// SetRevision sets the configuration revision that this VM announces.
func (g *Gossiper) SetRevision(revision uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.p.SetRevision(revision)
}

// Drain announces that this VM takes no new ownership.
func (g *Gossiper) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.p.Drain()
}

// Leave announces that this VM has left.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.p.Leave(time.Now()))
}

// Stop ends the protocol.
func (g *Gossiper) Stop(ctx context.Context) error {
	err := g.eng.Stop(ctx)
	_ = g.conn.Close()
	return oops.Wrapf(err, "stop membership")
}

// Register adds the gossiper's metrics to r.
func (g *Gossiper) Register(r prometheus.Registerer) {
	r.MustRegister(g.metrics.bytes, g.metrics.packets, g.metrics.refused)
}
