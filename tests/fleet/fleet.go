// Package fleet starts stand-ins and entry VMs as separate processes on loopback addresses, for
// the demo and for end-to-end tests.
package fleet

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/tests/standin"
)

// Token is the operator token of every test fleet.
const Token = "test-operator"

// fleetKey is the shared key of the VMs of every test fleet.
const fleetKey = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

const (
	startTimeout = 30 * time.Second
	stopTimeout  = 25 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Config configures a Fleet.
type Config struct {
	// Bin is the directory that holds the binaries ebonylockd and standin.
	Bin string
	// Deployment is the installation to start.
	Deployment standin.Deployment
	// VMs is the number of entry VMs.
	VMs int
	// BasePort is the port of the first VM's listener for callers. With 0, the VMs get loopback
	// addresses of their own.
	BasePort int
	// Work is the mean time of a run at a backend server. With 0, that of the deployment is used.
	Work time.Duration
	// RunLimit is the VMs' limit on a run. With 0, their default is used.
	RunLimit time.Duration
	// MemoryMB is the memory in MiB that the VMs' settings state; 0 states none.
	MemoryMB int
	// Descriptors limits the file descriptors of the VMs' processes; 0 keeps the limit of this process.
	Descriptors int
	// Log receives the output of the processes.
	Log io.Writer
}

// VM is an entry VM that runs as a separate process.
type VM struct {
	ID, DataCentre                   string
	Callers, Operators, Gossip, Link string
	cmd                              *exec.Cmd
	// done is closed when the process has ended and err is set.
	done     chan struct{}
	err      error
	settings []byte
}

// Fleet is a running set of entry VMs and stand-ins.
type Fleet struct {
	cfg      Config
	VMs      []*VM
	platform *standinProcess
	backends []*standinProcess
	// Store and List are the addresses of the platform's stand-ins. Control holds the address
	// for control commands to the backend servers of each data centre.
	Store, List string
	Control     map[string]string
	servers     []standin.ListedServer
}

// standinProcess is the process of a stand-in.
type standinProcess struct {
	cmd *exec.Cmd
}

// announcement is the JSON line with addresses that a stand-in prints at its start.
type announcement struct {
	Store   string                 `json:"store"`
	List    string                 `json:"list"`
	Control string                 `json:"control"`
	Servers []standin.ListedServer `json:"servers"`
}

// Start starts the stand-ins and the VMs, waits until every VM is ready, and confirms an intent with
// the searches of the deployment. On an error it kills the fleet.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, Control: make(map[string]string)}
	if err := f.start(); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.startStandins(); err != nil {
		return err
	}
	f.configureVMs()
	if err := f.publishList(); err != nil {
		return err
	}
	for _, vm := range f.VMs {
		if err := f.StartVM(vm); err != nil {
			return err
		}
	}
	if err := f.WaitReady(f.VMs...); err != nil {
		return err
	}
	return f.setIntents()
}

func (f *Fleet) startStandins() error {
	p, announced, err := f.startStandin("platform")
	if err != nil {
		return err
	}
	f.platform = p
	f.Store, f.List = announced.Store, announced.List
	for _, dc := range f.cfg.Deployment.DataCentres {
		args := []string{"backends", "--deployment", f.cfg.Deployment.Name, "--data-centre", dc}
		if f.cfg.Work > 0 {
			args = append(args, "--work", f.cfg.Work.String())
		}
		p, announced, err := f.startStandin(args...)
		if err != nil {
			return err
		}
		f.backends = append(f.backends, p)
		f.Control[dc] = announced.Control
		f.servers = append(f.servers, announced.Servers...)
	}
	return nil
}

// startStandin starts a stand-in and reads its announcement.
func (f *Fleet) startStandin(args ...string) (*standinProcess, announcement, error) {
	cmd := exec.Command(filepath.Join(f.cfg.Bin, "standin"), args...)
	cmd.Stderr = f.cfg.Log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, announcement{}, err
	}
	if err := cmd.Start(); err != nil {
		return nil, announcement{}, err
	}
	var announced announcement
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &announced)
	}
	return &standinProcess{cmd}, announced, err
}

// configureVMs sets the IDs, data centres, addresses and settings of the VMs.
func (f *Fleet) configureVMs() {
	fleet := int(fleetCount.Add(1))
	for i := range f.cfg.VMs {
		vm := &VM{
			ID:         fmt.Sprintf("vm-%d", i+1),
			DataCentre: f.cfg.Deployment.DataCentres[i%len(f.cfg.Deployment.DataCentres)],
		}
		for j, a := range []*string{&vm.Callers, &vm.Operators, &vm.Gossip, &vm.Link} {
			if f.cfg.BasePort > 0 {
				*a = fmt.Sprintf("127.0.0.1:%d", f.cfg.BasePort+100*j+i)
			} else {
				*a = uniqueAddr(fleet, i, j)
			}
		}
		vm.settings = f.settings(vm)
		f.VMs = append(f.VMs, vm)
	}
}

const (
	// firstPort is the lowest port of a VM. All ports are below the usual ephemeral port range, from
	// which the system assigns free ports.
	firstPort = 10_000
	// portsPerVM and vmsPerFleet determine the ports of each fleet. Ports are reused after
	// maxFleets fleets.
	portsPerVM  = 4
	vmsPerFleet = 50
	maxFleets   = 100
)

// fleetCount is the number of fleets started by this process.
var fleetCount atomic.Int32

// uniqueAddr returns an address that no other fleet on the machine uses, so that it need not be
// reserved by binding it before the VM's process does. The loopback address is derived from the ID
// of this process, the port from the numbers of the fleet, the VM and the listener.
func uniqueAddr(fleet, vm, listener int) string {
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, 64 | byte(pid>>16)&63, byte(pid >> 8), byte(pid)})
	port := firstPort + portsPerVM*(vmsPerFleet*(fleet%maxFleets)+vm) + listener
	return netip.AddrPortFrom(host, uint16(port)).String()
}

func (f *Fleet) settings(vm *VM) []byte {
	sum := sha256.Sum256([]byte(Token))
	limits := "{}"
	if f.cfg.RunLimit > 0 {
		limits = fmt.Sprintf(`{"run-limit": %q}`, f.cfg.RunLimit)
	}
	memory := ""
	if f.cfg.MemoryMB > 0 {
		memory = fmt.Sprintf(`, "memory-mb": %d`, f.cfg.MemoryMB)
	}
	return fmt.Appendf(nil, `{
	// written by the test fleet
	"vm": {"id": %q, "data-centre": %q%s},
	"callers": {"listen": %q},
	"operators": {"listen": %q, "tokens": [{"name": "tester", "sha256": %q}]},
	"fleet": {"gossip": %q, "link": %q, "keys": [%q]},
	"platform": {"store": %q, "vm-list": %q},
	"limits": %s,
	"log": {"level": "info"},
}`, vm.ID, vm.DataCentre, memory, vm.Callers, vm.Operators, hex.EncodeToString(sum[:]), vm.Gossip, vm.Link, fleetKey, f.Store, f.List, limits)
}

// MarkLeaving marks a backend server as leaving in the platform's list.
func (f *Fleet) MarkLeaving(id string) error {
	for i := range f.servers {
		f.servers[i].Leaving = f.servers[i].Leaving || f.servers[i].ID == id
	}
	return f.publishList()
}

// ReplaceServers gives the backend servers of the services of a search new addresses, one after the other, and a number
// of slots.
func (f *Fleet) ReplaceServers(search string, addrs []netip.AddrPort, slots int) error {
	n := 0
	for i, s := range f.servers {
		if strings.HasPrefix(s.Service, search) {
			f.servers[i].Addr, f.servers[i].Slots = addrs[n%len(addrs)].String(), slots
			n++
		}
	}
	return f.publishList()
}

// publishList sets the platform's list to the VMs and backend servers of the fleet.
func (f *Fleet) publishList() error {
	list := standin.List{Servers: f.servers}
	for _, vm := range f.VMs {
		list.VMs = append(list.VMs, standin.VM{ID: vm.ID, DataCentre: vm.DataCentre, Gossip: vm.Gossip})
	}
	return f.SetList(list)
}

// SetList replaces the platform's list.
func (f *Fleet) SetList(list standin.List) error {
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+f.List+"/v1/vms", bytes.NewReader(body))
	if err != nil {
		return err
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return w.Body.Close()
}

// RunWithBinaries builds the binaries of the system and of the stand-ins, calls run with their directory and returns its
// result, or 1 if they can't be built. It must be called from a package in tests.
func RunWithBinaries(run func(dir string) int) int {
	dir, err := os.MkdirTemp("", "ebonylock")
	if err != nil {
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/...", "../cmd/standin")
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Run(); err != nil {
		return 1
	}
	return run(dir)
}

// StartVM starts a VM's process. It does not wait until the VM is ready.
func (f *Fleet) StartVM(vm *VM) error {
	cmd := limitDescriptors(f.cfg.Descriptors, filepath.Join(f.cfg.Bin, "ebonylockd"), "serve", "--settings", "-")
	cmd.Stdin = bytes.NewReader(vm.settings)
	cmd.Stdout, cmd.Stderr = f.cfg.Log, f.cfg.Log
	if err := cmd.Start(); err != nil {
		return err
	}
	vm.cmd = cmd
	done := make(chan struct{})
	vm.done = done
	go func() {
		vm.err = cmd.Wait()
		close(done)
	}()
	return nil
}

// limitDescriptors returns a command whose process may have n file descriptors; 0 keeps the limit of this process.
func limitDescriptors(n int, command ...string) *exec.Cmd {
	if n > 0 {
		command = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, n), "sh"}, command...)
	}
	return exec.Command(command[0], command[1:]...)
}

// PID returns the ID of the VM's process.
func (vm *VM) PID() int {
	return vm.cmd.Process.Pid
}

// WaitReady waits until all given VMs are ready. It returns an error after startTimeout.
func (f *Fleet) WaitReady(vms ...*VM) error {
	deadline := time.Now().Add(startTimeout)
	for _, vm := range vms {
		for !vm.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("VM %s is not ready after the start timeout", vm.ID)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Ready reports whether the VM's readiness check succeeds.
func (vm *VM) Ready() bool {
	w, err := http.Get("http://" + vm.Operators + "/readyz")
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

// setIntents plans and confirms an intent that defines the searches of the deployment.
func (f *Fleet) setIntents() error {
	intent := planner.Intent{SetSearches: make(map[string]planner.Search)}
	for name, services := range f.cfg.Deployment.Searches() {
		intent.SetSearches[name] = planner.Search{Services: services, MinCoverage: 0.9, Fast: f.cfg.Deployment.Fast[name]}
	}
	body, err := planner.EncodeIntent(intent)
	if err != nil {
		return err
	}
	plan, err := f.CallOperator(f.VMs[0], http.MethodPost, "/v1/intent/plan", body)
	if err != nil {
		return err
	}
	_, err = f.CallOperator(f.VMs[0], http.MethodPost, "/v1/intent/confirm", plan)
	return err
}

// CallOperator sends a request to the operator API of a VM and returns the body of the response. It
// returns an error for a status of 400 or above.
func (f *Fleet) CallOperator(vm *VM, method, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequest(method, "http://"+vm.Operators+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+Token)
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Body.Close() }()
	out, err := io.ReadAll(w.Body)
	if err == nil && w.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("%s %s: status %d: %s", method, path, w.StatusCode, out)
	}
	return out, err
}

// CallVM sends a POST request with body as JSON to the listener for callers of a VM. It returns the
// status and the body of the response.
func (f *Fleet) CallVM(vm *VM, path string, body any) (int, []byte, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	w, err := http.Post("http://"+vm.Callers+path, "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = w.Body.Close() }()
	out, err := io.ReadAll(w.Body)
	return w.StatusCode, out, err
}

// ControlBackend sends a control command to the process that runs the backend servers of a data
// centre, and returns the body of the response.
func (f *Fleet) ControlBackend(dc string, c standin.Command) ([]byte, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	w, err := http.Post("http://"+f.Control[dc]+"/control", "application/json", bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Body.Close() }()
	return io.ReadAll(w.Body)
}

// Records returns the records of all backend servers, keyed by server ID.
func (f *Fleet) Records() (map[string]standin.Record, error) {
	out := make(map[string]standin.Record)
	for dc := range f.Control {
		raw, err := f.ControlBackend(dc, standin.Command{Records: true})
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(raw, &out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// SetStoreFaults replaces the faults that the store injects.
func (f *Fleet) SetStoreFaults(faults standin.StoreFaults) error {
	raw, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	w, err := http.Post("http://"+f.Store+"/control/faults", "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	return w.Body.Close()
}

// RestoreStore sets a value in the store as a restore from a backup does.
func (f *Fleet) RestoreStore(key string, data []byte) error {
	w, err := http.Post("http://"+f.Store+"/control/restore/"+key, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	return w.Body.Close()
}

// Signal sends a signal to a VM's process.
func (vm *VM) Signal(s syscall.Signal) error {
	return vm.cmd.Process.Signal(s)
}

// Wait waits until the VM's process has ended and returns its error. It returns an error of its own
// if the process still runs after d.
func (vm *VM) Wait(d time.Duration) error {
	select {
	case <-vm.done:
		return vm.err
	case <-time.After(d):
		return errors.New("VM process did not exit in time")
	}
}

// Stop stops every VM gracefully, then the stand-ins. It returns the first error of a VM.
func (f *Fleet) Stop() error {
	var first error
	for _, vm := range f.VMs {
		if vm.cmd != nil {
			_ = vm.Signal(syscall.SIGTERM)
		}
	}
	for _, vm := range f.VMs {
		if vm.cmd == nil {
			continue
		}
		if err := vm.Wait(stopTimeout); err != nil && first == nil {
			first = fmt.Errorf("VM %s: %w", vm.ID, err)
		}
		vm.cmd = nil
	}
	f.Kill()
	return first
}

// Kill kills the VMs, interrupts the stand-ins, and waits until all processes have ended.
func (f *Fleet) Kill() {
	for _, vm := range f.VMs {
		if vm.cmd != nil {
			_ = vm.cmd.Process.Kill()
			<-vm.done
			vm.cmd = nil
		}
	}
	for _, p := range append(f.backends, f.platform) {
		if p != nil {
			_ = p.cmd.Process.Signal(os.Interrupt)
			_ = p.cmd.Wait()
		}
	}
	f.backends, f.platform = nil, nil
}
