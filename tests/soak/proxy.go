package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode is what a proxy does with the bytes of its connections.
type mode int

const (
	pass mode = iota
	// delayed holds each chunk back for a while.
	delayed
	// oneWay drops what comes back from the target.
	oneWay
	// silent holds everything back until the mode changes.
	silent
	// refuse resets new connections; those that are open are reset once.
	refuse
)

const (
	// proxyDelay is how long a delayed proxy holds a chunk back.
	proxyDelay = 80 * time.Millisecond
	// proxyPoll is the time between two looks whether silence has ended.
	proxyPoll = 10 * time.Millisecond
	// proxyChunk is the most that is passed on at once, in bytes.
	proxyChunk = 16 << 10
)

// proxy passes connections on to a target and harms them from outside the programs.
type proxy struct {
	ln net.Listener

	mu     sync.Mutex
	target netip.AddrPort
	mode   mode
	conns  map[*net.TCPConn]struct{}
	closed bool
}

// newProxy starts a proxy on a free port of the loopback address.
func newProxy(target netip.AddrPort) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: make(map[*net.TCPConn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() netip.AddrPort {
	return p.ln.Addr().(*net.TCPAddr).AddrPort()
}

// set changes the mode.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == refuse {
		p.reset()
	}
}

// retarget resets all connections and passes new ones on to another target.
func (p *proxy) retarget(target netip.AddrPort) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.reset()
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.ln.Close()
	p.reset()
}

func (p *proxy) state() (m mode, target netip.AddrPort, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.target, p.closed
}

// keep takes a connection in; drop closes it.
func (p *proxy) keep(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *proxy) drop(c *net.TCPConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *proxy) serve(near *net.TCPConn) {
	p.keep(near)
	defer p.drop(near)
	m, target, _ := p.state()
	if m == refuse {
		_ = near.SetLinger(0)
		return
	}
	c, err := net.Dial("tcp4", target.String())
	if err != nil {
		_ = near.SetLinger(0)
		return
	}
	far := c.(*net.TCPConn)
	p.keep(far)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer p.drop(near)
		p.copy(near, far, true)
	}()
	p.copy(far, near, false)
	p.drop(far)
	<-done
}

// copy passes bytes on; back says that they come from the target.
func (p *proxy) copy(to, from *net.TCPConn, back bool) {
	buf := make([]byte, proxyChunk)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		m, _, closed := p.state()
		for m == silent && !closed {
			time.Sleep(proxyPoll)
			m, _, closed = p.state()
		}
		switch {
		case closed:
			return
		case m == delayed:
			time.Sleep(proxyDelay)
		case m == oneWay && back:
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
