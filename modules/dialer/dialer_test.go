package dialer

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestUnreadBytesAreLimited checks that the other end of a connection can't send more than the limit, up to what the
// kernel adds for its own bookkeeping, before the process reads.
func TestUnreadBytesAreLimited(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	const limit = 32 << 10
	d := Limited(net.Dialer{}, limit)
	c, err := d.Dial("tcp4", ln.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	size := 0
	is.NoErr(raw.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }))
	is.NoErr(err)
	is.True(size <= 2*limit)
}
