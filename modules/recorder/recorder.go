// Package recorder keeps the most recent state changes of a process in a bounded buffer.
package recorder

import (
	"slices"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/modules/stamper"
)

// Kind is the type of a state change, in kebab case.
type Kind string

// Kinds of state changes.
const (
	Started            Kind = "started"
	Ready              Kind = "ready"
	Stopping           Kind = "stopping"
	VMAlive            Kind = "vm-alive"
	VMSuspect          Kind = "vm-suspect"
	VMDead             Kind = "vm-dead"
	VMLeft             Kind = "vm-left"
	OwnerGained        Kind = "owner-gained"
	OwnerOpened        Kind = "owner-opened"
	OwnerLost          Kind = "owner-lost"
	ServerCold         Kind = "server-cold"
	ServerLeaving      Kind = "server-leaving"
	ConfigInForce      Kind = "config-in-force"
	StoreUp            Kind = "store-up"
	StoreDown          Kind = "store-down"
	ListMalformed      Kind = "list-malformed"
	RequestSuspect     Kind = "request-suspect"
	RequestQuarantined Kind = "request-quarantined"
)

// Event is one state change.
type Event struct {
	Stamp stamper.Stamp
	Kind  Kind
	// Subject names the VM, backend server, data centre or revision that changed.
	Subject string
	// Detail is a human-readable description.
	Detail string
}

// defaultSize is the number of events kept by a Ring whose Size is 0.
const defaultSize = 2048

// Ring keeps the most recent events. The zero value is ready to use.
type Ring struct {
	// Size is the maximum number of events kept; 0 means 2,048.
	Size int
	// Clock issues the timestamps of the events.
	Clock stamper.Clock

	mu sync.Mutex
	// events holds at most Size events in the order in which they were recorded.
	events []Event
}

// Record adds an event; now is the current wall clock time. It discards the oldest event if the
// buffer is full.
func (r *Ring) Record(now time.Time, kind Kind, subject, detail string) {
	stamp := r.Clock.Now(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	size := r.Size
	if size == 0 {
		size = defaultSize
	}
	if len(r.events) >= size {
		r.events = slices.Delete(r.events, 0, len(r.events)-size+1)
	}
	r.events = append(r.events, Event{Stamp: stamp, Kind: kind, Subject: subject, Detail: detail})
}

// Events returns a copy of the recorded events, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}
