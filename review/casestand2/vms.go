//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// startTimeout is the time in which all VMs must be ready.
	startTimeout = 20 * time.Second
	// settleTime is the time between readiness of all VMs and the first request: traffic starts 10 s after the
	// machines do.
	settleTime = 6 * time.Second
	// maxSeeds is the number of seeds in the settings.
	maxSeeds = 3
	fleetKey = "6b0f5a1d93c2e84f7d1e6a0b58c94f3217e0d9b6a4c8f1357092eb64dc81a53f"
)

// vm is a VM that runs as a separate process with the command of the deploy file.
type vm struct {
	id, zone string
	host     netip.Addr
	cmd      *exec.Cmd
	done     chan struct{}
}

// fleet is a set of VMs with loopback addresses of their own and the same ports.
type fleet struct {
	vms   []*vm
	ports [4]uint16
	dir   string
	store netip.AddrPort
	// first is true at the first start of the whole fleet.
	first bool
}

// Indexes of fleet.ports.
const (
	portRequests = iota
	portReadiness
	portPeers
	portMetrics
)

// startFleet starts a VM for each zone in zones and waits until all are ready.
func startFleet(zones []string, store netip.AddrPort) (*fleet, error) {
	dir, err := os.MkdirTemp("", "casestand2")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: store, first: true}
	base := [2]byte{byte(64 + rand.IntN(128)), byte(1 + rand.IntN(254))}
	for i, zone := range zones {
		f.vms = append(f.vms, &vm{
			id: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone,
			host: netip.AddrFrom4([4]byte{127, base[0], base[1], byte(i + 1)}),
		})
	}
	for i := range f.ports {
		if f.ports[i], err = f.freePort(f.ports[:i]); err != nil {
			return nil, err
		}
	}
	for _, v := range f.vms {
		if err := f.start(v); err != nil {
			f.stop()
			return nil, err
		}
	}
	if err := f.waitReady(); err != nil {
		f.stop()
		return nil, err
	}
	f.first = false
	return f, nil
}

// freePort returns a port that is free on the hosts of all VMs and not in taken.
func (f *fleet) freePort(taken []uint16) (uint16, error) {
next:
	for range 100 {
		port := uint16(12_000 + rand.IntN(16_000))
		for _, t := range taken {
			if t == port {
				continue next
			}
		}
		for _, v := range f.vms {
			ln, err := net.Listen("tcp4", netip.AddrPortFrom(v.host, port).String())
			if err != nil {
				continue next
			}
			_ = ln.Close()
		}
		return port, nil
	}
	return 0, errors.New("no free port")
}

func (f *fleet) addr(v *vm, port int) string {
	return netip.AddrPortFrom(v.host, f.ports[port]).String()
}

// settings returns the settings of a VM, as the platform renders deploy/settings.jsonc.
func (f *fleet) settings(v *vm) string {
	seeds := ""
	for i, s := range f.vms[:min(maxSeeds, len(f.vms))] {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", f.addr(s, portPeers))
	}
	return fmt.Sprintf(`{
	"vm": {"id": %q, "data-centre": %q, "link-mbps": 1000.0, "cores": 0.4, "descriptors": 4100},
	"requests": {"listen": %q, "readiness": %q, "metrics": %q},
	"peers": {"gossip": %q, "link": %q, "keys": [%q], "seeds": [%s]},
	"store": %q,
	"first-start": %t,
	"bounds": {"retry-ratio": 0.2, "retry-slack": 54, "retry-window": "10s", "warmup-overshoot": 1.5, "warmup-slack": 5, "grace": "6s"},
	"log": {"level": "info", "format": "json"},
}
`, v.id, v.zone, f.addr(v, portRequests), f.addr(v, portReadiness), f.addr(v, portMetrics),
		f.addr(v, portPeers), f.addr(v, portPeers), fleetKey, seeds, f.store, f.first)
}

func (f *fleet) start(v *vm) error {
	file := filepath.Join(f.dir, v.id+".jsonc")
	if err := os.WriteFile(file, []byte(f.settings(v)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, v.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/ebonylockd", "serve-platform", "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	started.Lock()
	started.list = append(started.list, cmd)
	started.Unlock()
	v.cmd, v.done = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(v.done)
	}()
	return nil
}

// ready asks for the readiness of a VM as the platform does.
func (f *fleet) ready(v *vm) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.addr(v, portReadiness)+"/-/readiness", http.NoBody)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) waitReady() error {
	end := time.Now().Add(startTimeout)
	for _, v := range f.vms {
		for !f.ready(v) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready in time", v.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// started holds the processes of all VMs, so that none outlives this process.
var started struct {
	sync.Mutex
	list []*exec.Cmd
}

// endOnSignal kills the VMs and exits if this process is asked to end.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		started.Lock()
		for _, cmd := range started.list {
			_ = cmd.Process.Kill()
		}
		os.Exit(exitFailed)
	}()
}

// kill kills a VM's process and waits for its end.
func (v *vm) kill() {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	<-v.done
}

// stop kills all processes and removes the folder of the settings, unless KEEP_LOGS is set.
func (f *fleet) stop() {
	for _, v := range f.vms {
		v.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", f.dir)
	}
}

// answer is what a caller got for a request.
type answer struct {
	id       string
	sent     time.Time
	answered time.Time
	status   int
	err      error
}

// caller sends requests to the VMs and keeps its connections.
type caller struct {
	f      *fleet
	client *http.Client

	mu      sync.Mutex
	answers []answer
	sentAt  map[string]time.Time
	wg      sync.WaitGroup
}

func newCaller(f *fleet) *caller {
	return &caller{f: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, sentAt: make(map[string]time.Time)}
}

// send sends one request to a VM in the background.
func (c *caller) send(v *vm, id, method, host, path string, body io.Reader, deadline time.Duration) {
	c.mu.Lock()
	c.sentAt[id] = time.Now()
	c.mu.Unlock()
	c.wg.Go(func() {
		a := answer{id: id, sent: time.Now()}
		a.status, a.err = c.do(v, id, method, host, path, body, deadline)
		a.answered = time.Now()
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.mu.Unlock()
	})
}

func (c *caller) do(v *vm, id, method, host, path string, body io.Reader, deadline time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.f.addr(v, portRequests)+path, body)
	if err != nil {
		return 0, err
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// load sends perSecond requests a second to the VMs in turn until ctx ends.
func (c *caller) load(ctx context.Context, perSecond float64, host, path string, deadline time.Duration) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.send(c.f.vms[n%len(c.f.vms)], fmt.Sprintf("%016x", rand.Uint64()), http.MethodGet, host, path, http.NoBody, deadline)
		}
	}
}

// sent returns when the request with an ID was sent.
func (c *caller) sent(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentAt[id]
}

// write waits for all answers and adds them to the record, with a count by status. Nothing may be sent any more.
func (c *caller) write(r *record) {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	byStatus := make(map[int]int)
	for _, a := range c.answers {
		byStatus[a.status]++
		r.addAt(a.sent, "caller: %s sent, answered %d after %d ms %s", a.id, a.status, a.answered.Sub(a.sent).Milliseconds(), errText(a.err))
	}
	r.addf("caller: answers by status (0: none) %v", byStatus)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
