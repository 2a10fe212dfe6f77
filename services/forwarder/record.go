package forwarder

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/decider"
	"github.com/ebonylock/ebonylock/modules/ranker"
)

// Outcomes of requests, used in logs and metrics.
const (
	outcomeAnswered    = "answered"
	outcomePartial     = "answered-partly"
	outcomeLate        = "answered-late"
	outcomeRefused     = "refused"
	outcomeFailed      = "failed"
	outcomeCallerLeft  = "caller-left"
	outcomeNoRoute     = "no-route"
	outcomeNoConfig    = "no-configuration"
	outcomeQuarantined = decider.Quarantined
	outcomeStopping    = "stopping"
)

// record counts the end of a request and writes its log line. Requests answered without incident go
// to the log whose lines are dropped first, and their attempts are left out.
func (f *Forwarder) record(fl *flight, r *Request, resp *Response, outcome string, now time.Time) {
	took := now.Sub(r.Arrived)
	f.metrics.requests.WithLabelValues(outcome, strconv.Itoa(resp.Status)).Inc()
	f.metrics.latency.WithLabelValues(fl.kind()).Observe(took.Seconds())
	fields := logrus.Fields{
		"event": "request", "id": r.ID, "outcome": outcome, "status": resp.Status,
		"took-ms": milliseconds(took), "patience-ms": milliseconds(r.CallerTimeout),
	}
	if resp.RetryAfter > 0 {
		fields["retry-after-ms"] = milliseconds(resp.RetryAfter)
	}
	if stop := f.stop.Load(); stop != nil {
		fields["stopping-ms"] = milliseconds(r.Arrived.Sub(stop.began))
	}
	if fl == nil {
		fields["host"], fields["path"] = r.Host, r.Path
		f.log.WithFields(fields).Warn("request ended")
		return
	}
	fields["route"], fields["version"] = fl.route.Name, fl.state.Table.Config.Version
	fields["target-ms"], fields["used-ms"] = milliseconds(fl.route.TargetLatency), milliseconds(fl.timeUsed)
	fields["beliefs-age-ms"] = milliseconds(now.Sub(f.states.SyncedAt()))
	if fl.fanout != nil {
		fl.fanout.describe(fields, now)
		f.logRequest(fields, outcome == outcomeAnswered && !fl.fanout.rerouted())
		return
	}
	fields["parts"] = len(fl.parts)
	missing, attempts := fl.countMissing(now)
	routine := outcome == outcomeAnswered && len(attempts) == 0
	if !routine {
		fields["missing"], fields["tries"], fields["budget"] = missing, attempts, fl.parts[0].budget.Remaining(now)
	}
	f.logRequest(fields, routine)
}

// logRequest writes the log line of a request.
func (f *Forwarder) logRequest(fields logrus.Fields, routine bool) {
	log := f.log
	if routine {
		log = f.routineLog
	}
	log.WithFields(fields).Info("request ended")
}

// recordCall counts and logs the end of a call that this VM gathered for another one.
func (f *Forwarder) recordCall(fl *flight) {
	now := time.Now()
	outcome := outcomeAnswered
	switch {
	case fl.callerLeft():
		outcome = outcomeCallerLeft
	case fl.replied < len(fl.parts):
		outcome = outcomePartial
	}
	f.metrics.calls.WithLabelValues(outcome).Inc()
	missing, attempts := fl.countMissing(now)
	fields := logrus.Fields{
		"event": "gathered", "id": fl.r.ID, "outcome": outcome, "route": fl.route.Name, "parts": len(fl.parts),
		"took-ms": milliseconds(now.Sub(fl.r.Arrived)), "cutoff-ms": milliseconds(fl.partialAt.Sub(fl.r.Arrived)),
		"beliefs-age-ms": milliseconds(now.Sub(f.states.SyncedAt())),
	}
	if outcome == outcomeAnswered && len(attempts) == 0 {
		f.routineLog.WithFields(fields).Info("parts gathered for another VM")
		return
	}
	fields["missing"], fields["tries"] = missing, attempts
	f.log.WithFields(fields).Info("parts gathered for another VM")
}

// kind returns the kind of request for the metrics; fl is nil if no route matched.
func (fl *flight) kind() string {
	switch {
	case fl == nil:
		return "none"
	case len(fl.route.Shards) > 0:
		return "gathered"
	}
	return "single"
}

// countMissing counts the missing parts in the metrics. It returns them with their reasons, and the
// attempts of all parts that needed more than one attempt or got no reply.
func (fl *flight) countMissing(now time.Time) (missing, attempts []string) {
	for _, p := range fl.parts {
		if p.reply == nil {
			reason := p.missingReason()
			fl.f.metrics.missing.WithLabelValues(reason).Inc()
			missing = append(missing, p.service+" "+reason)
		}
		if p.reply != nil && len(p.attempts) == 1 {
			continue
		}
		for _, a := range p.attempts {
			attempts = append(attempts, a.describe(fl.r.Arrived, now))
		}
	}
	return missing, attempts
}

// missingReason returns the reason why a part has no reply.
func (p *part) missingReason() string {
	switch {
	case p.waiting:
		return decider.Reserved
	case !p.done:
		return decider.NoReply
	}
	return p.reason
}

// sortedUnique sorts a list in place and removes duplicates.
func sortedUnique(list []string) []string {
	slices.Sort(list)
	return slices.Compact(list)
}

// describe returns "service replica data-centre kind begin took end" for an attempt, with times in
// milliseconds since the request arrived.
func (a *attempt) describe(arrived, now time.Time) string {
	end, took := a.end, a.took
	if end == "" {
		end, took = "under-way", now.Sub(a.began)
	}
	kind := "try"
	if a.hedge {
		kind = "hedge"
	}
	return fmt.Sprintf("%s %s %s %s +%.1f %.1f %s", a.part.service, a.to.ID, a.to.DataCentre, kind,
		milliseconds(a.began.Sub(arrived)), milliseconds(took), end)
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// logReplicaChange logs the change that an attempt made to the known state of its replica.
func (f *Forwarder) logReplicaChange(a *attempt, c ranker.Change, err error) {
	if c == ranker.NoChange {
		return
	}
	f.metrics.changes.WithLabelValues(c.String()).Inc()
	fields := logrus.Fields{
		"event": "replica-" + c.String(), "replica": a.to.ID, "service": a.part.service,
		"data-centre": a.to.DataCentre, "after-ms": milliseconds(time.Since(a.began)),
	}
	f.log.WithFields(fields).WithError(err).Info("state of a replica changed")
}

// outcome returns the outcome of a flight.
func (fl *flight) outcome(resp *Response) string {
	switch {
	case fl.ctx.Err() != nil:
		return outcomeCallerLeft
	case resp.Status == http.StatusServiceUnavailable:
		return outcomeRefused
	case resp.Status >= http.StatusMultipleChoices:
		return outcomeFailed
	case time.Now().After(fl.cutoff().Add(responseMargin)):
		return outcomeLate
	case resp.MissingParts > 0:
		return outcomePartial
	}
	return outcomeAnswered
}
