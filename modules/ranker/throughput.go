package ranker

import "time"

// throughputRuns is the number of ends of runs that a throughput remembers.
const throughputRuns = 16

// throughput measures how fast a replica completes runs while this VM keeps all its slots in use.
type throughput struct {
	// fullSince is the time from which on this VM has had as many runs in progress as there are slots; zero
	// while it has fewer.
	fullSince time.Time
	// ends is a ring of the ends of the last runs since fullSince. count is the number of these runs.
	ends  [throughputRuns]time.Time
	count int
}

// update records whether all slots are in use at now.
func (t *throughput) update(full bool, now time.Time) {
	switch {
	case !full:
		t.fullSince = time.Time{}
	case t.fullSince.IsZero():
		t.fullSince, t.count = now, 0
	}
}

// add records the end of a run.
func (t *throughput) add(now time.Time) {
	t.ends[t.count%throughputRuns] = now
	t.count++
}

// leastDelay returns the least time after which the last of n runs, queued runs included, is expected to end if the
// replica goes on as fast as it has been. The runs in its slots count as half completed; until some have ended, as
// completed. It returns 0 if this VM doesn't keep all slots in use.
func (t *throughput) leastDelay(n, slots int, now time.Time) time.Duration {
	if t.fullSince.IsZero() {
		return 0
	}
	since, ended := t.fullSince, t.count
	if t.count >= throughputRuns {
		since, ended = t.ends[t.count%throughputRuns], throughputRuns-1
	}
	return now.Sub(since) * time.Duration(n) / time.Duration(max(ended+slots/2, slots, 1))
}
