package quarantiner

import (
	"maps"
	"slices"
	"time"
)

// blame says which request is to blame for the loss of a server, and when that was.
type blame struct {
	by Fingerprint
	at time.Time
}

// blameFor records that the request of l, which is blocked, is to blame for its losses. Other requests and
// groups are cleared of the losses of the same servers, unless they are blocked as well.
func (r *Tracker) blameFor(l Loss, losses []knownLoss) {
	if r.blamed == nil {
		r.blamed = make(map[string]blame)
	}
	for _, lost := range losses {
		if _, ok := r.blamed[lost.Server]; !ok && len(r.blamed) >= maxRecords {
			maps.DeleteFunc(r.blamed, func(_ string, b blame) bool { return l.At.Sub(b.at) > r.retention() })
		}
		if _, ok := r.blamed[lost.Server]; ok || len(r.blamed) < maxRecords {
			r.blamed[lost.Server] = blame{l.Fingerprint, lost.At}
		}
	}
	for f, rec := range r.records {
		if f == l.Fingerprint || f == l.Group {
			continue
		}
		i := slices.IndexFunc(rec.losses, func(k knownLoss) bool { return r.isBlamed(k.Loss) })
		if i < 0 || r.verdict(f, rec.losses[i].Software, l.At) == Blocked {
			continue
		}
		r.drop(f, func(k knownLoss) bool { return r.isBlamed(k.Loss) })
		if !rec.isGroup {
			r.excuse(f, l.At)
		}
	}
}

// isBlamed reports whether l is the loss of a server that a blocked request is to blame for.
func (r *Tracker) isBlamed(l Loss) bool {
	b, ok := r.blamed[l.Server]
	return ok && l.At.Sub(b.at).Abs() < mergeWindow
}

// excuse records that f was cleared of a loss, for which another request is to blame.
func (r *Tracker) excuse(f Fingerprint, at time.Time) {
	if r.excused == nil {
		r.excused = make(map[Fingerprint]time.Time)
	}
	if len(r.excused) >= maxRecords {
		maps.DeleteFunc(r.excused, func(_ Fingerprint, t time.Time) bool { return at.Sub(t) > r.retention() })
	}
	if len(r.excused) < maxRecords {
		r.excused[f] = at
	}
}
