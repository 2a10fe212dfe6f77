// Package prober implements the membership protocol that tracks which entry VMs are alive.
//
// The protocol is SWIM (Das, Gupta and Motivala, 2002) with suspicion and incarnation
// numbers. In each period one random member is probed, first directly and then through
// other members. State changes are piggybacked on the probe packets. The package does no
// I/O: the caller passes in the time, the source of randomness and the received packets.
package prober

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// State is the state of a member in the local view.
type State int

// States of a member. At equal epoch and counter, a higher state overrides a lower one.
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

// Member is one entry VM and its state in the local view.
type Member struct {
	ID         string
	DataCentre string
	// Gossip is the UDP address of the membership protocol, Link the address for calls
	// from other entry VMs, and Operators the address of the operators' listener.
	Gossip, Link, Operators netip.AddrPort
	// Incarnation is chosen at random at each start of the process.
	Incarnation uint64
	// Epoch orders the process starts of one VM. A higher epoch overrides all lower ones.
	Epoch uint64
	// Counter orders the updates within an epoch. Only the member itself increments it.
	Counter uint64
	State   State
	// Draining is true once the member no longer accepts ownership of more backend servers.
	Draining bool
	// Capacity is the speed of the VM's network link in Mbit/s, or 0 if unknown.
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
	// PingReq asks the receiver to ping Target and to forward the Ack.
	PingReq
	// SyncReq asks for the full member list.
	SyncReq
	// Sync carries a chunk of the member list.
	Sync
)

// Packet is one datagram.
type Packet struct {
	Kind PacketKind
	// Seq matches an Ack to its Ping.
	Seq uint64
	// From is the sender's ID.
	From string
	// Target is the gossip address of the member to ping for a PingReq.
	Target netip.AddrPort
	// Revision is the configuration revision in force at the sender.
	Revision uint64
	// Sent and Logical are the sender's hybrid logical clock, used by the event timeline.
	Sent    time.Time
	Logical uint32
	// Updates are the member states piggybacked on the packet.
	Updates []Member
}

// Outgoing is a packet to send and its destination.
type Outgoing struct {
	To     netip.AddrPort
	Packet Packet
}

// Change reports that a member was added, restarted, started draining or changed its state.
type Change struct {
	Member Member
	Before State
	// New is true when the member, or its current epoch, was not known before.
	New bool
	// Drain is true when the member has started draining.
	Drain bool
}

// Config holds the timing parameters of the protocol. Zero fields take the defaults.
type Config struct {
	// Period is the time between probes.
	Period time.Duration
	// AckTimeout is the wait for a direct ack before indirect probes are sent.
	AckTimeout time.Duration
	// Suspicion is the time until a member suspected by a local probe is declared dead. A
	// suspicion reported by another member takes reportedSuspicionFactor times as long,
	// since the member that raised the suspicion should decide first.
	Suspicion time.Duration
	// SyncInterval is the time between requests for the full member list. Each interval is
	// shortened at random by up to a quarter.
	SyncInterval time.Duration
	// RemoveAfter is the time after which a dead or left member is removed from the view.
	RemoveAfter time.Duration
}

// Default timing parameters.
const (
	defaultPeriod       = 100 * time.Millisecond
	defaultAckTimeout   = 60 * time.Millisecond
	defaultSuspicion    = 350 * time.Millisecond
	defaultSyncInterval = time.Minute
	defaultRemoveAfter  = 10 * time.Minute
)

const (
	// localPerRemote is the number of members of the local data centre that a round probes for
	// each member of another one. A round probes at least minRemote of the latter, if there are
	// that many.
	localPerRemote = 8
	minRemote      = 8
	// indirectProbes is the number of members asked to probe a member that did not reply.
	indirectProbes = 3
	// updatesPerPacket keeps datagrams below the smallest common MTU.
	updatesPerPacket = 8
	// retransmitFactor times log2 of the fleet size is the number of times an update is sent.
	retransmitFactor = 3
	// reportedSuspicionFactor times Config.Suspicion is the time until a member suspected by
	// another member is declared dead.
	reportedSuspicionFactor = 3
	// seedInterval is the time between sync requests to seeds that are not alive in the view.
	seedInterval = 500 * time.Millisecond
)

func (c *Config) setDefaults() {
	c.Period = cmp.Or(c.Period, defaultPeriod)
	c.AckTimeout = cmp.Or(c.AckTimeout, defaultAckTimeout)
	c.Suspicion = cmp.Or(c.Suspicion, defaultSuspicion)
	c.SyncInterval = cmp.Or(c.SyncInterval, defaultSyncInterval)
	c.RemoveAfter = cmp.Or(c.RemoveAfter, defaultRemoveAfter)
}

type entry struct {
	Member
	// since is the time of the last state change.
	since time.Time
	// suspectedHere is true when a local probe, not another member, raised the suspicion.
	suspectedHere bool
	// lastPing is the time of the last ping sent because of such a suspicion.
	lastPing time.Time
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

type pendingUpdate struct {
	id        string
	sendsLeft int
}

// Prober runs the protocol for one member. It is not safe for concurrent use.
type Prober struct {
	cfg      Config
	rnd      *rand.Rand
	self     Member
	revision uint64
	members  map[string]*entry
	// order is a random permutation of the members to probe in this round, and next is the
	// index of the next member in it.
	order  []string
	next   int
	probes map[uint64]probe
	relays map[uint64]relay
	seq    uint64
	// updates are the member states still to be disseminated, the least sent first.
	updates  []pendingUpdate
	changes  []Change
	seeds    []netip.AddrPort
	nextSeed int

	lastProbe, lastSeed, lastSync time.Time
	// lastAck is the time of the last ack to a ping of this prober.
	lastAck time.Time
}

// New returns a Prober for self that takes its randomness from rnd.
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
	p.enqueueUpdate(self.ID)
	return p
}

// SetSeeds sets the gossip addresses of VMs that may be alive. The prober sends sync requests to
// those that are not alive in the view. Its own address is ignored.
func (p *Prober) SetSeeds(seeds []netip.AddrPort) {
	p.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.AddrPort) bool { return a == p.self.Gossip })
}

// SetRevision sets the configuration revision announced in packets.
func (p *Prober) SetRevision(revision uint64) {
	p.revision = revision
}

// Self returns the prober's own member entry.
func (p *Prober) Self() Member {
	return p.self
}

// LastAck returns the time of the last ack to a ping of this prober, or the zero time
// before the first one.
func (p *Prober) LastAck() time.Time {
	return p.lastAck
}

// Members returns all known members including the prober's own, sorted by ID.
func (p *Prober) Members() []Member {
	out := make([]Member, 0, len(p.members)+1)
	out = append(out, p.self)
	for _, e := range p.members {
		out = append(out, e.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// TakeChanges returns the changes since the previous call and clears them.
func (p *Prober) TakeChanges() []Change {
	out := p.changes
	p.changes = nil
	return out
}

// Tick processes the timers due at now and returns the packets to send. It should be called
// several times per AckTimeout.
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
		out = append(out, p.requestSync(now)...)
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
				p.apply(now, withState(e.Member, Suspect))
				e.suspectedHere = true
			}
		case !pr.indirect && age >= p.cfg.AckTimeout:
			pr.indirect = true
			p.probes[seq] = pr
			out = append(out, p.pingIndirectly(now, seq, e)...)
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

func (p *Prober) pingIndirectly(now time.Time, seq uint64, target *entry) []Outgoing {
	var out []Outgoing
	for _, id := range p.randomAlive(target.ID, indirectProbes) {
		packet := p.packet(now, PingReq, seq)
		packet.Target = target.Gossip
		out = append(out, Outgoing{To: p.members[id].Gossip, Packet: packet})
	}
	return out
}

// randomAlive returns the IDs of up to n randomly chosen live members other than exclude.
func (p *Prober) randomAlive(exclude string, n int) []string {
	var ids []string
	for id, e := range p.members {
		if e.State == Alive && id != exclude {
			ids = append(ids, id)
		}
	}
	p.shuffleIDs(ids)
	return ids[:min(n, len(ids))]
}

// expireMembers declares suspects dead and removes old entries when their time is over. It
// returns pings that inform members suspected by a local probe of the suspicion, so that they
// can refute it in time.
func (p *Prober) expireMembers(now time.Time) []Outgoing {
	var out []Outgoing
	for id, e := range p.members {
		age := now.Sub(e.since)
		suspicion := p.cfg.Suspicion
		if !e.suspectedHere {
			suspicion *= reportedSuspicionFactor
		}
		switch {
		case e.State == Suspect && age >= suspicion:
			p.apply(now, withState(e.Member, Dead))
		case e.State == Suspect && e.suspectedHere && now.Sub(e.lastPing) >= p.cfg.AckTimeout:
			e.lastPing = now
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
		p.startRound()
	}
	return nil
}

// startRound chooses the members to probe in the next round: all members of the local data
// centre but only some of the others, because traffic between data centres is expensive.
func (p *Prober) startRound() {
	var local, remote []string
	for id, e := range p.members {
		if e.DataCentre == p.self.DataCentre {
			local = append(local, id)
		} else {
			remote = append(remote, id)
		}
	}
	p.shuffleIDs(remote)
	p.order = append(local, remote[:min(len(remote), max(len(local)/localPerRemote, minRemote))]...)
	p.shuffleIDs(p.order)
	p.next = 0
}

// shuffleIDs shuffles ids. It sorts them first, so that the result depends only on p.rnd and
// not on map iteration order.
func (p *Prober) shuffleIDs(ids []string) {
	slices.Sort(ids)
	p.rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

func (p *Prober) ping(now time.Time, e *entry) Outgoing {
	p.seq++
	p.probes[p.seq] = probe{target: e.ID, sent: now}
	packet := p.packet(now, Ping, p.seq)
	if e.State == Suspect {
		// The suspect must learn of the suspicion to refute it.
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

func (p *Prober) requestSync(now time.Time) []Outgoing {
	var out []Outgoing
	for _, id := range p.randomAlive("", 1) {
		p.seq++
		out = append(out, Outgoing{To: p.members[id].Gossip, Packet: p.packet(now, SyncReq, p.seq)})
	}
	return out
}

// packet returns a packet that carries the least sent updates.
func (p *Prober) packet(now time.Time, kind PacketKind, seq uint64) Packet {
	out := Packet{Kind: kind, Seq: seq, From: p.self.ID, Revision: p.revision, Sent: now}
	n := min(updatesPerPacket, len(p.updates))
	for i := range n {
		id := p.updates[i].id
		p.updates[i].sendsLeft--
		if id == p.self.ID {
			out.Updates = append(out.Updates, p.self)
		} else if e := p.members[id]; e != nil {
			out.Updates = append(out.Updates, e.Member)
		}
	}
	p.updates = slices.DeleteFunc(p.updates, func(u pendingUpdate) bool { return u.sendsLeft <= 0 })
	slices.SortStableFunc(p.updates, func(a, b pendingUpdate) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	return out
}

func (p *Prober) enqueueUpdate(id string) {
	times := retransmitFactor * int(math.Ceil(math.Log2(float64(len(p.members)+2))))
	p.updates = slices.DeleteFunc(p.updates, func(u pendingUpdate) bool { return u.id == id })
	p.updates = slices.Insert(p.updates, 0, pendingUpdate{id: id, sendsLeft: times})
}

// Handle processes a packet received from the address from and returns the packets to send.
func (p *Prober) Handle(now time.Time, from netip.AddrPort, in Packet) []Outgoing {
	for _, m := range in.Updates {
		p.apply(now, m)
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
		p.lastAck = now
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

// apply merges a received member state into the view.
func (p *Prober) apply(now time.Time, m Member) {
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
		p.enqueueUpdate(m.ID)
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
		old.suspectedHere = false
		p.changes = append(p.changes, Change{Member: m, Before: before, New: restarted, Drain: draining})
	}
	p.enqueueUpdate(m.ID)
}

// refute overrides a wrong state of the prober itself that other members hold, by raising its
// epoch or its counter.
func (p *Prober) refute(m Member) {
	if m.Epoch < p.self.Epoch || p.self.State == Left {
		return
	}
	if m.Epoch > p.self.Epoch {
		p.self.Epoch = m.Epoch + 1
		p.enqueueUpdate(p.self.ID)
		return
	}
	if m.State != Alive && m.Counter >= p.self.Counter {
		p.self.Counter = m.Counter + 1
		p.enqueueUpdate(p.self.ID)
	}
}

// Drain announces that the member no longer accepts ownership of more backend servers.
func (p *Prober) Drain() {
	p.self.Draining = true
	p.self.Counter++
	p.enqueueUpdate(p.self.ID)
}

// Leave marks the member as left and returns the announcements of it, which go to several
// live members at once.
func (p *Prober) Leave(now time.Time) []Outgoing {
	p.self.State = Left
	p.self.Counter++
	var out []Outgoing
	for _, id := range p.randomAlive("", updatesPerPacket) {
		p.seq++
		packet := p.packet(now, Ping, p.seq)
		packet.Updates = []Member{p.self}
		out = append(out, Outgoing{To: p.members[id].Gossip, Packet: packet})
	}
	return out
}

// Alone reports whether the view holds no other member as alive or suspect.
func (p *Prober) Alone() bool {
	for _, e := range p.members {
		if e.State < Dead {
			return false
		}
	}
	return true
}
