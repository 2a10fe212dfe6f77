package forwarder

import (
	"net/http"
	"slices"
	"time"

	"github.com/ebonylock/ebonylock/modules/merger"
)

// merge is the answer with the parts that are in.
func (fl *flight) merge() Response {
	a := Response{Status: http.StatusOK, Gathered: true, Body: top(fl.parts, fl.route.TopK)}
	for _, p := range fl.parts {
		if p.reply == nil {
			a.MissingParts++
			continue
		}
		a.Stamps = append(a.Stamps, p.reply.Stamp)
	}
	return a
}

// top returns the greatest n records of the parts that are in, greatest first.
func top(parts []*part, n int) []byte {
	bodies := make([][]byte, 0, len(parts))
	for _, p := range parts {
		if p.reply != nil {
			bodies = append(bodies, p.reply.Body)
		}
	}
	return merger.Top(bodies, n)
}

// failed is the answer to a request that can't be served any more.
func (fl *flight) failed() Response {
	if !fl.mayHaveRun() {
		return notRun(fl.comeBack(time.Now()))
	}
	if r := fl.parts[0].failure; len(fl.route.Shards) == 0 && r != nil && mayPass(r) {
		return Response{Status: r.Status, Fields: r.Fields, Body: r.Body}
	}
	return Response{Status: http.StatusBadGateway}
}

// comeBack is the time after which another try is worth while. An outage is expected to last for as
// long again as it has lasted; as many of the lost parts have to be back as there is an answer with.
func (fl *flight) comeBack(now time.Time) time.Duration {
	var outages []time.Duration
	for _, p := range fl.parts {
		if p.ended && p.reply == nil && p.reason == reasonUnsound {
			outages = append(outages, fl.outage(p, now))
		}
	}
	short := len(outages) - (len(fl.parts) - fl.least)
	if short <= 0 {
		return unknownRetry
	}
	slices.Sort(outages)
	most := max(time.Duration(retryShare*float64(fl.patience())), unknownRetry)
	return min(max(outages[short-1], unknownRetry), most)
}

// patience is the time that the caller has left as its request arrives.
func (fl *flight) patience() time.Duration {
	if fl.r.CallerTimeout > 0 {
		return fl.r.CallerTimeout
	}
	return fl.deadline.Sub(fl.r.Arrived)
}

// outage is the time since a replica of a part has replied; 0 if none ever has.
func (fl *flight) outage(p *part, now time.Time) time.Duration {
	var last time.Time
	for _, c := range p.list {
		if r := fl.f.ranks.Estimate(c.Key, c.Slots, p.work, now).LastReply; r.After(last) {
			last = r
		}
	}
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}

// timeout is the answer to a request whose time is over.
func (fl *flight) timeout() Response {
	if !fl.mayHaveRun() {
		return notRun(0)
	}
	return Response{Status: http.StatusGatewayTimeout}
}

// mayHaveRun reports whether any replica may have begun to run the request.
func (fl *flight) mayHaveRun() bool {
	for _, p := range fl.parts {
		if p.open > 0 {
			return true
		}
	}
	return fl.anyRan
}

// mayPass reports whether a replica's failure can go to the caller as it is. A status that
// promises that the request has not run is not passed on for one that may have.
func mayPass(r *Reply) bool {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return r.Stamp != "" && r.Status >= 400
}
