package replica

import (
	"encoding/binary"
	"fmt"
	"io"
)

// blockHeader is the length that precedes each block, in bytes.
const blockHeader = 4

// writeBlock writes a block with its length before it.
func writeBlock(w io.Writer, b []byte) error {
	_, err := w.Write(appendBlock(nil, b))
	return err
}

// appendBlock appends a block as it goes over a link.
func appendBlock(to, b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(to, uint32(len(b))), b...)
}

// readBlock reads a block of up to limit bytes.
func readBlock(r io.Reader, limit uint32) ([]byte, error) {
	var head [blockHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > limit {
		return nil, fmt.Errorf("replica: a block of %d bytes, %d at most", n, limit)
	}
	b := make([]byte, n)
	_, err := io.ReadFull(r, b)
	return b, err
}
