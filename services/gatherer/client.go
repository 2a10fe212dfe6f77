package gatherer

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/ebonylock/ebonylock/modules/sealer"
	"github.com/ebonylock/ebonylock/modules/selector"
	"github.com/ebonylock/ebonylock/services/forwarder"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is the time without calls after which the connection to a VM is closed.
	idleTimeout = 2 * time.Minute
)

// keepAlive detects a connection whose other end no longer responds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 2}

// Dialer opens a connection to the call server of the VM at addr.
type Dialer func(addr netip.AddrPort, d *net.Dialer) (net.Conn, error)

// Client sends calls to other VMs. It implements forwarder.Gatherers. It keeps at most one
// connection to each VM and opens it when needed.
type Client struct {
	*selector.Roster
	dial   Dialer
	sealer *sealer.Sealer

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// NewClient returns a Client that encrypts its frames with keys, see NewServer.
func NewClient(keys [][]byte, roster *selector.Roster, dial Dialer) (*Client, error) {
	frameSealer, err := sealer.New(keys)
	if err != nil {
		return nil, err
	}
	return &Client{Roster: roster, dial: dial, sealer: frameSealer, peers: make(map[netip.AddrPort]*peer)}, nil
}

// Selection implements forwarder.Gatherers.
func (c *Client) Selection(conns int) *selector.Selection {
	return c.Select(conns)
}

// Gather implements forwarder.Gatherers.
func (c *Client) Gather(to selector.VM, call *forwarder.Call, s forwarder.CallHandler) forwarder.OngoingCall {
	x := &outgoingCall{handler: s, peer: c.peer(to.Link)}
	go x.peer.send(x, call)
	return x
}

func (c *Client) peer(addr netip.AddrPort) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[addr]
	if p == nil {
		p = &peer{client: c, addr: addr}
		c.peers[addr] = p
	}
	p.lastUsed = time.Now()
	return p
}

// CloseIdle closes the connections to VMs that had no call within idleTimeout before now and have none in progress.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.peers {
		if now.Sub(p.lastUsed) > idleTimeout && !p.busy() {
			delete(c.peers, addr)
			go p.close()
		}
	}
}

// peer is another VM and the connection to it.
type peer struct {
	client *Client
	addr   netip.AddrPort
	// lastUsed is the time of the last call. It is guarded by Client.mu.
	lastUsed time.Time

	// dialing is held while a connection is opened, so that only one is opened at a time.
	dialing sync.Mutex
	mu      sync.Mutex
	// conn is nil while there is no connection.
	conn       *conn
	lastCallID uint64
	// calls holds the calls in progress on conn by their ID.
	calls map[uint64]*outgoingCall
}

// busy reports whether a call is in progress.
func (p *peer) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.calls {
		if !x.ended.Load() {
			return true
		}
	}
	return false
}

// outgoingCall is a call in progress at another VM. It implements forwarder.OngoingCall.
type outgoingCall struct {
	handler forwarder.CallHandler
	peer    *peer
	ended   atomic.Bool
	// conn and id are set once the call is assigned to a connection, and accepted once the VM has accepted
	// it. They are guarded by peer.mu.
	conn     *conn
	id       uint64
	accepted bool
}

// send writes a call. It may have to open a connection, and therefore runs in its own goroutine.
func (p *peer) send(x *outgoingCall, call *forwarder.Call) {
	l, err := p.connect()
	if err != nil {
		x.fail(errors.Join(forwarder.ErrNotSent, err))
		return
	}
	p.mu.Lock()
	if p.conn != l || x.ended.Load() {
		p.mu.Unlock()
		x.fail(forwarder.ErrNotSent)
		return
	}
	p.lastCallID++
	x.conn, x.id = l, p.lastCallID
	p.calls[x.id] = x
	p.mu.Unlock()
	err = l.writeEncoded(func() frame {
		return frame{kind: kindCall, call: x.id, body: appendCall(nil, call, time.Now())}
	})
	if err != nil {
		p.closeConn(l, err)
	}
}

// connect returns the open connection or opens one.
func (p *peer) connect() (*conn, error) {
	p.dialing.Lock()
	defer p.dialing.Unlock()
	p.mu.Lock()
	l := p.conn
	p.mu.Unlock()
	if l != nil {
		return l, nil
	}
	c, err := p.client.dial(p.addr, &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive})
	if err != nil {
		return nil, oops.Wrapf(err, "connect to another VM")
	}
	l = newConn(c, p.client.sealer)
	p.mu.Lock()
	p.conn, p.calls = l, make(map[uint64]*outgoingCall)
	p.mu.Unlock()
	go p.readLoop(l)
	return l, nil
}

// readLoop passes received frames to their calls until the connection ends.
func (p *peer) readLoop(l *conn) {
	for {
		f, err := l.read()
		if err == nil {
			err = p.handleFrame(f)
		}
		if err != nil {
			p.closeConn(l, err)
			return
		}
	}
}

func (p *peer) handleFrame(f frame) error {
	p.mu.Lock()
	x := p.calls[f.call]
	if x == nil {
		p.mu.Unlock()
		return nil
	}
	if f.kind == kindAccepted {
		x.accepted = true
		p.removeIfOver(x)
	}
	p.mu.Unlock()
	switch f.kind {
	case kindAccepted:
		x.handler.Accepted()
	case kindRefused:
		p.removeCall(f.call)
		x.fail(forwarder.ErrRefused)
	case kindPartial:
		partial, err := decodePartial(f.body)
		if err != nil {
			return err
		}
		if partial.Final {
			p.removeCall(f.call)
		}
		x.handler.Received(partial)
	case kindCall, kindStart, kindEnd:
	}
	return nil
}

// removeIfOver removes a call of which nothing more is expected: it has ended and was accepted. The other VM may
// send nothing more about it. The caller must hold mu.
func (p *peer) removeIfOver(x *outgoingCall) {
	if x.accepted && x.ended.Load() {
		delete(p.calls, x.id)
	}
}

func (p *peer) removeCall(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, id)
}

// closeConn closes a connection and fails its calls with forwarder.ErrConnLost.
func (p *peer) closeConn(l *conn, err error) {
	l.close()
	p.mu.Lock()
	if p.conn != l {
		p.mu.Unlock()
		return
	}
	calls := p.calls
	p.conn, p.calls = nil, nil
	p.mu.Unlock()
	for _, x := range calls {
		x.fail(errors.Join(forwarder.ErrConnLost, err))
	}
}

func (p *peer) close() {
	p.mu.Lock()
	l := p.conn
	p.mu.Unlock()
	if l != nil {
		p.closeConn(l, errClosed)
	}
}

func (x *outgoingCall) fail(err error) {
	x.handler.Failed(oops.Wrap(err))
}

// Start implements forwarder.OngoingCall.
func (x *outgoingCall) Start() {
	x.sendFrame(frame{kind: kindStart})
}

// End implements forwarder.OngoingCall. The call stays registered until the VM has accepted it, since the
// time until then is measured.
func (x *outgoingCall) End(gone bool) {
	x.ended.Store(true)
	x.peer.mu.Lock()
	x.peer.removeIfOver(x)
	x.peer.mu.Unlock()
	f := frame{kind: kindEnd}
	if !gone {
		f.body = endBodyAnswered
	}
	x.sendFrame(f)
}

// sendFrame sends a frame about the call. It does nothing if the call was not sent.
func (x *outgoingCall) sendFrame(f frame) {
	p := x.peer
	p.mu.Lock()
	l := x.conn
	f.call = x.id
	p.mu.Unlock()
	if l == nil {
		return
	}
	go func() {
		if err := l.write(f); err != nil {
			p.closeConn(l, err)
		}
	}()
}
