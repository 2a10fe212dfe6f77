// Package relayer lets a VM follow what another VM has read of the store, so that few VMs
// have to read it themselves.
package relayer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/fetcher"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/reporter"
	"github.com/ebonylock/ebonylock/modules/sealer"
	"github.com/ebonylock/ebonylock/services/linker"
	"github.com/ebonylock/ebonylock/services/replicator"
)

// ErrUnreachable says that the other VM gave no usable answer.
var ErrUnreachable = errors.New("relay unreachable")

const (
	// pathRead is where a VM answers others.
	pathRead = "/relay/1"
	// pathLoss is where a VM hears of replicas that requests have crashed.
	pathLoss = "/losses/1"
	// pathStream is where a VM takes over a connection for messages of another kind.
	pathStream = "/stream/1"
	// lossTimeout limits the telling of one.
	lossTimeout = 500 * time.Millisecond
	// maxWait bounds the time for which a question may wait.
	maxWait = 30 * time.Second
	// maxQuestion bounds a question, in bytes.
	maxQuestion = 4096
	// slack is the time that an answer may take beyond its wait.
	slack = 500 * time.Millisecond
	// snapshotTimeout limits the reading of a snapshot.
	snapshotTimeout = time.Second
	// idleTimeout is the time for which a connection may stay without a question.
	idleTimeout = time.Minute
)

// Server answers other VMs from a source.
type Server struct {
	// OnLoss takes in a loss that another VM tells of; nil for none. It is set before Serve.
	OnLoss func(l quarantiner.Loss)
	// Evidence takes in what other VMs have seen of replicas, and judges; nil for none. It is set
	// before Serve.
	Evidence *reporter.Evidence
	// OnStream takes over a connection that another VM opened with DialStream, and closes it; nil to
	// refuse it. It is set before Serve.
	OnStream func(c net.Conn)
	source   replicator.Source
	sealer   *sealer.Sealer
	ln       net.Listener
	srv      fasthttp.Server
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// last is the batch that was compressed last; followers mostly ask for the same one.
	last struct {
		question
		mark  replicator.Cursor
		batch []byte
	}
}

// Listen binds addr. keys are 32-byte keys: the first one seals, all of them open.
func Listen(addr netip.AddrPort, keys [][]byte, source replicator.Source) (*Server, error) {
	box, err := sealer.New(keys)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, oops.Wrapf(err, "listen for other VMs on %s", addr)
	}
	s := &Server{source: source, sealer: box, ln: ln}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.srv = fasthttp.Server{Handler: s.handle, MaxRequestBodySize: maxQuestion, NoDefaultServerHeader: true, IdleTimeout: idleTimeout}
	return s, nil
}

// Addr is the address that was bound.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Serve serves until Close.
func (s *Server) Serve() error {
	return oops.Wrap(s.srv.Serve(s.ln))
}

// Close ends Serve and all answers that wait.
func (s *Server) Close() {
	s.cancel()
	_ = s.ln.Close()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == pathStream && s.OnStream != nil {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(s.stream)
		return
	}
	if path != pathRead && path != pathLoss {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	plain, err := s.sealer.Open(ctx.PostBody())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	if path == pathLoss {
		s.takeLoss(ctx, plain)
		return
	}
	q, tallies, err := decodeQuestion(plain)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if s.Evidence != nil {
		s.Evidence.Merge(tallies, time.Now())
	}
	var b replicator.Batch
	if q.whole {
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
		reply := appendReply(nil, b.Age, s.compressed(q, b))
		if s.Evidence != nil {
			reply = encoder.AppendBytes(reply, replyVerdicts, reporter.AppendVerdicts(nil, s.Evidence.Evaluate(time.Now())))
		}
		ctx.SetBody(s.sealer.Seal(reply))
	}
}

// stream hands over a connection without the deadlines of the HTTP server.
func (s *Server) stream(c net.Conn) {
	if err := c.SetDeadline(time.Time{}); err != nil {
		return
	}
	s.OnStream(c)
}

// DialStream opens a connection to the VM whose Server is at addr, which its OnStream gets.
func DialStream(addr netip.AddrPort, d *net.Dialer) (net.Conn, error) {
	c, err := d.Dial("tcp4", addr.String())
	if err != nil {
		return nil, oops.Wrapf(err, "open a stream")
	}
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", pathStream, addr); err != nil {
		_ = c.Close()
		return nil, oops.Wrapf(err, "open a stream")
	}
	return c, nil
}

func (s *Server) takeLoss(ctx *fasthttp.RequestCtx, plain []byte) {
	l, err := linker.DecodeLoss(plain)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	// The other VM's clock says nothing here.
	l.At = time.Now()
	if s.OnLoss != nil {
		s.OnLoss(l)
	}
}

// compressed returns the compressed form of b, the answer to q.
func (s *Server) compressed(q question, b replicator.Batch) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.wait = 0
	if len(b.Items) == 0 || s.last.question != q || s.last.mark != b.Cursor || s.last.batch == nil {
		batch := compress(b)
		if len(b.Items) == 0 {
			return batch
		}
		s.last.question, s.last.mark, s.last.batch = q, b.Cursor, batch
	}
	return s.last.batch
}

// Client follows another VM. It implements replicator.Source.
type Client struct {
	// Evidence is what this VM tells of replicas and takes in; nil for none. It is set before use.
	Evidence *reporter.Evidence
	sealer   *sealer.Sealer
	c        *fetcher.Client
}

// maxConns is the number of connections to another VM.
const maxConns = 2

// NewClient returns a Client of the VM at addr; keys are those of Listen.
func NewClient(addr netip.AddrPort, keys [][]byte) (*Client, error) {
	box, err := sealer.New(keys)
	if err != nil {
		return nil, err
	}
	return &Client{sealer: box, c: fetcher.New(addr, maxConns)}, nil
}

// Snapshot implements replicator.Source.
func (c *Client) Snapshot(ctx context.Context) (replicator.Batch, error) {
	return c.ask(ctx, question{whole: true}, snapshotTimeout)
}

// Changes implements replicator.Source.
func (c *Client) Changes(ctx context.Context, after replicator.Cursor, wait time.Duration) (replicator.Batch, error) {
	return c.ask(ctx, question{after: after, wait: wait}, wait+slack)
}

func (c *Client) ask(ctx context.Context, q question, timeout time.Duration) (replicator.Batch, error) {
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	plain := q.append(nil)
	if c.Evidence != nil {
		plain = encoder.AppendBytes(plain, questionTallies, reporter.AppendTallies(nil, c.Evidence.DrainTallies(time.Now())))
	}
	body := c.sealer.Seal(plain)
	code, reply, err := c.c.Raw(fasthttp.MethodPost, pathRead, "application/octet-stream", body, deadline)
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
	b, verdicts, err := decodeReply(plain)
	if err != nil {
		return replicator.Batch{}, oops.Wrap(errors.Join(ErrUnreachable, err))
	}
	if c.Evidence != nil {
		c.Evidence.Update(verdicts, time.Now())
	}
	return b, nil
}

// ReportLoss tells the other VM of a loss.
func (c *Client) ReportLoss(l quarantiner.Loss) error {
	body := c.sealer.Seal(linker.AppendLoss(nil, l))
	code, _, err := c.c.Raw(fasthttp.MethodPost, pathLoss, "application/octet-stream", body, time.Now().Add(lossTimeout))
	if err != nil {
		return oops.Wrap(errors.Join(ErrUnreachable, err))
	}
	if code != fasthttp.StatusOK {
		return oops.Wrapf(ErrUnreachable, "status %d", code)
	}
	return nil
}
