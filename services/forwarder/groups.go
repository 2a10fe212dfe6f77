package forwarder

import (
	"slices"
	"time"

	"github.com/ebonylock/ebonylock/modules/decider"
	"github.com/ebonylock/ebonylock/modules/selector"
)

// group is a set of shards that the VMs of one data centre gather.
type group struct {
	dataCentre string
	shards     []int
}

// groupShards divides the shards among the data centres that have replicas of them. This VM's data
// centre comes first, then repeatedly the one with most of the remaining shards. Shards without a
// replica are lost.
func (fo *fanout) groupShards() []group {
	byDC := make(map[string][]int)
	var remaining []int
	for i, service := range fo.fl.route.Shards {
		list := fo.fl.state.View.Services[service]
		if len(list) == 0 {
			fo.lost++
			fo.reasons = append(fo.reasons, decider.NoReplica)
			continue
		}
		remaining = append(remaining, i)
		var seen []string
		for _, c := range list {
			if dc := c.DataCentre; !c.Missing && !slices.Contains(seen, dc) && fo.reachable(dc) {
				seen = append(seen, dc)
				byDC[dc] = append(byDC[dc], i)
			}
		}
	}
	var out []group
	for dc := fo.fl.f.cfg.DataCentre; len(remaining) > 0; dc = fo.largest(byDC) {
		taken := byDC[dc]
		if len(taken) == 0 && len(byDC) == 0 {
			// The remaining replicas are in data centres where no gatherer is reachable, so the
			// gatherers of this VM's data centre send to them.
			return append(out, group{fo.fl.f.cfg.DataCentre, remaining})
		}
		delete(byDC, dc)
		if len(taken) == 0 {
			continue
		}
		out = append(out, group{dc, taken})
		without := func(i int) bool { return slices.Contains(taken, i) }
		remaining = slices.DeleteFunc(remaining, without)
		for other, list := range byDC {
			byDC[other] = slices.DeleteFunc(list, without)
		}
	}
	return out
}

// largest returns the data centre with the most shards. Ties are broken by this VM's own order,
// which distributes the load.
func (fo *fanout) largest(byDC map[string][]int) string {
	var vms []selector.VM
	most := 0
	for dc, list := range byDC {
		if len(list) > most {
			vms, most = nil, len(list)
		}
		if len(list) == most {
			vms = append(vms, selector.VM{ID: dc})
		}
	}
	if len(vms) == 0 {
		return ""
	}
	return selector.Order(vms, fo.fl.f.cfg.VM)[0].ID
}

// reachable reports whether a data centre has a gatherer that is not in backoff.
func (fo *fanout) reachable(dataCentre string) bool {
	now := time.Now()
	return slices.ContainsFunc(fo.sel.ByDataCentre[dataCentre], func(v selector.VM) bool {
		return v.ID == fo.fl.f.cfg.VM || !fo.fl.f.peers.inBackoff(v.ID, now)
	})
}

// chooseVM returns the VM to call: one in the given data centre, else one in this VM's data centre,
// else any. If other VMs were already tried, this VM's data centre comes first. ok is false if
// there is no VM left.
func (fo *fanout) chooseVM(dataCentre string, tried []string, now time.Time) (to selector.VM, ok bool) {
	f := fo.fl.f
	if len(tried) >= maxHops {
		return to, false
	}
	usable := func(v selector.VM) bool {
		return !slices.Contains(tried, v.ID) && (v.ID == f.cfg.VM || !f.peers.inBackoff(v.ID, now))
	}
	var rest []selector.VM
	for _, list := range fo.sel.ByDataCentre {
		rest = append(rest, list...)
	}
	there, here := fo.sel.ByDataCentre[dataCentre], fo.sel.ByDataCentre[f.cfg.DataCentre]
	if len(tried) > 0 {
		// The whole data centre may be unreachable.
		there, here = here, there
	}
	for _, list := range [][]selector.VM{there, here, rest} {
		if i := slices.IndexFunc(list, func(v selector.VM) bool { return v.ID == f.cfg.VM }); i >= 0 && usable(list[i]) {
			return list[i], true
		}
		list = selector.Order(list, f.cfg.VM)
		if i := slices.IndexFunc(list, usable); i >= 0 {
			return list[i], true
		}
	}
	return to, false
}
