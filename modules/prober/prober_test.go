package prober

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_700_000_000, 0)

// network carries packets between members in virtual time.
type network struct {
	now     time.Time
	rnd     *rand.Rand
	members []*Prober
	// loss is the share of packets lost; cut says which pairs can't talk.
	loss float64
	cut  func(from, to int) bool
	// frozen members neither tick nor receive.
	frozen map[int]bool
	queue  []delivery
	sent   int
	// far counts the packets between data centres.
	far int
}

type delivery struct {
	at     time.Time
	to     netip.AddrPort
	from   netip.AddrPort
	packet []byte
}

const (
	step    = 10 * time.Millisecond
	latency = 2 * time.Millisecond
)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7300)
}

func newNetwork(n int, seed uint64) *network {
	w := &network{now: epoch, rnd: rand.New(rand.NewPCG(seed, 0)), frozen: make(map[int]bool)}
	for i := range n {
		self := Member{ID: fmt.Sprintf("vm-%03d", i), DataCentre: "dc", Gossip: addr(i), Epoch: 1}
		p := New(self, Config{}, rand.New(rand.NewPCG(seed, uint64(i))), w.now)
		p.SetSeeds([]netip.AddrPort{addr(0)})
		w.members = append(w.members, p)
	}
	return w
}

func (w *network) send(from netip.AddrPort, out []Outgoing) {
	for _, o := range out {
		w.sent++
		if w.dataCentre(from) != w.dataCentre(o.To) {
			w.far++
		}
		if w.rnd.Float64() < w.loss {
			continue
		}
		w.queue = append(w.queue, delivery{w.now.Add(latency), o.To, from, o.Packet.Append(nil)})
	}
}

func (w *network) dataCentre(a netip.AddrPort) string {
	return w.members[int(a.Addr().As4()[2])<<8|int(a.Addr().As4()[3])].self.DataCentre
}

// newRegions is newNetwork with the members in several data centres by turns.
func newRegions(n, dataCentres int, seed uint64) *network {
	w := newNetwork(n, seed)
	for i, p := range w.members {
		p.self.DataCentre = fmt.Sprint("dc-", i%dataCentres)
	}
	return w
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		due := w.queue
		w.queue = nil
		for _, m := range due {
			if m.at.After(w.now) {
				w.queue = append(w.queue, m)
				continue
			}
			w.deliver(m)
		}
		for i, p := range w.members {
			if !w.frozen[i] {
				w.send(addr(i), p.Tick(w.now))
			}
		}
	}
}

func (w *network) deliver(m delivery) {
	to := slices.IndexFunc(w.members, func(p *Prober) bool { return p.self.Gossip == m.to })
	from := slices.IndexFunc(w.members, func(p *Prober) bool { return p.self.Gossip == m.from })
	if w.frozen[to] || (w.cut != nil && w.cut(from, to)) {
		return
	}
	packet, err := Decode(m.packet)
	if err != nil {
		panic(err)
	}
	w.send(m.to, w.members[to].Handle(w.now, m.from, packet))
}

// states counts what member i believes of the others.
func (w *network) states(i int) map[State]int {
	out := make(map[State]int)
	for _, m := range w.members[i].Members() {
		out[m.State]++
	}
	return out
}

func TestJoin(t *testing.T) {
	for _, n := range []int{2, 7, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(n, 1)
			w.run(10 * time.Second)
			for i := range n {
				is.Equal(w.states(i)[Alive], n)
			}
		})
	}
}

// TestDetection bounds the time until every member holds a silent one for dead.
func TestDetection(t *testing.T) {
	for _, n := range []int{7, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(n, 2)
			w.run(10 * time.Second)
			w.frozen[n-1] = true
			w.run(2 * time.Second)
			for i := range n - 1 {
				is.Equal(w.states(i)[Dead], 1)
			}
		})
	}
}

// TestNoFalseDeaths runs under 5 % loss and checks that nobody is declared dead.
func TestNoFalseDeaths(t *testing.T) {
	is := is.New(t)
	w := newNetwork(30, 3)
	w.loss = 0.05
	w.run(10 * time.Second)
	for _, p := range w.members {
		p.TakeChanges()
	}
	w.run(2 * time.Minute)
	deaths := 0
	for _, p := range w.members {
		for _, c := range p.TakeChanges() {
			if c.Member.State == Dead {
				deaths++
			}
		}
	}
	is.Equal(deaths, 0)
}

// TestOneWayCut cuts one pair only; the others' probes keep both alive.
func TestOneWayCut(t *testing.T) {
	is := is.New(t)
	w := newNetwork(7, 4)
	w.run(5 * time.Second)
	w.cut = func(from, to int) bool { return from == 1 && to == 2 }
	w.run(30 * time.Second)
	for i := range 7 {
		is.Equal(w.states(i)[Alive], 7)
	}
}

// TestPartitionHeals cuts the fleet in two and checks that both sides know all again
// after the cut, as VMs of the list that are not alive go on being asked.
func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	w := newNetwork(8, 5)
	for i, p := range w.members {
		var seeds []netip.AddrPort
		for j := range w.members {
			if i != j {
				seeds = append(seeds, addr(j))
			}
		}
		p.SetSeeds(seeds)
	}
	w.run(5 * time.Second)
	w.cut = func(from, to int) bool { return (from < 4) != (to < 4) }
	w.run(time.Minute)
	is.Equal(w.states(0)[Dead], 4)
	w.cut = nil
	w.run(20 * time.Second)
	for i := range 8 {
		is.Equal(w.states(i)[Alive], 8)
	}
}

func TestLeave(t *testing.T) {
	is := is.New(t)
	w := newNetwork(7, 6)
	w.run(5 * time.Second)
	w.send(addr(3), w.members[3].Leave(w.now))
	w.frozen[3] = true
	w.run(time.Second)
	for i := range 7 {
		if i != 3 {
			is.Equal(w.states(i)[Left], 1)
		}
	}
}

func TestRestartOverridesDeath(t *testing.T) {
	is := is.New(t)
	w := newNetwork(5, 7)
	w.run(5 * time.Second)
	w.frozen[4] = true
	w.run(5 * time.Second)
	is.Equal(w.states(0)[Dead], 1)
	self := w.members[4].self
	self.Epoch++
	w.members[4] = New(self, Config{}, rand.New(rand.NewPCG(7, 7)), w.now)
	w.members[4].SetSeeds([]netip.AddrPort{addr(0)})
	w.frozen[4] = false
	w.run(5 * time.Second)
	for i := range 5 {
		is.Equal(w.states(i)[Alive], 5)
	}
}

// TestFlatCost shows that the packets of a member do not grow with the fleet.
func TestFlatCost(t *testing.T) {
	is := is.New(t)
	per := func(n int) float64 {
		w := newNetwork(n, 8)
		w.run(20 * time.Second)
		w.sent = 0
		w.run(10 * time.Second)
		return float64(w.sent) / float64(n) / 10
	}
	is.True(per(80) < 1.25*per(10))
}

func FuzzDecode(f *testing.F) {
	f.Add(Packet{Kind: Ping, From: "vm-1", Updates: []Member{{ID: "vm-2", Gossip: addr(1), State: Suspect}}}.Append(nil))
	f.Fuzz(func(t *testing.T, raw []byte) {
		packet, err := Decode(raw)
		if err != nil {
			return
		}
		if len(packet.Updates) > maxUpdates || packet.From == "" {
			t.Fatal("bad packet was taken")
		}
	})
}

// TestProbesStayNear is the pattern of a large fleet in several data centres, between which bytes are
// dear: most packets stay within them, and a data centre that goes dark is still found out.
func TestProbesStayNear(t *testing.T) {
	is := is.New(t)
	const n, dataCentres = 90, 3
	w := newRegions(n, dataCentres, 5)
	w.run(20 * time.Second)
	for i := range n {
		is.Equal(w.states(i)[Alive], n)
	}
	w.sent, w.far = 0, 0
	w.run(10 * time.Second)
	is.True(w.far*3 < w.sent) // chance would be two thirds
	for i := 0; i < n; i += dataCentres {
		w.frozen[i] = true
	}
	w.run(12 * time.Second)
	for i := range n {
		if !w.frozen[i] {
			is.Equal(w.states(i)[Dead], n/dataCentres)
		}
	}
}
