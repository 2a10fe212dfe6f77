// Package linker implements remote calls between entry VMs over QUIC. A VM uses one outgoing
// connection for each peer and one stream for each call. Both sides authenticate with a fleet key.
package linker

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/samber/oops"

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

// Handler handles the calls of other VMs.
type Handler interface {
	// Dispatch runs a batch, with the same contract as dispatcher.Dispatcher.
	Dispatch(ctx context.Context, batch []dispatcher.Subrequest, cancels <-chan int, emit func(dispatcher.Event)) error
	// Execute runs a request whose ticket was issued by this VM.
	Execute(ctx context.Context, x Execute) Executed
	// Held returns the subset of servers that this VM may still be using, and the configuration
	// revision in force.
	Held(servers []string) ([]string, uint64)
	// HandleLoss records that another VM lost a backend server while the server ran a request.
	HandleLoss(l quarantiner.Loss)
	// Config returns the encoded configuration in force, or nil if there is none.
	Config() []byte
}

const (
	// dialTimeout limits the time to set up a connection.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is the time without packets from the peer after which a connection is closed.
	idleTimeout = 2 * time.Second
	// keepAlive is the interval between keep-alive packets on an otherwise idle connection.
	keepAlive = 700 * time.Millisecond
	// maxStreams limits the concurrent calls that a peer may have on one connection.
	maxStreams = 4096
	// cancelBuffer is the number of cancellations that are buffered for one call.
	cancelBuffer = 16
	// receiptTimeout limits the wait for the other VM to read an answer.
	receiptTimeout = time.Second
	// executeGrace is the time past the request's deadline for which the answer of a forwarded
	// request is still awaited.
	executeGrace = 50 * time.Millisecond
)

// closeCode is the QUIC application error code with which streams and connections are closed.
const closeCode = 0

var quicConfig = &quic.Config{
	HandshakeIdleTimeout: dialTimeout,
	MaxIdleTimeout:       idleTimeout,
	KeepAlivePeriod:      keepAlive,
	MaxIncomingStreams:   maxStreams,
}

// Linker serves the calls of other VMs and makes calls to them.
type Linker struct {
	keys     Keys
	listener *quic.Listener
	handler  Handler

	// calls counts the calls of other VMs whose answers these may not have received yet.
	calls atomic.Int64

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// peer holds the outgoing connection to another VM.
type peer struct {
	mu sync.Mutex
	// conn is nil before the first successful dial.
	conn *quic.Conn
}

// Listen binds addr; port 0 selects a free port. Calls are served once Serve runs.
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

// Addr returns the bound address.
func (l *Linker) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(l.listener.Addr().String())
}

// Serve accepts connections until ctx is done or the listener is closed. It always returns an
// error.
func (l *Linker) Serve(ctx context.Context) error {
	for {
		conn, err := l.listener.Accept(ctx)
		if err != nil {
			return oops.Wrapf(err, "accept")
		}
		go l.serveConn(ctx, conn)
	}
}

// Close closes all outgoing connections and the listener.
func (l *Linker) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		p.mu.Lock()
		if p.conn != nil {
			_ = p.conn.CloseWithError(closeCode, "closing")
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

// Calls returns the number of calls of other VMs whose answers these may not have received yet. Close would cut them.
func (l *Linker) Calls() int {
	return int(l.calls.Load())
}

// serveStream serves the one call of a stream. A malformed frame closes the whole connection.
func (l *Linker) serveStream(conn *quic.Conn, stream *quic.Stream) {
	l.calls.Add(1)
	defer l.calls.Add(-1)
	defer awaitReceipt(stream)
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
		_ = conn.CloseWithError(closeCode, "malformed frame")
	}
}

// awaitReceipt waits until the other VM closes its side of the stream, which it does once it has read the answer.
func awaitReceipt(stream *quic.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(receiptTimeout))
	_, _ = io.Copy(io.Discard, stream)
}

// serveBatch streams the events of a batch to the caller, followed by frameEnd. A failed Dispatch
// is not reported: the stream closes without frameEnd, by which the caller detects the failure.
func (l *Linker) serveBatch(stream *quic.Stream, payload []byte) error {
	batch, err := decodeBatch(payload)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	cancels := make(chan int, cancelBuffer)
	go readCancels(ctx, stream, cancels, stop)
	w := &eventWriter{stream: stream}
	err = l.handler.Dispatch(ctx, batch, cancels, w.write)
	if err != nil {
		return nil
	}
	return w.end()
}

// readCancels forwards the caller's cancellations to cancels. It calls stop when the caller closes
// its side of the stream or sends anything but a valid cancellation.
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

// eventWriter writes events to a stream. It is safe for concurrent use.
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
	// The clock of the other VM may differ, so the time that it sent is not used.
	loss.At = time.Now()
	l.handler.HandleLoss(loss)
	return writeFrame(stream, frameEnd, nil)
}

// conn returns the open connection to addr, and dials a new one if there is none. Concurrent callers
// for one address dial one at a time.
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

func (l *Linker) openStream(ctx context.Context, addr netip.AddrPort) (*quic.Stream, error) {
	conn, err := l.conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	return stream, oops.Wrapf(err, "open stream to %s", addr)
}

// Drop closes the connection to addr, so that calls in progress to it fail immediately.
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
		_ = p.conn.CloseWithError(closeCode, "peer lost")
	}
}

// Remote returns a client for the VM at addr. It does not connect; the first call does.
func (l *Linker) Remote(addr netip.AddrPort) Remote {
	return Remote{l: l, addr: addr}
}

// Remote is a client for the calls of another entry VM.
type Remote struct {
	l    *Linker
	addr netip.AddrPort
}

// Dispatch runs a batch at the remote VM, with the same contract as dispatcher.Dispatcher. When the
// link is lost, each Subrequest without a final event fails with dispatcher.ErrLinkLost. The error
// also matches executor.ErrNotRun if the batch was never sent, and executor.ErrUnknownOutcome
// otherwise.
func (r Remote) Dispatch(ctx context.Context, batch []dispatcher.Subrequest, cancels <-chan int, emit func(dispatcher.Event)) error {
	stream, err := r.l.openStream(ctx, r.addr)
	if err != nil {
		failAll(batch, nil, emit, errors.Join(executor.ErrNotRun, dispatcher.ErrLinkLost, err))
		return nil
	}
	stopAll := context.AfterFunc(ctx, func() {
		stream.CancelRead(closeCode)
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
		stream.CancelRead(closeCode)
		failAll(batch, final, emit, lost)
	}
	return nil
}

// sendCancels sends the indexes from cancels to the remote VM, as two bytes in big-endian order,
// until cancels is closed or the call has ended.
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

// readEvents passes events to emit until frameEnd, and sets final[i] once Subrequest i has its final
// event. Any event other than dispatcher.Slow is final.
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

// failAll emits a Failed event with err for each Subrequest without a final event; a nil final
// stands for none.
func failAll(batch []dispatcher.Subrequest, final []bool, emit func(dispatcher.Event), err error) {
	for i := range batch {
		if final == nil || !final[i] {
			emit(dispatcher.Event{Index: i, Kind: dispatcher.Failed, Err: err})
		}
	}
}

// Execute runs x at the remote VM, which must be the one that issued its ticket. An error matches
// executor.ErrNotRun only if the request was never sent; otherwise the outcome is unknown.
func (r Remote) Execute(ctx context.Context, x Execute) (Executed, error) {
	ctx, stop := context.WithDeadline(ctx, x.Deadline.Add(executeGrace))
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

// Claim asks the remote VM which of servers it may still be using, and for the configuration
// revision in force there. With no servers it asks only for the revision.
func (r Remote) Claim(ctx context.Context, servers []string) (held []string, revision uint64, err error) {
	payload, err := r.call(ctx, frameClaim, appendNames(nil, servers, 0), frameHeld)
	if err != nil {
		return nil, 0, err
	}
	return decodeNames(payload)
}

// ReportLoss reports to the remote VM that a backend server was lost while it ran a request.
func (r Remote) ReportLoss(ctx context.Context, loss quarantiner.Loss) error {
	_, err := r.call(ctx, frameLoss, AppendLoss(nil, loss), frameEnd)
	return err
}

// Config fetches the encoded configuration in force at the remote VM. It is empty if there is none.
func (r Remote) Config(ctx context.Context) ([]byte, error) {
	return r.call(ctx, frameFetchConfig, nil, frameConfig)
}

// call sends one frame and returns the payload of the response, which must be of the kind want. An
// error matches executor.ErrNotRun only if nothing was sent.
func (r Remote) call(ctx context.Context, kind frameKind, payload []byte, want frameKind) ([]byte, error) {
	stream, err := r.l.openStream(ctx, r.addr)
	if err != nil {
		return nil, errors.Join(executor.ErrNotRun, dispatcher.ErrLinkLost, err)
	}
	stopRead := context.AfterFunc(ctx, func() { stream.CancelRead(closeCode) })
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
