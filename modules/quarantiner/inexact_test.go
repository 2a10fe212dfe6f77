package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestInexactLossIsNoSecondLoss guards against a harmless request that is blocked since VMs that have started at
// different times tell each other of one loss, which each of them has read from a record of unknown age.
func TestInexactLossIsNoSecondLoss(t *testing.T) {
	is := is.New(t)
	exact := Loss{Fingerprint: 1, Server: "i-1", Began: epoch.Add(-time.Second), At: epoch}
	kept := func(after time.Duration) Loss {
		l := exact.MovedTo(epoch.Add(after))
		l.Inexact = true
		return l
	}
	orders := [][]Loss{
		{kept(time.Minute), exact},
		{exact, kept(time.Minute)},
		{kept(time.Minute), kept(70 * time.Second)},
		{kept(70 * time.Second), kept(time.Minute)},
		{kept(70 * time.Second), exact, kept(time.Minute)},
	}
	for _, list := range orders {
		var r Tracker
		for _, l := range list {
			r.Merge([]Loss{l}, epoch.Add(2*time.Minute))
		}
		is.Equal(r.Verdict(1, Software{}, epoch.Add(2*time.Minute)), Suspect)
		got := r.Losses(true, epoch.Add(2*time.Minute))
		is.Equal(len(got), 1)
		for _, l := range list { // the earliest time is the best one
			is.True(!l.At.Before(got[0].At))
		}
	}

	// A loss after the latest time of a kept one is another one, and so is that of another server.
	var r Tracker
	r.Merge([]Loss{kept(time.Minute), exact.MovedTo(epoch.Add(90 * time.Second))}, epoch.Add(2*time.Minute))
	is.Equal(r.Verdict(1, Software{}, epoch.Add(2*time.Minute)), Blocked)
	other := kept(time.Minute).MovedTo(epoch.Add(80 * time.Second))
	other.Server = "i-2"
	r = Tracker{}
	r.Merge([]Loss{kept(time.Minute), other}, epoch.Add(2*time.Minute))
	is.Equal(r.Verdict(1, Software{}, epoch.Add(2*time.Minute)), Blocked)
}

// TestReplyClearsInexactLoss guards against a harmless request that stays a suspect after the restart of its VMs.
func TestReplyClearsInexactLoss(t *testing.T) {
	is := is.New(t)
	var r Tracker
	software := Software{Service: "s", Version: "v1"}
	r.Merge([]Loss{{Fingerprint: 1, Software: software, Server: "i-1", At: epoch, Inexact: true}}, epoch)
	is.Equal(r.Verdict(1, software, epoch), Suspect)
	r.MarkAnswered(Answer{Fingerprint: 1, Software: software, At: epoch.Add(2 * time.Second)})
	is.Equal(r.Verdict(1, software, epoch.Add(2*time.Second)), Allowed)
}
