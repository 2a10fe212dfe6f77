//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// cutRefusal is the start of a refusal as the users' bench shows it, cut off before the end of its second line. It is no
// response, and names no request.
const cutRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1"

// cutFailure is the first line of a failure, cut off before its end. It is no response, and names no request.
const cutFailure = "HTTP/1.1 500 Internal Server Error"

// spliceSpans is how often replicas garble for straySpan.
const spliceSpans = 6

// splicedRefusal shows whether requests run once beside replicas that send the start of a refusal as extra bytes: TWICE.
func splicedRefusal(ctx context.Context, rec *record, trouble bool) error {
	d, err := newDrill(rec)
	if err != nil {
		return err
	}
	defer d.end()
	d.work = 60 * time.Millisecond
	var strays atomic.Int64
	list, err := d.addGarblers(cutRefusal, &strays)
	if err != nil {
		return err
	}
	defer stopGarblers(list)
	d.configure(3, "reservations")
	if err := d.fleet.start(); err != nil {
		return err
	}
	pause(ctx, 5*time.Second)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.load(ctx, 140*time.Millisecond, restorePath)
	pause(ctx, 5*time.Second)
	garble(ctx, list, spliceSpans, false, trouble)
	rec.notef("extra bytes followed %d answers; that is over", strays.Load())
	pause(ctx, 3*time.Second)
	if err := ctx.Err(); err != nil {
		return err
	}
	cancel()
	d.wg.Wait()
	return d.judgeOnce()
}

// splicedStatus shows whether requesters get the status that a replica gave beside replicas that send the start of a failure
// as extra bytes: MIXED.
func splicedStatus(ctx context.Context, rec *record, trouble bool) error {
	d, err := newDrill(rec)
	if err != nil {
		return err
	}
	defer d.end()
	d.work = 20 * time.Millisecond
	var strays atomic.Int64
	list, err := d.addGarblers(cutFailure, &strays)
	if err != nil {
		return err
	}
	defer stopGarblers(list)
	d.configure(3, "reservations")
	if err := d.fleet.start(); err != nil {
		return err
	}
	pause(ctx, 5*time.Second)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.load(ctx, 50*time.Millisecond, restorePath)
	pause(ctx, 2*time.Second)
	garble(ctx, list, spliceSpans, false, trouble)
	rec.notef("extra bytes followed %d answers; that is over", strays.Load())
	pause(ctx, 3*time.Second)
	if err := ctx.Err(); err != nil {
		return err
	}
	cancel()
	d.wg.Wait()
	return d.judgeStatuses()
}

// judgeStatuses checks that each answer with a replica's receipt has the status that the replica gave.
func (d *drill) judgeStatuses() error {
	stamped, success, failure := 0, 0, 0
	for _, x := range d.callers.all() {
		stamp := x.header.Get("Server-Stamp")
		if stamp == "" {
			continue
		}
		stamped++
		given := d.answers.get(stamp)
		switch {
		case x.status == given:
		case x.status < http.StatusMultipleChoices:
			success++
			d.rec.logf("request %s: status %d with receipt %s, whose replica gave %d", x.id, x.status, stamp, given)
		default:
			failure++
			d.rec.logf("request %s: status %d with receipt %s, whose replica gave %d", x.id, x.status, stamp, given)
		}
	}
	d.rec.notef("of %d answers with a receipt %d were successes where the replica had failed, and %d failures where it had succeeded", stamped, success, failure)
	if success+failure > 0 {
		return fmt.Errorf("%w: MIXED", errBroken)
	}
	return nil
}

// judgeOnce checks that no request ran twice, and that none of those that were refused ran.
func (d *drill) judgeOnce() error {
	count := make(map[string]int)
	for _, r := range d.runs.all() {
		count[r.id]++
	}
	twice, refused, sent := 0, 0, 0
	for _, x := range d.callers.all() {
		sent++
		n := count[x.id]
		if n > 1 {
			twice++
			d.rec.logf("request %s ran %d times, status %d", x.id, n, x.status)
		}
		if n > 0 && (x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests) {
			refused++
			d.rec.logf("request %s ran %d times and was refused with %d", x.id, n, x.status)
		}
	}
	d.rec.notef("of %d requests %d ran twice; %d were refused and had run", sent, twice, refused)
	switch {
	case twice > 0:
		return fmt.Errorf("%w: TWICE", errBroken)
	case refused > 0:
		return fmt.Errorf("%w: REFUSED", errBroken)
	}
	return nil
}
