//go:build review

// Command casestand runs the review's cases: it starts VMs with the command of the deploy file as
// separate processes, and stand-ins of the platform's store, its replicas and its requesters.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

// host returns a loopback address that belongs to this run: n is 0 for the stand-ins and counts the
// VMs from 1.
func host(n int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(60 + n), byte(pid >> 8), byte(pid)})
}

// vm is one VM, a process of its own.
type vm struct {
	id, zone string
	addr     netip.Addr
	ports    []uint16
	// store is the VM's way to the store; if it is not valid, the VM reaches the store itself.
	store netip.AddrPort
	cmd   *exec.Cmd
	done  chan struct{}
}

func (v *vm) at(i int) string { return netip.AddrPortFrom(v.addr, v.ports[i]).String() }

// callers is the address for requesters.
func (v *vm) callers() string { return v.at(0) }

// zones of the small deployment that the cases follow.
var zones = []string{"bole", "piassa", "merkato"}

// fleet is a set of VMs on stand-ins.
type fleet struct {
	store *site.Store
	vms   []*vm
	dir   string
	log   *os.File
}

// freePorts returns ports that are free on addr.
func freePorts(addr netip.Addr, n int) ([]uint16, error) {
	var out []uint16
	var lns []net.Listener
	defer func() {
		for _, ln := range lns {
			_ = ln.Close()
		}
	}()
	for range n {
		ln, err := net.Listen("tcp4", netip.AddrPortFrom(addr, 0).String())
		if err != nil {
			return nil, err
		}
		lns = append(lns, ln)
		out = append(out, uint16(ln.Addr().(*net.TCPAddr).Port))
	}
	return out, nil
}

// newFleet starts the store and prepares n VMs. The output of the VMs goes to vms.log in a temporary
// folder.
func newFleet(n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir}
	if f.log, err = os.Create(filepath.Join(dir, "vms.log")); err != nil {
		return nil, err
	}
	if f.store, err = site.NewStore(100); err != nil {
		return nil, err
	}
	ports, err := freePorts(host(1), 4)
	if err != nil {
		return nil, err
	}
	for i := range n {
		f.vms = append(f.vms, &vm{id: fmt.Sprintf("frontend-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], addr: host(1 + i), ports: ports})
	}
	return f, nil
}

// start starts a VM. The settings are those that the deploy file's template gives on the small sites.
func (f *fleet) start(v *vm, first bool) error {
	var seeds []string
	for _, s := range f.vms[:min(3, len(f.vms))] {
		seeds = append(seeds, fmt.Sprintf("%q", s.at(3)))
	}
	store := v.store
	if !store.IsValid() {
		store = f.store.Addr()
	}
	text := fmt.Sprintf(`{
	"vm": {"id": %q, "data-centre": %q, "link-mbps": 1000.0, "cores": 0.4},
	"requests": {"listen": %q, "readiness": %q, "metrics": %q},
	"peers": {"gossip": %q, "link": %q, "keys": ["6b0f5a1d93c2e84f7d1e6a0b58c94f3217e0d9b6a4c8f1357092eb64dc81a53f"], "seeds": [%s]},
	"store": %q,
	"first-start": %t,
	"bounds": {"retry-ratio": 0.2, "retry-slack": 54, "retry-window": "10s", "grace": "6s"},
	"log": {"level": "info", "format": "json"},
}`, v.id, v.zone, v.at(0), v.at(1), v.at(2), v.at(3), v.at(3), strings.Join(seeds, ","), store, first)
	file := filepath.Join(f.dir, v.id+".conf")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	v.cmd = exec.Command("target/ebonylockd", "serve-platform", "--settings", file)
	v.cmd.Stdout, v.cmd.Stderr = f.log, f.log
	// A VM does not outlive this process.
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.done = done
	cmd := v.cmd
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// startAll starts all VMs and waits until the readiness check of each succeeds.
func (f *fleet) startAll() error {
	for _, v := range f.vms {
		if err := f.start(v, true); err != nil {
			return err
		}
	}
	for _, v := range f.vms {
		if err := f.waitReady(v); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) waitReady(v *vm) error {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w, err := c.Get("http://" + v.at(1) + "/-/readiness"); err == nil {
			_ = w.Body.Close()
			if w.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New(v.id + " did not become ready")
}

// end kills the VMs, closes the store and removes the temporary folder.
func (f *fleet) end() {
	for _, v := range f.vms {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
			<-v.done
		}
	}
	f.store.Close()
	_ = f.log.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// put registers a replica in the store as the replica itself would.
func (f *fleet) put(id, service, zone string, addr netip.AddrPort, slots int) {
	f.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","warmup_left_ms":0,"sequence":1,"born":%d}`,
		service, addr, zone, slots, time.Now().UnixMilli()))
}

// record collects what was sent, answered and run, and writes it to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
