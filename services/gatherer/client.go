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
	// dialTimeout limits the opening of a connection.
	dialTimeout = 300 * time.Millisecond
	// pruneAfter is the time after which the connection to a VM that is not asked is closed.
	pruneAfter = 2 * time.Minute
)

// keepAlive finds a connection that has gone silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 2}

// Dialer opens a connection to the calls of the VM at addr.
type Dialer func(addr netip.AddrPort, d *net.Dialer) (net.Conn, error)

// Client makes calls to other VMs. It implements forwarder.Gatherers.
type Client struct {
	*selector.Roster
	dial   Dialer
	sealer *sealer.Sealer

	mu    sync.Mutex
	peers map[netip.AddrPort]*remote
}

// NewClient returns a Client; keys are those of NewServer.
func NewClient(keys [][]byte, roster *selector.Roster, dial Dialer) (*Client, error) {
	box, err := sealer.New(keys)
	if err != nil {
		return nil, err
	}
	return &Client{Roster: roster, dial: dial, sealer: box, peers: make(map[netip.AddrPort]*remote)}, nil
}

// Selection implements forwarder.Gatherers.
func (c *Client) Selection(conns int) *selector.Selection {
	return c.Select(conns)
}

// Gather implements forwarder.Gatherers.
func (c *Client) Gather(to selector.VM, call *forwarder.Call, s forwarder.CallHandler) forwarder.OngoingCall {
	x := &exchange{sink: s, remote: c.remote(to.Link)}
	go x.remote.send(x, call)
	return x
}

func (c *Client) remote(addr netip.AddrPort) *remote {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.peers[addr]
	if r == nil {
		r = &remote{client: c, addr: addr}
		c.peers[addr] = r
	}
	r.used = time.Now()
	return r
}

// CloseIdle closes the connections to VMs that were not asked for long.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, r := range c.peers {
		if now.Sub(r.used) > pruneAfter {
			delete(c.peers, addr)
			go r.close()
		}
	}
}

// remote is another VM.
type remote struct {
	client *Client
	addr   netip.AddrPort
	// used needs the lock of the client.
	used time.Time

	// dialing is held while a connection is opened.
	dialing sync.Mutex
	mu      sync.Mutex
	// link is nil while there is no connection.
	link *link
	last uint64
	// calls are those under way on link.
	calls map[uint64]*exchange
}

// exchange is one call on its way.
type exchange struct {
	sink   forwarder.CallHandler
	remote *remote
	ended  atomic.Bool
	// link and id are set under the lock of remote, once the call has them.
	link *link
	id   uint64
}

// send writes a call; it runs in a goroutine of its own, as a connection may have to be opened.
func (r *remote) send(x *exchange, call *forwarder.Call) {
	l, err := r.connect()
	if err != nil {
		x.fail(errors.Join(forwarder.ErrNotSent, err))
		return
	}
	r.mu.Lock()
	if r.link != l || x.ended.Load() {
		r.mu.Unlock()
		x.fail(forwarder.ErrNotSent)
		return
	}
	r.last++
	x.link, x.id = l, r.last
	r.calls[x.id] = x
	r.mu.Unlock()
	if err := l.write(frame{kind: kindCall, call: x.id, body: appendCall(nil, call, time.Now())}); err != nil {
		r.drop(l, err)
	}
}

// connect returns the open connection, or opens one.
func (r *remote) connect() (*link, error) {
	r.dialing.Lock()
	defer r.dialing.Unlock()
	r.mu.Lock()
	l := r.link
	r.mu.Unlock()
	if l != nil {
		return l, nil
	}
	c, err := r.client.dial(r.addr, &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive})
	if err != nil {
		return nil, oops.Wrapf(err, "connect to another VM")
	}
	l = newLink(c, r.client.sealer)
	r.mu.Lock()
	r.link, r.calls = l, make(map[uint64]*exchange)
	r.mu.Unlock()
	go r.read(l)
	return l, nil
}

// read hands what comes to the calls that wait for it, until the connection ends.
func (r *remote) read(l *link) {
	for {
		f, err := l.read()
		if err == nil {
			err = r.take(f)
		}
		if err != nil {
			r.drop(l, err)
			return
		}
	}
}

func (r *remote) take(f frame) error {
	r.mu.Lock()
	x := r.calls[f.call]
	r.mu.Unlock()
	if x == nil {
		return nil
	}
	switch f.kind {
	case kindAccepted:
		x.sink.Accepted()
	case kindRefused:
		r.forget(f.call)
		x.fail(forwarder.ErrRefused)
	case kindPartial:
		p, err := decodePartial(f.body)
		if err != nil {
			return err
		}
		if p.Final {
			r.forget(f.call)
		}
		x.sink.Received(p)
	case kindCall, kindGo, kindEnd:
	}
	return nil
}

func (r *remote) forget(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, id)
}

// drop closes a connection and fails its calls.
func (r *remote) drop(l *link, err error) {
	l.close()
	r.mu.Lock()
	if r.link != l {
		r.mu.Unlock()
		return
	}
	calls := r.calls
	r.link, r.calls = nil, nil
	r.mu.Unlock()
	for _, x := range calls {
		x.fail(errors.Join(forwarder.ErrConnLost, err))
	}
}

func (r *remote) close() {
	r.mu.Lock()
	l := r.link
	r.mu.Unlock()
	if l != nil {
		r.drop(l, errClosed)
	}
}

func (x *exchange) fail(err error) {
	x.sink.Failed(oops.Wrap(err))
}

// Start implements forwarder.Ongoing.
func (x *exchange) Start() {
	x.tell(frame{kind: kindGo})
}

// End implements forwarder.Ongoing. The answer to the call may still come, and tells how long the
// VM took to accept it.
func (x *exchange) End(gone bool) {
	x.ended.Store(true)
	f := frame{kind: kindEnd}
	if !gone {
		f.body = bodyEnough
	}
	x.tell(f)
}

// tell sends a frame about the call, if the call was sent.
func (x *exchange) tell(f frame) {
	r := x.remote
	r.mu.Lock()
	l := x.link
	f.call = x.id
	r.mu.Unlock()
	if l == nil {
		return
	}
	go func() {
		if err := l.write(f); err != nil {
			r.drop(l, err)
		}
	}()
}
