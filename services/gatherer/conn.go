// Package gatherer implements the protocol by which one VM asks another one to gather parts. Frames
// are sent over one TCP connection for each client and server VM, and each frame is encrypted and
// authenticated with the fleet key.
package gatherer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/ebonylock/ebonylock/modules/bouncer"
	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/filler"
	"github.com/ebonylock/ebonylock/modules/rationer"
	"github.com/ebonylock/ebonylock/modules/sealer"
)

const (
	// maxFrame is the maximum size of an encrypted frame, in bytes. It has room for the largest
	// body of a caller and its header fields.
	maxFrame = 4 << 20
	// lengthSize is the size of the length prefix of a frame, in bytes.
	lengthSize = 4
	// readBuffer is the size of the read buffer of a connection, in bytes.
	readBuffer = 4096
	// writeTimeout bounds one write. A connection whose other end does not read in that time is
	// closed.
	writeTimeout = 500 * time.Millisecond
)

// errClosed is returned for a connection that this VM has closed.
var errClosed = errors.New("connection closed")

// conn is a connection that carries encrypted frames. Writes are safe for concurrent use; reads
// must come from one goroutine.
type conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	sealer  *sealer.Sealer
	// account is the memory of a frame that is being read, until the first frame was decrypted. Then trusted is
	// true: the other end has a key.
	account rationer.Account
	trusted bool

	mu     sync.Mutex
	closed bool
}

func newConn(c net.Conn, s *sealer.Sealer) *conn {
	return &conn{netConn: c, reader: bufio.NewReaderSize(c, readBuffer), sealer: s}
}

// write sends a frame. If the network write fails, it closes the connection.
func (c *conn) write(f frame) error {
	return c.writeEncoded(func() frame { return f })
}

// writeEncoded is like write for the frame that encode returns. A large frame takes several times its size until it is
// written, so only one is encoded at once.
func (c *conn) writeEncoded(encode func() frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errClosed
	}
	sealed := c.sealer.Seal(encode().append(nil))
	if len(sealed) > maxFrame {
		return oops.Wrapf(encoder.ErrMalformed, "frame of %d bytes", len(sealed))
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(sealed)), uint32(len(sealed)))
	err := c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = c.netConn.Write(append(out, sealed...))
	}
	if err != nil {
		c.closed = true
		_ = c.netConn.Close()
	}
	return oops.Wrapf(err, "write frame to another VM")
}

// read returns the next frame. It blocks until the frame is complete.
func (c *conn) read() (frame, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return frame{}, oops.Wrapf(encoder.ErrMalformed, "frame of %d bytes", n)
	}
	var progress func(taken, read int) error
	if !c.trusted {
		progress = func(taken, read int) error { return c.account.Hold(taken, read, time.Now()) }
	}
	sealed, err := filler.ReadFull(c.reader, int(n), progress)
	if err != nil {
		return frame{}, err
	}
	plain, err := c.sealer.Open(sealed)
	if err != nil {
		return frame{}, err
	}
	if !c.trusted {
		c.trusted = true
		c.account.Release()
		bouncer.Trust(c.netConn)
	}
	return decodeFrame(plain)
}

func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.netConn.Close()
}
