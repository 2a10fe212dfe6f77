package pooler

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

type fake struct {
	broken, closed bool
}

func (f *fake) Sound() bool { return !f.broken }

func (f *fake) Close() error {
	f.closed = true
	return nil
}

// user keeps what it was given.
type user struct {
	got chan *fake
	err error
}

func newUser() *user { return &user{got: make(chan *fake, 1)} }

func (u *user) Use(c *fake, err error) {
	u.err = err
	u.got <- c
}

type fakePool = Pool[*fake, *user]

// get waits for a connection.
func get(p *fakePool, limit int) (*fake, error) {
	u := newUser()
	p.Get(u, limit)
	return <-u.got, u.err
}

func TestReuse(t *testing.T) {
	is := is.New(t)
	dials := 0
	p := fakePool{Dial: func(context.Context) (*fake, error) {
		dials++
		return &fake{}, nil
	}}
	a, err := get(&p, 2)
	is.NoErr(err)
	p.Put(a)
	b, err := get(&p, 2)
	is.NoErr(err)
	is.True(a == b)
	b.broken = true
	p.Put(b)
	c, err := get(&p, 2)
	is.NoErr(err)
	is.True(c != b && b.closed)
	is.Equal(dials, 2)
	is.Equal(p.Open(), 1)
	p.Close()
	p.Put(c)
	is.True(c.closed)
	is.Equal(p.Open(), 0)
}

// TestLimit: a user beyond the limit waits, may withdraw, and gets what comes back first.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := fakePool{Dial: func(context.Context) (*fake, error) { return &fake{}, nil }}
		a, err := get(&p, 1)
		is.NoErr(err)
		tired := newUser()
		p.Get(tired, 1)
		synctest.Wait()
		is.Equal(len(tired.got), 0)
		withdrawn, waits := p.CancelWait(tired)
		is.True(withdrawn && waits)
		withdrawn, _ = p.CancelWait(tired)
		is.True(!withdrawn)
		go func() {
			time.Sleep(time.Second)
			_ = a.Close()
			p.ConnClosed()
		}()
		b, err := get(&p, 1)
		is.NoErr(err)
		is.True(b != a)
		is.Equal(p.Open(), 1)
	})
}

// TestOldestUserFirst: a connection that comes back while another is being opened goes to the
// user who has waited for longer, and the new one to the next.
func TestOldestUserFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := fakePool{Dial: func(context.Context) (*fake, error) {
			time.Sleep(time.Second)
			return &fake{}, nil
		}}
		a, err := get(&p, 2)
		is.NoErr(err)
		first, second := newUser(), newUser()
		p.Get(first, 2)
		p.Get(second, 2)
		p.Put(a)
		is.True(<-first.got == a)
		b := <-second.got
		is.True(b != a && second.err == nil)
		is.Equal(p.Open(), 2)
	})
}

// TestLostWhileIdle: what its other end closes is not handed out.
func TestLostWhileIdle(t *testing.T) {
	is := is.New(t)
	p := fakePool{Dial: func(context.Context) (*fake, error) { return &fake{}, nil }}
	a, err := get(&p, 2)
	is.NoErr(err)
	is.True(!p.RemoveIdle(a)) // in use
	p.Put(a)
	is.True(p.RemoveIdle(a))
	is.Equal(p.Open(), 0)
	b, err := get(&p, 2)
	is.NoErr(err)
	is.True(b != a)
}

func TestFailedDialLeavesRoom(t *testing.T) {
	is := is.New(t)
	fail := errors.New("refused")
	p := fakePool{Dial: func(context.Context) (*fake, error) { return nil, fail }}
	for range 3 {
		_, err := get(&p, 1)
		is.True(errors.Is(err, fail))
	}
	is.Equal(p.Open(), 0)
}

// TestNobodyWaitsForever: with the last connection gone and no new one to be had, all users get
// the error.
func TestNobodyWaitsForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fail := errors.New("refused")
		down := false
		p := fakePool{Dial: func(context.Context) (*fake, error) {
			if down {
				return nil, fail
			}
			return &fake{}, nil
		}}
		_, err := get(&p, 1)
		is.NoErr(err)
		first, second := newUser(), newUser()
		p.Get(first, 1)
		p.Get(second, 1)
		down = true
		p.ConnClosed()
		<-first.got
		<-second.got
		is.True(errors.Is(first.err, fail) && errors.Is(second.err, fail))
		is.Equal(p.Open(), 0)
	})
}
