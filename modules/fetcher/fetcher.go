// Package fetcher makes single JSON calls over HTTP, without hidden retries.
package fetcher

import (
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// MaxBody is the largest response body that a Client accepts, in bytes.
const MaxBody = 4 << 20

// maxIdle is below the idle timeout of any server that this package is used with, so
// that a request is not written to a connection that the server is closing.
const maxIdle = 4 * time.Second

// keepAlive finds a connection that has gone silent while a long call waits on it.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// dialTimeout limits the opening of a connection.
const dialTimeout = time.Second

func dial(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return d.Dial("tcp4", addr)
}

// Client calls one HTTP server. It never repeats a request.
type Client struct {
	hc fasthttp.HostClient
}

// New returns a Client for addr that holds at most maxConns connections.
func New(addr netip.AddrPort, maxConns int) *Client {
	return &Client{hc: fasthttp.HostClient{
		Addr:     addr.String(),
		Dial:     dial,
		MaxConns: maxConns,
		// fasthttp repeats a POST after an EOF unless both of these forbid it.
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

// Do sends method and path with the JSON form of in (nil for no body) and decodes
// the reply body into out (nil to drop it). It returns the HTTP status code.
func (c *Client) Do(method, path string, in, out any, deadline time.Time) (int, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return 0, oops.Wrapf(err, "encode request")
		}
	}
	code, reply, err := c.Raw(method, path, "application/json", body, deadline)
	if err != nil || out == nil || code == fasthttp.StatusNoContent {
		return code, err
	}
	if err := json.Unmarshal(reply, out); err != nil {
		return code, oops.Wrapf(err, "decode reply of %s %s", method, path)
	}
	return code, nil
}

// Raw sends method and path with a body of the given type (nil for no body). It returns the
// HTTP status code and the reply body.
func (c *Client) Raw(method, path, contentType string, body []byte, deadline time.Time) (int, []byte, error) {
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	w := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(w)
	r.Header.SetMethod(method)
	r.SetRequestURI("http://" + c.hc.Addr + path)
	if body != nil {
		r.Header.SetContentType(contentType)
		r.SetBodyRaw(body)
	}
	if err := c.hc.DoDeadline(r, w, deadline); err != nil {
		return 0, nil, oops.Wrapf(err, "%s %s", method, path)
	}
	return w.StatusCode(), append([]byte(nil), w.Body()...), nil
}
