package keeper_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/keeper"
	"github.com/ebonylock/ebonylock/tests/standin"
)

func testDeadline() time.Time {
	return time.Now().Add(5 * time.Second)
}

// TestContract checks behaviour that every client of the store must have.
func TestContract(t *testing.T) {
	is := is.New(t)
	s, err := standin.NewStore()
	is.NoErr(err)
	defer s.Close()
	c := keeper.New(s.Addr())

	_, err = c.Get("k", testDeadline())
	is.True(errors.Is(err, keeper.ErrNotFound))
	_, err = c.Put("k", []byte("a"), 7, testDeadline())
	is.True(errors.Is(err, keeper.ErrConflict))
	v, err := c.Put("k", []byte("a"), 0, testDeadline())
	is.NoErr(err)
	_, err = c.Put("k", []byte("b"), 0, testDeadline())
	is.True(errors.Is(err, keeper.ErrConflict)) // the first write is kept
	got, err := c.Get("k", testDeadline())
	is.NoErr(err)
	is.Equal(got, keeper.Value{Data: []byte("a"), Version: v})

	_, err = c.Watch("k", v, 20*time.Millisecond, testDeadline())
	is.True(errors.Is(err, keeper.ErrNotFound)) // no change within the wait
	seen := make(chan keeper.Value, 1)
	go func() {
		w, _ := c.Watch("k", v, 5*time.Second, testDeadline())
		seen <- w
	}()
	_, err = c.Put("k", []byte("c"), v, testDeadline())
	is.NoErr(err)
	is.Equal(string((<-seen).Data), "c")
}

func TestFaults(t *testing.T) {
	is := is.New(t)
	s, err := standin.NewStore()
	is.NoErr(err)
	defer s.Close()
	c := keeper.New(s.Addr())
	s.SetFaults(standin.StoreFaults{LoseReplies: 1})
	_, err = c.Put("k", []byte("a"), 0, testDeadline())
	is.True(errors.Is(err, keeper.ErrUnknownOutcome))
	data, _ := s.Value("k")
	is.Equal(string(data), "a") // the write took effect although its reply was lost
	s.SetFaults(standin.StoreFaults{Down: true})
	_, err = c.Get("k", testDeadline())
	is.True(errors.Is(err, keeper.ErrUnavailable))
	_, err = c.Put("k", []byte("b"), 1, testDeadline())
	is.True(errors.Is(err, keeper.ErrUnknownOutcome))
}
