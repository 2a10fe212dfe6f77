package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/modules/prober"
)

// claimLoop opens owned servers once no other VM can be using them.
func (c *Coordinator) claimLoop(ctx context.Context) {
	every(ctx, claimInterval, func() {
		now := time.Now()
		c.mu.Lock()
		closed := slices.Clone(c.closed)
		settled := !now.Before(c.settled)
		c.mu.Unlock()
		if len(closed) == 0 || !settled {
			return
		}
		c.claim(ctx, now, closed)
	})
}

// claim asks every VM that could hold one of the servers. Those live must say that they
// do not; those dead must have been dead for the quiet period.
func (c *Coordinator) claim(ctx context.Context, now time.Time, servers []string) {
	v := c.View()
	byCentre := make(map[string][]string)
	for _, id := range servers {
		dc := v.Servers[id].DataCentre
		byCentre[dc] = append(byCentre[dc], id)
	}
	var wg sync.WaitGroup
	for dc, ids := range byCentre {
		wg.Go(func() { c.claimCentre(ctx, now, dc, ids) })
	}
	wg.Wait()
	c.own(now, c.View())
}

func (c *Coordinator) claimCentre(ctx context.Context, now time.Time, dc string, ids []string) {
	ctx, stop := context.WithTimeout(ctx, claimTimeout)
	defer stop()
	voters, quiet := c.voters(now, dc)
	if !quiet {
		return
	}
	var mu sync.Mutex
	free := slices.Clone(ids)
	var wg sync.WaitGroup
	for _, m := range voters {
		wg.Go(func() {
			held := c.ask(ctx, m, ids)
			mu.Lock()
			defer mu.Unlock()
			free = slices.DeleteFunc(free, func(id string) bool { return slices.Contains(held, id) })
		})
	}
	wg.Wait()
	c.dispatch.Open(time.Now(), free)
}

// ask returns those of ids that the member may hold: all of them when it does not answer
// or knows a newer configuration.
func (c *Coordinator) ask(ctx context.Context, m prober.Member, ids []string) []string {
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

// voters returns the live VMs that could hold servers of dc: those in dc, or all when
// there is none. It returns false while a dead one of them may still send.
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
