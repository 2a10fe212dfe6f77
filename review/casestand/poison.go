//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["poison"] = poison
	helpers["replica"] = runReplica
}

const (
	poHost     = "hufi27.example"
	poPath     = "/goka902/crash"
	poDeadline = 1500 * time.Millisecond
	poWork     = 60 * time.Millisecond
	poVMs      = 7
	poReplicas = 7
	// poBack is the time after which a crashed replica is back, with a new ID.
	poBack = 2 * time.Second
	// poBeat is heartbeat_ms: a crashed replica's entry is removed after three.
	poBeat = 1200 * time.Millisecond
	// poContact is contact_ms.
	poContact = 4 * time.Second
	// poEvery is the time between two attempts of the request that crashes replicas, and between the
	// restarts of two machines.
	poEvery = 6 * time.Second
	// poAfter is the time from a machine's SIGTERM to the attempt at it. A restart takes 3 to 4 s.
	poAfter = 8 * time.Second
	// poNotice is the time that the balancer takes to leave out a machine that is not ready.
	poNotice = 2 * time.Second
	// poFirst is the time of the first attempt and poRoll that of the first SIGTERM.
	poFirst = 2 * time.Second
	poRoll  = 3 * time.Second
	poEnd   = poRoll + (poVMs-1)*poEvery + poAfter + time.Second
)

// runReplica is the main function of a replica's process. It prints its address and what it begins to
// run. The request with the path poPath crashes it.
func runReplica(id string) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go serveReplica(c, id)
	}
}

func serveReplica(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		rid := req.Header.Get("Request-Id")
		if req.Header.Get("Expect-Instance") != id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", rid, id)
			continue
		}
		fmt.Println("runs", rid, "Deadline-Ms", req.Header.Get("Deadline-Ms"))
		if req.URL.Path == poPath {
			os.Exit(3)
		}
		time.Sleep(poWork)
		body := "0123456789abcdef"
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n%s", rid, rid, len(body), body)
	}
}

// poCrash is a crash of a replica.
type poCrash struct {
	at time.Time
	id string
}

// poState is what the replicas report.
type poState struct {
	mu      sync.Mutex
	crashes []poCrash
	// ran counts the replicas that began to run each request.
	ran     map[string]int
	stopped bool
	cmds    map[*exec.Cmd]bool
}

// keepReplica runs replica n as a process of its own, registers it, and starts it anew under a new ID
// after a crash.
func (s *poState) keepReplica(f *fleet, r *record, n int, started chan<- error) {
	for k := 0; ; k++ {
		id := fmt.Sprintf("i-%d-%d", n, k)
		cmd := exec.Command(os.Args[0], "replica", id)
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		out, err := cmd.StdoutPipe()
		if err == nil {
			err = cmd.Start()
		}
		if err != nil {
			started <- err
			return
		}
		s.mu.Lock()
		s.cmds[cmd] = true
		s.mu.Unlock()
		lines := bufio.NewScanner(out)
		lines.Scan()
		addr, err := netip.ParseAddrPort(lines.Text())
		if err != nil {
			started <- err
			return
		}
		f.put(id, "reservations", zones[n%3], addr, 4)
		if k == 0 {
			started <- nil
		}
		for lines.Scan() {
			var rid string
			if _, err := fmt.Sscanf(lines.Text(), "runs %s", &rid); err == nil {
				s.mu.Lock()
				s.ran[rid]++
				s.mu.Unlock()
				if strings.HasPrefix(rid, "crash") {
					r.line("%s begins to run %s", id, rid)
				}
			}
		}
		_ = cmd.Wait()
		s.mu.Lock()
		delete(s.cmds, cmd)
		if s.stopped {
			s.mu.Unlock()
			return
		}
		s.crashes = append(s.crashes, poCrash{time.Now(), id})
		s.mu.Unlock()
		r.line("%s has crashed", id)
		time.AfterFunc(3*poBeat, func() { f.store.Remove("servers/" + id) })
		time.Sleep(poBack)
	}
}

func (s *poState) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for c := range s.cmds {
		_ = c.Process.Kill()
	}
}

// poison sends a request that crashes each replica that runs it, again and again at one machine after
// the other, while the machines are restarted one after the other.
func poison(r *record, trouble bool) (int, error) {
	f, err := newFleet(poVMs)
	if err != nil {
		return cannotRun, err
	}
	defer f.end()
	s := &poState{ran: make(map[string]int), cmds: make(map[*exec.Cmd]bool)}
	defer s.end()
	for n := range poReplicas {
		started := make(chan error, 1)
		go s.keepReplica(f, r, n, started)
		if err := <-started; err != nil {
			return cannotRun, err
		}
	}
	f.store.Put("op/config", []byte(`{"version":7,"routes":[{"name":"booking-read","hostname":"`+poHost+`","path_prefix":"/goka902/","service":"reservations",
		"type":"idempotent","timeout_ms":1500,"target_latency_ms":250,"max_attempts":2,"priority":2}],
		"services":[{"name":"reservations","max_connections":100}],
		"limits":{"max_header_bytes":8192,"max_body_bytes":262144,"header_timeout_ms":2000,"idle_timeout_ms":15000}}`))
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	time.Sleep(poContact)

	began := time.Now()
	var wg sync.WaitGroup
	var served, other int
	// out is true while the balancer sends nothing to a machine.
	out := make([]atomic.Bool, poVMs)
	for i, v := range f.vms {
		for j := range 3 {
			wg.Go(func() {
				for k := 0; time.Since(began) < poEnd; k++ {
					if out[i].Load() {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					status, err := poSend(v, fmt.Sprintf("%d-%d-%d", i, j, k), fmt.Sprintf("/goka902/%d-%d-%d", i, j, k))
					s.mu.Lock()
					if err == nil && status == http.StatusOK {
						served++
					} else {
						other++
					}
					s.mu.Unlock()
					time.Sleep(150 * time.Millisecond)
				}
			})
		}
	}
	// up holds the time since which each machine's process has run undisturbed.
	up := make([]time.Time, poVMs)
	var upMu sync.Mutex
	if trouble {
		for i, v := range f.vms {
			wg.Go(func() {
				time.Sleep(time.Until(began.Add(poRoll + time.Duration(i)*poEvery)))
				upMu.Lock()
				up[i] = time.Now().Add(time.Hour)
				upMu.Unlock()
				r.line("SIGTERM to %s", v.id)
				_ = v.cmd.Process.Signal(syscall.SIGTERM)
				time.AfterFunc(poNotice, func() { out[i].Store(true) })
				<-v.done
				if err := f.start(v, false); err != nil {
					r.say("restart: %v", err)
					return
				}
				upMu.Lock()
				up[i] = time.Now()
				upMu.Unlock()
				r.line("%s is started again", v.id)
				if err := f.waitReady(v); err != nil {
					r.say("restart: %v", err)
					return
				}
				out[i].Store(false)
			})
		}
	}
	// The first attempt goes to the last machine, the others to the machine that was restarted last.
	counted := 0
	for k := 0; k < poVMs+1; k++ {
		at := poFirst
		if k > 0 {
			at = poRoll + time.Duration(k-1)*poEvery + poAfter
		}
		time.Sleep(time.Until(began.Add(at)))
		i := (k + poVMs - 1) % poVMs
		id := fmt.Sprintf("crash-%d", k)
		sent := time.Now()
		upMu.Lock()
		inTouch := sent.Sub(up[i]) > poContact
		upMu.Unlock()
		status, err := poSend(f.vms[i], id, poPath)
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		ran, n := s.ran[id], len(s.crashes)
		third := n >= 3 && sent.Sub(s.crashes[2].at) > poContact
		s.mu.Unlock()
		r.say("%s at %s: status %d, error %v; %d replicas began to run it, %d crashes so far; machine in touch %t, over contact_ms after the third crash %t", id, f.vms[i].id, status, err, ran, n, inTouch, third)
		if ran > 0 && inTouch && third {
			counted++
		}
	}
	wg.Wait()
	r.say("other requests: %d served, %d not", served, other)
	r.say("%d retries reached replicas later than contact_ms after the third crash, from machines in touch; 3 are allowed", counted)
	if served == 0 {
		return cannotRun, errors.New("no request was served")
	}
	if counted > 3 {
		r.say("BUDGET is broken")
		return broken, nil
	}
	return held, nil
}

// poSend sends one request on a connection of its own and returns the status of the answer.
func poSend(v *vm, id, path string) (int, error) {
	c, err := net.DialTimeout("tcp4", v.callers(), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, poHost, id, poDeadline.Milliseconds())
	_ = c.SetReadDeadline(time.Now().Add(poDeadline))
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, w.Body)
	return w.StatusCode, err
}
