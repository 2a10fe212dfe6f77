package bouncer

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/rationer"
)

// connect opens a connection to l and returns both of its ends.
func connect(is *is.I, l *Listener) (client net.Conn, server *Conn) {
	client, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	return client, c.(*Conn)
}

// listen returns a listener on a free port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// closed reports whether the server has closed a connection on which it has written nothing.
func closed(client net.Conn) bool {
	_ = client.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err := client.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// TestOldestConnectionMakesRoom checks that a new connection is always accepted, and that the one is closed for it that
// has not moved for longest, unless it is trusted or busy.
func TestOldestConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	l := &Listener{Listener: listen(t), Limits: Limits{MaxConns: 2}}
	trustedClient, trusted := connect(is, l)
	trusted.Trust()
	busyClient, busy := connect(is, l)
	busy.SetBusy(true)
	stalledClient, _ := connect(is, l)
	movingClient, moving := connect(is, l)
	go func() { _, _ = movingClient.Write([]byte("x")) }()
	_, err := moving.Read(make([]byte, 1))
	is.NoErr(err)
	newClient, _ := connect(is, l)
	is.True(closed(stalledClient))
	for _, c := range []net.Conn{trustedClient, busyClient, movingClient, newClient} {
		is.True(!closed(c))
	}
}

// TestUnansweredBytesDrawOnTheMemory checks that what a client sends counts until it is answered, and that the
// connection which holds most is closed when the memory runs out.
func TestUnansweredBytesDrawOnTheMemory(t *testing.T) {
	is := is.New(t)
	p := &rationer.Pool{Limit: 64 << 10}
	l := &Listener{Listener: listen(t), Limits: Limits{Memory: p}}
	read := func(client net.Conn, server *Conn, n int) error {
		go func() { _, _ = client.Write(make([]byte, n)) }()
		_, err := io.ReadFull(server, make([]byte, n))
		return err
	}
	firstClient, first := connect(is, l)
	is.NoErr(read(firstClient, first, 40<<10))
	is.Equal(p.Used(), int64(40<<10-rationer.FreeBytes))
	go func() { _, _ = io.Copy(io.Discard, firstClient) }()
	_, err := first.Write([]byte("answer"))
	is.NoErr(err)
	is.Equal(p.Used(), int64(0))
	secondClient, second := connect(is, l)
	is.NoErr(read(secondClient, second, 60<<10))
	is.NoErr(read(firstClient, first, 50<<10)) // the second one is closed for it
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(errors.Is(second.Hold(60<<10), rationer.ErrRevoked))
	_, _ = first.Close(), second.Close()
	is.Equal(p.Used(), int64(0))
}

// TestReadBody checks that bodies are read up to their limit, however they are framed, and that they take memory as
// they arrive.
func TestReadBody(t *testing.T) {
	const limit = 100 << 10
	ln := listen(t)
	p := &rationer.Pool{Limit: 200 << 10}
	var s fasthttp.Server
	Configure(&s)
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		body, err := ReadBody(ctx, limit)
		switch {
		case errors.Is(err, ErrTooLarge):
			ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
			ctx.SetConnectionClose()
		case err != nil:
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
		default:
			ctx.SetBody(body)
		}
	}
	go func() { _ = s.Serve(&Listener{Listener: ln, Limits: Limits{Memory: p}}) }()
	defer func() { _ = s.Shutdown() }()
	c := fasthttp.Client{Dial: func(string) (net.Conn, error) { return net.Dial("tcp4", ln.Addr().String()) }}
	for _, tc := range []struct {
		name          string
		size, status  int
		chunked, form bool
	}{
		{"empty", 0, fasthttp.StatusOK, false, false},
		{"small", 10, fasthttp.StatusOK, false, false},
		{"small, chunked", 10, fasthttp.StatusOK, true, false},
		{"largest", limit, fasthttp.StatusOK, false, false},
		{"largest, chunked", limit, fasthttp.StatusOK, true, false},
		{"form", limit, fasthttp.StatusOK, false, true},
		{"too large", limit + 1, fasthttp.StatusRequestEntityTooLarge, false, false},
		{"too large, chunked", limit + 1, fasthttp.StatusRequestEntityTooLarge, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r, w := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			r.SetRequestURI("http://h/")
			r.Header.SetMethod(fasthttp.MethodPost)
			body := strings.Repeat("x", tc.size)
			if tc.chunked {
				r.SetBodyStream(strings.NewReader(body), -1)
			} else {
				r.SetBodyString(body)
			}
			if tc.form {
				r.Header.SetContentType("multipart/form-data; boundary=b")
			}
			is.NoErr(c.DoTimeout(r, w, 10*time.Second))
			is.Equal(w.StatusCode(), tc.status)
			if tc.status == fasthttp.StatusOK {
				is.Equal(string(w.Body()), body)
			}
		})
	}
}
