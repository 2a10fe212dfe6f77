//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// contactTime is contact_ms, and maxLateRetries the number of retries that the rule allows later than that after the
	// third crash.
	contactTime    = 4 * time.Second
	maxLateRetries = 3
	// backTime is the time after which a replica that has crashed is back.
	backTime = 3 * time.Second
	// crashPath is the path of the request that crashes each replica that begins to run it.
	crashPath = restorePath + "crash"
	// herdKills is the number of times that the processes of all machines are killed, and downTime the time after which
	// they are started again.
	herdKills = 3
	downTime  = 500 * time.Millisecond
	// roundTime is the time between two rounds, in each of which the requester tries attemptsARound times, attemptEvery
	// apart.
	roundTime      = 9 * time.Second
	attemptsARound = 4
	attemptEvery   = 700 * time.Millisecond
)

// process is a replica that runs as a process of its own, so that it can crash as one.
type process struct {
	replica
	cmd *exec.Cmd
}

// serveReplica is the process of a replica: it prints a line for each request that it begins to run, and ends by
// SIGKILL at one for crashPath.
func serveReplica(args []string) int {
	if len(args) != 2 {
		return exitNotRun
	}
	id, addr := args[0], args[1]
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	var stamps atomic.Int64
	out := os.Stdout
	_, _ = fmt.Fprintln(out, "listening", ln.Addr())
	h := func(w http.ResponseWriter, r *http.Request) {
		req := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", req)
		if r.Header.Get("Expect-Instance") != id {
			w.Header().Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintln(out, "run", req, r.URL.Path)
		if r.URL.Path == crashPath {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		}
		time.Sleep(60 * time.Millisecond)
		body := "done"
		w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%d", id, stamps.Add(1)))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
	srv := &http.Server{Handler: http.HandlerFunc(h), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	_ = srv.Serve(ln)
	return exitHeld
}

// crash is a run of the request that crashes replicas.
type crash struct {
	id string
	at time.Time
}

// poisoned is what the case of the request that crashes replicas keeps.
type poisoned struct {
	*drill
	crashes chan crash
	starts  atomic.Int64
	ended   atomic.Bool
}

// startProcess starts a replica as a process, registers it, and starts another one some seconds after its end.
func (d *poisoned) startProcess(service, zone string) error {
	id := fmt.Sprintf("i-%s-%d", service, d.starts.Add(1))
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p := &process{replica: replica{id: id, service: service, zone: zone, store: d.store, rec: d.rec, ended: make(chan struct{})}}
	p.cmd = exec.Command(self, "replica", id, "127.0.0.1:0")
	p.cmd.Stderr = os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() || !strings.HasPrefix(lines.Text(), "listening ") {
		return errors.New("replica does not start")
	}
	p.addr, p.born = strings.TrimPrefix(lines.Text(), "listening "), time.Now()
	p.register()
	go p.beat()
	d.wg.Go(func() {
		for lines.Scan() {
			f := strings.Fields(lines.Text())
			if len(f) == 3 && f[2] == crashPath {
				d.crashes <- crash{f[1], time.Now()}
				d.rec.logf("request %s crashes %s", f[1], p.id)
			}
		}
		_ = p.cmd.Wait()
		p.once.Do(func() { close(p.ended) })
		// The entry of a replica that crashes goes after three heartbeats of silence.
		time.Sleep(backTime)
		if d.ended.Load() {
			return
		}
		if err := d.startProcess(service, zone); err != nil {
			d.rec.notef("replica not started again: %v", err)
		}
		time.Sleep(3*heartbeat - backTime)
		d.store.remove("servers/" + p.id)
	})
	d.procMu.Lock()
	d.procs = append(d.procs, p)
	d.procMu.Unlock()
	return nil
}

// crashingRequest shows whether a request that crashes replicas is kept from them: BUDGET.
func crashingRequest(ctx context.Context, rec *record, trouble bool) error {
	base, err := newDrill(rec)
	if err != nil {
		return err
	}
	d := &poisoned{drill: base, crashes: make(chan crash, 1000)}
	defer base.end()
	defer d.killProcesses()
	for range 2 {
		for _, zone := range []string{"bole", "piassa", "merkato"} {
			if err := d.startProcess("reservations", zone); err != nil {
				return err
			}
		}
	}
	d.configure(3, "reservations")
	if err := d.fleet.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.load(ctx, 30*time.Millisecond, restorePath)
	pause(ctx, 5*time.Second)
	for round := range herdKills + 1 {
		began := time.Now()
		if round > 0 && trouble {
			if err := d.fleet.restart(ctx); err != nil {
				return err
			}
		}
		// All machines are in touch by then.
		pause(ctx, time.Until(began.Add(contactTime+2*time.Second)))
		for i := range attemptsARound {
			d.callers.send(ctx, d.fleet.vms[(round+i)%len(d.fleet.vms)], "POST", restoreHost, crashPath, 1500*time.Millisecond, []byte("a hall"))
			pause(ctx, attemptEvery)
		}
		pause(ctx, time.Until(began.Add(roundTime)))
	}
	err = ctx.Err()
	cancel()
	d.killProcesses()
	d.wg.Wait()
	if err != nil {
		return err
	}
	return d.judgeCrashes()
}

func (d *poisoned) killProcesses() {
	d.ended.Store(true)
	d.procMu.Lock()
	defer d.procMu.Unlock()
	for _, p := range d.procs {
		_ = p.cmd.Process.Kill()
	}
}

// judgeCrashes counts the attempts that reached replicas later than contact_ms after the third crash.
func (d *poisoned) judgeCrashes() error {
	close(d.crashes)
	var list []crash
	for c := range d.crashes {
		list = append(list, c)
	}
	late := make(map[string]bool)
	sentAt := make(map[string]time.Time)
	for _, x := range d.callers.all() {
		sentAt[x.id] = x.at
	}
	for _, c := range list {
		if len(list) >= 3 && sentAt[c.id].After(list[2].at.Add(contactTime)) {
			late[c.id] = true
		}
	}
	lost := 0
	for _, x := range d.callers.all() {
		if x.path != crashPath && x.status == http.StatusBadGateway {
			lost++
		}
	}
	d.rec.notef("the request crashed replicas %d times; %d attempts sent later than contact_ms after the third crash reached replicas, %d are allowed", len(list), len(late), maxLateRetries)
	d.rec.notef("%d requests of others were lost with the replicas", lost)
	if len(late) > maxLateRetries {
		return fmt.Errorf("%w: BUDGET", errBroken)
	}
	return nil
}
