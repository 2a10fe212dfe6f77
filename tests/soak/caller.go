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
	"time"
)

const (
	// callerTimeout is how long a caller waits for an answer; it is sent as the request's deadline.
	callerTimeout = 800 * time.Millisecond
	// answerMargin is the time after callerTimeout within which a VM whose process runs must have
	// answered.
	answerMargin = 2 * time.Second
	// meanCallerPause is the mean time between two requests of a caller.
	meanCallerPause = 12 * time.Millisecond
	// reconnectProbability is the probability that a caller opens a new connection before a request.
	reconnectProbability = 0.05
)

// caller sends one request at a time over a connection that it keeps open.
type caller struct {
	n       int
	harness *harness
	rng     *rand.Rand
	conn    net.Conn
	in      *bufio.Reader
	vm      *vm
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.closeConn()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(meanCallerPause)))
		if c.rng.Float64() < reconnectProbability {
			c.closeConn()
		}
		if c.conn == nil && !c.connect() {
			continue
		}
		q := c.newRequest(i)
		c.harness.history.recordSent(q)
		if !c.exchange(q) {
			c.harness.history.mu.Lock()
			q.unanswered = true
			c.harness.history.mu.Unlock()
			c.closeConn()
		}
		c.harness.history.recordEnd(q)
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
	conn, err := net.DialTimeout("tcp4", c.vm.callerAddr(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

// newRequest returns a random request.
func (c *caller) newRequest(i int) *request {
	q := &request{id: fmt.Sprintf("c%d-%d", c.n, i), vm: c.vm.id, method: http.MethodGet, sent: time.Now()}
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

// exchange sends a request and reads its answer. It returns false if the connection ended or timed out
// first.
func (c *caller) exchange(q *request) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.target, q.id, callerTimeout.Milliseconds())
	if q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	_ = c.conn.SetDeadline(time.Now().Add(callerTimeout + c.harness.timeout(answerMargin)))
	if _, err := c.conn.Write([]byte(b.String())); err != nil {
		return false
	}
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
