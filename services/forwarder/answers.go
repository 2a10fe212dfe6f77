package forwarder

import (
	"net/http"

	"github.com/ebonylock/ebonylock/modules/merger"
)

// merge is the answer with the parts that are in.
func (fl *flight) merge() Answer {
	a := Answer{Status: http.StatusOK, Gathered: true}
	bodies := make([][]byte, 0, len(fl.parts))
	for _, p := range fl.parts {
		if p.reply == nil {
			a.Missing++
			continue
		}
		bodies = append(bodies, p.reply.Body)
		a.Stamps = append(a.Stamps, p.reply.Stamp)
	}
	a.Body = merger.Top(bodies, fl.route.Top)
	return a
}

// failed is the answer to a request that can't be served any more.
func (fl *flight) failed() Answer {
	if !fl.mayHaveRun() {
		return notRun(unknownRetry)
	}
	if r := fl.parts[0].failure; len(fl.route.Shards) == 0 && r != nil && mayPass(r) {
		return Answer{Status: r.Status, Fields: r.Fields, Body: r.Body}
	}
	return Answer{Status: http.StatusBadGateway}
}

// timeout is the answer to a request whose time is over.
func (fl *flight) timeout() Answer {
	if !fl.mayHaveRun() {
		return notRun(0)
	}
	return Answer{Status: http.StatusGatewayTimeout}
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
