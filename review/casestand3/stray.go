//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// strayReplicas is the number of replicas of the service whose replicas garble, strayAtOnce that of those that do at the
	// same time, and strayShare the share of their answers that extra bytes follow.
	strayReplicas = 7
	strayAtOnce   = 4
	strayShare    = 0.03
	// straySpan is the time for which they do, straySpans how often, and strayPause the time between.
	straySpan  = 5 * time.Second
	straySpans = 4
	strayPause = time.Second
	// steadyTime is the time after the disruption over which answers are counted, once contactTime has passed.
	steadyTime = 15 * time.Second
	// firstPath is the path of the route that is there from the start. The one of restorePath is added later.
	firstPath = "/desk/"
	// minSteady is the least number of requests on the route added later, and minRatio the least ratio of the share that is
	// served of them to that of the first route.
	minSteady = 20
	minRatio  = 0.25
)

// strayBytes are bytes that belong to no request. They name none.
const strayBytes = "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"

// statuses holds the statuses that replicas have given, by receipt.
type statuses struct {
	mu   sync.Mutex
	list map[string]int
}

func (s *statuses) add(stamp string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		s.list = make(map[string]int)
	}
	s.list[stamp] = status
}

func (s *statuses) get(stamp string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list[stamp]
}

// garbler is a replica that sends extra bytes after some of its answers, late, when the next request on the connection has
// come. All its own answers are whole and sound.
type garbler struct {
	replica
	ln      net.Listener
	garbles atomic.Bool
	// extra is the extra bytes, and strays counts how often they were sent.
	extra  string
	strays *atomic.Int64
	// answers holds what the replica gave.

	answers *statuses

	mu    sync.Mutex
	conns []net.Conn
}

func (g *garbler) start() error {
	var err error
	if g.ln, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return err
	}
	g.addr, g.ended, g.born = g.ln.Addr().String(), make(chan struct{}), time.Now()
	g.register()
	go g.beat()
	go func() {
		for {
			c, err := g.ln.Accept()
			if err != nil {
				return
			}
			g.mu.Lock()
			g.conns = append(g.conns, c)
			g.mu.Unlock()
			go g.serve(c)
		}
	}()
	return nil
}

func (g *garbler) stop() {
	g.once.Do(func() { close(g.ended) })
	_ = g.ln.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		_ = c.Close()
	}
}

// serve serves the requests of one connection.
func (g *garbler) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for stray := false; ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if stray {
			g.strays.Add(1)
			g.rec.logf("%s sends extra bytes before it answers %s", g.id, id)
			if _, err := io.WriteString(c, g.extra); err != nil {
				return
			}
		}
		var b bytes.Buffer
		if r.Header.Get("Expect-Instance") != g.id {
			fmt.Fprintf(&b, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, g.id)
		} else {
			g.runs.add(run{id: id, service: g.service, replica: g.id, at: time.Now()})
			time.Sleep(g.work)
			body := id + " of " + g.service
			stamp := fmt.Sprintf("%s.%d", g.id, g.stamps.Add(1))
			g.answers.add(stamp, http.StatusOK)
			fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, stamp, len(body), body)
		}
		if _, err := c.Write(b.Bytes()); err != nil {
			return
		}
		stray = g.garbles.Load() && rand.Float64() < strayShare
	}
}

// addGarblers starts the replicas of a service, which send the given extra bytes while they garble.
func (d *drill) addGarblers(extra string, strays *atomic.Int64) ([]*garbler, error) {
	zones := []string{"bole", "piassa", "merkato"}
	var list []*garbler
	for i := range strayReplicas {
		g := &garbler{extra: extra, strays: strays, answers: &d.answers, replica: replica{
			id: fmt.Sprintf("i-reservations-%d", i+1), service: "reservations", zone: zones[i%len(zones)], work: d.work, store: d.store, rec: d.rec, runs: &d.runs,
		}}
		if err := g.start(); err != nil {
			return nil, err
		}
		list = append(list, g)
	}
	return list, nil
}

func stopGarblers(list []*garbler) {
	for _, g := range list {
		g.stop()
	}
}

// garble makes the first replicas garble in each span, or the first and the last ones in turn, unless trouble is false.
func garble(ctx context.Context, list []*garbler, spans int, inTurn, trouble bool) {
	for span := range spans {
		for i, g := range list {
			chosen := i < strayAtOnce
			if inTurn && span%2 == 1 {
				chosen = i >= len(list)-strayAtOnce
			}
			g.garbles.Store(trouble && chosen)
		}
		pause(ctx, straySpan)
		for _, g := range list {
			g.garbles.Store(false)
		}
		pause(ctx, strayPause)
	}
}

// strayLeaving shows whether a route that was added later goes on to be served once its replicas have sent extra bytes:
// CONFIG.
func strayLeaving(ctx context.Context, rec *record, trouble bool) error {
	d, err := newDrill(rec)
	if err != nil {
		return err
	}
	defer d.end()
	d.work = 20 * time.Millisecond
	var strays atomic.Int64
	list, err := d.addGarblers(strayBytes, &strays)
	if err != nil {
		return err
	}
	defer stopGarblers(list)
	for i, zone := range []string{"bole", "piassa", "merkato"} {
		if _, err := d.addReplica(fmt.Sprintf("i-returns-desk-%d", i+1), "returns-desk", zone, 0); err != nil {
			return err
		}
	}
	d.configureRoutes(3, [][2]string{{firstPath, "returns-desk"}})
	if err := d.fleet.start(); err != nil {
		return err
	}
	pause(ctx, 5*time.Second)
	d.configureRoutes(5, [][2]string{{firstPath, "returns-desk"}, {restorePath, "reservations"}})
	pause(ctx, 5*time.Second)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.load(ctx, 50*time.Millisecond, firstPath)
	d.load(ctx, 50*time.Millisecond, restorePath)
	pause(ctx, 5*time.Second)
	garble(ctx, list, straySpans, true, trouble)
	rec.notef("extra bytes followed %d answers; that is over", strays.Load())
	pause(ctx, contactTime)
	from := time.Now()
	pause(ctx, steadyTime)
	to := time.Now()
	if err := ctx.Err(); err != nil {
		return err
	}
	cancel()
	d.wg.Wait()
	return d.judgeAdded(from, to)
}

// judgeAdded checks that the route added later is served as often as the first one in a steady time.
func (d *drill) judgeAdded(from, to time.Time) error {
	sent, served := make(map[string]int), make(map[string]int)
	for _, x := range d.callers.all() {
		if x.at.After(from) && x.at.Before(to) {
			sent[x.path]++
			if x.status == http.StatusOK {
				served[x.path]++
			}
		}
	}
	first, added := firstPath+"1", restorePath+"1"
	d.rec.notef("in %v of steady state: %d of %d requests served on the first route, %d of %d on the one added later",
		to.Sub(from).Round(time.Second), served[first], sent[first], served[added], sent[added])
	if sent[added] < minSteady || served[first] == 0 {
		return errors.New("too few requests")
	}
	if float64(served[added])/float64(sent[added]) < minRatio*float64(served[first])/float64(sent[first]) {
		return fmt.Errorf("%w: CONFIG", errBroken)
	}
	return nil
}
