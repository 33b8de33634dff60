package fastcgi

import (
	"bufio"
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
	ignoredID       = 1        // of DATA records, which are ignored for any request

	maxControlContent = 1 << 10 // bytes of a control record, the longest of which asks for three variables
)

var errRecord = errors.New("malformed record")

// recordPart is a whole control record, or a part of the content of a stream record. A stream record of which no content has
// been read yet is returned as its content arrives, so that the reader never holds more of it than its read buffer.
type recordPart struct {
	kind          byte
	id            uint16
	data          []byte // valid until the next part is read
	contentLength int    // bytes of the whole record's content
	first         bool   // the first part of its record
}

// recordReader reads records from a stream. If a read fails, such as by a deadline, no bytes are lost: the next call continues
// where it stopped.
type recordReader struct {
	r           *bufio.Reader
	head        [headerLen]byte
	headRead    int    // bytes in head
	contentLeft int    // bytes of the content that are still to be read
	paddingLeft int    // bytes of the padding that are still to be read
	control     []byte // the content of a control record, as far as it was read
	returned    bool   // a part of the record was returned
}

// isControl reports whether records of a type are handled as a whole. Their content is short.
func isControl(kind byte) bool {
	return kind == typeBegin || kind == typeAbort || kind == typeEnd || kind == typeGetValues
}

// next reads the next part of the stream. It is valid until the next call.
func (x *recordReader) next() (recordPart, error) {
	for {
		if x.headRead < headerLen {
			if err := x.readHeader(); err != nil {
				return recordPart{}, err
			}
		}
		if x.contentLeft > 0 || !x.returned {
			part, complete, err := x.readContent()
			if complete || err != nil {
				return part, err
			}
			continue
		}
		if err := x.skipPadding(); err != nil {
			return recordPart{}, err
		}
		x.headRead = 0
	}
}

// readHeader reads the header of the next record.
func (x *recordReader) readHeader() error {
	for x.headRead < headerLen {
		n, err := x.r.Read(x.head[x.headRead:])
		if x.headRead += n; err != nil && x.headRead < headerLen {
			if err == io.EOF && x.headRead > 0 {
				err = fmt.Errorf("%w: connection ended inside a header", errRecord)
			}
			return err
		}
	}
	if x.head[0] != version {
		x.headRead = 0
		return fmt.Errorf("%w: unsupported version %d", errRecord, x.head[0])
	}
	x.contentLeft, x.paddingLeft = x.contentLength(), int(x.head[6])
	x.control, x.returned = x.control[:0], false
	if isControl(x.kind()) && x.contentLeft > maxControlContent {
		return fmt.Errorf("%w: type %d with %d bytes", errRecord, x.kind(), x.contentLeft)
	}
	return nil
}

func (x *recordReader) kind() byte         { return x.head[1] }
func (x *recordReader) id() uint16         { return binary.BigEndian.Uint16(x.head[2:]) }
func (x *recordReader) contentLength() int { return int(binary.BigEndian.Uint16(x.head[4:])) }

// readContent reads what is available of the content, and returns it unless it is an incomplete control record.
func (x *recordReader) readContent() (part recordPart, complete bool, err error) {
	data, err := x.available(x.contentLeft)
	if err != nil {
		return part, false, err
	}
	x.contentLeft -= len(data)
	part = recordPart{kind: x.kind(), id: x.id(), data: data, contentLength: x.contentLength(), first: !x.returned}
	if isControl(x.kind()) {
		x.control = append(x.control, data...)
		part.data = x.control
		if x.contentLeft > 0 {
			return recordPart{}, false, nil
		}
	}
	x.returned = true
	return part, true, nil
}

// skipPadding reads the rest of the record's padding.
func (x *recordReader) skipPadding() error {
	for x.paddingLeft > 0 {
		data, err := x.available(x.paddingLeft)
		if err != nil {
			return err
		}
		x.paddingLeft -= len(data)
	}
	return nil
}

// available returns up to limit bytes that were read from the connection. It waits until there are any.
func (x *recordReader) available(limit int) ([]byte, error) {
	if limit == 0 {
		return nil, nil
	}
	if _, err := x.r.Peek(1); err != nil {
		if err == io.EOF {
			err = fmt.Errorf("%w: connection ended inside the content", errRecord)
		}
		return nil, err
	}
	data, err := x.r.Peek(min(limit, x.r.Buffered()))
	if err != nil {
		return nil, err
	}
	_, err = x.r.Discard(len(data)) // the bytes stay in the buffer until the next read
	return data, err
}

// atBoundary reports whether no byte of the next record has been read.
func (x *recordReader) atBoundary() bool {
	return x.headRead == 0 || x.headRead == headerLen && x.returned && x.contentLeft+x.paddingLeft == 0
}

// unprocessed returns what another process must read before the rest of the stream: the bytes that were read of a record, or if
// parts of it were returned a record with the rest of its content and padding.
func (x *recordReader) unprocessed() []byte {
	switch {
	case x.atBoundary():
		return nil
	case x.headRead < headerLen:
		return append([]byte(nil), x.head[:x.headRead]...)
	case isControl(x.kind()) && !x.returned:
		return append(append([]byte(nil), x.head[:]...), x.control...)
	}
	rest := x.head
	binary.BigEndian.PutUint16(rest[4:], uint16(x.contentLeft))
	rest[6] = byte(x.paddingLeft)
	// An empty PARAMS or STDIN record would end the stream, and any other would be answered a second time.
	isStream := x.kind() == typeParams || x.kind() == typeStdin
	if x.returned && (!isStream || x.contentLeft == 0) {
		rest[1] = typeData
		binary.BigEndian.PutUint16(rest[2:], ignoredID)
	}
	return rest[:]
}

func appendHeader(b []byte, kind byte, id uint16, contentLength int) []byte {
	return append(b, version, kind, byte(id>>8), byte(id), byte(contentLength>>8), byte(contentLength), 0, 0)
}

func appendRecord(b []byte, kind byte, id uint16, data []byte) []byte {
	return append(appendHeader(b, kind, id, len(data)), data...)
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

// parsePairs parses name-value pairs and calls fn for each of them, with parts of b.
func parsePairs(b []byte, fn func(name, value []byte)) error {
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
		fn(b[:n[0]], b[n[0]:n[0]+n[1]])
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
