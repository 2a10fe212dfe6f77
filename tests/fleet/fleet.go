// Package fleet starts stand-ins and entry VMs as separate processes on the loopback
// address, for the demo and for tests of the whole path.
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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/tests/standin"
)

// Token is the operators' token of every test fleet.
const Token = "test-operator"

// key is the fleet key of every test fleet.
const key = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

const (
	startTimeout = 30 * time.Second
	stopTimeout  = 25 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Config sets up a Fleet.
type Config struct {
	// Bin is the directory of the binaries ebonylockd and standin.
	Bin string
	// Deployment is the installation to start.
	Deployment standin.Deployment
	// VMs is the number of entry VMs.
	VMs int
	// BasePort is the port of the first callers' listener; 0 takes free ports.
	BasePort int
	// Work is the mean time of a run at a backend server; 0 is the deployment's.
	Work time.Duration
	// Log gets what the processes print.
	Log io.Writer
}

// VM is one entry VM's process.
type VM struct {
	ID, DataCentre                   string
	Callers, Operators, Gossip, Link string
	cmd                              *exec.Cmd
	// done is closed at the end of the process, after err was set.
	done     chan struct{}
	err      error
	settings []byte
}

// Fleet is a running fleet.
type Fleet struct {
	cfg      Config
	VMs      []*VM
	platform *process
	backends []*process
	// Store, List and Control are the addresses of the stand-ins.
	Store, List string
	Control     map[string]string
	servers     []standin.ListedServer
}

// process is a stand-in's process.
type process struct {
	cmd *exec.Cmd
}

// announcement is the first line that a stand-in prints.
type announcement struct {
	Store   string                 `json:"store"`
	List    string                 `json:"list"`
	Control string                 `json:"control"`
	Servers []standin.ListedServer `json:"servers"`
}

// Start starts everything and waits until every VM is ready and the intents are in force.
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
	f.placeVMs()
	if err := f.putList(); err != nil {
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
	p, said, err := f.spawn("platform")
	if err != nil {
		return err
	}
	f.platform = p
	f.Store, f.List = said.Store, said.List
	for _, dc := range f.cfg.Deployment.DataCentres {
		args := []string{"backends", "--deployment", f.cfg.Deployment.Name, "--data-centre", dc}
		if f.cfg.Work > 0 {
			args = append(args, "--work", f.cfg.Work.String())
		}
		p, said, err := f.spawn(args...)
		if err != nil {
			return err
		}
		f.backends = append(f.backends, p)
		f.Control[dc] = said.Control
		f.servers = append(f.servers, said.Servers...)
	}
	return nil
}

// spawn starts a stand-in and reads its announcement.
func (f *Fleet) spawn(args ...string) (*process, announcement, error) {
	cmd := exec.Command(filepath.Join(f.cfg.Bin, "standin"), args...)
	cmd.Stderr = f.cfg.Log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, announcement{}, err
	}
	if err := cmd.Start(); err != nil {
		return nil, announcement{}, err
	}
	var said announcement
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &said)
	}
	return &process{cmd}, said, err
}

// placeVMs chooses names, data centres and addresses.
func (f *Fleet) placeVMs() {
	fleet := int(fleets.Add(1))
	for i := range f.cfg.VMs {
		vm := &VM{
			ID:         fmt.Sprintf("vm-%d", i+1),
			DataCentre: f.cfg.Deployment.DataCentres[i%len(f.cfg.Deployment.DataCentres)],
		}
		for j, a := range []*string{&vm.Callers, &vm.Operators, &vm.Gossip, &vm.Link} {
			if f.cfg.BasePort > 0 {
				*a = fmt.Sprintf("127.0.0.1:%d", f.cfg.BasePort+100*j+i)
			} else {
				*a = ownAddr(fleet, i, j)
			}
		}
		vm.settings = f.settings(vm)
		f.VMs = append(f.VMs, vm)
	}
}

const (
	// firstPort is that of the first VM. All ports are below the range that systems take free
	// ports from.
	firstPort = 10_000
	// portsPerVM and vmsPerFleet divide the ports; they begin again after maxFleets.
	portsPerVM  = 4
	vmsPerFleet = 50
	maxFleets   = 100
)

// fleets counts the fleets of this process.
var fleets atomic.Int32

// ownAddr returns an address that no other fleet on the machine uses, so that it need not be
// bound before a process gets it: the loopback address holds the ID of this process, the port
// the numbers of the fleet, the VM and the listener.
func ownAddr(fleet, vm, listener int) string {
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, 64 | byte(pid>>16)&63, byte(pid >> 8), byte(pid)})
	port := firstPort + portsPerVM*(vmsPerFleet*(fleet%maxFleets)+vm) + listener
	return netip.AddrPortFrom(host, uint16(port)).String()
}

func (f *Fleet) settings(vm *VM) []byte {
	sum := sha256.Sum256([]byte(Token))
	return fmt.Appendf(nil, `{
	// written by the test fleet
	"vm": {"id": %q, "data-centre": %q},
	"callers": {"listen": %q},
	"operators": {"listen": %q, "tokens": [{"name": "tester", "sha256": %q}]},
	"fleet": {"gossip": %q, "link": %q, "keys": [%q]},
	"platform": {"store": %q, "vm-list": %q},
	"log": {"level": "info"},
}`, vm.ID, vm.DataCentre, vm.Callers, vm.Operators, hex.EncodeToString(sum[:]), vm.Gossip, vm.Link, key, f.Store, f.List)
}

// MarkLeaving shows a backend server as leaving in the platform's list.
func (f *Fleet) MarkLeaving(id string) error {
	for i := range f.servers {
		f.servers[i].Leaving = f.servers[i].Leaving || f.servers[i].ID == id
	}
	return f.putList()
}

func (f *Fleet) putList() error {
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

// StartVM starts a VM's process.
func (f *Fleet) StartVM(vm *VM) error {
	cmd := exec.Command(filepath.Join(f.cfg.Bin, "ebonylockd"), "serve", "--settings", "-")
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

// WaitReady waits until the VMs answer that they are ready.
func (f *Fleet) WaitReady(vms ...*VM) error {
	deadline := time.Now().Add(startTimeout)
	for _, vm := range vms {
		for !vm.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("VM %s not ready in time", vm.ID)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Ready reports whether the VM says that it is ready.
func (vm *VM) Ready() bool {
	w, err := http.Get("http://" + vm.Operators + "/readyz")
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

// setIntents plans and confirms the searches of the deployment.
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

// CallOperator calls the operators' side of a VM and returns the body of a good answer.
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

// CallVM sends a caller's request to a VM.
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

// ControlBackend sends a command to the process that holds a data centre's servers.
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

// Records returns what every backend server has seen, keyed by ID.
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

// SetStoreFaults sets the faults of the store.
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

// RestoreStore puts an older value back into the store.
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

// Wait waits for the end of a VM's process.
func (vm *VM) Wait(d time.Duration) error {
	select {
	case <-vm.done:
		return vm.err
	case <-time.After(d):
		return errors.New("process still runs")
	}
}

// Stop stops every VM gracefully, then the stand-ins.
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

// Kill ends every process at once.
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
