//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one attempt of a requester and what became of it.
type sent struct {
	id, vm, path string
	at           time.Time
	// status is 0 if the connection ended without an answer.
	status int
	body   string
	err    error
	header http.Header
}

// callers sends requests to the machines and keeps what became of them.
type callers struct {
	rec    *record
	client http.Client
	next   atomic.Int64

	mu   sync.Mutex
	list []sent
}

func newCallers(rec *record) *callers {
	return &callers{rec: rec, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
}

// send sends one request to a machine and waits for the answer.
func (c *callers) send(ctx context.Context, v *vm, method, host, path string, deadline time.Duration, body []byte) sent {
	x := sent{id: fmt.Sprintf("%016x", 0x5e00000000000000+c.next.Add(1)), vm: v.name, path: path, at: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.frontend()+path, bytes.NewReader(body))
	if err != nil {
		x.err = err
		return x
	}
	r.Host = host
	r.Header.Set("Request-Id", x.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Accept-Encoding", "identity")
	w, err := c.client.Do(r)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(w.Body)
		_ = w.Body.Close()
		if err == nil {
			x.status, x.body, x.header = w.StatusCode, string(b), w.Header
		}
	}
	x.err = err
	c.mu.Lock()
	c.list = append(c.list, x)
	c.mu.Unlock()
	c.rec.logf("request %s to %s sent at %.3f: status %d %s", x.id, x.vm, x.at.Sub(c.rec.start).Seconds(), x.status, short(x))
	return x
}

func short(x sent) string {
	if x.err != nil {
		return x.err.Error()
	}
	return strings.TrimSpace(x.body)
}

// all returns a copy of what was sent so far.
func (c *callers) all() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.list...)
}
