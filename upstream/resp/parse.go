package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/limits"
)

// Limits of a response.
const (
	maxBodyBytes     = 256 << 10 // an object has at most 240,000 bytes
	maxElementBytes  = 4 << 10   // bytes of any other element
	maxLengthLine    = 32        // bytes of a length line
	minElements      = 2         // the ID and the status, which the response to a probe may end with
	responseElements = 4         // the ID, the status, the fields and the body, which every response to a GET has
)

// errMalformed is wrapped by the errors for all malformed responses.
var errMalformed = errors.New("malformed response")

// response is one response of an endpoint.
type response struct {
	id, status  string
	fields      fields
	body        []byte
	reservation *limits.Reservation // of the body
	elements    int                 // number of elements
}

// isNotModified reports whether the response says that the client's copy is current.
func (r *response) isNotModified() bool { return r.status == "NOMOD" }

// outcome returns the outcome of a GET with this response, or an error if it can't be the response to that GET. clientETag is that of
// the copy that the request named; "": it named none.
func (r *response) outcome(clientETag string) (control.Outcome, error) {
	// An element that is missing is not an empty body or an absence of fields: an endpoint sends these as empty elements.
	if r.elements != responseElements {
		return 0, fmt.Errorf("%w: array of %d elements", errMalformed, r.elements)
	}
	outcome, ok := outcomes[r.status]
	if !ok {
		return 0, fmt.Errorf("%w: unknown status %.20q", errMalformed, r.status)
	}
	if etag := r.fields.get("tag"); r.isNotModified() && (clientETag == "" || etag != "" && etag != clientETag) {
		return 0, fmt.Errorf("%w: NOMOD for the copy %.40q, and the request named %.40q", errMalformed, etag, clientETag)
	}
	return outcome, nil
}

// reserveFunc reserves the bytes of a body before it is read. It may wait.
type reserveFunc func(bytes int) (*limits.Reservation, error)

// readResponse reads one RESP array of bulk strings, which may lack elements (response.outcome). It checks lengths before it
// allocates, and reserves the bytes of the body. After an error, nothing stays reserved.
func readResponse(r *bufio.Reader, reserve reserveFunc) (a response, err error) {
	defer func() {
		if err != nil {
			a.reservation.Release()
		}
	}()
	n, err := readLength(r, '*')
	if err != nil {
		return a, err
	}
	if n < minElements || n > responseElements {
		return a, fmt.Errorf("%w: array of %d elements", errMalformed, n)
	}
	a.elements = n
	for i := range n {
		isBody := i == responseElements-1
		limit := maxElementBytes
		if isBody {
			limit = maxBodyBytes
		}
		size, err := readBulkLength(r, limit)
		if err != nil {
			return a, unexpectedEOF(err)
		}
		if isBody {
			if a.reservation, err = reserve(size); err != nil {
				return a, err
			}
		}
		b, err := readBulk(r, size)
		if err != nil {
			return a, unexpectedEOF(err)
		}
		switch i {
		case 0:
			a.id = string(b)
		case 1:
			a.status = string(b)
		case 2:
			a.fields = fields(b)
		case 3:
			a.body = b
		}
	}
	return a, nil
}

// unexpectedEOF turns io.EOF inside a response into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readLength(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		if err == bufio.ErrBufferFull || err == io.EOF && len(line) > 0 {
			return 0, fmt.Errorf("%w: unterminated length line", errMalformed)
		}
		return 0, err
	}
	if len(line) > maxLengthLine || len(line) < 4 || line[0] != kind || line[len(line)-2] != '\r' {
		return 0, fmt.Errorf("%w: length line %.40q", errMalformed, line)
	}
	n, err := strconv.ParseUint(string(line[1:len(line)-2]), 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: length %.40q", errMalformed, line)
	}
	return int(n), nil
}

// readBulkLength reads the length of a bulk string, which must be at most limit.
func readBulkLength(r *bufio.Reader, limit int) (int, error) {
	n, err := readLength(r, '$')
	if err != nil {
		return 0, err
	}
	if n > limit {
		return 0, fmt.Errorf("%w: element of %d bytes, limit %d", errMalformed, n, limit)
	}
	return n, nil
}

// readBulk reads the n bytes of a bulk string.
func readBulk(r *bufio.Reader, n int) ([]byte, error) {
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, unexpectedEOF(err)
	}
	var end [2]byte
	if _, err := io.ReadFull(r, end[:]); err != nil {
		return nil, unexpectedEOF(err)
	}
	if end != [2]byte{'\r', '\n'} {
		return nil, fmt.Errorf("%w: no line end after an element", errMalformed)
	}
	return b, nil
}

// fields is a list of the form name=value,name=value, or "-" if it is empty.
type fields string

func (f fields) get(name string) string {
	for rest := string(f); rest != "" && rest != "-"; {
		var item string
		item, rest, _ = strings.Cut(rest, ",")
		if k, v, ok := strings.Cut(item, "="); ok && k == name {
			return v
		}
	}
	return ""
}

func (f fields) number(name string) float64 {
	v, err := strconv.ParseFloat(f.get(name), 64)
	if err != nil || !(v >= 0 && v < 1e15) {
		return 0
	}
	return v
}

var notes = map[string]control.Note{
	"local": control.Hit, "pulled": control.Filled, "pulled_far": control.FilledByOrigin, "rode": control.Joined,
	"expired": control.StaleCopy, "turned_away": control.SourceOverloaded, "cut_off": control.SourceLost,
	"not_there": control.SourceLacks, "no_place": control.NoSpace, "far_fault": control.OriginFailed,
}

var outcomes = map[string]control.Outcome{
	"ACK": control.OK, "NOMOD": control.OK, "NOENT": control.Miss, "AGAIN": control.Overloaded, "EIO": control.ServerError,
	"STALE": control.NotSent,
}

// load parses the load report, such as inflight:7;util:0.61. It returns nil if there is none.
func (f fields) load() *control.LoadReport {
	text := f.get("rep")
	if text == "" {
		return nil
	}
	l := &control.LoadReport{InFlight: -1, Utilization: -1, HitRate: -1, LinkUtilization: -1}
	for item := range strings.SplitSeq(text, ";") {
		k, v, _ := strings.Cut(item, ":")
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || !(x >= 0 && x < 1e9) {
			continue
		}
		switch k {
		case "inflight":
			l.InFlight = x
		case "util":
			l.Utilization = x
		case "x0":
			l.HitRate = x
		case "x1":
			l.LinkUtilization = x
		}
	}
	return l
}
