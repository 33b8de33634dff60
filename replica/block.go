package replica

import (
	"encoding/binary"
	"fmt"
	"io"
)

// blockHeader is the size of the length that precedes each block.
const blockHeader = 4

// writeBlock writes a block with its length before it.
func writeBlock(w io.Writer, b []byte) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
	return err
}

// putBlockHeader fills in the length at the beginning of a block that was put together with room for it.
func putBlockHeader(block []byte) {
	binary.BigEndian.PutUint32(block, uint32(len(block)-blockHeader))
}

// readBlock reads a block of up to limit bytes.
func readBlock(r io.Reader, limit uint32) ([]byte, error) {
	n, err := readBlockHeader(r, limit)
	if err != nil {
		return nil, err
	}
	return readBlockBody(r, n)
}

// readBlockHeader reads the length of a block of up to limit bytes.
func readBlockHeader(r io.Reader, limit uint32) (uint32, error) {
	var head [blockHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > limit {
		return 0, fmt.Errorf("replica: a block of %d bytes, %d at most", n, limit)
	}
	return n, nil
}

// readBlockBody reads a block behind its header.
func readBlockBody(r io.Reader, n uint32) ([]byte, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(r, b)
	return b, err
}
