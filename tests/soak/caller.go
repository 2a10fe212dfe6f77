package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// callerTimeout is how long a caller waits for an answer; it is sent as the request's deadline.
	callerTimeout = 800 * time.Millisecond
	// patientTimeout is callerTimeout of a patient caller.
	patientTimeout = 15 * time.Second
	// answerMargin is the time after a caller's timeout within which a VM whose process runs must have
	// answered.
	answerMargin = 2 * time.Second
	// meanCallerPause is the mean time between two requests of a caller.
	meanCallerPause = 12 * time.Millisecond
	// maxIdleTime is the longest time for which a patient caller leaves its open connection unused. It
	// is as long as the grace period, so that connections are used at any time of a stop.
	maxIdleTime = 6 * time.Second
	// reconnectProbability is the probability that a caller opens a new connection before a request.
	reconnectProbability = 0.05
	// slowBuffer is the size of the receive buffer of a slow reader, and of its reads. It pauses for
	// slowPause before each of the first slowReads reads of an answer.
	slowBuffer = 4 << 10
	slowPause  = 2 * time.Millisecond
	slowReads  = 100
)

// Numbers of special callers for each VM.
const (
	patientCallers = 8
	slowCallers    = 2
	pairCallers    = 3
)

// caller sends requests over a connection that it keeps open.
type caller struct {
	n       int
	harness *harness
	rng     *rand.Rand
	// patient callers send long requests with long pauses, and use a connection until the VM closes it.
	patient bool
	// slow callers read their answers slowly.
	slow bool
	// pairs makes the caller send two requests at once, so that the VM reads both.
	pairs bool
	// crashes makes the caller send one request, again and again, that crashes servers.
	crashes bool
	conn    net.Conn
	in      *bufio.Reader
	vm      *vm
	sent    int
	// slowLeft is the number of reads before which a slow caller still pauses.
	slowLeft int
}

// newCallers returns the callers of a soak.
func (h *harness) newCallers() []*caller {
	var list []*caller
	add := func(n int, c caller) {
		for range n {
			o := c
			o.n, o.harness, o.rng = len(list), h, rand.New(rand.NewPCG(h.cfg.Seed, uint64(len(list))+2))
			list = append(list, &o)
		}
	}
	add(h.cfg.Callers, caller{})
	if h.cfg.Stops {
		add(patientCallers*h.cfg.VMs, caller{patient: true})
		add(slowCallers*h.cfg.VMs, caller{patient: true, slow: true})
		add(pairCallers*h.cfg.VMs, caller{patient: true, pairs: true})
	}
	if h.cfg.Cuts || h.cfg.Drills {
		add(1, caller{crashes: true})
	}
	return list
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		switch {
		case c.patient:
			if c.conn == nil {
				c.connect()
			}
			c.idle(ctx)
		case c.crashes:
			time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(crashInterval)))
			c.closeConn()
		default:
			time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(meanCallerPause)))
			if c.rng.Float64() < reconnectProbability {
				c.closeConn()
			}
		}
		if c.conn == nil && !c.connect() {
			continue
		}
		if c.pairs {
			c.exchange(ctx, c.newRequest(), c.newRequest())
		} else {
			c.exchange(ctx, c.newRequest())
		}
	}
}

// idle leaves the connection unused for a random time.
func (c *caller) idle(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(c.rng.Int64N(int64(maxIdleTime)))):
	}
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to a VM that the balancer considers ready. It returns false if that fails.
func (c *caller) connect() bool {
	c.vm = c.harness.pickVM(c.rng)
	d := net.Dialer{Timeout: time.Second}
	if c.slow {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
			})
		}
	}
	conn, err := d.Dial("tcp4", c.vm.callerAddr())
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(c)
	return true
}

// Read reads from the connection, slowly if the caller is slow.
func (c *caller) Read(p []byte) (int, error) {
	if c.slowLeft > 0 {
		c.slowLeft--
		time.Sleep(slowPause)
		p = p[:min(len(p), slowBuffer)]
	}
	return c.conn.Read(p)
}

// timeout returns how long the caller waits for an answer.
func (c *caller) timeout() time.Duration {
	if c.patient {
		return patientTimeout
	}
	return callerTimeout
}

// newRequest returns a random request.
func (c *caller) newRequest() *request {
	q := &request{id: fmt.Sprintf("c%d-%d", c.n, c.sent), vm: c.vm.id, method: http.MethodGet}
	c.sent++
	if c.slow {
		q.id = largePrefix + q.id
	}
	switch {
	case c.patient:
		q.kind, q.target = long, "/long/"+q.id
		return q
	case c.crashes:
		q.kind, q.target = read, crashTarget
		return q
	}
	switch d := c.rng.Float64(); {
	case d < 0.6:
		q.kind, q.target = search, "/search/"+q.id
	case d < 0.8:
		q.kind, q.target = read, "/read/"+q.id+"?x=%20y"
	default:
		q.kind, q.target, q.method, q.body = write, "/write/"+q.id, http.MethodPost, "body of "+q.id
	}
	return q
}

// text returns the bytes of a request.
func (c *caller) text(q *request) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.target, q.id, c.timeout().Milliseconds())
	if q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// exchange sends requests at once and reads their answers in order. It closes the connection if that
// ends or times out first. A patient caller stops waiting once ctx is done.
func (c *caller) exchange(ctx context.Context, list ...*request) {
	history, text := c.harness.history, ""
	for _, q := range list {
		q.sent = time.Now()
		history.recordSent(q)
		text += c.text(q)
	}
	_ = c.conn.SetDeadline(time.Now().Add(c.timeout() + c.harness.timeout(answerMargin)))
	if c.patient {
		conn := c.conn
		defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })()
	}
	if c.slow {
		c.slowLeft = slowReads
	}
	_, err := c.conn.Write([]byte(text))
	for i, q := range list {
		answered := err == nil && c.conn != nil && c.receive(q)
		history.mu.Lock()
		q.ended = time.Now()
		q.left = !answered && c.patient && ctx.Err() != nil
		q.unanswered = !answered && !q.left
		q.readWith = i > 0 && !list[i-1].answered.IsZero()
		history.mu.Unlock()
		if !answered {
			c.closeConn()
		}
		history.recordEnd(q)
	}
}

// receive reads the answer to q. It returns false if the connection ended or timed out first.
func (c *caller) receive(q *request) bool {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	if id := resp.Header.Get("Request-Id"); id != "" && id != q.id {
		c.harness.history.addViolation("wrong answer: request %s got the answer to %s", q.id, id)
	}
	c.harness.history.mu.Lock()
	q.status, q.answer, q.answered = resp.StatusCode, string(body), time.Now()
	q.missing, _ = strconv.Atoi(resp.Header.Get("Missing-Parts"))
	q.stamps = resp.Header.Values("Server-Stamp")
	if q.kind == search {
		q.stamps = nil
		for _, v := range resp.Header.Values("Part-Stamps") {
			for s := range strings.SplitSeq(v, ",") {
				q.stamps = append(q.stamps, strings.TrimSpace(s))
			}
		}
	}
	c.harness.history.mu.Unlock()
	if resp.Close {
		c.closeConn()
	}
	return true
}
