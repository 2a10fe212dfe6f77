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

// Request is a request that a Replica received.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Conn is the number of the connection, counted from 1 in the order of acceptance.
	Conn int
}

// Reply is the scripted response of a Replica to a request.
type Reply struct {
	// Raw is written unchanged once Delay has passed.
	Raw   []byte
	Delay time.Duration
	// Unsolicited is written 5 ms after Raw, as bytes that answer no request.
	Unsolicited []byte
	// Close closes the connection after the reply. Reset resets it with a TCP RST after Delay and
	// writes nothing.
	Close, Reset bool
}

// Replica is a fake backend server that answers each request with a scripted reply.
type Replica struct {
	ln net.Listener
	// respond returns the reply to a request. Connections call it concurrently.
	respond func(g Request) Reply

	mu       sync.Mutex
	requests []Request
	conns    map[net.Conn]bool
	total    int
}

// NewReplica starts a replica on a free port of 127.0.0.1.
func NewReplica(respond func(g Request) Reply) (*Replica, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{ln: ln, respond: respond, conns: make(map[net.Conn]bool)}
	go r.accept()
	return r, nil
}

// Addr returns the address that the replica listens on.
func (r *Replica) Addr() netip.AddrPort {
	return r.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Requests returns a copy of the list of requests received so far.
func (r *Replica) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Request(nil), r.requests...)
}

// TotalConns returns the number of connections accepted so far, closed ones included.
func (r *Replica) TotalConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// CloseConns closes all open connections; the replica accepts new ones.
func (r *Replica) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close stops the listener and closes all open connections.
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
		r.requests = append(r.requests, g)
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

// OK returns a complete 200 reply to g, with a Server-Stamp header that names the request.
func OK(g Request, body string, fields ...string) []byte {
	return Status(g, http.StatusOK, body, append([]string{"Server-Stamp: stamp." + g.Header.Get("Request-Id")}, fields...)...)
}

// Status returns a complete reply to g with the given header lines, each without its line end.
func Status(g Request, status int, body string, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), g.Header.Get("Request-Id"), len(body))
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}
