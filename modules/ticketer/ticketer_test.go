package ticketer

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	epoch = time.Unix(1_700_000_000, 0)
	key   = []byte("0123456789abcdef0123456789abcdef")
)

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	in := Ticket{VM: "vm-1", Incarnation: 1 << 63, Seq: 7, Expiry: epoch}
	out, err := Parse(in.Encode(key), []byte("another key"), key)
	is.NoErr(err)
	is.Equal(out.VM, in.VM)
	is.Equal(out.Incarnation, in.Incarnation)
	is.Equal(out.Seq, in.Seq)
	is.True(out.Expiry.Equal(in.Expiry))
}

func TestForgedTickets(t *testing.T) {
	good := Ticket{VM: "vm-1", Seq: 1, Expiry: epoch}.Encode(key)
	for name, s := range map[string]string{
		"empty":             "",
		"not base64":        "***",
		"short":             "AAAA",
		"wrong key":         Ticket{VM: "vm-1", Seq: 1, Expiry: epoch}.Encode([]byte("x")),
		"altered character": "B" + good[1:],
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(s, key)
			is.True(errors.Is(err, ErrMalformed))
		})
	}
}

func TestRefusals(t *testing.T) {
	table := func() *Table { return &Table{VM: "vm-1", Incarnation: 5} }
	for _, tc := range []struct {
		name   string
		change func(k *Ticket)
		at     time.Time
		want   error
	}{
		{"another VM", func(k *Ticket) { k.VM = "vm-2" }, epoch, ErrOtherIncarnation},
		{"previous incarnation", func(k *Ticket) { k.Incarnation = 4 }, epoch, ErrOtherIncarnation},
		{"expired", func(*Ticket) {}, epoch.Add(time.Minute), ErrExpired},
		{"expired long ago", func(*Ticket) {}, epoch.Add(time.Hour), ErrOutcomeDropped},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tab := table()
			k := tab.Mint(epoch, time.Minute)
			tc.change(&k)
			_, _, err := tab.Do(k, nil, tc.at, nil, func() Outcome {
				t.Fatal("request with a refused ticket was run")
				return Outcome{}
			})
			is.Equal(err, tc.want)
		})
	}
}

// TestOnceUnderResends uses one ticket in many concurrent calls and checks that the request
// runs once and that every call returns its outcome.
func TestOnceUnderResends(t *testing.T) {
	is := is.New(t)
	tab := &Table{VM: "vm-1"}
	k := tab.Mint(epoch, time.Minute)
	var runs atomic.Int32
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			o, ok, err := tab.Do(k, []byte("request"), epoch, nil, func() Outcome {
				runs.Add(1)
				return Outcome{Status: 200, Body: []byte("done")}
			})
			if err != nil || !ok || string(o.Body) != "done" {
				t.Errorf("outcome %q, %t, %v", o.Body, ok, err)
			}
		})
	}
	wg.Wait()
	is.Equal(runs.Load(), int32(1))
	_, _, err := tab.Do(k, []byte("other"), epoch, nil, nil)
	is.Equal(err, ErrMismatch)
}

// TestNoSecondRunAfterSweep checks that a ticket whose outcome was removed never runs again.
func TestNoSecondRunAfterSweep(t *testing.T) {
	is := is.New(t)
	tab := &Table{VM: "vm-1"}
	k := tab.Mint(epoch, time.Minute)
	run := func() Outcome { return Outcome{Status: 200} }
	_, _, err := tab.Do(k, nil, epoch, nil, run)
	is.NoErr(err)
	for at := epoch; at.Before(epoch.Add(10 * time.Minute)); at = at.Add(time.Second) {
		_, _, err := tab.Do(k, nil, at, nil, func() Outcome {
			t.Fatal("ticket was run a second time")
			return Outcome{}
		})
		if tab.Len() == 0 {
			is.Equal(err, ErrOutcomeDropped)
		}
	}
	is.Equal(tab.Len(), 0)
}

func TestCancelledWait(t *testing.T) {
	is := is.New(t)
	tab := &Table{VM: "vm-1"}
	k := tab.Mint(epoch, time.Minute)
	block, cancel := make(chan struct{}), make(chan struct{})
	close(cancel)
	_, ok, err := tab.Do(k, nil, epoch, cancel, func() Outcome { <-block; return Outcome{Status: 200} })
	is.NoErr(err)
	is.True(!ok)
	close(block)
	o, ok, err := tab.Do(k, nil, epoch, nil, nil)
	is.NoErr(err)
	is.True(ok)
	is.Equal(o.Status, 200) // the run continued and its outcome is kept
}
