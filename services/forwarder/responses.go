package forwarder

import (
	"net/http"
	"time"

	"github.com/ebonylock/ebonylock/modules/decider"
	"github.com/ebonylock/ebonylock/modules/merger"
)

// mergedResponse returns the response made from the parts received.
func (fl *flight) mergedResponse() Response {
	resp := Response{Status: http.StatusOK, Gathered: true, Body: topRecords(fl.parts, fl.route.TopK)}
	for _, p := range fl.parts {
		if p.reply == nil {
			resp.MissingParts++
			continue
		}
		resp.Stamps = append(resp.Stamps, p.reply.Stamp)
	}
	return resp
}

// topRecords returns the greatest n records of the parts received, in descending order.
func topRecords(parts []*part, n int) []byte {
	bodies := make([][]byte, 0, len(parts))
	for _, p := range parts {
		if p.reply != nil {
			bodies = append(bodies, p.reply.Body)
		}
	}
	return merger.Top(bodies, n)
}

// failedResponse returns the response to a request that can no longer be served.
func (fl *flight) failedResponse() Response {
	if !fl.mayHaveRun() {
		return notRunResponse(fl.retryAfter(time.Now()))
	}
	if r := fl.parts[0].lastFailure; len(fl.route.Shards) == 0 && r != nil && canPassOn(r) {
		return r.response()
	}
	return Response{Status: http.StatusBadGateway}
}

// retryAfter returns the delay after which a retry may succeed. An outage is expected to last as
// long again as it has lasted so far, and a saturated shard to have room once its queue is short
// enough. The delay covers only as many recoveries as are needed to reach minViable parts, shortest
// outages first.
func (fl *flight) retryAfter(now time.Time) time.Duration {
	var outages []time.Duration
	for _, p := range fl.parts {
		switch {
		case !p.done || p.reply != nil:
		case p.reason == decider.Unhealthy:
			outages = append(outages, fl.outageDuration(p, now))
		case p.reason == decider.Saturated, p.reason == decider.Paused, p.reason == decider.Leaving, p.reason == decider.Cold:
			outages = append(outages, p.roomAfter)
		}
	}
	return decider.RetryAfter(outages, len(fl.parts)-fl.minViable, fl.callerTimeout())
}

// callerTimeout returns the time that the caller had left when its request arrived.
func (fl *flight) callerTimeout() time.Duration {
	if fl.r.CallerTimeout > 0 {
		return fl.r.CallerTimeout
	}
	return fl.deadline.Sub(fl.r.Arrived)
}

// outageDuration returns the time since any replica of a part last replied; 0 if none ever did.
func (fl *flight) outageDuration(p *part, now time.Time) time.Duration {
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

// timeoutResponse returns the response to a request whose time is over.
func (fl *flight) timeoutResponse() Response {
	switch {
	case fl.mayHaveRun():
		return Response{Status: http.StatusGatewayTimeout}
	case fl.f.stop.Load() != nil:
		// The caller may have time left, unlike the VM.
		return notRunResponse(decider.DefaultRetryAfter)
	}
	return notRunResponse(0)
}

// mayHaveRun reports whether any replica may have started to run the request.
func (fl *flight) mayHaveRun() bool {
	for _, p := range fl.parts {
		if p.inFlight > 0 {
			return true
		}
	}
	return fl.anyRan
}

// canPassOn reports whether a replica's failure can be passed to the caller unchanged. A status
// that promises that the request was not run must not be passed on, since it may have run.
func canPassOn(r *Reply) bool {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return r.Stamp != "" && r.Status >= 400
}
