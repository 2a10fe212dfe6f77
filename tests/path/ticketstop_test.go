package path

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/fleet"
)

// TestStopOfATicketsVM guards against a stopping VM that leaves while requests run for which it made the tickets, and
// which callers sent through another VM: their outcome would be lost. The runs take longer than the VM serves after
// SIGTERM.
func TestStopOfATicketsVM(t *testing.T) {
	is := is.New(t)
	f := startFleetWith(t, fleet.Config{VMs: 3, Work: 6 * time.Second, RunLimit: 10 * time.Second})
	const deadline = 9900 * time.Millisecond
	var wg sync.WaitGroup
	for i := range 6 {
		_, raw, err := f.CallVM(f.VMs[0], "/v1/ticket", nil)
		is.NoErr(err)
		var minted struct{ Ticket string }
		is.NoErr(json.Unmarshal(raw, &minted))
		wg.Go(func() {
			began := time.Now()
			_, raw, err := f.CallVM(f.VMs[1], "/v1/request/reservations", map[string]any{"request": fmt.Sprint(i), "ticket": minted.Ticket, "deadline-ms": deadline.Milliseconds()})
			var a struct{ Outcome string }
			if err != nil || json.Unmarshal(raw, &a) != nil || (a.Outcome != "done" && time.Since(began) < deadline) {
				t.Errorf("request %d after %s: %v %s", i, time.Since(began), err, raw)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	is.NoErr(f.VMs[0].Signal(syscall.SIGTERM))
	wg.Wait()
	is.NoErr(f.VMs[0].Wait(20 * time.Second))
}
