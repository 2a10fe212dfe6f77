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
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

// Ports of a VM of a SiteFleet. Each VM has a loopback address of its own.
const (
	portRequests = 10_001 + iota
	portReadiness
	portMetrics
	portPeers
)

// slowReply is the time that a replica takes for a slow request.
const slowReply = time.Second

// BigReply is the size in bytes of the body of a reply to a request for a path that ends in "/big".
const BigReply = 2 << 20

// Limits are the operator's limits on callers' requests.
type Limits struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader, MaxBody         int
	HeaderTimeout, IdleTimeout time.Duration
}

// defaultLimits are the limits of a SiteFleet after its start.
var defaultLimits = Limits{MaxHeader: 4096, MaxBody: 4096, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// SiteFleet is a set of VMs on stand-ins of the users' platform. The VMs are separate processes, the
// stand-ins run in this process.
type SiteFleet struct {
	Store    *site.Store
	VMs      []*SiteVM
	replicas []*site.Replica
	dir      string
	// maxConns is the number of connections that a replica of a shard accepts, 0 for no limit, and
	// configs the number of configurations written.
	maxConns, configs int
	limits            Limits
	// added holds the routes that AddService and AddSearch have added.
	added []string
}

// SiteVM is a VM that runs as a separate process on stand-ins of the users' platform.
type SiteVM struct {
	ID, DataCentre string
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Descriptors limits the file descriptors of the process; 0 keeps the limit of this process.
	Descriptors int
	// MemoryMB is the memory in MiB that the settings state; 0 states none.
	MemoryMB int
	host     netip.Addr
	cmd      *exec.Cmd
	done     chan error
	// started is true once the VM's process was started for the first time.
	started bool
}

// NewSiteVM returns the VM with number n, counted from 0, which has an address of its own. It does
// not start the process.
func NewSiteVM(n int, dataCentre string, store netip.AddrPort) *SiteVM {
	return &SiteVM{ID: fmt.Sprintf("vm-%d", n+1), DataCentre: dataCentre, Store: store, host: siteHost(n)}
}

// Callers returns the address of the listener for callers.
func (vm *SiteVM) Callers() string {
	return netip.AddrPortFrom(vm.host, portRequests).String()
}

// Readiness returns the address of the listener for the load balancer.
func (vm *SiteVM) Readiness() string {
	return netip.AddrPortFrom(vm.host, portReadiness).String()
}

// MetricsAddr returns the address of the listener for metrics.
func (vm *SiteVM) MetricsAddr() string {
	return netip.AddrPortFrom(vm.host, portMetrics).String()
}

// PID returns the ID of the VM's process.
func (vm *SiteVM) PID() int {
	return vm.cmd.Process.Pid
}

// Link returns the address of the listener for other VMs, which is the first one that a VM binds.
func (vm *SiteVM) Link() string {
	return netip.AddrPortFrom(vm.host, portPeers).String()
}

// siteHost returns the loopback address of the VM with the given number. It is derived from the ID of
// this process, so that VMs of other test processes have other addresses.
func siteHost(vm int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(130 + vm), byte(pid >> 8), byte(pid)})
}

// StartSite starts a store, the replicas of three services, and VMs. Services a and b are the shards
// of a search, and their replicas accept maxConns connections (0 is no limit). Service c is a single
// service. Each service has two replicas, which take slowReply for a path that ends in "/slow" and say that
// they leave for one that ends in "/leave". The VMs run the binary in the directory bin, and their output goes to
// log. StartSite waits until all VMs answer searches.
func StartSite(bin string, vms, maxConns int, log io.Writer) (*SiteFleet, error) {
	store, err := site.NewStore(100)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "ebonylock-site")
	if err != nil {
		return nil, err
	}
	f := &SiteFleet{Store: store, dir: dir, maxConns: maxConns}
	f.SetLimits(defaultLimits)
	if err := f.addReplicas(); err != nil {
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

// SetLimits writes a new version of the configuration, with the given limits, to the store.
func (f *SiteFleet) SetLimits(l Limits) {
	f.limits = l
	f.configs++
	f.Store.Put("op/config", fmt.Appendf(nil, `{"version":%[2]d,"routes":[
		{"name":"search","hostname":"h.example","path_prefix":"/search/","type":"idempotent","timeout_ms":5000,"target_latency_ms":1000,"max_attempts":2,"gather":["a","b"],"top_k":3,"min_shard_share":1},
		{"name":"write","hostname":"h.example","path_prefix":"/write/","type":"non_idempotent","timeout_ms":5000,"target_latency_ms":1000,"max_attempts":2,"service":"c"}%[7]s],
		"services":[{"name":"a","max_connections":%[1]d},{"name":"b","max_connections":%[1]d}],
		"limits":{"max_header_bytes":%[3]d,"max_body_bytes":%[4]d,"header_timeout_ms":%[5]d,"idle_timeout_ms":%[6]d}}`,
		f.maxConns, f.configs, l.MaxHeader, l.MaxBody, l.HeaderTimeout.Milliseconds(), l.IdleTimeout.Milliseconds(), strings.Join(f.added, "")))
}

// AddService adds a service with replicas at the given addresses, and a route for the paths below its name.
func (f *SiteFleet) AddService(service string, replicas []netip.AddrPort) {
	f.putReplicas(service, replicas)
	f.addRoute(service, fmt.Sprintf(`"service":%q`, service))
}

// AddSearch adds a search over as many shards as there are lists of replicas, and a route for the paths below its name.
func (f *SiteFleet) AddSearch(search string, shards [][]netip.AddrPort) {
	names := make([]string, len(shards))
	for i, replicas := range shards {
		service := fmt.Sprintf("%s%d", search, i)
		f.putReplicas(service, replicas)
		names[i] = strconv.Quote(service)
	}
	f.addRoute(search, fmt.Sprintf(`"gather":[%s],"top_k":3,"min_shard_share":0.5`, strings.Join(names, ",")))
}

func (f *SiteFleet) addRoute(name, services string) {
	f.added = append(f.added, fmt.Sprintf(`,
		{"name":%[1]q,"hostname":"h.example","path_prefix":"/%[1]s/","type":"idempotent","timeout_ms":5000,"target_latency_ms":1000,"max_attempts":2,%[2]s}`, name, services))
	f.SetLimits(f.limits)
}

func (f *SiteFleet) putReplicas(service string, replicas []netip.AddrPort) {
	for i, addr := range replicas {
		f.putReplica(fmt.Sprintf("%s-%d", service, i+1), service, "dc-1", addr)
	}
}

// putReplica writes the entry of a replica.
func (f *SiteFleet) putReplica(id, service, dataCentre string, addr netip.AddrPort) {
	f.Store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"sequence":1}`, service, addr, dataCentre))
}

func (f *SiteFleet) addReplicas() error {
	for _, id := range []string{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"} {
		r, err := site.NewReplica(func(g site.Request) site.Reply {
			delay := time.Millisecond
			body := strings.Repeat(id[:1], 16)
			var fields []string
			switch {
			case strings.HasSuffix(g.Target, "/big"):
				body = strings.Repeat(id[:1], BigReply)
			case strings.HasSuffix(g.Target, "/slow"):
				delay = slowReply
			case strings.HasSuffix(g.Target, "/leave"):
				fields = append(fields, "Server-Leaving: 1")
			}
			return site.Reply{Raw: site.OK(g, body, fields...), Delay: delay}
		})
		if err != nil {
			return err
		}
		f.replicas = append(f.replicas, r)
		f.putReplica(id, id[:1], "dc-"+id[2:], r.Addr())
	}
	return nil
}

// Start writes the VM's settings to dir and starts its process with the binary in bin.
func (vm *SiteVM) Start(bin, dir string, log io.Writer) error {
	file := filepath.Join(dir, vm.ID+".jsonc")
	at := func(port uint16) string { return netip.AddrPortFrom(vm.host, port).String() }
	memory := ""
	if vm.MemoryMB > 0 {
		memory = fmt.Sprintf(`, "memory-mb": %d`, vm.MemoryMB)
	}
	text := fmt.Appendf(nil, `{"vm": {"id": %q, "data-centre": %q%s},
		"requests": {"listen": %q, "readiness": %q, "metrics": %q},
		"peers": {"gossip": %q, "link": %q, "keys": [%q], "seeds": [%q]},
		"bounds": {"retry-ratio": 0.2, "retry-slack": 54, "retry-window": "10s", "grace": "6s"},
		"store": %q, "first-start": %t}`,
		vm.ID, vm.DataCentre, memory, at(portRequests), at(portReadiness), at(portMetrics), at(portPeers), at(portPeers), fleetKey,
		netip.AddrPortFrom(siteHost(0), portPeers), vm.Store, !vm.started)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	vm.cmd = limitDescriptors(vm.Descriptors, filepath.Join(bin, "ebonylockd"), "serve-platform", "--settings", file)
	vm.cmd.Stdout, vm.cmd.Stderr = log, log
	if err := vm.cmd.Start(); err != nil {
		return err
	}
	vm.started = true
	vm.done = make(chan error, 1)
	go func() { vm.done <- vm.cmd.Wait() }()
	return nil
}

// Metrics returns the VM's metrics in text format.
func (vm *SiteVM) Metrics() (string, error) {
	w, err := http.Get("http://" + vm.MetricsAddr() + "/metrics")
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

// Wait waits until the VM's process has ended. It returns false if the process still runs after the
// timeout.
func (vm *SiteVM) Wait(timeout time.Duration) bool {
	select {
	case err := <-vm.done:
		vm.done <- err
		return true
	case <-time.After(timeout):
		return false
	}
}

// Err waits until the VM's process has ended and returns its error.
func (vm *SiteVM) Err() error {
	err := <-vm.done
	vm.done <- err
	return err
}

// Ready reports whether the VM's readiness check succeeds. Like the load balancer, it opens a new
// connection for each check.
func (vm *SiteVM) Ready(timeout time.Duration) bool {
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := c.Get("http://" + vm.Readiness() + "/-/readiness")
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
				return fmt.Errorf("VM %s does not answer searches after the start timeout", vm.ID)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Get sends a GET request to the VM and returns the response with its body read.
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

// Stop stops the VM gracefully and returns the error of its process. It returns an error of its own
// if the process still runs after stopTimeout.
func (vm *SiteVM) Stop() error {
	if err := vm.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-vm.done:
		vm.done <- err
		return err
	case <-time.After(stopTimeout):
		return errors.New("VM process did not exit within the stop timeout")
	}
}

// Kill kills the VM's process, if one was started, and waits until it has ended.
func (vm *SiteVM) Kill() {
	if vm.cmd != nil && vm.cmd.Process != nil {
		_ = vm.cmd.Process.Kill()
		vm.done <- <-vm.done
	}
}

// Kill kills the VMs, closes the stand-ins and removes the directory of the settings.
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

// CheckComplete sends a search to the VM and returns an error unless the answer holds the results of
// both shards.
func (f *SiteFleet) CheckComplete(vm *SiteVM) error {
	w, body, err := vm.Get("demo-"+vm.ID, "/search/demo")
	if err != nil {
		return err
	}
	want := bytes.Repeat([]byte("b"), 16)
	want = append(want, bytes.Repeat([]byte("a"), 16)...)
	if w.StatusCode != http.StatusOK || w.Header.Get("Missing-Parts") != "0" || !bytes.Equal(body, want) {
		return fmt.Errorf("VM %s: search answer is not complete: status %d, body %q, missing parts %s", vm.ID, w.StatusCode, body, w.Header.Get("Missing-Parts"))
	}
	return nil
}
