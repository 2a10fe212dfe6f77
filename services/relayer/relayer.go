// Package relayer serves a VM's copy of the store to other VMs, so that only few VMs read the store
// itself. Its HTTP server also accepts reports of lost replicas and connections for other
// protocols. Requests and replies are encrypted and authenticated with the fleet key.
package relayer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/bouncer"
	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/fetcher"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/reporter"
	"github.com/ebonylock/ebonylock/modules/sealer"
	"github.com/ebonylock/ebonylock/services/linker"
	"github.com/ebonylock/ebonylock/services/replicator"
)

// ErrUnreachable is returned if the other VM gave no usable reply.
var ErrUnreachable = errors.New("relay unreachable")

const (
	// pathRead is the path for reads of the store.
	pathRead = "/relay/1"
	// pathLoss is the path for reports of replicas that were lost while they ran a request. A VM that knows only
	// the former /losses/1 learns the losses with its reads.
	pathLoss = "/losses/2"
	// pathAnswer is the path for reports of replies that clear a request of losses.
	pathAnswer = "/answers/1"
	// pathStream is the path for a connection that is passed to OnStream.
	pathStream = "/stream/1"
	// reportTimeout bounds the time to report a loss or a reply.
	reportTimeout = 500 * time.Millisecond
	// maxWait is the maximum time for which a request for changes may wait.
	maxWait = 30 * time.Second
	// maxRequest is the maximum size of a request body, in bytes.
	maxRequest = 4096
	// replyMargin is the time that a reply may take in addition to the wait of its request.
	replyMargin = 500 * time.Millisecond
	// snapshotTimeout bounds the time to read a snapshot.
	snapshotTimeout = time.Second
	// idleTimeout is the time without requests after which a connection is closed.
	idleTimeout = time.Minute
	// readTimeout limits the time to read a request.
	readTimeout = 5 * time.Second
)

// LossTracker stores the losses of replicas.
type LossTracker interface {
	// Losses returns the losses to report to another VM: all of them or recent ones.
	Losses(all bool, now time.Time) []quarantiner.Loss
	// Merge records losses that another VM knows.
	Merge(list []quarantiner.Loss, now time.Time)
}

// Server answers the requests of other VMs with data from a Source.
type Server struct {
	// OnLosses is called with the losses that another VM reports; nil to ignore them. It must be set
	// before Serve.
	OnLosses func(list []quarantiner.Loss)
	// OnAnswer is called with each reply that another VM reports; nil to ignore them. It must be set
	// before Serve.
	OnAnswer func(a quarantiner.Answer)
	// Evidence merges what other VMs have observed of replicas and derives the verdicts that are
	// sent to them; nil for none. It must be set before Serve.
	Evidence *reporter.Evidence
	// Losses provides the losses that are sent with each reply; nil for none. It must be set before
	// Serve.
	Losses LossTracker
	// OnStream takes over a connection that another VM opened with DialStream, and must close it. It must pass
	// the connection to bouncer.Trust once the other VM has shown that it has a key;
	// nil to refuse such connections. It must be set before Serve.
	OnStream func(c net.Conn)
	// OnAcceptError is called with errors of accept, at most once a second; the server then tries again.
	// It must be set before Serve; nil to ignore the errors.
	OnAcceptError func(err error)
	limits        bouncer.Limits
	source        replicator.Source
	sealer        *sealer.Sealer
	ln            net.Listener
	srv           fasthttp.Server
	ctx           context.Context
	cancel        context.CancelFunc

	mu sync.Mutex
	// last is the batch that was compressed last. It is kept because most followers request the
	// same one.
	last struct {
		readRequest
		cursor replicator.Cursor
		batch  []byte
	}
}

// Listen returns a Server that listens on addr. Keys are 32 bytes long: the first one encrypts, and
// each of them is tried for decryption, so that a key can be rotated. limits applies to clients until they have shown
// that they have a key.
func Listen(addr netip.AddrPort, keys [][]byte, source replicator.Source, limits bouncer.Limits) (*Server, error) {
	replySealer, err := sealer.New(keys)
	if err != nil {
		return nil, err
	}
	ln, err := limits.Bind(addr)
	if err != nil {
		return nil, oops.Wrapf(err, "listen for other VMs on %s", addr)
	}
	s := &Server{source: source, sealer: replySealer, ln: ln, limits: limits}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.srv = fasthttp.Server{Handler: s.handle, MaxRequestBodySize: maxRequest, NoDefaultServerHeader: true, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Serve accepts connections until Close is called.
func (s *Server) Serve() error {
	return oops.Wrap(s.srv.Serve(s.limits.Listener(s.ln, s.OnAcceptError)))
}

// Close ends Serve and all requests that wait for changes.
func (s *Server) Close() {
	s.cancel()
	_ = s.ln.Close()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == pathStream && s.OnStream != nil {
		ctx.HijackSetNoResponse(true)
		client, _ := ctx.Conn().(*bouncer.Conn)
		ctx.Hijack(func(c net.Conn) { s.handleStream(c, client) })
		return
	}
	if path != pathRead && path != pathLoss && path != pathAnswer {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	plain, err := s.sealer.Open(ctx.PostBody())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	bouncer.Trust(ctx.Conn())
	switch path {
	case pathLoss:
		s.handleLosses(ctx, plain)
		return
	case pathAnswer:
		s.handleAnswer(ctx, plain)
		return
	}
	q, tallies, leavers, err := decodeRequest(plain)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if s.Evidence != nil {
		s.Evidence.Merge(tallies, time.Now())
		s.Evidence.MergeLeavers(leavers, time.Now())
	}
	var b replicator.Batch
	if q.snapshot {
		b, err = s.source.Snapshot(s.ctx)
	} else {
		b, err = s.source.Changes(s.ctx, q.after, min(q.wait, maxWait))
	}
	switch {
	case errors.Is(err, replicator.ErrCompacted):
		ctx.SetStatusCode(fasthttp.StatusGone)
	case err != nil:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		reply := appendStable(appendReply(nil, b.Age, s.compressed(q, b)), b.StableFor)
		if s.Evidence != nil {
			reply = encoder.AppendBytes(reply, replyVerdicts, reporter.AppendVerdicts(nil, s.Evidence.Evaluate(time.Now())))
			reply = encoder.AppendBytes(reply, replyLeavers, reporter.AppendLeavers(nil, s.Evidence.RecentLeavers(time.Now())))
		}
		if s.Losses != nil {
			now := time.Now()
			reply = appendLosses(reply, s.Losses.Losses(q.allLosses, now), now)
		}
		ctx.SetBody(s.sealer.Seal(reply))
	}
}

// handleStream clears the deadlines that the HTTP server has set on a connection and passes it to
// OnStream. client is the connection below c; nil if its listener has no limits.
func (s *Server) handleStream(c net.Conn, client *bouncer.Conn) {
	if err := c.SetDeadline(time.Time{}); err != nil {
		return
	}
	if client != nil {
		client.Unmanage()
		c = stream{c, client}
	}
	s.OnStream(c)
}

// stream is a connection that was taken over from the HTTP server.
type stream struct {
	net.Conn
	client *bouncer.Conn
}

// Close implements net.Conn. The HTTP server would close the connection only once OnStream returns.
func (s stream) Close() error {
	return s.client.Close()
}

// Trust marks the client as one that belongs to the fleet.
func (s stream) Trust() {
	s.client.Trust()
}

// DialStream opens a connection to the VM whose Server is at addr. The Server passes it to its
// OnStream. There is no reply to the HTTP request; the connection is ready for use.
func DialStream(addr netip.AddrPort, d *net.Dialer) (net.Conn, error) {
	c, err := d.Dial("tcp4", addr.String())
	if err != nil {
		return nil, oops.Wrapf(err, "open stream to another VM")
	}
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", pathStream, addr); err != nil {
		_ = c.Close()
		return nil, oops.Wrapf(err, "open stream to another VM")
	}
	return c, nil
}

func (s *Server) handleLosses(ctx *fasthttp.RequestCtx, plain []byte) {
	r, err := decodeReply(plain, time.Now())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if s.OnLosses != nil {
		s.OnLosses(r.losses)
	}
}

func (s *Server) handleAnswer(ctx *fasthttp.RequestCtx, plain []byte) {
	a, err := linker.DecodeAnswer(plain)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	// The clocks of two VMs differ, so the reply counts from the arrival of the report.
	if a.At = time.Now(); s.OnAnswer != nil {
		s.OnAnswer(a)
	}
}

// compressed returns the compressed form of b, which is the answer to q. The wait of q and what it
// asks for besides the batch are not part of the cache key.
func (s *Server) compressed(q readRequest, b replicator.Batch) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.wait, q.allLosses = 0, false
	if len(b.Items) == 0 || s.last.readRequest != q || s.last.cursor != b.Cursor || s.last.batch == nil {
		batch := compress(b)
		if len(b.Items) == 0 {
			return batch
		}
		s.last.readRequest, s.last.cursor, s.last.batch = q, b.Cursor, batch
	}
	return s.last.batch
}

// Client reads the store through another VM. It implements replicator.Source.
type Client struct {
	// Evidence provides the observations of replicas that are sent with each read, and stores the
	// verdicts of the reply; nil for none. It must be set before use.
	Evidence *reporter.Evidence
	// Losses stores the losses of the replies; nil for none. It must be set before use.
	Losses LossTracker
	sealer *sealer.Sealer
	http   *fetcher.Client
	// reports has connections of its own, since reads that wait for changes may use all of http.
	reports *fetcher.Client
	// knowsLosses is true once a reply has had all losses that the other VM knew.
	knowsLosses atomic.Bool
}

// maxConns is the maximum number of connections to another VM for reads, and as many again for reports.
const maxConns = 2

// NewClient returns a Client of the VM at addr; keys are as for Listen.
func NewClient(addr netip.AddrPort, keys [][]byte) (*Client, error) {
	requestSealer, err := sealer.New(keys)
	if err != nil {
		return nil, err
	}
	reports := fetcher.NewLimited(addr, maxConns, fetcher.Limits{ConnWait: reportTimeout})
	return &Client{sealer: requestSealer, http: fetcher.New(addr, maxConns), reports: reports}, nil
}

// Snapshot implements replicator.Source.
func (c *Client) Snapshot(ctx context.Context) (replicator.Batch, error) {
	return c.request(ctx, readRequest{snapshot: true}, snapshotTimeout)
}

// Changes implements replicator.Source.
func (c *Client) Changes(ctx context.Context, after replicator.Cursor, wait time.Duration) (replicator.Batch, error) {
	return c.request(ctx, readRequest{after: after, wait: wait}, wait+replyMargin)
}

func (c *Client) request(ctx context.Context, q readRequest, timeout time.Duration) (replicator.Batch, error) {
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	q.allLosses = c.Losses != nil && !c.knowsLosses.Load()
	plain := q.append(nil)
	if c.Evidence != nil {
		plain = encoder.AppendBytes(plain, requestTallies, reporter.AppendTallies(nil, c.Evidence.DrainTallies(time.Now())))
		plain = encoder.AppendBytes(plain, requestLeavers, reporter.AppendLeavers(nil, c.Evidence.RecentLeavers(time.Now())))
	}
	body := c.sealer.Seal(plain)
	code, reply, err := c.http.Raw(fasthttp.MethodPost, pathRead, "application/octet-stream", body, deadline)
	switch {
	case err != nil:
		return replicator.Batch{}, oops.Wrap(errors.Join(ErrUnreachable, err))
	case code == fasthttp.StatusGone:
		return replicator.Batch{}, replicator.ErrCompacted
	case code != fasthttp.StatusOK:
		return replicator.Batch{}, oops.Wrapf(ErrUnreachable, "status %d", code)
	}
	if plain, err = c.sealer.Open(reply); err != nil {
		return replicator.Batch{}, oops.Wrap(errors.Join(ErrUnreachable, err))
	}
	now := time.Now()
	r, err := decodeReply(plain, now)
	if err != nil {
		return replicator.Batch{}, oops.Wrap(errors.Join(ErrUnreachable, err))
	}
	if c.Evidence != nil {
		c.Evidence.Update(r.verdicts, now)
		c.Evidence.MergeLeavers(r.leavers, now)
	}
	if c.Losses != nil {
		c.Losses.Merge(r.losses, now)
		if q.allLosses {
			c.knowsLosses.Store(true)
		}
	}
	return r.batch, nil
}

// ReportLosses reports losses to the other VM. Errors match ErrUnreachable.
func (c *Client) ReportLosses(list []quarantiner.Loss) error {
	return c.report(pathLoss, appendLosses(nil, list, time.Now()))
}

// ReportAnswer reports a reply to a request to the other VM. Errors match ErrUnreachable.
func (c *Client) ReportAnswer(a quarantiner.Answer) error {
	return c.report(pathAnswer, linker.AppendAnswer(nil, a))
}

func (c *Client) report(path string, plain []byte) error {
	code, _, err := c.reports.Raw(fasthttp.MethodPost, path, "application/octet-stream", c.sealer.Seal(plain), time.Now().Add(reportTimeout))
	if err != nil {
		return oops.Wrap(errors.Join(ErrUnreachable, err))
	}
	if code != fasthttp.StatusOK {
		return oops.Wrapf(ErrUnreachable, "status %d", code)
	}
	return nil
}
