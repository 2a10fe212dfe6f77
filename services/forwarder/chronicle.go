package forwarder

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/ranker"
)

// Outcomes of requests, in logs and metrics.
const (
	outcomeAnswered   = "answered"
	outcomePartial    = "answered-partly"
	outcomeLate       = "answered-late"
	outcomeRefused    = "refused"
	outcomeFailed     = "failed"
	outcomeCallerLeft = "caller-left"
	outcomeNoRoute    = "no-route"
	outcomeNoConfig   = "no-configuration"
	outcomeBarred     = "crashes-replicas"
	outcomeStopping   = "stopping"
)

// record counts the end of a request and writes its line. Plain answers go to the log whose
// lines are dropped first, without their tries.
func (f *Forwarder) record(fl *flight, r *Request, a *Response, outcome string, now time.Time) {
	took := now.Sub(r.Arrived)
	f.metrics.requests.WithLabelValues(outcome, strconv.Itoa(a.Status)).Inc()
	f.metrics.latency.WithLabelValues(fl.kind()).Observe(took.Seconds())
	fields := logrus.Fields{
		"event": "request", "id": r.ID, "outcome": outcome, "status": a.Status,
		"took-ms": milliseconds(took), "patience-ms": milliseconds(r.CallerTimeout),
	}
	if a.RetryAfter > 0 {
		fields["retry-after-ms"] = milliseconds(a.RetryAfter)
	}
	if fl == nil {
		fields["host"], fields["path"] = r.Host, r.Path
		f.log.WithFields(fields).Warn("request ended")
		return
	}
	fields["route"], fields["version"] = fl.route.Name, fl.state.Table.Config.Version
	fields["target-ms"], fields["used-ms"] = milliseconds(fl.route.TargetLatency), milliseconds(fl.used)
	fields["beliefs-age-ms"] = milliseconds(now.Sub(f.beliefs.SyncedAt()))
	if fl.spread != nil {
		fl.spread.describe(fields, now)
		f.end(fields, outcome == outcomeAnswered && !fl.spread.rerouted())
		return
	}
	fields["parts"] = len(fl.parts)
	missing, tries := fl.account(now)
	plain := outcome == outcomeAnswered && len(tries) == 0
	if !plain {
		fields["missing"], fields["tries"], fields["budget"] = missing, tries, fl.parts[0].budget.Remaining(now)
	}
	f.end(fields, plain)
}

// end writes the line of a request.
func (f *Forwarder) end(fields logrus.Fields, plain bool) {
	log := f.log
	if plain {
		log = f.routine
	}
	log.WithFields(fields).Info("request ended")
}

// recordCall writes the line of what this VM has gathered for another one.
func (f *Forwarder) recordCall(fl *flight) {
	now := time.Now()
	outcome := outcomeAnswered
	switch {
	case fl.callerLeft():
		outcome = outcomeCallerLeft
	case fl.whole < len(fl.parts):
		outcome = outcomePartial
	}
	f.metrics.calls.WithLabelValues(outcome).Inc()
	missing, tries := fl.account(now)
	fields := logrus.Fields{
		"event": "gathered", "id": fl.r.ID, "outcome": outcome, "route": fl.route.Name, "parts": len(fl.parts),
		"took-ms": milliseconds(now.Sub(fl.r.Arrived)), "cutoff-ms": milliseconds(fl.leave.Sub(fl.r.Arrived)),
		"beliefs-age-ms": milliseconds(now.Sub(f.beliefs.SyncedAt())),
	}
	if outcome == outcomeAnswered && len(tries) == 0 {
		f.routine.WithFields(fields).Info("parts gathered for another VM")
		return
	}
	fields["missing"], fields["tries"] = missing, tries
	f.log.WithFields(fields).Info("parts gathered for another VM")
}

// kind is that of the request, for the metrics; fl is nil for one that met no route.
func (fl *flight) kind() string {
	switch {
	case fl == nil:
		return "none"
	case len(fl.route.Shards) > 0:
		return "gathered"
	}
	return "single"
}

// account counts the parts left out. It returns them with their reasons, and the tries of all
// parts that took more than one or came to nothing.
func (fl *flight) account(now time.Time) (missing, tries []string) {
	for _, p := range fl.parts {
		if p.reply == nil {
			reason := p.missing()
			fl.f.metrics.missing.WithLabelValues(reason).Inc()
			missing = append(missing, p.service+" "+reason)
		}
		if p.reply != nil && len(p.tries) == 1 {
			continue
		}
		for _, t := range p.tries {
			tries = append(tries, t.describe(fl.r.Arrived, now))
		}
	}
	return missing, tries
}

// missing is the reason why a part is not in.
func (p *part) missing() string {
	switch {
	case p.parked:
		return reasonReserved
	case !p.ended:
		return reasonNoReply
	}
	return p.reason
}

// distinct sorts a list and drops what it names twice.
func distinct(list []string) []string {
	slices.Sort(list)
	return slices.Compact(list)
}

// describe gives a try as "service replica data-centre kind begin took end", times in
// milliseconds since the request's arrival.
func (t *try) describe(arrived, now time.Time) string {
	end, took := t.end, t.took
	if end == "" {
		end, took = "under-way", now.Sub(t.began)
	}
	kind := "try"
	if t.hedge {
		kind = "hedge"
	}
	return fmt.Sprintf("%s %s %s %s +%.1f %.1f %s", t.part.service, t.to.ID, t.to.DataCentre, kind,
		milliseconds(t.began.Sub(arrived)), milliseconds(took), end)
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// logChange writes what a try has changed in the belief about its replica.
func (f *Forwarder) logChange(t *try, c ranker.Change, err error) {
	if c == ranker.NoChange {
		return
	}
	f.metrics.changes.WithLabelValues(c.String()).Inc()
	fields := logrus.Fields{
		"event": "replica-" + c.String(), "replica": t.to.ID, "service": t.part.service,
		"data-centre": t.to.DataCentre, "after-ms": milliseconds(time.Since(t.began)),
	}
	f.log.WithFields(fields).WithError(err).Info("belief about a replica changed")
}

// outcome names the end of a flight.
func (fl *flight) outcome(a *Response) string {
	switch {
	case fl.ctx.Err() != nil:
		return outcomeCallerLeft
	case a.Status == http.StatusServiceUnavailable:
		return outcomeRefused
	case a.Status >= http.StatusMultipleChoices:
		return outcomeFailed
	case time.Now().After(fl.cutoff().Add(answerMargin)):
		return outcomeLate
	case a.MissingParts > 0:
		return outcomePartial
	}
	return outcomeAnswered
}
