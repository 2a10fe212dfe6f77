package loader

import (
	"errors"
	"net/netip"
	"time"

	"github.com/tailscale/hujson"
)

// Site contains the settings of a VM on the users' platform.
type Site struct {
	VM       VM
	Requests Requests
	Peers    Peers
	// Store is the address of the platform's key-value store.
	Store netip.AddrPort
	// FirstStart is true only when the whole fleet is started for the first time.
	FirstStart bool
	Bounds     Bounds
	Log        Log
}

// Requests configures the listeners for callers, for the platform's load balancer and for
// metrics.
type Requests struct {
	// Listen is the address of the HTTP listener for callers.
	Listen netip.AddrPort
	// Readiness is the address that the load balancer uses for readiness checks.
	Readiness netip.AddrPort
	// Metrics is the address of the metrics endpoint.
	Metrics netip.AddrPort
}

// Peers configures the communication between VMs.
type Peers struct {
	Fleet
	// Seeds are addresses of VMs that may be alive. Only the IP address is used.
	Seeds []netip.AddrPort
}

// Bounds contains the limits that the platform sets.
type Bounds struct {
	// RetryRatio and RetrySlack limit the extra sends of all VMs to a service within any
	// RetryWindow: RetryRatio times the number of requests to the service, plus RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// WarmupOvershoot and WarmupSlack limit the requests of all VMs to a cold replica within a second:
	// WarmupOvershoot times its configured rate, plus WarmupSlack.
	WarmupOvershoot, WarmupSlack float64
	// Grace is the time between the request to stop and the forced termination.
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

// LoadSite parses the settings of a VM on the users' platform from data; file is the file name
// for error messages. Errors match ErrInvalid.
func LoadSite(file string, data []byte) (Site, error) {
	p := &parser{file: file, data: data, lines: make(map[string]int)}
	root, err := hujson.Parse(data)
	if err != nil {
		return Site{}, &Error{File: file, Line: syntaxLine(err), Key: "-", Message: err.Error()}
	}
	s := &Site{Bounds: defaultBounds(), Log: Log{Level: "info", Format: "json"}}
	err = p.object("", root, section{
		"vm":          p.subsection("vm", s.VM.section(), true),
		"requests":    p.subsection("requests", s.Requests.section(), true),
		"peers":       p.subsection("peers", s.Peers.section(p), true),
		"store":       address(&s.Store),
		"first-start": boolean(&s.FirstStart),
		"bounds":      p.subsection("bounds", s.Bounds.section(), false),
		"log":         p.subsection("log", s.Log.section(), false),
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
			return p.errorAt(e.StartOffset, "peers.seeds", err.Error())
		}
		s.Seeds = append(s.Seeds, seed)
	}
	return nil
}

// Maximum values of the settings in Bounds.
const (
	maxSlack    = 1 << 20
	maxDuration = 10 * time.Minute
)

func (s *Bounds) section() section {
	return section{
		"retry-ratio":      number(&s.RetryRatio, 0, 10),
		"retry-slack":      number(&s.RetrySlack, 0, maxSlack),
		"retry-window":     duration(&s.RetryWindow, time.Millisecond, maxDuration),
		"warmup-overshoot": number(&s.WarmupOvershoot, 0, maxSlack),
		"warmup-slack":     number(&s.WarmupSlack, 0, maxSlack),
		"grace":            duration(&s.Grace, time.Millisecond, maxDuration),
	}
}
