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

func TestReuse(t *testing.T) {
	is := is.New(t)
	dials := 0
	p := Pool[*fake]{Dial: func(context.Context) (*fake, error) {
		dials++
		return &fake{}, nil
	}}
	ctx := context.Background()
	a, fresh, err := p.Get(ctx, 2)
	is.NoErr(err)
	is.True(fresh)
	p.Put(a)
	b, fresh, err := p.Get(ctx, 2)
	is.NoErr(err)
	is.True(a == b && !fresh)
	b.broken = true
	p.Put(b)
	c, fresh, err := p.Get(ctx, 2)
	is.NoErr(err)
	is.True(fresh && c != b && b.closed)
	is.Equal(dials, 2)
	is.Equal(p.Open(), 1)
	p.Close()
	p.Put(c)
	is.True(c.closed)
	is.Equal(p.Open(), 0)
}

func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := Pool[*fake]{Dial: func(context.Context) (*fake, error) { return &fake{}, nil }}
		a, _, err := p.Get(t.Context(), 1)
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err = p.Get(ctx, 1)
		is.True(errors.Is(err, ErrFull))
		go func() {
			time.Sleep(time.Second)
			p.Drop(a)
		}()
		b, fresh, err := p.Get(t.Context(), 1)
		is.NoErr(err)
		is.True(fresh && b != a)
	})
}

func TestFailedDialLeavesRoom(t *testing.T) {
	is := is.New(t)
	fail := errors.New("refused")
	p := Pool[*fake]{Dial: func(context.Context) (*fake, error) { return nil, fail }}
	for range 3 {
		_, _, err := p.Get(context.Background(), 1)
		is.True(errors.Is(err, fail))
	}
	is.Equal(p.Open(), 0)
}
