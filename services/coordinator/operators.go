package coordinator

import (
	"context"
	"sync"

	"github.com/ebonylock/ebonylock/services/dispatcher"
)

// Revisions returns the configuration revision in force on each VM of the view. VMs that do not answer are
// missing from the result.
func (c *Coordinator) Revisions(ctx context.Context) map[string]uint64 {
	cfg, _ := c.config.Current()
	out := map[string]uint64{c.self: cfg.Revision}
	view := c.View()
	if view == nil {
		return out
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, m := range view.VMs {
		if id == c.self {
			continue
		}
		wg.Go(func() {
			_, revision, err := c.link.Remote(m.Link).Claim(ctx, nil)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[id] = revision
		})
	}
	wg.Wait()
	return out
}

// Statuses returns the status of each backend server that this VM owns.
func (c *Coordinator) Statuses() []dispatcher.Status {
	return c.dispatch.Statuses()
}

// HasService reports whether any backend server of the view serves the service.
func (c *Coordinator) HasService(name string) bool {
	v := c.View()
	if v == nil {
		return false
	}
	for _, s := range v.Servers {
		if s.Service == name {
			return true
		}
	}
	return false
}
