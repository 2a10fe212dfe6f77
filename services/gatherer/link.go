// Package gatherer carries calls that gather parts between VMs: framed messages over one TCP
// connection for each pair of VMs, each of them sealed with the fleet's key.
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

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/sealer"
)

const (
	// maxFrame bounds a sealed frame, in bytes: the largest body of a caller and its header fields.
	maxFrame = 4 << 20
	// headSize is the length of a frame's length, in bytes.
	headSize = 4
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4096
	// writeTimeout is the time after which a connection whose other end does not read is given up.
	writeTimeout = 500 * time.Millisecond
)

// errClosed says that the connection was closed by this end.
var errClosed = errors.New("connection closed")

// link is one connection. Writes are safe for concurrent use; one goroutine reads.
type link struct {
	c      net.Conn
	in     *bufio.Reader
	sealer *sealer.Sealer

	mu     sync.Mutex
	closed bool
}

func newLink(c net.Conn, s *sealer.Sealer) *link {
	return &link{c: c, in: bufio.NewReaderSize(c, readBuffer), sealer: s}
}

// write sends a frame. A connection on which that fails is closed.
func (l *link) write(f frame) error {
	sealed := l.sealer.Seal(f.append(nil))
	if len(sealed) > maxFrame {
		return oops.Wrapf(encoder.ErrMalformed, "frame of %d bytes", len(sealed))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errClosed
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, headSize+len(sealed)), uint32(len(sealed)))
	err := l.c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = l.c.Write(append(out, sealed...))
	}
	if err != nil {
		l.closed = true
		_ = l.c.Close()
	}
	return oops.Wrapf(err, "write to another VM")
}

// read returns the next frame.
func (l *link) read() (frame, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(l.in, head[:]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return frame{}, oops.Wrapf(encoder.ErrMalformed, "frame of %d bytes", n)
	}
	sealed := make([]byte, n)
	if _, err := io.ReadFull(l.in, sealed); err != nil {
		return frame{}, err
	}
	plain, err := l.sealer.Open(sealed)
	if err != nil {
		return frame{}, err
	}
	return decodeFrame(plain)
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.c.Close()
}
