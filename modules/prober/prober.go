// Package prober keeps a view of which entry VMs are alive.
//
// The protocol is SWIM (Das, Gupta and Motivala, 2002) with suspicion and incarnation
// numbers: each period one random member is probed, directly and then through others,
// and changes of state travel on the probes. The package is pure: time, randomness and
// packets come in as arguments.
package prober

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// State is what is believed of a member.
type State int

// States, in the order in which one overrides another at the same counter.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the state in kebab case.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Member is one entry VM with what is believed of it.
type Member struct {
	ID         string
	DataCentre string
	// Gossip is the UDP address of this protocol, Link the address for other entry VMs'
	// calls, and Operators the address of the operators' listener.
	Gossip, Link, Operators netip.AddrPort
	// Incarnation is random for each start of the process.
	Incarnation uint64
	// Epoch orders the starts of one VM's process; a higher one overrides all before.
	Epoch uint64
	// Counter orders what is said within an epoch; only the member itself raises it.
	Counter uint64
	State   State
	// Draining is true once the member takes no new ownership.
	Draining bool
	// Capacity is the speed of the VM's network link in Mbit/s; 0 if unknown.
	Capacity uint64
}

// overrides reports whether m is newer than old.
func (m Member) overrides(old Member) bool {
	if m.Epoch != old.Epoch {
		return m.Epoch > old.Epoch
	}
	if m.Counter != old.Counter {
		return m.Counter > old.Counter
	}
	return m.State > old.State
}

// PacketKind is the kind of a packet.
type PacketKind int

// Kinds of packets.
const (
	// Ping asks for an Ack.
	Ping PacketKind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingReq asks the receiver to ping Target and to pass the Ack on.
	PingReq
	// SyncReq asks for the whole member list.
	SyncReq
	// Sync carries a part of the member list.
	Sync
)

// Packet is one datagram.
type Packet struct {
	Kind PacketKind
	// Seq matches an Ack with its Ping.
	Seq uint64
	// From is the sender's ID.
	From string
	// Target is the member that a PingReq is about.
	Target netip.AddrPort
	// Revision is the configuration revision in force at the sender.
	Revision uint64
	// Sent and Logical are the sender's hybrid logical clock, for the time line.
	Sent    time.Time
	Logical uint32
	// Updates carry changes of members.
	Updates []Member
}

// Outgoing is a packet to send.
type Outgoing struct {
	To     netip.AddrPort
	Packet Packet
}

// Change is a change of a member's state.
type Change struct {
	Member Member
	Before State
	// New is true when the member, or this start of its process, was not known before.
	New bool
	// Drain is true when the member has begun to drain.
	Drain bool
}

// Config sets the times of the protocol. Zero fields take the defaults.
type Config struct {
	// Period is the time between probes.
	Period time.Duration
	// AckTimeout is the wait for a direct ack before others are asked to probe.
	AckTimeout time.Duration
	// Suspicion is the time from an own suspicion to death. A suspicion that was heard of
	// takes heardFactor times as long, as the accuser's verdict should come first.
	Suspicion time.Duration
	// SyncInterval is the mean time between full exchanges.
	SyncInterval time.Duration
	// RemoveAfter is the time after which a dead or left member is dropped.
	RemoveAfter time.Duration
}

// Default times.
const (
	defaultPeriod       = 100 * time.Millisecond
	defaultAckTimeout   = 60 * time.Millisecond
	defaultSuspicion    = 350 * time.Millisecond
	defaultSyncInterval = time.Minute
	defaultForget       = 10 * time.Minute
)

const (
	// nearPerFar is the number of probes within the data centre for each one beyond it, and leastFar
	// the least number of the latter in a round.
	nearPerFar = 8
	leastFar   = 8
	// indirectProbes is the number of members asked to probe another one.
	indirectProbes = 3
	// updatesPerPacket keeps a datagram below the smallest common MTU.
	updatesPerPacket = 8
	// retransmitFactor times log2 of the fleet's size is how often an update is sent.
	retransmitFactor = 3
	// heardFactor times the Suspicion is the time from a suspicion heard of to death.
	heardFactor = 3
	// seedInterval is the time between pings to listed VMs that are not alive in the view.
	seedInterval = 500 * time.Millisecond
)

func (c *Config) setDefaults() {
	c.Period = cmp.Or(c.Period, defaultPeriod)
	c.AckTimeout = cmp.Or(c.AckTimeout, defaultAckTimeout)
	c.Suspicion = cmp.Or(c.Suspicion, defaultSuspicion)
	c.SyncInterval = cmp.Or(c.SyncInterval, defaultSyncInterval)
	c.RemoveAfter = cmp.Or(c.RemoveAfter, defaultForget)
}

type entry struct {
	Member
	// since is the time of the last change of state.
	since time.Time
	// accuser is true when the suspicion came from an own probe.
	accuser bool
	// pinged is the time of the last ping to a member suspected by an own probe.
	pinged time.Time
}

type probe struct {
	target   string
	sent     time.Time
	indirect bool
}

type relay struct {
	to   netip.AddrPort
	seq  uint64
	sent time.Time
}

type rumour struct {
	id   string
	left int
}

// Prober is one member's side of the protocol. It is not safe for concurrent use.
type Prober struct {
	cfg      Config
	rnd      *rand.Rand
	self     Member
	revision uint64
	members  map[string]*entry
	// order is a random permutation of the members to probe in this round; next is the place in it.
	order  []string
	next   int
	probes map[uint64]probe
	relays map[uint64]relay
	seq    uint64
	// rumours are sorted by how often they are still to be sent, most first.
	rumours  []rumour
	changes  []Change
	seeds    []netip.AddrPort
	nextSeed int

	lastProbe, lastSeed, lastSync time.Time
	// heard is the time of the last ack to an own ping.
	heard time.Time
}

// New returns a Prober for self with a source of randomness.
func New(self Member, cfg Config, rnd *rand.Rand, now time.Time) *Prober {
	cfg.setDefaults()
	p := &Prober{
		cfg:      cfg,
		rnd:      rnd,
		self:     self,
		members:  make(map[string]*entry),
		probes:   make(map[uint64]probe),
		relays:   make(map[uint64]relay),
		lastSync: now,
	}
	p.spread(self.ID)
	return p
}

// SetSeeds sets the addresses of VMs that may be alive.
func (p *Prober) SetSeeds(seeds []netip.AddrPort) {
	p.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.AddrPort) bool { return a == p.self.Gossip })
}

// SetRevision sets the configuration revision that packets announce.
func (p *Prober) SetRevision(revision uint64) {
	p.revision = revision
}

// Self returns the prober's own member.
func (p *Prober) Self() Member {
	return p.self
}

// LastAck is the time of the last ack to an own ping; zero before the first.
func (p *Prober) LastAck() time.Time {
	return p.heard
}

// Members returns what is believed of each known member, itself included.
func (p *Prober) Members() []Member {
	out := make([]Member, 0, len(p.members)+1)
	out = append(out, p.self)
	for _, e := range p.members {
		out = append(out, e.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// TakeChanges returns the changes of state since the last call.
func (p *Prober) TakeChanges() []Change {
	out := p.changes
	p.changes = nil
	return out
}

// Tick does what is due at now. It should be called several times per AckTimeout.
func (p *Prober) Tick(now time.Time) []Outgoing {
	var out []Outgoing
	out = append(out, p.expireProbes(now)...)
	out = append(out, p.expireMembers(now)...)
	if now.Sub(p.lastProbe) >= p.cfg.Period {
		p.lastProbe = now
		out = append(out, p.probeNext(now)...)
	}
	if now.Sub(p.lastSeed) >= seedInterval {
		p.lastSeed = now
		out = append(out, p.pingSeed(now)...)
	}
	if now.Sub(p.lastSync) >= p.cfg.SyncInterval {
		p.lastSync = now.Add(-time.Duration(p.rnd.Int64N(int64(p.cfg.SyncInterval / 4))))
		out = append(out, p.askSync(now)...)
	}
	return out
}

func (p *Prober) expireProbes(now time.Time) []Outgoing {
	var out []Outgoing
	for seq, pr := range p.probes {
		e := p.members[pr.target]
		age := now.Sub(pr.sent)
		switch {
		case e == nil || e.State >= Dead || age >= p.cfg.Period+p.cfg.AckTimeout:
			delete(p.probes, seq)
			if e != nil && e.State == Alive {
				p.believe(now, withState(e.Member, Suspect))
				e.accuser = true
			}
		case !pr.indirect && age >= p.cfg.AckTimeout:
			pr.indirect = true
			p.probes[seq] = pr
			out = append(out, p.askOthers(now, seq, e)...)
		}
	}
	for seq, r := range p.relays {
		if now.Sub(r.sent) > p.cfg.Period {
			delete(p.relays, seq)
		}
	}
	return out
}

func withState(m Member, s State) Member {
	m.State = s
	return m
}

func (p *Prober) askOthers(now time.Time, seq uint64, target *entry) []Outgoing {
	var out []Outgoing
	for _, id := range p.alive(target.ID, indirectProbes) {
		packet := p.packet(now, PingReq, seq)
		packet.Target = target.Gossip
		out = append(out, Outgoing{To: p.members[id].Gossip, Packet: packet})
	}
	return out
}

// alive returns up to n random live members other than the one named.
func (p *Prober) alive(but string, n int) []string {
	var ids []string
	for id, e := range p.members {
		if e.State == Alive && id != but {
			ids = append(ids, id)
		}
	}
	p.mix(ids)
	return ids[:min(n, len(ids))]
}

// expireMembers ends suspicions. It returns pings to members suspected by an own probe,
// which tell them of it, so that they can refute it in time.
func (p *Prober) expireMembers(now time.Time) []Outgoing {
	var out []Outgoing
	for id, e := range p.members {
		age := now.Sub(e.since)
		suspicion := p.cfg.Suspicion
		if !e.accuser {
			suspicion *= heardFactor
		}
		switch {
		case e.State == Suspect && age >= suspicion:
			p.believe(now, withState(e.Member, Dead))
		case e.State == Suspect && e.accuser && now.Sub(e.pinged) >= p.cfg.AckTimeout:
			e.pinged = now
			out = append(out, p.ping(now, e))
		case e.State >= Dead && age >= p.cfg.RemoveAfter:
			delete(p.members, id)
		}
	}
	return out
}

func (p *Prober) probeNext(now time.Time) []Outgoing {
	for range 2 {
		for p.next < len(p.order) {
			e := p.members[p.order[p.next]]
			p.next++
			if e != nil && e.State < Dead {
				return []Outgoing{p.ping(now, e)}
			}
		}
		p.shuffle()
	}
	return nil
}

// shuffle begins a round of probes: all members of the own data centre, and some of the others, as
// bytes between data centres are dear.
func (p *Prober) shuffle() {
	var near, far []string
	for id, e := range p.members {
		if e.DataCentre == p.self.DataCentre {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	p.mix(far)
	p.order = append(near, far[:min(len(far), max(len(near)/nearPerFar, leastFar))]...)
	p.mix(p.order)
	p.next = 0
}

// mix puts members into an order that depends on the source of randomness alone.
func (p *Prober) mix(ids []string) {
	slices.Sort(ids)
	p.rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

func (p *Prober) ping(now time.Time, e *entry) Outgoing {
	p.seq++
	p.probes[p.seq] = probe{target: e.ID, sent: now}
	packet := p.packet(now, Ping, p.seq)
	if e.State == Suspect {
		// The suspect has to hear of it to refute it.
		packet.Updates = append(packet.Updates, e.Member)
	}
	return Outgoing{To: e.Gossip, Packet: packet}
}

func (p *Prober) pingSeed(now time.Time) []Outgoing {
	known := make(map[netip.AddrPort]bool, len(p.members))
	for _, e := range p.members {
		if e.State < Dead {
			known[e.Gossip] = true
		}
	}
	for range p.seeds {
		p.nextSeed = (p.nextSeed + 1) % len(p.seeds)
		to := p.seeds[p.nextSeed]
		if known[to] {
			continue
		}
		p.seq++
		packet := p.packet(now, SyncReq, p.seq)
		packet.Updates = append(packet.Updates, p.self)
		for _, e := range p.members {
			if e.Gossip == to {
				packet.Updates = append(packet.Updates, e.Member)
			}
		}
		return []Outgoing{{To: to, Packet: packet}}
	}
	return nil
}

func (p *Prober) askSync(now time.Time) []Outgoing {
	var out []Outgoing
	for _, id := range p.alive("", 1) {
		p.seq++
		out = append(out, Outgoing{To: p.members[id].Gossip, Packet: p.packet(now, SyncReq, p.seq)})
	}
	return out
}

// packet makes a packet that carries the rumours that were sent least.
func (p *Prober) packet(now time.Time, kind PacketKind, seq uint64) Packet {
	out := Packet{Kind: kind, Seq: seq, From: p.self.ID, Revision: p.revision, Sent: now}
	n := min(updatesPerPacket, len(p.rumours))
	for i := range n {
		id := p.rumours[i].id
		p.rumours[i].left--
		if id == p.self.ID {
			out.Updates = append(out.Updates, p.self)
		} else if e := p.members[id]; e != nil {
			out.Updates = append(out.Updates, e.Member)
		}
	}
	p.rumours = slices.DeleteFunc(p.rumours, func(r rumour) bool { return r.left <= 0 })
	slices.SortStableFunc(p.rumours, func(a, b rumour) int { return cmp.Compare(b.left, a.left) })
	return out
}

func (p *Prober) spread(id string) {
	times := retransmitFactor * int(math.Ceil(math.Log2(float64(len(p.members)+2))))
	p.rumours = slices.DeleteFunc(p.rumours, func(r rumour) bool { return r.id == id })
	p.rumours = slices.Insert(p.rumours, 0, rumour{id: id, left: times})
}

// Handle takes in a packet that came from the address from.
func (p *Prober) Handle(now time.Time, from netip.AddrPort, in Packet) []Outgoing {
	for _, m := range in.Updates {
		p.believe(now, m)
	}
	switch in.Kind {
	case Ping:
		return []Outgoing{{To: from, Packet: p.packet(now, Ack, in.Seq)}}
	case Ack:
		return p.handleAck(now, in)
	case PingReq:
		p.seq++
		p.relays[p.seq] = relay{to: from, seq: in.Seq, sent: now}
		return []Outgoing{{To: in.Target, Packet: p.packet(now, Ping, p.seq)}}
	case SyncReq:
		return p.sync(now, from, in.Seq)
	case Sync:
	}
	return nil
}

func (p *Prober) handleAck(now time.Time, in Packet) []Outgoing {
	if r, ok := p.relays[in.Seq]; ok {
		delete(p.relays, in.Seq)
		return []Outgoing{{To: r.to, Packet: p.packet(now, Ack, r.seq)}}
	}
	if _, ok := p.probes[in.Seq]; ok {
		delete(p.probes, in.Seq)
		p.heard = now
	}
	return nil
}

func (p *Prober) sync(now time.Time, to netip.AddrPort, seq uint64) []Outgoing {
	var out []Outgoing
	for chunk := range slices.Chunk(p.Members(), updatesPerPacket) {
		packet := Packet{Kind: Sync, Seq: seq, From: p.self.ID, Revision: p.revision, Sent: now, Updates: chunk}
		out = append(out, Outgoing{To: to, Packet: packet})
	}
	return out
}

// believe takes in what is said of a member.
func (p *Prober) believe(now time.Time, m Member) {
	if m.ID == p.self.ID {
		p.refute(m)
		return
	}
	old := p.members[m.ID]
	if old == nil {
		if m.State >= Dead {
			return
		}
		p.members[m.ID] = &entry{Member: m, since: now}
		p.changes = append(p.changes, Change{Member: m, New: true})
		p.spread(m.ID)
		return
	}
	if !m.overrides(old.Member) {
		return
	}
	before := old.State
	restarted := m.Epoch != old.Epoch
	draining := old.Draining != m.Draining
	old.Member = m
	if before != m.State || restarted || draining {
		old.since = now
		old.accuser = false
		p.changes = append(p.changes, Change{Member: m, Before: before, New: restarted, Drain: draining})
	}
	p.spread(m.ID)
}

// refute answers a false belief about the prober itself.
func (p *Prober) refute(m Member) {
	if m.Epoch < p.self.Epoch || p.self.State == Left {
		return
	}
	if m.Epoch > p.self.Epoch {
		p.self.Epoch = m.Epoch + 1
		p.spread(p.self.ID)
		return
	}
	if m.State != Alive && m.Counter >= p.self.Counter {
		p.self.Counter = m.Counter + 1
		p.spread(p.self.ID)
	}
}

// Drain announces that the member takes no new ownership.
func (p *Prober) Drain() {
	p.self.Draining = true
	p.self.Counter++
	p.spread(p.self.ID)
}

// Leave announces that the member has left, to several live members at once.
func (p *Prober) Leave(now time.Time) []Outgoing {
	p.self.State = Left
	p.self.Counter++
	var out []Outgoing
	for _, id := range p.alive("", updatesPerPacket) {
		p.seq++
		packet := p.packet(now, Ping, p.seq)
		packet.Updates = []Member{p.self}
		out = append(out, Outgoing{To: p.members[id].Gossip, Packet: packet})
	}
	return out
}

// Alone reports whether no other member is believed alive or suspect.
func (p *Prober) Alone() bool {
	for _, e := range p.members {
		if e.State < Dead {
			return false
		}
	}
	return true
}
