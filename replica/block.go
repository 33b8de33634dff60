package replica

import (
	"encoding/binary"
	"fmt"
	"io"
)

// blockHeaderSize is the size of the length that precedes each block on a connection.
const blockHeaderSize = 4

// writeBlock writes a block, preceded by its length.
func writeBlock(w io.Writer, b []byte) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
	return err
}

// putBlockHeader sets the length of a block whose first blockHeaderSize bytes are reserved for it.
func putBlockHeader(block []byte) {
	binary.BigEndian.PutUint32(block, uint32(len(block)-blockHeaderSize))
}

// readBlock reads a block of at most limit bytes.
func readBlock(r io.Reader, limit uint32) ([]byte, error) {
	n, err := readBlockHeader(r, limit)
	if err != nil {
		return nil, err
	}
	return readBlockBody(r, n)
}

// readBlockHeader reads the length of a block of at most limit bytes.
func readBlockHeader(r io.Reader, limit uint32) (uint32, error) {
	var header [blockHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > limit {
		return 0, fmt.Errorf("replica: a block of %d bytes, %d at most", n, limit)
	}
	return n, nil
}

// readBlockBody reads the n bytes of a block whose header has been read.
func readBlockBody(r io.Reader, n uint32) ([]byte, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(r, b)
	return b, err
}
