//go:build review

package main

import (
	"fmt"
	"time"
)

// checkCold checks that no cold replica got more requests than it bears, and records what each has got.
func (s *stage) checkCold(r *record, perSecond float64) error {
	var broken error
	for _, p := range s.replicas {
		list := p.taken()
		cold := 0
		for _, a := range list {
			if a.cold {
				cold++
			}
		}
		most, from := worstSecond(list, s.caller.sent)
		r.addf("replica: %s (%s) ran %d requests, %d while cold, at most %d of them within a second (bound %.1f)", p.id, p.zone, len(list), cold, most, coldBound(perSecond))
		if float64(most) > coldBound(perSecond) && broken == nil {
			broken = fmt.Errorf("%w: FAILBACK: %s got %d requests in the second from %.3f, bound %.1f", errBroken, p.id, most, from.Sub(r.began).Seconds(), coldBound(perSecond))
		}
	}
	return broken
}

// coldBound is the number of requests that a cold replica may get in a second.
func coldBound(perSecond float64) float64 {
	const overshoot, slack = 1.5, 5
	return perSecond*overshoot + slack
}

// worstSecond returns the largest number of requests that were sent and reached the cold replica within a second,
// and the beginning of that second.
func worstSecond(list []arrival, sent func(id string) time.Time) (most int, from time.Time) {
	for i, first := range list {
		if !first.cold {
			continue
		}
		n := 0
		begin := sent(first.id)
		for _, a := range list[i:] {
			if a.cold && !sent(a.id).Before(begin) && a.at.Sub(begin) <= time.Second {
				n++
			}
		}
		if n > most {
			most, from = n, begin
		}
	}
	return most, from
}
