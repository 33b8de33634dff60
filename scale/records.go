package scale

// TLS puts a header before each record, with the record's length in its last two bytes (RFC 8446, 5.1).
const recordHeaderBytes = 5

// recordCounter counts the TLS records of one direction of a connection, from pieces of any size.
type recordCounter struct {
	header [recordHeaderBytes]byte
	have   int // bytes of the header that were seen
	left   int // bytes of the record that are to come
}

// count tells how many records begin in a piece.
func (c *recordCounter) count(piece []byte) (records int64) {
	for len(piece) > 0 {
		if c.left > 0 {
			skip := min(c.left, len(piece))
			c.left -= skip
			piece = piece[skip:]
			continue
		}
		taken := copy(c.header[c.have:], piece)
		c.have += taken
		piece = piece[taken:]
		if c.have < recordHeaderBytes {
			return records
		}
		c.have = 0
		c.left = int(c.header[3])<<8 | int(c.header[4])
		records++
	}
	return records
}
