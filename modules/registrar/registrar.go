// Package registrar keeps the registrations of the backend servers.
package registrar

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Replica is one started instance of a backend server, as it registered itself.
type Replica struct {
	// ID is unique, except that a server may restart under the same ID.
	ID string
	// StartedAt is the start time of the process; zero if it is not known.
	StartedAt time.Time
	Service   string
	// Version is the version of its software.
	Version    string
	DataCentre string
	Addr       netip.AddrPort
	// Slots is the number of requests that it runs concurrently, at least 1.
	Slots int
	// Draining is true once it is shutting down.
	Draining bool
	// ColdUntil is the time at which its warm-up ends.
	ColdUntil time.Time
}

// Candidate is a Replica that may receive requests.
type Candidate struct {
	Replica
	// Key is unique for each start of a server, even if its ID is reused.
	Key string
	// Missing is true while the entry is missing but may come back. Such a replica is a last resort.
	Missing bool
}

// View is an immutable snapshot of the usable replicas.
type View struct {
	// Services holds the usable replicas of each service, sorted by ID.
	Services map[string][]*Candidate
}

// Has reports whether a service has the replica with the given Key.
func (v *View) Has(service, key string) bool {
	return slices.ContainsFunc(v.Services[service], func(c *Candidate) bool { return c.Key == key })
}

// defaultGracePeriod is the time for which a missing entry stays usable as a last resort. Entries that
// expired during an outage of the store are back within two seconds after it.
const defaultGracePeriod = 2100 * time.Millisecond

// Registry holds the entries. The zero value is ready for use. It is not safe for concurrent use.
type Registry struct {
	// GracePeriod is the time for which a missing entry stays usable as a last resort; 0 means 2.1 s.
	GracePeriod time.Duration
	entries     map[string]*entry
	// evacuated is the set of data centres that get no requests.
	evacuated map[string]bool
}

type entry struct {
	Replica
	// missingSince is the time from which the entry counts as missing; zero while it exists.
	missingSince time.Time
}

// Put adds or replaces an entry.
func (r *Registry) Put(rep Replica) {
	if r.entries == nil {
		r.entries = make(map[string]*entry)
	}
	r.entries[rep.ID] = &entry{Replica: rep}
}

// Get returns the entry with an ID. It returns false if there is none.
func (r *Registry) Get(id string) (Replica, bool) {
	e := r.entries[id]
	if e == nil {
		return Replica{}, false
	}
	return e.Replica, true
}

// MarkMissing records that an entry is missing since a time, which may be long before it is noticed, unless
// it is already marked.
func (r *Registry) MarkMissing(id string, since time.Time) {
	if e := r.entries[id]; e != nil && e.missingSince.IsZero() {
		e.missingSince = since
	}
}

// Drop removes an entry without a grace period.
func (r *Registry) Drop(id string) {
	delete(r.entries, id)
}

// SetEvacuated replaces the set of data centres that get no requests.
func (r *Registry) SetEvacuated(dataCentres map[string]bool) {
	r.evacuated = dataCentres
}

// Sweep removes the entries whose grace period has ended and returns their IDs.
func (r *Registry) Sweep(now time.Time) []string {
	grace := r.GracePeriod
	if grace == 0 {
		grace = defaultGracePeriod
	}
	var expired []string
	for id, e := range r.entries {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) >= grace {
			delete(r.entries, id)
			expired = append(expired, id)
		}
	}
	return expired
}

// maxClockSkew is the time by which the clock of a server may be ahead of this VM's.
const maxClockSkew = time.Minute

// View returns the replicas that may receive requests at now. configured reports whether the
// configuration names a service.
func (r *Registry) View(now time.Time, configured func(service string) bool) *View {
	v := &View{Services: make(map[string][]*Candidate)}
	newest := make(map[netip.AddrPort]time.Time)
	for _, e := range r.entries {
		// An entry of an unknown service, or of a start in the future, may have another writer and is no
		// evidence that another server has ended.
		believed := configured(e.Service) && e.StartedAt.Before(now.Add(maxClockSkew))
		if believed && e.missingSince.IsZero() && e.StartedAt.After(newest[e.Addr]) {
			newest[e.Addr] = e.StartedAt
		}
	}
	for _, e := range r.entries {
		if e.Draining || r.evacuated[e.DataCentre] {
			continue
		}
		// A server that started later at the same address has replaced this one.
		if e.StartedAt.Before(newest[e.Addr]) {
			continue
		}
		c := &Candidate{Replica: e.Replica, Key: e.key(), Missing: !e.missingSince.IsZero()}
		v.Services[e.Service] = append(v.Services[e.Service], c)
	}
	for _, list := range v.Services {
		slices.SortFunc(list, func(a, b *Candidate) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// key identifies one start of a replica at its address.
func (r Replica) key() string {
	return r.ID + "/" + strconv.FormatInt(r.StartedAt.UnixMilli(), 36) + "/" + r.Addr.String()
}
