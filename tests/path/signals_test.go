package path

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/fleet"
)

// graceLimit is the grace period of a VM of a SiteFleet and some time for a busy machine.
const graceLimit = 12 * time.Second

// startPlatform starts a VM with the stand-ins of the users' platform that the next VM needs.
func startPlatform(t *testing.T) *fleet.SiteFleet {
	t.Helper()
	f, err := fleet.StartSite(binDir, 1, 0, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)
	return f
}

// startVM starts a VM with its output to out, and waits until it serves.
func startVM(t *testing.T, f *fleet.SiteFleet, dir string, out *os.File) *fleet.SiteVM {
	t.Helper()
	is := is.New(t)
	vm := fleet.NewSiteVM(1, "dc-1", f.Store.Addr())
	is.NoErr(vm.Start(binDir, dir, out))
	t.Cleanup(vm.Kill)
	for end := time.Now().Add(20 * time.Second); f.CheckComplete(vm) != nil; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(end)) // the VM serves
	}
	return vm
}

// askSlowly sends a request to vm that takes a while, and waits until it has probably been read.
func askSlowly(t *testing.T, is *is.I, vm *fleet.SiteVM) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", vm.Callers())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	ask(is, c, "/write/slow")
	time.Sleep(100 * time.Millisecond)
	return c
}

// TestStopWhileSettingsAreRead guards against a VM that doesn't notice SIGTERM while it reads its settings file, and
// is killed with requests in progress once the grace period is over. The file blocks its readers.
func TestStopWhileSettingsAreRead(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	vm := startVM(t, startPlatform(t), dir, os.Stderr)
	file := filepath.Join(dir, vm.ID+".jsonc")
	is.NoErr(os.Remove(file))
	is.NoErr(syscall.Mkfifo(file, 0o600))
	for range 6 {
		is.NoErr(vm.Signal(syscall.SIGHUP))
		time.Sleep(20 * time.Millisecond) // signals of one kind that are pending count as one
	}
	c := askSlowly(t, is, vm)
	is.NoErr(vm.Signal(syscall.SIGTERM))
	is.NoErr(vm.Signal(syscall.SIGHUP))
	is.NoErr(vm.Signal(syscall.SIGTERM))
	is.Equal(readStatus(is, c), http.StatusOK)
	is.True(vm.Wait(graceLimit)) // the process ends by itself
	is.NoErr(vm.Err())           // with status 0
}

// TestLogReaderLeaves guards against a VM that ends, with requests in progress, because nobody reads its log any more.
func TestLogReaderLeaves(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	go func() { _, _ = r.WriteTo(t.Output()) }()
	vm := startVM(t, startPlatform(t), t.TempDir(), w)
	_ = w.Close()
	c := askSlowly(t, is, vm)
	_ = r.Close()
	is.NoErr(vm.Signal(syscall.SIGHUP)) // makes it log a line
	is.Equal(readStatus(is, c), http.StatusOK)
	is.True(!vm.Wait(0)) // the process still runs
}

// TestSignalsDuringStart guards against a VM that a signal kills after it has bound its addresses, so that callers that
// have connected get no answer.
func TestSignalsDuringStart(t *testing.T) {
	is := is.New(t)
	f := startPlatform(t)
	for range 5 {
		vm := fleet.NewSiteVM(1, "dc-1", f.Store.Addr())
		is.NoErr(vm.Start(binDir, t.TempDir(), os.Stderr))
		t.Cleanup(vm.Kill)
		for end := time.Now().Add(20 * time.Second); ; {
			c, err := net.Dial("tcp4", vm.Link())
			if err == nil {
				_ = c.Close()
				break
			}
			is.True(time.Now().Before(end)) // the VM binds its first address
		}
		is.NoErr(vm.Signal(syscall.SIGHUP))
		is.NoErr(vm.Signal(syscall.SIGTERM))
		is.True(vm.Wait(graceLimit))
		is.NoErr(vm.Err()) // a graceful stop, with status 0
	}
}
