package fetcher

import (
	"errors"
	"net"
)

// errNotHTTP is the error of a connection on which a response does not begin with a status line of HTTP/1.
var errNotHTTP = errors.New("response is not HTTP")

// statusPattern is the start of a status line, see matches.
const statusPattern = "HTTP/1.? s##"

// checkedConn checks the start of the first response after each write. fasthttp takes the status 000 for 200.
type checkedConn struct {
	net.Conn
	// onMalformed is called before Read returns errNotHTTP.
	onMalformed func()
	// checked is the number of bytes of the response that were checked.
	checked int
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.checked = 0
	return c.Conn.Write(p)
}

// Read implements net.Conn. It returns errNotHTTP if the response does not begin with a status line of HTTP.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for _, b := range p[:n] {
		if c.checked == len(statusPattern) {
			break
		}
		if !matches(statusPattern[c.checked], b) {
			c.onMalformed()
			return 0, errNotHTTP
		}
		c.checked++
	}
	return n, err
}

// matches reports whether b stands for a character of statusPattern: ? for a minor version, s for the first digit of a
// status, and # for a digit. All other characters stand for themselves.
func matches(pattern, b byte) bool {
	switch pattern {
	case '?':
		return b == '0' || b == '1'
	case 's':
		return b >= '1' && b <= '5'
	case '#':
		return b >= '0' && b <= '9'
	}
	return b == pattern
}
