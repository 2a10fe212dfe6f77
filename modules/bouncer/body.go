package bouncer

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// ErrTooLarge is returned for a body that exceeds the limit.
var ErrTooLarge = errors.New("request body is above the limit")

// firstRead is the size in bytes of the buffer for a body at first. Its memory grows as the body arrives.
const firstRead = 4096

// Configure makes a server pass larger bodies to its handler as they arrive, which has to read them with ReadBody. The
// server would take memory for the whole length that a client announces.
func Configure(s *fasthttp.Server) {
	s.StreamRequestBody = true
	s.MaxRequestBodySize = firstRead
	s.DisablePreParseMultipartForm = true
}

// Serve marks the request's connection as busy until the function that it returns is called.
func Serve(ctx *fasthttp.RequestCtx) (done func()) {
	c, ok := ctx.Conn().(*Conn)
	if !ok {
		return func() {}
	}
	c.SetBusy(true)
	return func() { c.SetBusy(false) }
}

// ReadBody reads the body of a request, which may have limit bytes. The body is valid after the request. Errors match
// ErrTooLarge, or are those of the connection.
func ReadBody(ctx *fasthttp.RequestCtx, limit int) ([]byte, error) {
	if ctx.Request.Header.ContentLength() > limit {
		return nil, ErrTooLarge
	}
	if !ctx.Request.IsBodyStream() {
		if len(ctx.PostBody()) > limit {
			return nil, ErrTooLarge
		}
		return append([]byte(nil), ctx.PostBody()...), nil
	}
	hold := func(int) error { return nil }
	if c, ok := ctx.Conn().(*Conn); ok {
		hold = c.Hold
	}
	r := ctx.RequestBodyStream()
	body := make([]byte, 0, min(firstRead, limit+1))
	for {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*cap(body), limit+1)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if holdErr := hold(cap(body)); holdErr != nil {
			return nil, holdErr
		}
		switch {
		case len(body) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			// What is decoded from the body takes about as much again.
			return body, hold(2 * len(body))
		case err != nil:
			return nil, err
		}
	}
}
