// Package linker carries calls between entry VMs over QUIC: one connection for each pair
// of VMs and one stream for each call, with mutual authentication by a fleet key.
package linker

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/samber/oops"

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

// Handler serves the calls of other VMs.
type Handler interface {
	// Dispatch runs a batch as dispatcher.Dispatcher does.
	Dispatch(ctx context.Context, batch []dispatcher.Subrequest, cancels <-chan int, emit func(dispatcher.Event)) error
	// Execute runs a request whose ticket this VM made.
	Execute(ctx context.Context, x Execute) Executed
	// Held returns those of the named servers that this VM may still be using, and the
	// configuration revision in force.
	Held(servers []string) ([]string, uint64)
	// Lost takes in a server lost at another VM while it ran a request.
	Lost(l quarantiner.Loss)
	// Config returns the encoded configuration in force, nil without one.
	Config() []byte
}

const (
	// dialTimeout limits the set-up of a connection.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is the silence after which a connection is given up.
	idleTimeout = 2 * time.Second
	// keepAlive is the time between keep-alive packets on a connection with calls.
	keepAlive = 700 * time.Millisecond
	// maxStreams limits the calls under way on one connection.
	maxStreams = 4096
	// cancelQueue is the number of cancellations waiting on one call.
	cancelQueue = 16
	// execGrace is the wait for a forwarded answer beyond the request's deadline.
	execGrace = 50 * time.Millisecond
)

// errEnd is the application error code of a stream or connection that ends.
const errEnd = 0

var quicConfig = &quic.Config{
	HandshakeIdleTimeout: dialTimeout,
	MaxIdleTimeout:       idleTimeout,
	KeepAlivePeriod:      keepAlive,
	MaxIncomingStreams:   maxStreams,
}

// Linker serves and makes calls.
type Linker struct {
	keys     Keys
	listener *quic.Listener
	handler  Handler

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

type peer struct {
	mu   sync.Mutex
	conn *quic.Conn
}

// Listen binds addr, of which port 0 takes a free port.
func Listen(addr netip.AddrPort, keys Keys, handler Handler) (*Linker, error) {
	tlsConf, err := keys.serverConfig()
	if err != nil {
		return nil, err
	}
	ln, err := quic.ListenAddr(addr.String(), tlsConf, quicConfig)
	if err != nil {
		return nil, oops.Wrapf(err, "listen for entry VMs on %s", addr)
	}
	return &Linker{keys: keys, listener: ln, handler: handler, peers: make(map[netip.AddrPort]*peer)}, nil
}

// Addr is the bound address.
func (l *Linker) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(l.listener.Addr().String())
}

// Serve accepts connections until ctx ends.
func (l *Linker) Serve(ctx context.Context) error {
	for {
		conn, err := l.listener.Accept(ctx)
		if err != nil {
			return oops.Wrapf(err, "accept")
		}
		go l.serveConn(ctx, conn)
	}
}

// Close ends all connections.
func (l *Linker) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		p.mu.Lock()
		if p.conn != nil {
			_ = p.conn.CloseWithError(errEnd, "closing")
		}
		p.mu.Unlock()
	}
	_ = l.listener.Close()
}

func (l *Linker) serveConn(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go l.serveStream(conn, stream)
	}
}

func (l *Linker) serveStream(conn *quic.Conn, stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	kind, payload, err := readFrame(stream)
	if err != nil {
		return
	}
	switch kind {
	case frameBatch:
		err = l.serveBatch(stream, payload)
	case frameExecute:
		err = l.serveExecute(stream, payload)
	case frameFetchConfig:
		err = writeFrame(stream, frameConfig, l.handler.Config())
	case frameClaim:
		err = l.serveClaim(stream, payload)
	case frameLoss:
		err = l.serveLoss(stream, payload)
	default:
		err = encoder.ErrMalformed
	}
	if errors.Is(err, encoder.ErrMalformed) {
		_ = conn.CloseWithError(errEnd, "malformed frame")
	}
}

func (l *Linker) serveBatch(stream *quic.Stream, payload []byte) error {
	batch, err := decodeBatch(payload)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	cancels := make(chan int, cancelQueue)
	go readCancels(ctx, stream, cancels, stop)
	w := &eventWriter{stream: stream}
	err = l.handler.Dispatch(ctx, batch, cancels, w.write)
	if err != nil {
		return nil
	}
	return w.end()
}

// readCancels passes on cancellations until the caller's side of the stream ends.
func readCancels(ctx context.Context, stream *quic.Stream, cancels chan<- int, stop func()) {
	for {
		kind, payload, err := readFrame(stream)
		if err != nil || kind != frameCancel || len(payload) != 2 {
			stop()
			return
		}
		select {
		case cancels <- int(payload[0])<<8 | int(payload[1]):
		case <-ctx.Done():
			return
		}
	}
}

type eventWriter struct {
	mu     sync.Mutex
	stream *quic.Stream
	buf    []byte
}

func (w *eventWriter) write(e dispatcher.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buf = appendEvent(w.buf[:0], e)
	_ = writeFrame(w.stream, frameEvent, w.buf)
}

func (w *eventWriter) end() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return writeFrame(w.stream, frameEnd, nil)
}

func (l *Linker) serveExecute(stream *quic.Stream, payload []byte) error {
	x, err := decodeExecute(payload)
	if err != nil {
		return err
	}
	ctx, stop := context.WithDeadline(stream.Context(), x.Deadline)
	defer stop()
	return writeFrame(stream, frameExecuted, appendExecuted(nil, l.handler.Execute(ctx, x)))
}

func (l *Linker) serveClaim(stream *quic.Stream, payload []byte) error {
	servers, _, err := decodeNames(payload)
	if err != nil {
		return err
	}
	held, revision := l.handler.Held(servers)
	return writeFrame(stream, frameHeld, appendNames(nil, held, revision))
}

func (l *Linker) serveLoss(stream *quic.Stream, payload []byte) error {
	loss, err := DecodeLoss(payload)
	if err != nil {
		return err
	}
	// The other VM's clock says nothing here.
	loss.At = time.Now()
	l.handler.Lost(loss)
	return writeFrame(stream, frameEnd, nil)
}

// conn returns the connection to addr, made anew when there is none.
func (l *Linker) conn(ctx context.Context, addr netip.AddrPort) (*quic.Conn, error) {
	l.mu.Lock()
	p := l.peers[addr]
	if p == nil {
		p = &peer{}
		l.peers[addr] = p
	}
	l.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn, nil
	}
	tlsConf, err := l.keys.clientConfig()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	conn, err := quic.DialAddr(ctx, addr.String(), tlsConf, quicConfig)
	if err != nil {
		return nil, oops.Wrapf(err, "dial entry VM %s", addr)
	}
	p.conn = conn
	return conn, nil
}

func (l *Linker) open(ctx context.Context, addr netip.AddrPort) (*quic.Stream, error) {
	conn, err := l.conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	return stream, oops.Wrapf(err, "open stream to %s", addr)
}

// Drop closes the connection to addr, so that calls under way fail at once.
func (l *Linker) Drop(addr netip.AddrPort) {
	l.mu.Lock()
	p := l.peers[addr]
	delete(l.peers, addr)
	l.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.CloseWithError(errEnd, "peer lost")
	}
}

// Remote returns the Dispatch of the VM at addr.
func (l *Linker) Remote(addr netip.AddrPort) Remote {
	return Remote{l: l, addr: addr}
}

// Remote is another entry VM.
type Remote struct {
	l    *Linker
	addr netip.AddrPort
}

// Dispatch runs a batch at the remote VM, as dispatcher.Dispatcher does. When the link is
// lost, each open Sub fails with dispatcher.ErrLink, as not run only if the batch was
// never sent.
func (r Remote) Dispatch(ctx context.Context, batch []dispatcher.Subrequest, cancels <-chan int, emit func(dispatcher.Event)) error {
	stream, err := r.l.open(ctx, r.addr)
	if err != nil {
		failAll(batch, nil, emit, errors.Join(executor.ErrNotRun, dispatcher.ErrLinkLost, err))
		return nil
	}
	stopAll := context.AfterFunc(ctx, func() {
		stream.CancelRead(errEnd)
		_ = stream.Close()
	})
	defer stopAll()
	defer func() { _ = stream.Close() }()
	lost := errors.Join(executor.ErrUnknownOutcome, dispatcher.ErrLinkLost)
	if err := writeFrame(stream, frameBatch, appendBatch(nil, batch)); err != nil {
		failAll(batch, nil, emit, lost)
		return nil
	}
	ended := make(chan struct{})
	defer close(ended)
	go sendCancels(stream, cancels, ended)
	final := make([]bool, len(batch))
	if err := readEvents(stream, final, emit); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		stream.CancelRead(errEnd)
		failAll(batch, final, emit, lost)
	}
	return nil
}

func sendCancels(stream *quic.Stream, cancels <-chan int, ended <-chan struct{}) {
	for {
		select {
		case i, ok := <-cancels:
			if !ok {
				return
			}
			_ = writeFrame(stream, frameCancel, []byte{byte(i >> 8), byte(i)})
		case <-ended:
			return
		}
	}
}

func readEvents(stream *quic.Stream, final []bool, emit func(dispatcher.Event)) error {
	for {
		kind, payload, err := readFrame(stream)
		if err != nil {
			return err
		}
		if kind == frameEnd {
			return nil
		}
		e, err := decodeEvent(payload)
		if kind != frameEvent || err != nil || e.Index >= len(final) || e.Index < 0 {
			return encoder.ErrMalformed
		}
		final[e.Index] = final[e.Index] || e.Kind != dispatcher.Slow
		emit(e)
	}
}

func failAll(batch []dispatcher.Subrequest, final []bool, emit func(dispatcher.Event), err error) {
	for i := range batch {
		if final == nil || !final[i] {
			emit(dispatcher.Event{Index: i, Kind: dispatcher.Failed, Err: err})
		}
	}
}

// Execute runs x at the VM that made its ticket. An error matches executor.ErrNotRun
// only when the request was never sent.
func (r Remote) Execute(ctx context.Context, x Execute) (Executed, error) {
	ctx, stop := context.WithDeadline(ctx, x.Deadline.Add(execGrace))
	defer stop()
	payload, err := r.call(ctx, frameExecute, appendExecute(nil, x), frameExecuted)
	if err != nil {
		return Executed{}, err
	}
	out, err := decodeExecuted(payload)
	if err != nil {
		return Executed{}, errors.Join(executor.ErrUnknownOutcome, err)
	}
	return out, nil
}

// Claim asks the remote VM which of the named servers it may still be using; without
// names it only asks for the configuration revision in force there.
func (r Remote) Claim(ctx context.Context, servers []string) (held []string, revision uint64, err error) {
	payload, err := r.call(ctx, frameClaim, appendNames(nil, servers, 0), frameHeld)
	if err != nil {
		return nil, 0, err
	}
	return decodeNames(payload)
}

// ReportLoss tells the remote VM of a server lost while it ran a request.
func (r Remote) ReportLoss(ctx context.Context, loss quarantiner.Loss) error {
	_, err := r.call(ctx, frameLoss, AppendLoss(nil, loss), frameEnd)
	return err
}

// Config fetches the encoded configuration of the remote VM, nil if it has none.
func (r Remote) Config(ctx context.Context) ([]byte, error) {
	return r.call(ctx, frameFetchConfig, nil, frameConfig)
}

func (r Remote) call(ctx context.Context, kind frameKind, payload []byte, want frameKind) ([]byte, error) {
	stream, err := r.l.open(ctx, r.addr)
	if err != nil {
		return nil, errors.Join(executor.ErrNotRun, dispatcher.ErrLinkLost, err)
	}
	stopRead := context.AfterFunc(ctx, func() { stream.CancelRead(errEnd) })
	defer stopRead()
	defer func() { _ = stream.Close() }()
	lost := errors.Join(executor.ErrUnknownOutcome, dispatcher.ErrLinkLost)
	if err := writeFrame(stream, kind, payload); err != nil {
		return nil, errors.Join(lost, err)
	}
	got, body, err := readFrame(stream)
	if err != nil || got != want {
		return nil, errors.Join(lost, err)
	}
	return body, nil
}
