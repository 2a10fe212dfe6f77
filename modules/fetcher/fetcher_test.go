package fetcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/rationer"
)

// TestTruncatedResponse guards against a result decoded from a part of a response: each response is cut
// after each of its bytes, by a close and by a reset.
func TestTruncatedResponse(t *testing.T) {
	const body = `{"items":[],"as_of":7}`
	for name, raw := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: 22\r\nX: y\r\n\r\n" + body,
		"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + body[:16] + "\r\n6\r\n" + body[16:] + "\r\n0\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(raw) + 1 {
				for i := range 4 {
					reset, limits := i%2 == 1, Limits{}
					if i >= 2 {
						limits.Memory = &rationer.Budget{}
					}
					var out struct {
						AsOf int `json:"as_of"`
					}
					code, err := fetch(t, raw[:n], reset, limits, &out)
					switch whole := n == len(raw); {
					case whole && !reset && (err != nil || out.AsOf != 7):
						t.Errorf("whole: %d, %v", code, err)
					case !whole && err == nil:
						t.Errorf("cut after %d of %d bytes, reset %v: %d, %v", n, len(raw), reset, code, out)
					case !strings.Contains(raw[:n], "\r\n\r\n") && code != 0:
						t.Errorf("cut in the head after %d bytes: status %d", n, code)
					}
				}
			}
		})
	}
}

// fetch gets a response of which raw is sent before the connection is closed, or reset.
func fetch(t *testing.T, raw string, reset bool, limits Limits, out any) (int, error) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = c.Write([]byte(raw))
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}()
	c := NewLimited(ln.Addr().(*net.TCPAddr).AddrPort(), 1, limits)
	defer c.Close()
	return c.Do("GET", "/", nil, out, time.Now().Add(5*time.Second))
}

// TestNoHTTPStatus guards against a response whose status is none of HTTP, which was taken for a success.
func TestNoHTTPStatus(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "\r\nHTTP/1.1 000 OK", "HTTP/1.1  000 OK"} {
		var out struct {
			AsOf int `json:"as_of"`
		}
		code, err := fetch(t, line+"\r\nContent-Length: 11\r\n\r\n{\"as_of\":7}", false, Limits{}, &out)
		if code != 0 || err == nil || out.AsOf != 0 {
			t.Errorf("%q: status %d, %v, %+v", line, code, err, out)
		}
	}
	code, err := fetch(t, "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\n{}", false, Limits{}, nil)
	if code != 500 || err != nil {
		t.Errorf("failure: status %d, %v", code, err)
	}
}

// serveRaw answers the first request of each connection with head, followed by more without end, or the requests with
// head alone if more is empty. It returns its address and the number of connections so far.
func serveRaw(t *testing.T, head, more string) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	conns := new(atomic.Int64)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					_, err := io.WriteString(c, head)
					for err == nil && more != "" {
						_, err = io.WriteString(c, more)
					}
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort(), conns
}

// TestResponsesWithoutEnd guards against responses that take memory until the process has none left, one after the other
// and many at once.
func TestResponsesWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	block := strings.Repeat("x", 64<<10)
	for name, tc := range map[string]struct{ head, more string }{
		"no head":                 {"", block},
		"a field":                 {ok + "X: ", block},
		"fields":                  {ok, strings.Repeat("X: y\r\n", 1000)},
		"interim responses":       {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000)},
		"a body without a length": {ok + "Connection: close\r\n\r\n", block},
		"a long body":             {ok + "Content-Length: 16000000\r\n\r\n", block},
		"a body that is too long": {ok + "Content-Length: 99999999\r\n\r\n", block},
		"chunks":                  {ok + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(block), block)},
		"a chunk's length":        {ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096)},
		"a chunk's extension":     {ok + "Transfer-Encoding: chunked\r\n\r\n1;x=", block},
		"trailers":                {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: y\r\n", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, _ := serveRaw(t, tc.head, tc.more)
			memory := &rationer.Budget{Limit: 4 * rationer.MiB}
			c := NewLimited(addr, 32, Limits{Memory: memory, ReceiveBuffer: rationer.ReceiveBuffer})
			defer c.Close()
			var wg sync.WaitGroup
			for range 32 {
				wg.Go(func() {
					code, _, err := c.Raw(http.MethodGet, "/", "", nil, time.Now().Add(500*time.Millisecond))
					if code != 0 || err == nil {
						t.Errorf("status %d, %v", code, err)
					}
					if held := memory.Used(); held > memory.Limit+32*64<<10 {
						t.Errorf("%d bytes held", held)
					}
				})
			}
			wg.Wait()
			is.Equal(memory.Used(), int64(0))
		})
	}
}

// TestConnectionIsUsedAgain guards against a connection for each response whose memory is accounted for.
func TestConnectionIsUsedAgain(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"empty":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, conns := serveRaw(t, raw, "")
			c := NewLimited(addr, 1, Limits{Memory: &rationer.Budget{}})
			defer c.Close()
			for range 3 {
				code, _, err := c.Raw(http.MethodGet, "/", "", nil, time.Now().Add(5*time.Second))
				is.NoErr(err)
				is.True(code == http.StatusOK || code == http.StatusNoContent)
			}
			is.Equal(conns.Load(), int64(1))
		})
	}
}
