//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of a machine. Each machine has a loopback address of its own, on which all of them are free.
const (
	portFrontend = 18226
	portReady    = 18227
	portInternal = 17740
	portMetrics  = 17755
)

const (
	fleetKey  = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
	startTime = 20 * time.Second
)

// vm is a machine of the system. Its process runs the command of the deploy file.
type vm struct {
	name, zone, ip string
	store          string
	seeds          []string
	dir            string
	started        bool
	cmd            *exec.Cmd
	done           chan struct{}
	log            *os.File
}

// fleet is the machines of a small deployment.
type fleet struct {
	vms []*vm
	dir string
	rec *record
}

// newFleet prepares machines in three zones. It starts no process.
func newFleet(rec *record, store string, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "ebonylock-case")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, rec: rec}
	net3 := os.Getpid() % 250
	var ips []string
	for second := 64; second < 120 && len(ips) < n; second++ {
		ip := fmt.Sprintf("127.%d.%d.%d", second, net3+1, len(ips)+1)
		if isFree(ip) {
			ips = append(ips, ip)
		}
	}
	if len(ips) < n {
		return nil, errors.New("no free loopback addresses")
	}
	zones := []string{"bole", "piassa", "merkato"}
	for i, ip := range ips {
		f.vms = append(f.vms, &vm{
			name: fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)], ip: ip,
			store: store, seeds: ips[:min(3, len(ips))], dir: dir,
		})
	}
	return f, nil
}

// isFree reports whether the ports of a machine are free on an address.
func isFree(ip string) bool {
	for _, port := range []int{portFrontend, portReady, portInternal, portMetrics} {
		ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// start starts the process of a machine with settings as deploy/settings.jsonc renders them.
func (v *vm) start() error {
	var seeds []string
	for _, s := range v.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", s+":18224"))
	}
	text := fmt.Sprintf(`{
	"vm": {"id": %q, "data-centre": %q, "link-mbps": 1000, "cores": 0.4, "descriptors": 4100, "memory-mb": 284},
	"requests": {"listen": "%[3]s:%[4]d", "readiness": "%[3]s:%[5]d", "metrics": "%[3]s:%[6]d"},
	"peers": {"gossip": "%[3]s:%[7]d", "link": "%[3]s:%[7]d", "keys": [%[8]q], "seeds": [%[9]s]},
	"store": %[10]q,
	"first-start": %[11]t,
	"bounds": {"retry-ratio": 0.2, "retry-slack": 54, "retry-window": "10s", "warmup-overshoot": 1.5, "warmup-slack": 5, "grace": "6s"},
	"log": {"level": "info", "format": "json"},
}
`, v.name, v.zone, v.ip, portFrontend, portReady, portMetrics, portInternal, fleetKey, strings.Join(seeds, ","), v.store, !v.started)
	file := filepath.Join(v.dir, v.name+".jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	if v.log == nil {
		if v.log, err = os.Create(filepath.Join(v.dir, v.name+".log")); err != nil {
			return err
		}
	}
	v.cmd = exec.Command(filepath.Join("target", "ebonylockd"), "serve-platform", "--settings", file)
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.started, v.done = true, make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(v.cmd, v.done)
	return nil
}

// ended reports whether the process has ended.
func (v *vm) ended() bool {
	select {
	case <-v.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	_ = v.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (v *vm) kill() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	<-v.done
}

// frontend returns the address for requesters.
func (v *vm) frontend() string {
	return fmt.Sprintf("%s:%d", v.ip, portFrontend)
}

// ready asks the machine whether it is ready, as the platform does.
func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := c.Get(fmt.Sprintf("http://%s:%d/-/readiness", v.ip, portReady))
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

// start starts all machines and waits until they are ready.
func (f *fleet) start() error {
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// restart kills the processes of all machines at once and starts them again after downTime.
func (f *fleet) restart(ctx context.Context) error {
	f.rec.notef("the processes of all machines are killed")
	for _, v := range f.vms {
		v.signal(syscall.SIGKILL)
	}
	pause(ctx, downTime)
	for _, v := range f.vms {
		<-v.done
	}
	return f.start()
}

func (f *fleet) waitReady() error {
	end := time.Now().Add(startTime)
	for _, v := range f.vms {
		for !v.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("machine %s is not ready in time", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.rec.notef("%d machines are ready", len(f.vms))
	return nil
}

// end kills all processes and removes their files. With CASE_KEEP set, it keeps the files and names their folder.
func (f *fleet) end() {
	for _, v := range f.vms {
		v.kill()
		if v.log != nil {
			_ = v.log.Close()
		}
	}
	if os.Getenv("CASE_KEEP") != "" {
		fmt.Println("logs of the machines:", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}
