package gatherer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/rationer"
	"github.com/ebonylock/ebonylock/modules/sealer"
	"github.com/ebonylock/ebonylock/services/forwarder"
)

// Collector gathers the parts of a call.
type Collector interface {
	// Collect has the contract of forwarder.Forwarder.Collect.
	Collect(ctx context.Context, c *forwarder.Call, accept func() bool, emit func(forwarder.Partial)) error
}

// Server serves the calls of other VMs.
type Server struct {
	// Memory is what the calls in progress draw on, and clients that have not shown yet that they have a key; nil
	// for no limit. It must be set before use.
	Memory    *rationer.Pool
	collector Collector
	sealer    *sealer.Sealer
	log       *logrus.Logger
}

// NewServer returns a Server. Keys are 32 bytes long: the first one encrypts, and each of them is
// tried for decryption, so that a key can be rotated.
func NewServer(keys [][]byte, collector Collector, log *logrus.Logger) (*Server, error) {
	frameSealer, err := sealer.New(keys)
	if err != nil {
		return nil, err
	}
	return &Server{collector: collector, sealer: frameSealer, log: log}, nil
}

// ServeConn serves the calls of one connection until the connection ends.
func (s *Server) ServeConn(c net.Conn) {
	fc := newConn(c, s.sealer)
	defer fc.close()
	fc.account.Pool = s.Memory
	fc.account.OnRevoke = func() { _ = c.Close() }
	defer fc.account.Release()
	sess := &session{server: s, conn: fc, calls: make(map[uint64]*incomingCall)}
	defer sess.endAllCalls()
	for {
		f, err := fc.read()
		if err == nil {
			err = sess.handleFrame(f)
		}
		if err != nil {
			s.log.WithFields(logrus.Fields{"event": "gather-link-ended", "from": c.RemoteAddr().String()}).WithError(err).Debug("connection from another VM ended")
			return
		}
	}
}

// session is the server side of one connection.
type session struct {
	server *Server
	conn   *conn

	mu sync.Mutex
	// calls holds the calls in progress by their ID.
	calls map[uint64]*incomingCall
}

// incomingCall is a call from another VM.
type incomingCall struct {
	cancel context.CancelCauseFunc
	// start has a buffer of one. A value in it starts the call.
	start chan struct{}
}

// endBodyAnswered is the body of a kindEnd frame for a call that has been answered. The body is
// empty if the caller has disconnected.
var endBodyAnswered = []byte{1}

func (s *session) handleFrame(f frame) error {
	switch f.kind {
	case kindCall:
		c, err := decodeCall(f.body, time.Now())
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		x := &incomingCall{cancel, make(chan struct{}, 1)}
		s.mu.Lock()
		s.calls[f.call] = x
		s.mu.Unlock()
		memory := &rationer.Account{Pool: s.server.Memory}
		memory.Pin(true)
		if memory.Hold(len(f.body), 0, time.Now()) != nil {
			memory.Release()
			s.endCall(f.call, true)
			s.sendFrame(frame{kind: kindRefused, call: f.call})
			return nil
		}
		go func() {
			defer memory.Release()
			s.serveCall(ctx, f.call, x, c)
		}()
	case kindStart:
		s.startCall(f.call)
	case kindEnd:
		s.endCall(f.call, len(f.body) == 0)
	case kindAccepted, kindRefused, kindPartial:
	}
	return nil
}

// startCall starts the call with the given ID. Unknown calls and repeated frames are ignored.
func (s *session) startCall(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.calls[id]; x != nil {
		select {
		case x.start <- struct{}{}:
		default:
		}
	}
}

// serveCall gathers the parts of one call and sends them as they arrive.
func (s *session) serveCall(ctx context.Context, id uint64, x *incomingCall, c *forwarder.Call) {
	defer s.endCall(id, true)
	accept := func() bool {
		s.sendFrame(frame{kind: kindAccepted, call: id})
		select {
		case <-x.start:
			return ctx.Err() == nil
		case <-ctx.Done():
		case <-time.After(time.Until(c.Deadline)):
		}
		return false
	}
	err := s.server.collector.Collect(ctx, c, accept, func(p forwarder.Partial) {
		s.sendFrame(frame{kind: kindPartial, call: id, body: appendPartial(nil, p)})
	})
	if errors.Is(err, forwarder.ErrRefused) {
		s.sendFrame(frame{kind: kindRefused, call: id})
	}
}

// sendFrame writes a frame. If the network write fails, the connection is closed, which ends its
// calls.
func (s *session) sendFrame(f frame) {
	if err := s.conn.write(f); err != nil {
		s.server.log.WithField("event", "gather-unsent").WithError(err).Info("failed to send frame to another VM")
	}
}

// endCall cancels a call; gone is true if its caller has disconnected, and false if it has been
// answered.
func (s *session) endCall(id uint64, gone bool) {
	s.mu.Lock()
	x := s.calls[id]
	delete(s.calls, id)
	s.mu.Unlock()
	if x == nil {
		return
	}
	if gone {
		x.cancel(context.Canceled)
	} else {
		x.cancel(forwarder.ErrResponseSent)
	}
}

// endAllCalls ends all calls as if their callers had disconnected. It is called when the connection
// has ended, since the other VM may have failed and its callers with it.
func (s *session) endAllCalls() {
	s.mu.Lock()
	ids := make([]uint64, 0, len(s.calls))
	for id := range s.calls {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids {
		s.endCall(id, true)
	}
}
