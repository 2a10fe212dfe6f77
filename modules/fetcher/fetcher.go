// Package fetcher is an HTTP client for JSON calls that never retries on its own.
package fetcher

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// MaxBody is the maximum size of a response body, in bytes.
const MaxBody = 16 << 20

// ErrTooLarge is returned if a response body is larger than MaxBody.
var ErrTooLarge = errors.New("response too large")

// maxIdle is shorter than the idle timeout of every server that this package is used with, so
// that a request is not sent on a connection that the server is closing.
const maxIdle = 4 * time.Second

// keepAlive detects a dead connection while a long call waits for its response.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// dialTimeout is the time limit for opening a connection.
const dialTimeout = time.Second

func dial(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	c, err := d.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: c}, nil
}

// Client calls a single HTTP server. It never retries a request.
type Client struct {
	hc fasthttp.HostClient
}

// New returns a Client for addr with at most maxConns connections.
func New(addr netip.AddrPort, maxConns int) *Client {
	return &Client{hc: fasthttp.HostClient{
		Addr:     addr.String(),
		Dial:     dial,
		MaxConns: maxConns,
		// fasthttp retries a POST after an EOF unless both of these settings prevent it.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       maxIdle,
		MaxResponseBodySize:       MaxBody,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.hc.CloseIdleConnections()
}

// Do sends a request with in as JSON body (nil for no body) and decodes the response body
// into out (nil to discard it). It returns the HTTP status code, which is 0 if there is no
// response. The body of a 204 response is not decoded.
func (c *Client) Do(method, path string, in, out any, deadline time.Time) (int, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return 0, oops.Wrapf(err, "encode request")
		}
	}
	return c.DoParts(method, path, [][]byte{body}, out, deadline)
}

// DoParts is like Do with an encoded body that is the concatenation of parts.
func (c *Client) DoParts(method, path string, parts [][]byte, out any, deadline time.Time) (int, error) {
	code, reply, err := c.send(method, path, "application/json", parts, deadline)
	if err != nil || out == nil || code == fasthttp.StatusNoContent {
		return code, err
	}
	if err := json.Unmarshal(reply, out); err != nil {
		return code, oops.Wrapf(err, "decode response of %s %s", method, path)
	}
	return code, nil
}

// Raw sends a request with a body of the given content type (nil for no body). It returns the
// HTTP status code and the response body. Errors match ErrTooLarge if the body is too large.
func (c *Client) Raw(method, path, contentType string, body []byte, deadline time.Time) (int, []byte, error) {
	return c.send(method, path, contentType, [][]byte{body}, deadline)
}

// send sends a request whose body is the concatenation of parts. There is no body if the only part is nil.
func (c *Client) send(method, path, contentType string, parts [][]byte, deadline time.Time) (int, []byte, error) {
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	w := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(w)
	r.Header.SetMethod(method)
	r.SetRequestURI("http://" + c.hc.Addr + path)
	switch {
	case len(parts) > 1:
		r.Header.SetContentType(contentType)
		size := 0
		readers := make([]io.Reader, len(parts))
		for i, p := range parts {
			size += len(p)
			readers[i] = bytes.NewReader(p)
		}
		r.SetBodyStream(io.MultiReader(readers...), size)
	case parts[0] != nil:
		r.Header.SetContentType(contentType)
		r.SetBodyRaw(parts[0])
	}
	if err := c.hc.DoDeadline(r, w, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			err = errors.Join(ErrTooLarge, err)
		}
		return 0, nil, oops.Wrapf(err, "%s %s", method, path)
	}
	return w.StatusCode(), append([]byte(nil), w.Body()...), nil
}
