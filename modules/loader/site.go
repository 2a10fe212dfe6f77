package loader

import (
	"errors"
	"net/netip"
	"time"

	"github.com/tailscale/hujson"
)

// Site are the settings of a VM on the users' platform.
type Site struct {
	VM       VM
	Requests Requests
	Peers    Peers
	// Store is the address of the platform's key-value store.
	Store netip.AddrPort
	// FirstStart is true only when the whole fleet starts for the first time.
	FirstStart bool
	Bounds     Bounds
	Log        Log
}

// Requests sets up what callers and the platform's balancer talk to.
type Requests struct {
	// Listen is the address for callers.
	Listen netip.AddrPort
	// Readiness is the address at which the balancer asks whether the VM is ready.
	Readiness netip.AddrPort
	// Metrics is the address of the metrics.
	Metrics netip.AddrPort
}

// Peers sets up what VMs say to each other.
type Peers struct {
	Fleet
	// Seeds are addresses of VMs that may be alive; only the IP counts.
	Seeds []netip.AddrPort
}

// Bounds are the platform's bounds.
type Bounds struct {
	// RetryRatio and RetrySlack bound the extra sends of all VMs to a service: the ratio for
	// each request to it, and the slack besides, in any RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// Grace is the time from the request to stop to the end by force.
	Grace time.Duration
}

func defaultBounds() Bounds {
	return Bounds{
		RetryRatio:  0.2,
		RetrySlack:  50,
		RetryWindow: 10 * time.Second,
		Grace:       6 * time.Second,
	}
}

// LoadSite reads the settings of a VM on the users' platform from data; file is the name that
// errors give. Errors match ErrInvalid.
func LoadSite(file string, data []byte) (Site, error) {
	p := &parser{file: file, data: data, seen: make(map[string]int)}
	root, err := hujson.Parse(data)
	if err != nil {
		return Site{}, &Error{File: file, Line: syntaxLine(err), Key: "-", Message: err.Error()}
	}
	s := &Site{Bounds: defaultBounds(), Log: Log{Level: "info", Format: "json"}}
	err = p.object("", root, section{
		"vm":          p.sub("vm", s.VM.section(), true),
		"requests":    p.sub("requests", s.Requests.section(), true),
		"peers":       p.sub("peers", s.Peers.section(p), true),
		"store":       address(&s.Store),
		"first-start": truth(&s.FirstStart),
		"bounds":      p.sub("bounds", s.Bounds.section(), false),
		"log":         p.sub("log", s.Log.section(), false),
	})
	if err != nil {
		return Site{}, err
	}
	return *s, nil
}

func (s *Requests) section() section {
	return section{
		"listen":    address(&s.Listen),
		"readiness": address(&s.Readiness),
		"metrics":   address(&s.Metrics),
	}
}

func (s *Peers) section(p *parser) section {
	out := s.Fleet.section(p)
	out["seeds"] = field{set: func(v hujson.Value) error { return s.setSeeds(p, v) }}
	return out
}

func (s *Peers) setSeeds(p *parser, v hujson.Value) error {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		return errors.New("must be a list of addresses")
	}
	for _, e := range a.Elements {
		var seed netip.AddrPort
		if err := address(&seed).set(e); err != nil {
			return p.fail(e.StartOffset, "peers.seeds", err.Error())
		}
		s.Seeds = append(s.Seeds, seed)
	}
	return nil
}

// Limits of the bounds.
const (
	maxSlack = 1 << 20
	maxBound = 10 * time.Minute
)

func (s *Bounds) section() section {
	return section{
		"retry-ratio":  number(&s.RetryRatio, 0, 10),
		"retry-slack":  number(&s.RetrySlack, 0, maxSlack),
		"retry-window": duration(&s.RetryWindow, time.Millisecond, maxBound),
		"grace":        duration(&s.Grace, time.Millisecond, maxBound),
	}
}
