package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Record types of FastCGI 1.0.
const (
	typeBegin     = 1
	typeAbort     = 2
	typeEnd       = 3
	typeParams    = 4
	typeStdin     = 5
	typeStdout    = 6
	typeData      = 8
	typeGetValues = 9
	typeValues    = 10
	typeUnknown   = 11
)

const (
	version         = 1
	roleResponder   = 1
	flagKeepConn    = 1
	protoComplete   = 0
	protoCantMux    = 1
	protoOverload   = 2
	protoRole       = 3
	headerLen       = 8
	maxContent      = 65535
	maxParams       = 16 << 10 // bytes of one request's parameters
	maxBody         = 64 << 10 // bytes of one request's body; that of a write has up to 48,000
	maxConnRequests = 32       // open requests on one connection
	minBuffer       = 512      // minimum size of a record buffer
	maxKeptBuffer   = 4 << 10  // a larger record buffer is replaced once records are small again
)

var errRecord = errors.New("malformed record")

type record struct {
	kind byte
	id   uint16
	data []byte // valid until the next record is read
}

// recordReader reads records from a stream. If a read fails, such as by a deadline, no bytes are lost: the next call continues
// where it stopped.
type recordReader struct {
	r        io.Reader
	head     [headerLen]byte
	headRead int    // bytes in head
	buf      []byte // the record's content and padding; it grows as needed
	bufRead  int    // bytes in buf
	returned bool   // the record was returned
}

// next reads one record. The record is valid until the next call.
func (x *recordReader) next() (record, error) {
	if x.returned {
		x.headRead, x.bufRead, x.returned = 0, 0, false
	}
	for x.headRead < headerLen {
		n, err := x.r.Read(x.head[x.headRead:])
		if x.headRead += n; err != nil && x.headRead < headerLen {
			if err == io.EOF && x.headRead > 0 {
				err = fmt.Errorf("%w: connection ended inside a header", errRecord)
			}
			return record{}, err
		}
	}
	if x.head[0] != version {
		return record{}, fmt.Errorf("%w: unsupported version %d", errRecord, x.head[0])
	}
	n := int(binary.BigEndian.Uint16(x.head[4:]))
	size := n + int(x.head[6])
	// Do not keep the buffer of a large record for the lifetime of the connection: most records are small, and there are
	// many connections.
	if x.bufRead == 0 && (size > cap(x.buf) || cap(x.buf) > maxKeptBuffer && size <= maxKeptBuffer) {
		x.buf = make([]byte, max(size, minBuffer))
	}
	for b := x.buf[:size]; x.bufRead < size; {
		n, err := x.r.Read(b[x.bufRead:])
		if x.bufRead += n; err != nil && x.bufRead < size {
			if err == io.EOF {
				err = fmt.Errorf("%w: connection ended inside the content", errRecord)
			}
			return record{}, err
		}
	}
	x.returned = true
	return record{x.head[1], binary.BigEndian.Uint16(x.head[2:]), x.buf[:n]}, nil
}

// atBoundary reports whether no byte of the next record has been read.
func (x *recordReader) atBoundary() bool { return x.returned || x.headRead == 0 }

// partialBytes returns the bytes that were read of a partial record.
func (x *recordReader) partialBytes() []byte {
	if x.returned {
		return nil
	}
	return append(append([]byte(nil), x.head[:x.headRead]...), x.buf[:x.bufRead]...)
}

func appendRecord(b []byte, kind byte, id uint16, data []byte) []byte {
	b = append(b, version, kind, byte(id>>8), byte(id), byte(len(data)>>8), byte(len(data)), 0, 0)
	return append(b, data...)
}

// appendStdout appends a response: its STDOUT stream, the end of the stream and END_REQUEST.
func appendStdout(b []byte, id uint16, head, body []byte) []byte {
	b = appendRecord(b, typeStdout, id, head)
	for len(body) > 0 {
		n := min(len(body), maxContent&^7)
		b = appendRecord(b, typeStdout, id, body[:n])
		body = body[n:]
	}
	b = appendRecord(b, typeStdout, id, nil)
	return appendEnd(b, id, 0, protoComplete)
}

func appendEnd(b []byte, id uint16, app uint32, proto byte) []byte {
	var body [8]byte
	binary.BigEndian.PutUint32(body[:], app)
	body[4] = proto
	return appendRecord(b, typeEnd, id, body[:])
}

// parsePairs parses name-value pairs and calls fn for each of them.
func parsePairs(b []byte, fn func(name, value string)) error {
	for len(b) > 0 {
		var n [2]int
		for i := range n {
			if len(b) == 0 {
				return fmt.Errorf("%w: name-value pair ends inside a length", errRecord)
			}
			if b[0] < 128 {
				n[i], b = int(b[0]), b[1:]
				continue
			}
			if len(b) < 4 {
				return fmt.Errorf("%w: name-value pair ends inside a length", errRecord)
			}
			n[i], b = int(binary.BigEndian.Uint32(b)&0x7fffffff), b[4:]
		}
		if n[0] > len(b) || n[1] > len(b)-n[0] {
			return fmt.Errorf("%w: name-value pair of %d and %d bytes in %d remaining bytes", errRecord, n[0], n[1], len(b))
		}
		fn(string(b[:n[0]]), string(b[n[0]:n[0]+n[1]]))
		b = b[n[0]+n[1]:]
	}
	return nil
}

func appendPair(b []byte, name, value string) []byte {
	for _, s := range []string{name, value} {
		if len(s) < 128 {
			b = append(b, byte(len(s)))
		} else {
			b = binary.BigEndian.AppendUint32(b, uint32(len(s))|1<<31)
		}
	}
	return append(append(b, name...), value...)
}
