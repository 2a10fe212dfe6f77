package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/modules/prober"
)

// claimLoop opens the owned servers that are closed once no other VM can be using them. It returns when ctx
// ends.
func (c *Coordinator) claimLoop(ctx context.Context) {
	runEvery(ctx, claimInterval, func() {
		now := time.Now()
		c.mu.Lock()
		closed := slices.Clone(c.closed)
		settled := !now.Before(c.quietUntil)
		c.mu.Unlock()
		if len(closed) == 0 || !settled {
			return
		}
		c.claim(ctx, now, closed)
	})
}

// claim opens those of the servers that no other VM can be using, data centre by data centre. Every live VM
// that could hold a server must confirm that it does not, and every dead one must have been dead for the
// quiet period.
func (c *Coordinator) claim(ctx context.Context, now time.Time, servers []string) {
	v := c.View()
	byCentre := make(map[string][]string)
	for _, id := range servers {
		dc := v.Servers[id].DataCentre
		byCentre[dc] = append(byCentre[dc], id)
	}
	var wg sync.WaitGroup
	for dc, ids := range byCentre {
		wg.Go(func() { c.claimDataCentre(ctx, now, dc, ids) })
	}
	wg.Wait()
	c.applyOwnership(now, c.View())
}

// claimDataCentre claims the servers ids, which are all in the data centre dc.
func (c *Coordinator) claimDataCentre(ctx context.Context, now time.Time, dc string, ids []string) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	voters, quiet := c.voters(now, dc)
	if !quiet {
		return
	}
	var mu sync.Mutex
	free := slices.Clone(ids)
	var wg sync.WaitGroup
	for _, m := range voters {
		wg.Go(func() {
			held := c.claimFrom(ctx, m, ids)
			mu.Lock()
			defer mu.Unlock()
			free = slices.DeleteFunc(free, func(id string) bool { return slices.Contains(held, id) })
		})
	}
	wg.Wait()
	c.dispatch.Open(time.Now(), free)
}

// claimFrom returns those of ids that the member may hold. These are all of them when the member does not
// answer or has a newer configuration.
func (c *Coordinator) claimFrom(ctx context.Context, m prober.Member, ids []string) []string {
	held, revision, err := c.link.Remote(m.Link).Claim(ctx, ids)
	if err != nil {
		return ids
	}
	cfg, _ := c.config.Current()
	if revision > cfg.Revision {
		c.RevisionSeen(m.ID, revision)
		return ids
	}
	return held
}

// voters returns the live VMs that could hold servers of the data centre dc: those in dc, or all VMs if none
// in dc is live. It returns false while a dead one of them may still send to servers.
func (c *Coordinator) voters(now time.Time, dc string) ([]prober.Member, bool) {
	members := c.gossip.Members()
	local := slices.ContainsFunc(members, func(m prober.Member) bool { return m.DataCentre == dc && m.State < prober.Dead })
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []prober.Member
	for _, m := range members {
		if m.ID == c.self || (local && m.DataCentre != dc) {
			continue
		}
		if m.State < prober.Dead {
			out = append(out, m)
		}
		if died, ok := c.diedAt[m.ID]; ok && now.Sub(died) < c.dispatch.TakeoverDelay() {
			return nil, false
		}
	}
	return out, true
}
