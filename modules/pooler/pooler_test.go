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
	broken, unclean, closed bool
}

func (f *fake) Usable() bool { return !f.broken }

func (f *fake) Clean() bool { return !f.unclean }

func (f *fake) Close() error {
	f.closed = true
	return nil
}

// waiter records the result passed to Deliver.
type waiter struct {
	got chan *fake
	err error
}

func newWaiter() *waiter { return &waiter{got: make(chan *fake, 1)} }

func (w *waiter) Deliver(c *fake, err error) {
	w.err = err
	w.got <- c
}

type fakePool = Pool[*fake, *waiter]

// get calls p.Get and waits for the result.
func get(p *fakePool, limit int) (*fake, error) {
	w := newWaiter()
	p.Get(w, limit)
	return <-w.got, w.err
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

// TestLimit checks that a waiter beyond the limit waits, can be cancelled, and gets a new
// connection after the one in use was closed.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := fakePool{Dial: func(context.Context) (*fake, error) { return &fake{}, nil }}
		a, err := get(&p, 1)
		is.NoErr(err)
		cancelled := newWaiter()
		p.Get(cancelled, 1)
		synctest.Wait()
		is.Equal(len(cancelled.got), 0)
		removed, busy := p.CancelWait(cancelled)
		is.True(removed && busy)
		removed, _ = p.CancelWait(cancelled)
		is.True(!removed)
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

// TestOldestWaiterFirst checks that a connection returned while another is being opened goes to
// the waiter that has waited longest, and the new connection to the next one.
func TestOldestWaiterFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := fakePool{Dial: func(context.Context) (*fake, error) {
			time.Sleep(time.Second)
			return &fake{}, nil
		}}
		a, err := get(&p, 2)
		is.NoErr(err)
		first, second := newWaiter(), newWaiter()
		p.Get(first, 2)
		p.Get(second, 2)
		p.Put(a)
		is.True(<-first.got == a)
		b := <-second.got
		is.True(b != a && second.err == nil)
		is.Equal(p.Open(), 2)
	})
}

// TestUncleanConnectionIsNotHandedOn guards against a reply taken from the bytes that follow another one: a
// connection with such bytes went straight to the next waiter.
func TestUncleanConnectionIsNotHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := fakePool{Dial: func(context.Context) (*fake, error) { return &fake{}, nil }}
		a, err := get(&p, 1)
		is.NoErr(err)
		w := newWaiter()
		p.Get(w, 1)
		a.unclean = true
		p.Put(a)
		b := <-w.got
		is.True(b != a && a.closed && w.err == nil)
		is.Equal(p.Open(), 1)
	})
}

// TestNewConnectionIsHandedOn checks that a new connection goes to its waiter even if the remote end has
// already closed it. Opening another one instead would have no end.
func TestNewConnectionIsHandedOn(t *testing.T) {
	is := is.New(t)
	dials := 0
	p := fakePool{Dial: func(context.Context) (*fake, error) {
		dials++
		return &fake{unclean: true}, nil
	}}
	_, err := get(&p, 1)
	is.NoErr(err)
	is.Equal(dials, 1)
}

// TestRemoveIdle checks that a connection closed by the remote end is not handed out again.
func TestRemoveIdle(t *testing.T) {
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

func TestFailedDialFreesCapacity(t *testing.T) {
	is := is.New(t)
	errRefused := errors.New("refused")
	p := fakePool{Dial: func(context.Context) (*fake, error) { return nil, errRefused }}
	for range 3 {
		_, err := get(&p, 1)
		is.True(errors.Is(err, errRefused))
	}
	is.Equal(p.Open(), 0)
}

// TestDialErrorReachesAllWaiting checks that all waiters get the dial error if the last
// connection is closed and no new one can be opened. Otherwise they would wait forever.
func TestDialErrorReachesAllWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		errRefused := errors.New("refused")
		refuse := false
		p := fakePool{Dial: func(context.Context) (*fake, error) {
			if refuse {
				return nil, errRefused
			}
			return &fake{}, nil
		}}
		_, err := get(&p, 1)
		is.NoErr(err)
		first, second := newWaiter(), newWaiter()
		p.Get(first, 1)
		p.Get(second, 1)
		refuse = true
		p.ConnClosed()
		<-first.got
		<-second.got
		is.True(errors.Is(first.err, errRefused) && errors.Is(second.err, errRefused))
		is.Equal(p.Open(), 0)
	})
}

// TestCloseKeepsWaiters guards against a request that never ends because the pool is closed as unused while the request
// waits for a connection in use.
func TestCloseKeepsWaiters(t *testing.T) {
	is := is.New(t)
	p := fakePool{Dial: func(context.Context) (*fake, error) { return &fake{}, nil }}
	c, err := get(&p, 1)
	is.NoErr(err)
	w := newWaiter()
	p.Get(w, 1)
	p.Close()
	p.Put(c)
	is.Equal(len(w.got), 1) // the waiter has the connection
	p.Put(<-w.got)
	is.True(c.closed)
}
