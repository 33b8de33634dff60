package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxFrame is the largest accepted frame length in bytes.
const MaxFrame = 1 << 28

const (
	lengthBytes   = 4
	headerBytes   = 12      // of a frame's content: the number of records and the clock
	readStepBytes = 1 << 20 // read at a time, so that the buffer grows only with received data
)

// Error reports where a frame is malformed.
type Error struct {
	Record  int    // number of the record in its frame
	Offset  int    // in bytes from the start of the frame's length
	Problem string // the problem
}

// Error returns the number of the record, the offset in bytes within the frame, and the problem.
func (e *Error) Error() string {
	return fmt.Sprintf("wire: record %d, byte %d of the frame: %s", e.Record, e.Offset, e.Problem)
}

// ReadFrame reads the content of one frame. It returns io.EOF if the input ends between two frames. buf is reused if it is
// large enough; otherwise the buffer grows with the bytes received, not to the announced length at once.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	size, err := readLength(r)
	if err != nil {
		return nil, err
	}
	buf = buf[:0]
	for len(buf) < size {
		start := len(buf)
		end := min(size, start+readStepBytes)
		buf = grow(buf, end)
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return nil, &Error{Offset: start + lengthBytes, Problem: fmt.Sprintf("input truncated inside a frame of %d bytes", size)}
		}
	}
	return buf, nil
}

func readLength(r io.Reader) (int, error) {
	var length [lengthBytes]byte
	_, err := io.ReadFull(r, length[:])
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return 0, &Error{Problem: "input truncated inside a frame's length"}
	}
	if err != nil {
		return 0, err
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size < headerBytes || size > MaxFrame {
		return 0, &Error{Problem: fmt.Sprintf("invalid frame length %d", size)}
	}
	return size, nil
}

// grow extends a buffer to size bytes. If its capacity is too small, it at least doubles.
func grow(buf []byte, size int) []byte {
	if cap(buf) < size {
		larger := make([]byte, len(buf), max(2*cap(buf), size))
		copy(larger, buf)
		buf = larger
	}
	return buf[:size]
}
