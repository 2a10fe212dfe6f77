package rationer

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// client returns an account of p that holds n bytes, all of which it has just moved.
func client(is *is.I, p *Pool, n int, now time.Time) *Account {
	a := &Account{Pool: p}
	is.NoErr(a.Hold(n, n, now))
	return a
}

// TestStalledClientIsRevokedFirst checks that the memory of a client that moves nothing is revoked, and not that of
// the client which came last or that of one which holds less.
func TestStalledClientIsRevokedFirst(t *testing.T) {
	is := is.New(t)
	p := &Pool{Limit: 100 << 10}
	now := time.Now()
	stalled, moving, little := client(is, p, 50<<10, now), client(is, p, 40<<10, now), client(is, p, FreeBytes, now)
	revoked := 0
	stalled.OnRevoke = func() { revoked++ }
	now = now.Add(time.Second)
	is.NoErr(moving.Hold(50<<10, 10<<10, now))
	last := client(is, p, 30<<10, now)
	is.Equal(revoked, 1)
	is.True(stalled.Revoked())
	is.True(!moving.Revoked() && !last.Revoked() && !little.Revoked())
	is.True(errors.Is(stalled.Hold(1, 0, now), ErrRevoked)) // until Release
	stalled.Release()
	is.NoErr(stalled.Hold(FreeBytes, 0, now))
	is.Equal(p.Used(), int64(64<<10))
	is.Equal(p.RevokedCount(), uint64(1))
}

// TestTricklingClientCountsAsStalled checks that single bytes do not make a client appear to move.
func TestTricklingClientCountsAsStalled(t *testing.T) {
	is := is.New(t)
	p := &Pool{Limit: 100 << 10}
	now := time.Now()
	trickling := client(is, p, 60<<10, now)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		is.NoErr(trickling.Hold(60<<10, 1, now))
	}
	last := client(is, p, 70<<10, now)
	is.True(trickling.Revoked())
	is.True(!last.Revoked())
}

// pin returns an account of p whose memory is in use.
func pin(p *Pool) *Account {
	a := &Account{Pool: p}
	a.Pin(true)
	return a
}

// TestPinnedMemoryIsNotRevoked checks that memory which is in use stays, and that its client is refused who asks for
// more than is left.
func TestPinnedMemoryIsNotRevoked(t *testing.T) {
	is := is.New(t)
	p := &Pool{Limit: 100 << 10}
	now := time.Now()
	pinned := pin(p)
	is.NoErr(pinned.Hold(100<<10, 0, now))
	other := &Account{Pool: p}
	is.True(errors.Is(other.Hold(90<<10, 90<<10, now.Add(time.Minute)), ErrRevoked))
	is.True(!pinned.Revoked())
	is.NoErr(client(is, p, FreeBytes, now).Hold(0, 0, now)) // small clients are always served
	is.True(errors.Is(pin(p).Hold(90<<10, 0, now), ErrRevoked))
	pinned.Release()
	other.Release()
	is.Equal(p.Used(), int64(0))
	is.NoErr(other.Hold(90<<10, 0, now))
}

// TestZeroValues checks that an account without a pool, and a pool without a limit, limit nothing.
func TestZeroValues(t *testing.T) {
	is := is.New(t)
	var a Account
	is.NoErr(a.Hold(1<<40, 0, time.Now()))
	a.Release()
	is.True(!a.Revoked())
	b := Account{Pool: &Pool{}}
	is.NoErr(b.Hold(1<<40, 0, time.Now()))
}
