package decider

import (
	"cmp"
	"slices"
	"time"
)

// Need says how many parts a response needs.
type Need struct {
	// MinParts is the number of parts required for a response, at least 1.
	MinParts int
	// MinViable is the number of usable parts below which nothing is sent. It is MinParts, or less
	// if other VMs gather parts of the same response.
	MinViable int
}

// Decision is the decision about one part before anything is sent.
type Decision struct {
	// Reason is why the part is left out, empty if it is sent.
	Reason string
	// RoomAfter is the time after which there is room for the part, if Reason is Saturated.
	RoomAfter time.Duration
}

// PlanParts decides which parts of a request to send. best holds the best replica of each part, nil
// for a part without a replica. Parts that can't be served before the deadline are left out, and so
// are parts that would be late as long as the response can do without them. If there can be no
// response, all parts are left out, so that nothing runs.
func PlanParts(best []*Replica, need Need, t Times) []Decision {
	out := make([]Decision, len(best))
	var slow []int
	unavailable := 0
	for i, r := range best {
		switch {
		case r == nil:
			out[i].Reason = NoReplica
		case r.closed() != "":
			out[i].Reason = r.closed()
		case r.hopeless(t):
			out[i].Reason = Unhealthy
		case r.outlasts(t):
			out[i].Reason = Stopping
		case r.excess(t) > 0:
			out[i] = Decision{Saturated, r.excess(t)}
		case r.tooSlow(t):
			slow = append(slow, i)
		}
		if out[i].Reason != "" {
			unavailable++
		}
	}
	if unavailable+need.MinViable > len(best) {
		for i := range out {
			if out[i].Reason == "" {
				out[i].Reason = NoAnswer
			}
		}
		return out
	}
	for _, i := range leaveOut(slow, best, len(best)-need.MinParts-unavailable) {
		out[i].Reason = TooSlow
	}
	return out
}

// leaveOut returns those of the slow parts to leave out if at most spare parts may be missing: all
// of them if the response is in time without them, otherwise the ones without a free connection that
// would take longest. A late response then loads only the shards that it can't do without, so that
// two saturated shards serve different requests instead of the same ones.
func leaveOut(slow []int, best []*Replica, spare int) []int {
	if len(slow) > spare {
		slow = slices.DeleteFunc(slow, func(i int) bool { return !best[i].full() })
		slices.SortStableFunc(slow, func(a, b int) int { return cmp.Compare(best[b].Completion(), best[a].Completion()) })
	}
	return slow[:max(min(spare, len(slow)), 0)]
}

// Progress is how far a request has come.
type Progress struct {
	// Parts is the number of parts, Replied that of the parts with a reply, GivenUp that of the
	// parts given up, and Waiting that of the other parts that wait for the budget.
	Parts, Replied, GivenUp, Waiting int
	// MinParts is the number of parts required for a response.
	MinParts int
}

// Required reports whether there is no response in time without a part that has no reply yet and is
// not counted as waiting. Parts that were given up or wait count as lost, and from the last recheck
// on at which another attempt could still be in time, all parts without a reply do.
func (p Progress) Required(r *Replica, t Times) bool {
	lost := p.GivenUp + p.Waiting
	if !t.Now.Add(Recheck).Before(latestStart(r, t)) {
		lost = p.Parts - p.Replied - 1
	}
	return lost+1+p.MinParts > p.Parts
}
