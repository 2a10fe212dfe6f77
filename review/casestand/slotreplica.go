//go:build review

package main

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

// slotReplica is a replica that runs a bounded number of requests at a time, queues a bounded number
// more and sheds the rest. The path's last element is the work of a request in
// milliseconds.
type slotReplica struct {
	*site.Replica
	slots  chan struct{}
	mu     sync.Mutex
	inside int
	// arrived holds the time at which each request arrived, began that at which it began to run.
	arrived map[string]time.Time
	began   map[string]time.Time
}

func newSlotReplica(id string, r *record, slots, queue int, answer func(g site.Request) site.Reply) (*slotReplica, error) {
	p := &slotReplica{slots: make(chan struct{}, slots), arrived: make(map[string]time.Time), began: make(map[string]time.Time)}
	rep, err := site.NewReplica(func(g site.Request) site.Reply {
		rid := g.Header.Get("Request-Id")
		if g.Header.Get("Expect-Instance") != id {
			return site.Reply{Raw: site.Status(g, http.StatusMisdirectedRequest, "", "Instance-Id: "+id)}
		}
		p.mu.Lock()
		p.arrived[rid] = time.Now()
		if p.inside >= slots+queue {
			p.mu.Unlock()
			r.line("%s: sheds %s", id, rid)
			return site.Reply{Raw: site.Status(g, http.StatusServiceUnavailable, "", "Not-Executed: 1")}
		}
		p.inside++
		p.mu.Unlock()
		p.slots <- struct{}{}
		p.mu.Lock()
		p.began[rid] = time.Now()
		p.mu.Unlock()
		r.line("%s: runs %s", id, rid)
		ms, _ := strconv.Atoi(g.Target[strings.LastIndexByte(g.Target, '/')+1:])
		time.Sleep(time.Duration(ms) * time.Millisecond)
		<-p.slots
		p.mu.Lock()
		p.inside--
		p.mu.Unlock()
		return answer(g)
	})
	p.Replica = rep
	return p, err
}
