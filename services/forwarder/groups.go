package forwarder

import (
	"slices"
	"time"

	"github.com/ebonylock/ebonylock/modules/selector"
)

// group is the shards that the VMs of one data centre gather.
type group struct {
	dataCentre string
	shards     []int
}

// groups shares the shards among the data centres that have replicas of them: the own one first,
// then each time the one with most of those left. Shards without a replica are lost.
func (sp *spread) groups() []group {
	near := make(map[string][]int)
	var left []int
	for i, service := range sp.fl.route.Shards {
		list := sp.fl.state.View.Services[service]
		if len(list) == 0 {
			sp.lost++
			sp.reasons = append(sp.reasons, reasonNoReplica)
			continue
		}
		left = append(left, i)
		var seen []string
		for _, c := range list {
			if dc := c.DataCentre; !c.Missing && !slices.Contains(seen, dc) && sp.reachable(dc) {
				seen = append(seen, dc)
				near[dc] = append(near[dc], i)
			}
		}
	}
	var out []group
	for dc := sp.fl.f.cfg.DataCentre; len(left) > 0; dc = sp.widest(near) {
		taken := near[dc]
		if len(taken) == 0 && len(near) == 0 {
			// Their replicas are where no VM is reached: those of the own data centre send there.
			return append(out, group{sp.fl.f.cfg.DataCentre, left})
		}
		delete(near, dc)
		if len(taken) == 0 {
			continue
		}
		out = append(out, group{dc, taken})
		without := func(i int) bool { return slices.Contains(taken, i) }
		left = slices.DeleteFunc(left, without)
		for other, list := range near {
			near[other] = slices.DeleteFunc(list, without)
		}
	}
	return out
}

// widest returns the data centre with the most shards; the VM's own order decides between equal
// ones, so that the load is shared.
func (sp *spread) widest(near map[string][]int) string {
	var vms []selector.VM
	most := 0
	for dc, list := range near {
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
	return selector.Order(vms, sp.fl.f.cfg.VM)[0].ID
}

// reachable reports whether a data centre has a gatherer that is not in doubt.
func (sp *spread) reachable(dataCentre string) bool {
	now := time.Now()
	return slices.ContainsFunc(sp.sel.ByDataCentre[dataCentre], func(v selector.VM) bool {
		return v.ID == sp.fl.f.cfg.VM || !sp.fl.f.peers.doubted(v.ID, now)
	})
}

// choose returns the VM to ask: one of the data centre, else of the own one, else any; the own data
// centre comes first once others were tried. ok is false if there is none.
func (sp *spread) choose(dataCentre string, tried []string, now time.Time) (to selector.VM, ok bool) {
	f := sp.fl.f
	if len(tried) >= maxHops {
		return to, false
	}
	usable := func(v selector.VM) bool {
		return !slices.Contains(tried, v.ID) && (v.ID == f.cfg.VM || !f.peers.doubted(v.ID, now))
	}
	var rest []selector.VM
	for _, list := range sp.sel.ByDataCentre {
		rest = append(rest, list...)
	}
	there, here := sp.sel.ByDataCentre[dataCentre], sp.sel.ByDataCentre[f.cfg.DataCentre]
	if len(tried) > 0 {
		// The whole data centre may be out of reach.
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
