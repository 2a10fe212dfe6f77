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
	// callerPatience is how long a caller waits for an answer.
	callerPatience = 800 * time.Millisecond
	// answerTime is the time after its patience within which it has an answer from a VM whose
	// process runs.
	answerTime = 2 * time.Second
	// callerPause is the mean time between two requests of a caller.
	callerPause = 12 * time.Millisecond
	// newConnShare is the share of requests before which a caller opens a new connection.
	newConnShare = 0.05
)

// caller sends one request after the other and keeps its connection until it ends.
type caller struct {
	n    int
	w    *world
	draw *rand.Rand
	conn net.Conn
	in   *bufio.Reader
	vm   *vm
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(c.draw.ExpFloat64() * float64(callerPause)))
		if c.draw.Float64() < newConnShare {
			c.hangUp()
		}
		if c.conn == nil && !c.connect() {
			continue
		}
		q := c.next(i)
		c.w.book.send(q)
		if !c.ask(q) {
			c.w.book.mu.Lock()
			q.cut = true
			c.w.book.mu.Unlock()
			c.hangUp()
		}
		c.w.book.end(q)
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to a VM that is in rotation.
func (c *caller) connect() bool {
	c.vm = c.w.pick(c.draw)
	conn, err := net.DialTimeout("tcp4", c.vm.callers(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

// next draws a request.
func (c *caller) next(i int) *ask {
	q := &ask{id: fmt.Sprintf("c%d-%d", c.n, i), vm: c.vm.id, method: http.MethodGet, sent: time.Now()}
	switch d := c.draw.Float64(); {
	case d < 0.6:
		q.kind, q.target = search, "/search/"+q.id
	case d < 0.8:
		q.kind, q.target = read, "/read/"+q.id+"?x=%20y"
	default:
		q.kind, q.target, q.method, q.body = write, "/write/"+q.id, http.MethodPost, "body of "+q.id
	}
	return q
}

// ask sends a request and takes in its answer. It returns false if the connection ended first.
func (c *caller) ask(q *ask) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.target, q.id, callerPatience.Milliseconds())
	if q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	_ = c.conn.SetDeadline(time.Now().Add(callerPatience + c.w.limit(answerTime)))
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
		c.w.book.fault("mixed: request %s got the answer to %s", q.id, id)
	}
	c.w.book.mu.Lock()
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
	c.w.book.mu.Unlock()
	if resp.Close {
		c.hangUp()
	}
	return true
}
