package launcher

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
)

// TestStartingVMReadsLosses guards against a VM that forgets as it restarts which requests crash replicas: it reads the
// losses from a VM that it follows.
func TestStartingVMReadsLosses(t *testing.T) {
	vm := start(t)
	is := vm.is
	for _, server := range []string{"c-1", "c-2"} {
		vm.d.quarantine.Report(quarantiner.Loss{Fingerprint: 1, Group: 2, Server: server, At: time.Now().Add(-time.Minute)})
	}
	var losses quarantiner.Tracker
	p := &sourceProvider{self: "vm-2", dataCentre: "dc-1", keys: vm.d.provider.keys, losses: &losses}
	p.update([]prober.Member{{ID: "vm-1", DataCentre: "dc-1", Link: vm.d.relay.Addr()}, {ID: "vm-2", DataCentre: "dc-1"}})
	source := p.Sources(1)[0]
	_, err := source.Source.Snapshot(context.Background())
	is.NoErr(err)
	is.Equal(losses.Verdict(1, quarantiner.Software{}, time.Now()), quarantiner.Blocked)
	is.Equal(vm.d.provider.losses, &vm.d.quarantine)
}

// TestLossReportedTwice guards against a loss that counts twice, since it is reported at once and with a read.
func TestLossReportedTwice(t *testing.T) {
	vm := start(t)
	l := quarantiner.Loss{Fingerprint: 1, Server: "c-1", At: time.Now().Add(-time.Second)}
	vm.d.quarantine.Merge([]quarantiner.Loss{l}, time.Now())
	l.At = time.Now()
	vm.d.relay.OnLosses([]quarantiner.Loss{l})
	is.New(t).Equal(vm.d.quarantine.Verdict(1, quarantiner.Software{}, time.Now()), quarantiner.Suspect)
}

// TestReportedAnswerClearsSuspect guards against a VM that goes on to suspect a request to which another VM has had a
// reply.
func TestReportedAnswerClearsSuspect(t *testing.T) {
	vm := start(t)
	is := is.New(t)
	now := time.Now()
	software := quarantiner.Software{Service: "s", Version: "v1"}
	vm.d.quarantine.Report(quarantiner.Loss{Fingerprint: 1, Software: software, Server: "c-1", At: now})
	is.Equal(vm.d.quarantine.Verdict(1, software, now), quarantiner.Suspect)
	vm.d.relay.OnAnswer(quarantiner.Answer{Fingerprint: 1, Software: software, At: now})
	is.Equal(vm.d.quarantine.Verdict(1, software, now), quarantiner.Allowed)
}
