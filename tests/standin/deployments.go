package standin

import (
	"fmt"
	"time"
)

// group describes the services of one search, which have the same number of replicas and the same
// settings. A group of one service has the name of the search.
type group struct {
	search             string
	services, replicas int
	slots, maxConns    int
	connectCost        time.Duration
	work               time.Duration
}

// Deployment describes one user's installation.
type Deployment struct {
	Name        string
	DataCentres []string
	groups      []group
	// Fast holds the searches that answer as soon as they reach their minimum coverage.
	Fast map[string]bool
}

const (
	partitionedWork   = 4 * time.Millisecond
	singleServiceWork = 2 * time.Millisecond
)

// Deployments are the two existing installations.
var Deployments = []Deployment{
	{
		Name:        "addis",
		DataCentres: []string{"bole", "piassa", "merkato"},
		groups: []group{
			{"stand-search", 10, 3, 2, 25, 6 * time.Millisecond, partitionedWork},
			{"hire-billing", 15, 3, 2, 25, 6 * time.Millisecond, partitionedWork},
			{"reservations", 1, 7, 4, 100, time.Millisecond, singleServiceWork},
			{"returns-desk", 1, 3, 4, 100, time.Millisecond, singleServiceWork},
		},
	},
	{
		Name:        "texas",
		DataCentres: []string{"waco-shed", "temple-barn", "belton-loft"},
		groups: []group{
			{"cutfloor", 10, 3, 6, 45, 6 * time.Millisecond, partitionedWork},
			{"orderdesk", 15, 3, 6, 45, 6 * time.Millisecond, partitionedWork},
			{"tannery-ledger", 1, 25, 4, 45, time.Millisecond, singleServiceWork},
			{"shipbook", 1, 13, 4, 45, time.Millisecond, singleServiceWork},
		},
		Fast: map[string]bool{"orderdesk": true},
	},
}

// FindDeployment returns the deployment with the given name and whether there is one.
func FindDeployment(name string) (Deployment, bool) {
	for _, d := range Deployments {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

// Searches returns the services of each search, keyed by the search's name.
func (d Deployment) Searches() map[string][]string {
	out := make(map[string][]string)
	for _, g := range d.groups {
		for i := range g.services {
			out[g.search] = append(out[g.search], g.service(i))
		}
	}
	return out
}

// service returns the name of the group's service with index i.
func (g group) service(i int) string {
	if g.services == 1 {
		return g.search
	}
	return fmt.Sprintf("%s-%02d", g.search, i+1)
}

// Backends returns the configurations of all backend servers. The replicas of a service are spread
// over the data centres in turn.
func (d Deployment) Backends() []BackendConfig {
	var out []BackendConfig
	for _, g := range d.groups {
		for i := range g.services {
			svc := g.service(i)
			for r := range g.replicas {
				out = append(out, BackendConfig{
					ID:          fmt.Sprintf("%s-r%d", svc, r+1),
					Service:     svc,
					DataCentre:  d.DataCentres[(i+r)%len(d.DataCentres)],
					Slots:       g.slots,
					MaxConns:    g.maxConns,
					ConnectCost: g.connectCost,
					Work:        g.work,
					ColdFactor:  2,
					WarmAfter:   8,
					Generations: FirstGenerations(),
					Seed:        uint64(len(out) + 1),
				})
			}
		}
	}
	return out
}

// FirstGenerations returns the generations that a server holds at its start.
func FirstGenerations() []Generation {
	return []Generation{{Number: 1, Partitions: []string{"p0", "p1"}}}
}
