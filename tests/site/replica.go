package site

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Request is a request that a Replica got.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Conn numbers the connections, from 1.
	Conn int
}

// Reply is what a Replica does with a request.
type Reply struct {
	// Raw is written as it is, after the time After.
	Raw   []byte
	Delay time.Duration
	// Unsolicited is written after a further pause, as bytes that belong to no request.
	Unsolicited []byte
	// Close ends the connection afterwards; Reset does it without an orderly end.
	Close, Reset bool
}

// Replica is a backend server whose every reply is scripted.
type Replica struct {
	ln net.Listener
	// respond gives the reply to a request.
	respond func(g Request) Reply

	mu    sync.Mutex
	got   []Request
	conns map[net.Conn]bool
	total int
}

// NewReplica starts a replica on a free port of the loopback address.
func NewReplica(respond func(g Request) Reply) (*Replica, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{ln: ln, respond: respond, conns: make(map[net.Conn]bool)}
	go r.accept()
	return r, nil
}

// Addr is the replica's address.
func (r *Replica) Addr() netip.AddrPort {
	return r.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Requests returns the requests so far.
func (r *Replica) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Request(nil), r.got...)
}

// TotalConns is the number of connections so far.
func (r *Replica) TotalConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// CloseConns closes all connections.
func (r *Replica) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close ends the replica.
func (r *Replica) Close() {
	_ = r.ln.Close()
	r.CloseConns()
}

func (r *Replica) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.total++
		n := r.total
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c, n)
	}
}

func (r *Replica) serve(c net.Conn, n int) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		g := Request{Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header, Body: body, Conn: n}
		r.mu.Lock()
		r.got = append(r.got, g)
		r.mu.Unlock()
		reply := r.respond(g)
		time.Sleep(reply.Delay)
		if reply.Reset {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := c.Write(reply.Raw); err != nil {
			return
		}
		if reply.Unsolicited != nil {
			time.Sleep(5 * time.Millisecond)
			_, _ = c.Write(reply.Unsolicited)
		}
		if reply.Close {
			return
		}
	}
}

// OK is a whole success with a receipt for the request.
func OK(g Request, body string, fields ...string) []byte {
	return Status(g, http.StatusOK, body, append([]string{"Server-Stamp: stamp." + g.Header.Get("Request-Id")}, fields...)...)
}

// Status is a whole reply with the given fields.
func Status(g Request, status int, body string, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), g.Header.Get("Request-Id"), len(body))
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}
