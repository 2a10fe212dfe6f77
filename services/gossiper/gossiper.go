// Package gossiper runs the membership protocol between VMs over UDP.
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

// tickInterval is the default time between two timer runs of the protocol.
const tickInterval = 20 * time.Millisecond

// Observer receives the events of the protocol. Its methods are called one at a time.
type Observer interface {
	// MembersChanged is called after changes of members' states.
	MembersChanged(now time.Time, changes []prober.Change)
	// RevisionSeen is called when a VM announces a configuration revision.
	RevisionSeen(vm string, revision uint64)
	// Paused is called when the process was suspended or cut off from the fleet for gap.
	Paused(now time.Time, gap time.Duration)
}

// Config configures a Gossiper.
type Config struct {
	// Bind is the UDP address to listen on; port 0 selects a free port.
	Bind netip.AddrPort
	// Self is this VM. Start sets its Gossip address after binding.
	Self prober.Member
	// Keys are 32-byte keys. The first one encrypts packets; all of them are tried for decryption.
	Keys [][]byte
	// Timing holds the intervals and timeouts of the protocol.
	Timing prober.Config
	// Clock is a hybrid logical clock: sent packets carry its time, and received packets advance it. It
	// may be nil.
	Clock *stamper.Clock
	// PauseAfter is the time without a heartbeat after which the process counts as paused.
	PauseAfter time.Duration
	// TickInterval is the time between two timer runs of the protocol; 0 means 20 ms.
	TickInterval time.Duration
}

// Gossiper runs the membership protocol for one VM.
type Gossiper struct {
	gnet.BuiltinEventEngine
	cfg      Config
	sealer   *sealer.Sealer
	observer Observer
	metrics  *metrics
	engine   gnet.Engine
	booted   chan error

	mu       sync.Mutex
	prober   *prober.Prober
	conn     *net.UDPConn
	paused   bool
	lastTick time.Time
	buf      []byte
}

// Start binds the address and starts the protocol. It calls newProber with cfg.Self, in which the Gossip address
// is set.
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
		g.prober = newProber(g.cfg.Self)
	}
	g.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return g, nil
}

// OnBoot implements gnet.EventHandler. It duplicates the socket, so that packets can be sent from any goroutine.
func (g *Gossiper) OnBoot(eng gnet.Engine) gnet.Action {
	g.engine = eng
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

// OnTraffic implements gnet.EventHandler. It handles one datagram.
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
	g.send(g.prober.Handle(now, from, packet))
	changes := g.prober.TakeChanges()
	g.mu.Unlock()
	g.notify(now, changes)
	g.observer.RevisionSeen(packet.From, packet.Revision)
}

func (g *Gossiper) notify(now time.Time, changes []prober.Change) {
	if len(changes) > 0 {
		g.observer.MembersChanged(now, changes)
	}
}

// OnTick implements gnet.EventHandler. It runs the timers of the protocol, detects pauses of the process and
// returns the time until the next tick.
func (g *Gossiper) OnTick() (time.Duration, gnet.Action) {
	g.mu.Lock()
	now := time.Now()
	gap := now.Sub(g.heartbeat())
	newlyPaused := gap > g.cfg.PauseAfter && !g.paused
	g.paused = gap > g.cfg.PauseAfter
	g.lastTick = now
	g.send(g.prober.Tick(now))
	changes := g.prober.TakeChanges()
	g.mu.Unlock()
	if newlyPaused {
		g.observer.Paused(now, gap)
	}
	g.notify(now, changes)
	return cmp.Or(g.cfg.TickInterval, tickInterval), gnet.None
}

// send encrypts and sends packets. The caller must hold mu. Errors are ignored, as the protocol tolerates lost
// datagrams.
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

// heartbeat implements Heartbeat. The caller must hold mu.
func (g *Gossiper) heartbeat() time.Time {
	lastAck := g.prober.LastAck()
	if g.prober.Alone() || lastAck.After(g.lastTick) {
		return g.lastTick
	}
	return lastAck
}

// Heartbeat returns the last time at which this process was known to run and to be in contact with the fleet. If
// this VM is alone in the fleet, it is the last time at which the process was known to run.
func (g *Gossiper) Heartbeat(time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heartbeat()
}

// Members returns the current state of each known VM, including this one.
func (g *Gossiper) Members() []prober.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.prober.Members()
}

// SetSeeds sets the addresses at which the protocol looks for other VMs.
func (g *Gossiper) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prober.SetSeeds(seeds)
}

// SetRevision sets the configuration revision that this VM announces.
func (g *Gossiper) SetRevision(revision uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prober.SetRevision(revision)
}

// Drain announces that this VM takes no new ownership of servers.
func (g *Gossiper) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prober.Drain()
}

// Leave announces that this VM leaves the fleet.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.prober.Leave(time.Now()))
}

// Stop stops the protocol and closes the socket.
func (g *Gossiper) Stop(ctx context.Context) error {
	err := g.engine.Stop(ctx)
	_ = g.conn.Close()
	return oops.Wrapf(err, "stop membership")
}

// Register adds the gossiper's metrics to r.
func (g *Gossiper) Register(r prometheus.Registerer) {
	r.MustRegister(g.metrics.bytes, g.metrics.packets, g.metrics.refused)
}
