package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

// Ports of a VM of a SiteFleet, on a loopback address of its own.
const (
	portRequests = 10_001 + iota
	portReadiness
	portMetrics
	portPeers
)

// SiteFleet is a fleet on stand-ins of the users' platform. Its VMs are separate processes.
type SiteFleet struct {
	Store    *site.Store
	VMs      []*SiteVM
	replicas []*site.Replica
	dir      string
}

// SiteVM is one VM's process.
type SiteVM struct {
	ID, DataCentre string
	// Store is where it finds the store.
	Store netip.AddrPort
	host  netip.Addr
	cmd   *exec.Cmd
	done  chan error
	// started is true once the VM has had a process.
	started bool
}

// NewSiteVM returns the VM with the given number, from 0, on an address of its own.
func NewSiteVM(n int, dataCentre string, store netip.AddrPort) *SiteVM {
	return &SiteVM{ID: fmt.Sprintf("vm-%d", n+1), DataCentre: dataCentre, Store: store, host: siteHost(n)}
}

// Callers is the address for callers.
func (vm *SiteVM) Callers() string {
	return netip.AddrPortFrom(vm.host, portRequests).String()
}

// siteHost returns a loopback address that no VM of another process has.
func siteHost(vm int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(130 + vm), byte(pid >> 8), byte(pid)})
}

// StartSite starts a store, two shards and a single service of two replicas each, of which a shard's
// take maxConns connections (0 for no limit), and vms VMs with the binaries of bin, whose output
// goes to log. It waits until all VMs serve.
func StartSite(bin string, vms, maxConns int, log io.Writer) (*SiteFleet, error) {
	store, err := site.NewStore(100)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "ebonylock-site")
	if err != nil {
		return nil, err
	}
	f := &SiteFleet{Store: store, dir: dir}
	if err := f.addReplicas(maxConns); err != nil {
		f.Kill()
		return nil, err
	}
	for i := range vms {
		vm := NewSiteVM(i, "dc-1", store.Addr())
		f.VMs = append(f.VMs, vm)
		if err := vm.Start(bin, dir, log); err != nil {
			f.Kill()
			return nil, err
		}
	}
	if err := f.waitReady(); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

func (f *SiteFleet) addReplicas(maxConns int) error {
	for _, id := range []string{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"} {
		r, err := site.NewReplica(func(g site.Request) site.Reply {
			return site.Reply{Raw: site.OK(g, strings.Repeat(id[:1], 16)), Delay: time.Millisecond}
		})
		if err != nil {
			return err
		}
		f.replicas = append(f.replicas, r)
		f.Store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"dc-%s","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"sequence":1}`, id[:1], r.Addr(), id[2:]))
	}
	f.Store.Put("op/config", fmt.Appendf(nil, `{"version":1,"routes":[
		{"name":"search","hostname":"h.example","path_prefix":"/search/","type":"idempotent","timeout_ms":5000,"target_latency_ms":1000,"max_attempts":2,"gather":["a","b"],"top_k":3,"min_shard_share":1},
		{"name":"write","hostname":"h.example","path_prefix":"/write/","type":"non_idempotent","timeout_ms":5000,"target_latency_ms":1000,"max_attempts":2,"service":"c"}],
		"services":[{"name":"a","max_connections":%[1]d},{"name":"b","max_connections":%[1]d}],
		"limits":{"max_header_bytes":4096,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, maxConns))
	return nil
}

// Start starts the VM's process with the binaries of bin and its settings in dir.
func (vm *SiteVM) Start(bin, dir string, log io.Writer) error {
	file := filepath.Join(dir, vm.ID+".jsonc")
	at := func(port uint16) string { return netip.AddrPortFrom(vm.host, port).String() }
	text := fmt.Appendf(nil, `{"vm": {"id": %q, "data-centre": %q},
		"requests": {"listen": %q, "readiness": %q, "metrics": %q},
		"peers": {"gossip": %q, "link": %q, "keys": [%q], "seeds": [%q]},
		"bounds": {"retry-ratio": 0.2, "retry-slack": 54, "retry-window": "10s", "grace": "6s"},
		"store": %q, "first-start": %t}`,
		vm.ID, vm.DataCentre, at(portRequests), at(portReadiness), at(portMetrics), at(portPeers), at(portPeers), key,
		netip.AddrPortFrom(siteHost(0), portPeers), vm.Store, !vm.started)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	vm.cmd = exec.Command(filepath.Join(bin, "ebonylockd"), "serve-platform", "--settings", file)
	vm.cmd.Stdout, vm.cmd.Stderr = log, log
	if err := vm.cmd.Start(); err != nil {
		return err
	}
	vm.started = true
	vm.done = make(chan error, 1)
	go func() { vm.done <- vm.cmd.Wait() }()
	return nil
}

// Metrics returns what the VM tells of itself.
func (vm *SiteVM) Metrics() (string, error) {
	w, err := http.Get("http://" + netip.AddrPortFrom(vm.host, portMetrics).String() + "/metrics")
	if err != nil {
		return "", err
	}
	defer func() { _ = w.Body.Close() }()
	body, err := io.ReadAll(w.Body)
	return string(body), err
}

// Signal sends a signal to the VM's process.
func (vm *SiteVM) Signal(s os.Signal) error {
	return vm.cmd.Process.Signal(s)
}

// Wait waits until the process has ended, or for the time given; it returns false after that.
func (vm *SiteVM) Wait(timeout time.Duration) bool {
	select {
	case err := <-vm.done:
		vm.done <- err
		return true
	case <-time.After(timeout):
		return false
	}
}

// Ready asks the VM as the balancer does whether it takes callers.
func (vm *SiteVM) Ready(timeout time.Duration) bool {
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := c.Get("http://" + netip.AddrPortFrom(vm.host, portReadiness).String() + "/-/readiness")
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

func (f *SiteFleet) waitReady() error {
	end := time.Now().Add(startTimeout)
	for _, vm := range f.VMs {
		for {
			if a, _, err := vm.Get("ready", "/search/ready"); err == nil && a.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve in time", vm.ID)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Get sends a request to the VM and returns its answer with the body.
func (vm *SiteVM) Get(id, path string) (*http.Response, []byte, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+vm.Callers()+path, http.NoBody)
	if err != nil {
		return nil, nil, err
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "5000")
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = w.Body.Close() }()
	body, err := io.ReadAll(w.Body)
	return w, body, err
}

// Stop stops the VM gracefully and returns how its process ended.
func (vm *SiteVM) Stop() error {
	if err := vm.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-vm.done:
		vm.done <- err
		return err
	case <-time.After(stopTimeout):
		return errors.New("VM did not stop in time")
	}
}

// Kill ends the process at once and waits for its end.
func (vm *SiteVM) Kill() {
	if vm.cmd != nil && vm.cmd.Process != nil {
		_ = vm.cmd.Process.Kill()
		vm.done <- <-vm.done
	}
}

// Kill ends everything.
func (f *SiteFleet) Kill() {
	for _, vm := range f.VMs {
		vm.Kill()
	}
	for _, r := range f.replicas {
		r.Close()
	}
	f.Store.Close()
	_ = os.RemoveAll(f.dir)
}

// CheckComplete reports whether the answer of a VM to a search holds all parts.
func (f *SiteFleet) CheckComplete(vm *SiteVM) error {
	w, body, err := vm.Get("demo-"+vm.ID, "/search/demo")
	if err != nil {
		return err
	}
	want := bytes.Repeat([]byte("b"), 16)
	want = append(want, bytes.Repeat([]byte("a"), 16)...)
	if w.StatusCode != http.StatusOK || w.Header.Get("Missing-Parts") != "0" || !bytes.Equal(body, want) {
		return fmt.Errorf("%s answers %d with %q, %s parts missing", vm.ID, w.StatusCode, body, w.Header.Get("Missing-Parts"))
	}
	return nil
}
