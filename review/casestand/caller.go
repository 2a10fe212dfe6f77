//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// callerConn is a kept connection of a requester to a VM.
type callerConn struct {
	c  net.Conn
	in *bufio.Reader
}

// dialVM opens a connection to a VM's address for requesters.
func dialVM(v *vm) (*callerConn, error) {
	c, err := net.DialTimeout("tcp4", v.callers(), time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{c, bufio.NewReader(c)}, nil
}

// result is what a requester sees of one request.
type result struct {
	status int
	body   string
	stamp  string
	// close is true if the answer ends the connection.
	close bool
	err   error
}

func (r result) String() string {
	if r.err != nil {
		return "no complete answer: " + r.err.Error()
	}
	return fmt.Sprintf("%d", r.status)
}

// errNoAnswer means that the connection ended, or the time was over, before a complete answer.
var errNoAnswer = errors.New("connection ended")

// do sends a request and reads its answer until the deadline, plus some time for the way.
func (k *callerConn) do(method, host, path, id, body string, deadline time.Duration) result {
	_ = k.c.SetDeadline(time.Now().Add(deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if body != "" || method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(k.c, head+"\r\n"+body); err != nil {
		return result{err: err}
	}
	return k.read(method)
}

// read reads one answer.
func (k *callerConn) read(method string) result {
	resp, err := http.ReadResponse(k.in, &http.Request{Method: method})
	if err != nil {
		return result{err: errors.Join(errNoAnswer, err)}
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{err: errors.Join(errNoAnswer, err)}
	}
	return result{status: resp.StatusCode, body: string(b), stamp: resp.Header.Get("Server-Stamp"), close: resp.Close}
}

// once sends a request on a new connection, which it closes after the answer.
func once(v *vm, method, host, path, id, body string, deadline time.Duration) result {
	k, err := dialVM(v)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = k.c.Close() }()
	return k.do(method, host, path, id, body, deadline)
}
