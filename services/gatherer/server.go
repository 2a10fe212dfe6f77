package gatherer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/sealer"
	"github.com/ebonylock/ebonylock/services/forwarder"
)

// Collector gathers parts.
type Collector interface {
	// Collect is that of forwarder.Forwarder.
	Collect(ctx context.Context, c *forwarder.Call, accept func() bool, emit func(forwarder.Partial)) error
}

// Server takes the calls of other VMs.
type Server struct {
	collector Collector
	sealer    *sealer.Sealer
	log       *logrus.Logger
}

// NewServer returns a Server; keys are 32-byte keys: the first one seals, all of them open.
func NewServer(keys [][]byte, collector Collector, log *logrus.Logger) (*Server, error) {
	box, err := sealer.New(keys)
	if err != nil {
		return nil, err
	}
	return &Server{collector: collector, sealer: box, log: log}, nil
}

// ServeConn serves the calls of one connection until it ends.
func (s *Server) ServeConn(c net.Conn) {
	l := newLink(c, s.sealer)
	defer l.close()
	t := &session{s: s, link: l, calls: make(map[uint64]*taken)}
	defer t.endAll()
	for {
		f, err := l.read()
		if err == nil {
			err = t.take(f)
		}
		if err != nil {
			s.log.WithFields(logrus.Fields{"event": "gather-link-ended", "from": c.RemoteAddr().String()}).WithError(err).Debug("connection of another VM ended")
			return
		}
	}
}

// session is the server's side of one connection.
type session struct {
	s    *Server
	link *link

	mu sync.Mutex
	// calls are those under way.
	calls map[uint64]*taken
}

// taken is a call of another VM.
type taken struct {
	cancel context.CancelCauseFunc
	// begin has room for one value, which lets the call begin.
	begin chan struct{}
}

// bodyEnough is the body of a kindEnd for a call whose answer has left.
var bodyEnough = []byte{1}

func (t *session) take(f frame) error {
	switch f.kind {
	case kindCall:
		c, err := decodeCall(f.body, time.Now())
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		x := &taken{cancel, make(chan struct{}, 1)}
		t.mu.Lock()
		t.calls[f.call] = x
		t.mu.Unlock()
		go t.serve(ctx, f.call, x, c)
	case kindGo:
		t.begin(f.call)
	case kindEnd:
		t.end(f.call, len(f.body) == 0)
	case kindAccepted, kindRefused, kindPartial:
	}
	return nil
}

// begin lets a call begin.
func (t *session) begin(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.calls[id]; x != nil {
		select {
		case x.begin <- struct{}{}:
		default:
		}
	}
}

// serve gathers the parts of one call.
func (t *session) serve(ctx context.Context, id uint64, x *taken, c *forwarder.Call) {
	defer t.end(id, true)
	accept := func() bool {
		t.send(frame{kind: kindAccepted, call: id})
		select {
		case <-x.begin:
			return ctx.Err() == nil
		case <-ctx.Done():
		case <-time.After(time.Until(c.Deadline)):
		}
		return false
	}
	err := t.s.collector.Collect(ctx, c, accept, func(p forwarder.Partial) {
		t.send(frame{kind: kindPartial, call: id, body: appendPartial(nil, p)})
	})
	if errors.Is(err, forwarder.ErrRefused) {
		t.send(frame{kind: kindRefused, call: id})
	}
}

// send writes a frame; a connection on which that fails is closed, which ends its calls.
func (t *session) send(f frame) {
	if err := t.link.write(f); err != nil {
		t.s.log.WithField("event", "gather-unsent").WithError(err).Info("another VM did not get what was gathered for it")
	}
}

// end ends a call; gone is true when its caller has gone.
func (t *session) end(id uint64, gone bool) {
	t.mu.Lock()
	x := t.calls[id]
	delete(t.calls, id)
	t.mu.Unlock()
	if x == nil {
		return
	}
	if gone {
		x.cancel(context.Canceled)
	} else {
		x.cancel(forwarder.ErrResponseSent)
	}
}

// endAll ends all calls when the connection has ended: the other VM may be gone with its callers.
func (t *session) endAll() {
	t.mu.Lock()
	ids := make([]uint64, 0, len(t.calls))
	for id := range t.calls {
		ids = append(ids, id)
	}
	t.mu.Unlock()
	for _, id := range ids {
		t.end(id, true)
	}
}
