//go:build review

package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// storeProxy is the way of one VM to the store. It can be cut: bytes are held up then, and new
// connections get no answer.
type storeProxy struct {
	ln    net.Listener
	cut   atomic.Bool
	calls atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

func newStoreProxy(to netip.AddrPort) (*storeProxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storeProxy{ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c, to)
		}
	}()
	return p, nil
}

func (p *storeProxy) addr() netip.AddrPort { return p.ln.Addr().(*net.TCPAddr).AddrPort() }

func (p *storeProxy) forward(c net.Conn, to netip.AddrPort) {
	p.wait()
	up, err := net.Dial("tcp4", to.String())
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, c, up)
	p.mu.Unlock()
	go p.pipe(c, up, false)
	p.pipe(up, c, true)
}

// wait blocks while the way is cut.
func (p *storeProxy) wait() {
	for p.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *storeProxy) pipe(to, from net.Conn, calls bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		p.wait()
		if n > 0 {
			if calls {
				p.calls.Add(1)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err == io.EOF || err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

func (p *storeProxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}
