// Package fetcher is an HTTP client for JSON calls that never retries on its own.
package fetcher

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/dialer"
	"github.com/ebonylock/ebonylock/modules/filler"
	"github.com/ebonylock/ebonylock/modules/rationer"
)

// MaxBody is the maximum size of a response body, in bytes.
const MaxBody = 16 << 20

// ErrTooLarge is returned if a response body is larger than MaxBody.
var ErrTooLarge = errors.New("response too large")

// ErrMalformed is returned for a response that is not HTTP, or whose head is too long.
var ErrMalformed = errors.New("malformed response")

// maxIdle is shorter than the idle timeout of every server that this package is used with, so
// that a request is not sent on a connection that the server is closing.
const maxIdle = 4 * time.Second

// keepAlive detects a dead connection while a long call waits for its response.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// dialTimeout is the time limit for opening a connection.
const dialTimeout = time.Second

func (c *Client) dial(addr string) (net.Conn, error) {
	d := dialer.Limited(net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}, c.limits.ReceiveBuffer)
	nc, err := d.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: nc, onMalformed: func() { c.malformed.Store(nc.LocalAddr().String(), nil) }}, nil
}

// Limits limits what the responses of servers make the process hold. The zero value limits each response to MaxBody.
type Limits struct {
	// Memory limits the responses that are being read and decoded, of all clients that share it; nil for no limit
	// on their sum.
	Memory *rationer.Budget
	// ReceiveBuffer limits the bytes received and not yet read on a connection; 0 stands for the system's limit.
	ReceiveBuffer int
	// ConnWait is the time for which a request waits for a connection while all of them are in use, but not
	// beyond its deadline; 0 for none.
	ConnWait time.Duration
}

// Client calls a single HTTP server. It never retries a request.
type Client struct {
	hc     fasthttp.HostClient
	limits Limits
	// malformed holds the local addresses of connections on which the present response is not HTTP. fasthttp
	// reports such a response as a closed connection.
	malformed sync.Map
}

// New returns a Client for addr with at most maxConns connections.
func New(addr netip.AddrPort, maxConns int) *Client {
	return NewLimited(addr, maxConns, Limits{})
}

// NewLimited is like New for a server whose responses are limited.
func NewLimited(addr netip.AddrPort, maxConns int, limits Limits) *Client {
	c := &Client{limits: limits, hc: fasthttp.HostClient{
		Addr: addr.String(),
		// The client reads the bodies itself to account for them.
		StreamResponseBody: limits.Memory != nil,
		MaxConnWaitTimeout: limits.ConnWait,
		MaxConns:           maxConns,
		// fasthttp retries a POST after an EOF unless both of these settings prevent it.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       maxIdle,
		MaxResponseBodySize:       MaxBody,
		NoDefaultUserAgentHeader:  true,
	}}
	c.hc.Dial = c.dial
	return c
}

// Connections returns the number of open connections.
func (c *Client) Connections() int {
	return c.hc.ConnsCount()
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.hc.CloseIdleConnections()
}

// Do sends a request with in as JSON body (nil for no body) and decodes the response body
// into out (nil to discard it). It returns the HTTP status code, which is 0 if there is no
// response. The body of a 204 response is not decoded.
func (c *Client) Do(method, path string, in, out any, deadline time.Time) (int, error) {
	return c.DoNamed(method, path, in, out, deadline, nil)
}

// Field is a header field of a response.
type Field struct {
	Name  string
	Value string
	// Found is true if the response has the field.
	Found bool
}

// DoNamed is like Do and also reads the header field with the Name of field; nil for none.
func (c *Client) DoNamed(method, path string, in, out any, deadline time.Time, field *Field) (int, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return 0, oops.Wrapf(err, "encode request")
		}
	}
	return c.doParts(method, path, [][]byte{body}, out, deadline, field)
}

// DoParts is like Do with an encoded body that is the concatenation of parts.
func (c *Client) DoParts(method, path string, parts [][]byte, out any, deadline time.Time) (int, error) {
	return c.doParts(method, path, parts, out, deadline, nil)
}

func (c *Client) doParts(method, path string, parts [][]byte, out any, deadline time.Time, field *Field) (int, error) {
	memory := rationer.Portion{Budget: c.limits.Memory}
	defer memory.Release()
	code, reply, err := c.send(method, path, "application/json", parts, deadline, &memory, field)
	if err != nil || out == nil || code == fasthttp.StatusNoContent {
		return code, err
	}
	// What is decoded takes about as much again.
	if err := memory.Add(len(reply)); err != nil {
		return code, oops.Wrapf(err, "decode response of %s %s", method, path)
	}
	if err := json.Unmarshal(reply, out); err != nil {
		return code, oops.Wrapf(err, "decode response of %s %s", method, path)
	}
	return code, nil
}

// Raw sends a request with a body of the given content type (nil for no body). It returns the
// HTTP status code and the response body. Errors match ErrTooLarge if the body is too large.
func (c *Client) Raw(method, path, contentType string, body []byte, deadline time.Time) (int, []byte, error) {
	memory := rationer.Portion{Budget: c.limits.Memory}
	defer memory.Release()
	return c.send(method, path, contentType, [][]byte{body}, deadline, &memory, nil)
}

// send sends a request whose body is the concatenation of parts. There is no body if the only part is nil. The
// response counts in memory. field is as for DoNamed.
func (c *Client) send(method, path, contentType string, parts [][]byte, deadline time.Time, memory *rationer.Portion, field *Field) (int, []byte, error) {
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
		var long *fasthttp.ErrSmallBuffer
		malformed := false
		if addr := w.LocalAddr(); addr != nil {
			_, malformed = c.malformed.LoadAndDelete(addr.String())
		}
		switch {
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			err = errors.Join(ErrTooLarge, err)
		case malformed, errors.As(err, &long):
			err = errors.Join(ErrMalformed, err)
		}
		return 0, nil, oops.Wrapf(err, "%s %s", method, path)
	}
	if field != nil {
		value := w.Header.Peek(field.Name)
		field.Value, field.Found = string(value), value != nil
	}
	if w.BodyStream() == nil {
		return w.StatusCode(), append([]byte(nil), w.Body()...), nil
	}
	reply, err := readBody(w, memory)
	if err != nil {
		return 0, nil, oops.Wrapf(err, "%s %s", method, path)
	}
	return w.StatusCode(), reply, w.CloseBodyStream()
}

// readBody reads the body of a response whose head was read. Errors match ErrTooLarge, rationer.ErrNoMemory,
// fasthttp.ErrTimeout, or are those of the connection.
func readBody(w *fasthttp.Response, memory *rationer.Portion) ([]byte, error) {
	length := w.Header.ContentLength()
	if length > MaxBody {
		return nil, ErrTooLarge
	}
	var body filler.Blocks
	defer body.Drop()
	r := meteredReader{w.BodyStream(), memory}
	if length >= 0 {
		if err := body.Fill(r, length); err != nil {
			return nil, err
		}
		return body.Bytes(), nil
	}
	switch ended, err := body.FillToEnd(r, MaxBody+1); {
	case err != nil:
		return nil, err
	case !ended:
		return nil, ErrTooLarge
	}
	return body.Bytes(), nil
}

// meteredReader counts the bytes that are read.
type meteredReader struct {
	io.Reader
	memory *rationer.Portion
}

// Read implements io.Reader.
func (r meteredReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errMem := r.memory.Add(n); errMem != nil {
		return 0, errMem
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		err = errors.Join(fasthttp.ErrTimeout, err)
	}
	return n, err
}
