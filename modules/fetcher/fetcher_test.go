package fetcher

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
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
				for _, reset := range []bool{false, true} {
					var out struct {
						AsOf int `json:"as_of"`
					}
					code, err := fetch(t, raw[:n], reset, &out)
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
func fetch(t *testing.T, raw string, reset bool, out any) (int, error) {
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
	c := New(ln.Addr().(*net.TCPAddr).AddrPort(), 1)
	defer c.Close()
	return c.Do("GET", "/", nil, out, time.Now().Add(5*time.Second))
}

// TestNoHTTPStatus guards against a response whose status is none of HTTP, which was taken for a success.
func TestNoHTTPStatus(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "\r\nHTTP/1.1 000 OK", "HTTP/1.1  000 OK"} {
		var out struct {
			AsOf int `json:"as_of"`
		}
		code, err := fetch(t, line+"\r\nContent-Length: 11\r\n\r\n{\"as_of\":7}", false, &out)
		if code != 0 || err == nil || out.AsOf != 0 {
			t.Errorf("%q: status %d, %v, %+v", line, code, err, out)
		}
	}
	code, err := fetch(t, "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\n{}", false, nil)
	if code != 500 || err != nil {
		t.Errorf("failure: status %d, %v", code, err)
	}
}
