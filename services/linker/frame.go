package linker

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/samber/oops"

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/executor"
)

// frameKind is the first byte of a frame and says what the payload holds. The values are
// part of the wire protocol.
type frameKind byte

const (
	frameBatch frameKind = iota + 1
	frameEvent
	frameCancel
	frameEnd
	frameExecute
	frameExecuted
	frameFetchConfig
	frameConfig
	frameClaim
	frameHeld
	frameLoss
)

const (
	// maxFrame is the largest accepted payload of a frame, in bytes.
	maxFrame = 8 << 20
	// headerSize is the size of the frame header, in bytes: the kind (1 byte) and the length
	// of the payload (4 bytes, big endian).
	headerSize = 5
)

// writeFrame writes the header and the payload in one call of w.Write.
func writeFrame(w io.Writer, kind frameKind, payload []byte) error {
	buf := make([]byte, headerSize, headerSize+len(payload))
	buf[0] = byte(kind)
	binary.BigEndian.PutUint32(buf[1:], uint32(len(payload)))
	_, err := w.Write(append(buf, payload...))
	return err
}

// readFrame reads one frame. A payload above maxFrame is refused before it is read, with an
// error that matches encoder.ErrMalformed.
func readFrame(r io.Reader) (frameKind, []byte, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n > maxFrame {
		return 0, nil, oops.Wrapf(encoder.ErrMalformed, "frame of %d bytes is above the limit", n)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return 0, nil, err
	}
	return frameKind(head[0]), payload, nil
}

func isNotRun(err error) bool {
	return errors.Is(err, executor.ErrNotRun)
}
