package fastcgi

import (
	"container/list"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/core"
)

const (
	requestOverhead  = 1 << 10 // bytes reserved for the state of a request, here and in the core
	minRequestBuffer = 256     // bytes, the first size of a request's buffers

	smallRequest      = 4 << 10 // bytes; up to this size a request may use the whole of the request budget
	largeRequestShare = 0.75    // of the request budget, for the larger ones: they must not keep out the small ones
)

// request is an open request: it is being received or waits for its response.
type request struct {
	params      []byte
	body        []byte
	paramsDone  bool          // the parameters are complete
	complete    bool          // the request is complete and not answered by the frontend itself
	canceled    *atomic.Bool  // set if complete; true once the client has canceled the request
	queued      *list.Element // its element in the queue to the core; nil: not put there yet
	coreRequest core.Request  // until it is put into that queue
	keepConn    bool          // FCGI_KEEP_CONN
	reserved    int           // bytes reserved in the frontend's request budget
	tag         uint64
	startedAt   float64 // time of BEGIN_REQUEST
	completedAt float64 // when it was read completely
}

// handlePart handles a control record or a part of a stream record.
func (c *conn) handlePart(part recordPart) error {
	if part.id == 0 {
		return c.handleManagement(part)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.updateServer()
	switch part.kind {
	case typeBegin:
		return c.beginRequest(part)
	case typeAbort:
		c.abortRequest(part.id)
	case typeParams:
		c.receiveParams(part)
	case typeStdin:
		c.receiveBody(part)
	case typeData:
	default:
		return fmt.Errorf("%w: unexpected type %d", errRecord, part.kind)
	}
	return nil
}

// beginRequest opens a request, or rejects it.
func (c *conn) beginRequest(part recordPart) error {
	if len(part.data) < 8 {
		return fmt.Errorf("%w: BEGIN_REQUEST of %d bytes", errRecord, len(part.data))
	}
	_, atOldProcess := c.relayed[part.id]
	role, keep := uint16(part.data[0])<<8|uint16(part.data[1]), part.data[2]&flagKeepConn != 0
	switch {
	case c.open[part.id] != nil || atOldProcess:
		return fmt.Errorf("%w: second BEGIN_REQUEST for open request %d", errRecord, part.id)
	case role != roleResponder:
		c.send(appendEnd(nil, part.id, 0, protoRole))
	case len(c.open)+len(c.relayed) >= maxConnRequests:
		c.send(appendEnd(nil, part.id, 0, protoOverload))
	default:
		c.lastTag++
		q := &request{keepConn: keep, tag: c.lastTag<<16 | uint64(part.id), startedAt: c.frontend.opt.Clock.Now()}
		c.open[part.id] = q
		c.frontend.open.Add(1)
		c.reserve(part.id, q, requestOverhead)
	}
	return nil
}

// abortRequest cancels a request for its client.
func (c *conn) abortRequest(id uint16) {
	if _, atOldProcess := c.relayed[id]; atOldProcess {
		c.oldProcess.SetWriteDeadline(time.Now().Add(abortWriteTimeout))
		c.oldProcess.Write(appendRecord(nil, typeAbort, id, nil))
	}
	if q := c.open[id]; q != nil {
		c.removeRequest(id)
		c.cancel(q)
		c.send(appendEnd(nil, id, 1, protoComplete))
	}
}

// receiveParams adds to the parameters of a request. It ignores those of a request that has ended or was rejected.
func (c *conn) receiveParams(part recordPart) {
	q := c.open[part.id]
	switch {
	case q == nil || q.paramsDone:
	case part.contentLength == 0:
		q.paramsDone = true
	case part.first && len(q.params)+part.contentLength > maxParams:
		c.rejectMalformed(part.id, "431 Request Header Fields Too Large", fmt.Sprintf("parameters of more than %d bytes", maxParams))
	default:
		c.receive(part, q, &q.params, maxParams)
	}
}

// receiveBody adds to the body of a request, and handles the request at the end of it.
func (c *conn) receiveBody(part recordPart) {
	q := c.open[part.id]
	switch {
	case q == nil || q.complete:
	case part.contentLength == 0 && !q.paramsDone:
		c.rejectMalformed(part.id, "400 Bad Request", "end of STDIN before the end of PARAMS")
	case part.contentLength == 0:
		c.handleRequest(part.id, q)
	case part.first && len(q.body)+part.contentLength > maxBody:
		c.rejectMalformed(part.id, "413 Content Too Large", fmt.Sprintf("a body of more than %d bytes", maxBody))
	default:
		c.receive(part, q, &q.body, maxBody)
	}
}

// receive appends a part of a stream to one of a request's buffers, whose whole capacity is reserved in the request budget.
func (c *conn) receive(part recordPart, q *request, buffer *[]byte, maxBytes int) {
	old := *buffer
	if needed := len(old) + len(part.data); needed > cap(old) {
		size := min(max(needed, 2*cap(old), minRequestBuffer), maxBytes)
		if !c.reserve(part.id, q, size-cap(old)) {
			return
		}
		old = append(make([]byte, 0, size), old...)
	}
	*buffer = append(old, part.data...)
}

// rejectMalformed answers a request that can't be read. The connection's other requests are not affected.
func (c *conn) rejectMalformed(id uint16, status, detail string) {
	f := c.frontend
	f.logSampled(f.opt.Log.Warn(), "request can't be read", func(e *zerolog.Event) {
		e.Str("status", status).Str("what", detail).Uint16("request", id).Stringer("from", c.serverConn.RemoteAddr())
	})
	c.reply(id, status, "", nil)
}

// handleManagement responds to a management record.
func (c *conn) handleManagement(part recordPart) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.updateServer()
	if part.kind != typeGetValues {
		if part.first {
			c.send(appendRecord(nil, typeUnknown, 0, []byte{part.kind, 0, 0, 0, 0, 0, 0, 0}))
		}
		return nil
	}
	var b []byte
	err := parsePairs(part.data, func(name, _ []byte) {
		switch string(name) {
		case "FCGI_MAX_CONNS":
			b = appendPair(b, string(name), strconv.Itoa(c.frontend.opt.MaxConns))
		case "FCGI_MAX_REQS":
			b = appendPair(b, string(name), strconv.Itoa(c.frontend.opt.MaxConns*maxConnRequests))
		case "FCGI_MPXS_CONNS":
			b = appendPair(b, string(name), "1")
		}
	})
	c.send(appendRecord(nil, typeValues, 0, b))
	return err
}

// parsedRequest is what the parameters of a request say.
type parsedRequest struct {
	core.Request
	script  string // SCRIPT_NAME
	invalid string // the first parameter that can't be used; "": none
}

// parse parses the parameters of a request.
func (p *parsedRequest) parse(params []byte) error {
	return parsePairs(params, func(name, value []byte) { p.set(string(name), value) })
}

// set sets the field that a parameter names.
func (p *parsedRequest) set(name string, value []byte) {
	switch name {
	case "SCRIPT_NAME":
		p.script = string(value)
	case "HTTP_X_TXN":
		p.hex(name, value)
		p.Txn = string(value)
	case "HTTP_X_TTL_MS":
		p.Remaining = p.float(name, value)
	case "HTTP_X_ROW":
		p.Object = p.hex(name, value)
		p.ObjectName = string(value)
	case "HTTP_X_BLOCK":
		p.Part = uint32(p.decimal(name, value, 32))
	case "HTTP_X_FAMILY":
		p.Group = uint16(p.decimal(name, value, 16))
	case "HTTP_X_WORKING_SET_KB":
		p.SizeKB = p.float(name, value)
	case "HTTP_X_CACHED":
		p.ClientETag = parseETag(string(value))
	case "HTTP_X_SECOND_TRY":
		p.Retry = string(value) == "1"
	case "HTTP_X_TXN_KEY":
		p.IdempotencyKey = string(value)
		if !isValidKey(p.IdempotencyKey) {
			p.reject(name, value)
		}
	}
}

// reject records that a parameter can't be used.
func (p *parsedRequest) reject(name string, value []byte) {
	if p.invalid == "" {
		p.invalid = fmt.Sprintf("%s: %.40q", name, value)
	}
}

// hex parses an id of up to maxIDLength hexadecimal digits. IDs are passed on and kept as they were received, so longer ones,
// with leading zeros, would take memory that no limit counts.
func (p *parsedRequest) hex(name string, value []byte) uint64 {
	v, err := strconv.ParseUint(string(value), 16, 64)
	if err != nil || len(value) > maxIDLength {
		p.reject(name, value)
	}
	return v
}

func (p *parsedRequest) decimal(name string, value []byte, bits int) uint64 {
	v, err := strconv.ParseUint(string(value), 10, bits)
	if err != nil {
		p.reject(name, value)
	}
	return v
}

func (p *parsedRequest) float(name string, value []byte) float64 {
	const limit = 1e12
	v, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsNaN(v) || v < 0 || v >= limit {
		p.reject(name, value)
	}
	return v
}

// valid reports whether the request has all required parameters and each can be used.
func (p *parsedRequest) valid() bool {
	return p.invalid == "" && p.Txn != "" && p.ObjectName != "" && p.Remaining > 0
}

// handleRequest parses a complete request. It answers the request itself or adds it to those for the core. The caller holds mu.
func (c *conn) handleRequest(id uint16, q *request) {
	f := c.frontend
	q.completedAt = f.opt.Clock.Now()
	var p parsedRequest
	if err := p.parse(q.params); err != nil {
		c.rejectMalformed(id, "400 Bad Request", err.Error())
		return
	}
	q.params = nil
	c.hadRequest = true
	class, isObject := strings.CutPrefix(p.script, "/v1/")
	draining, reject := f.server.Draining()
	switch {
	case p.script == "/healthz" && draining:
		c.reply(id, "503 Service Unavailable", "", []byte("draining\n"))
	case p.script == "/healthz":
		c.reply(id, "200 OK", "", []byte("ok\n"))
	case !isObject:
		c.reply(id, "404 Not Found", "", nil)
	case !p.valid():
		f.logSampled(f.opt.Log.Warn(), "request with a missing or invalid parameter; responding 400", func(e *zerolog.Event) {
			e.Str("field", p.invalid).Str("txn", p.Txn).Stringer("from", c.serverConn.RemoteAddr())
		})
		c.reply(id, "400 Bad Request", "", nil)
	case reject:
		c.reply(id, "503 Service Unavailable", throttleHeader(f.opt.RetryAfter), nil)
	default:
		q.complete, q.canceled, q.coreRequest = true, new(atomic.Bool), p.Request
		q.coreRequest.Frontend, q.coreRequest.RequestTag, q.coreRequest.Class = c, q.tag, class
		q.coreRequest.ReceivedAt = min(c.serverConn.ArrivedAt(), q.completedAt)
		q.coreRequest.Body, q.coreRequest.Canceled = q.body, q.canceled
		q.body = nil
		c.unsubmitted = append(c.unsubmitted, q)
	}
}

// Maximum lengths in bytes of what clients choose and endpoints are sent.
const (
	maxKeyLength = 128 // of an idempotency key; that of the protocol's example is 32
	maxIDLength  = 16  // hexadecimal digits
)

// isValidKey reports whether an idempotency key can be sent to an endpoint unchanged. There it is part of a list
// name=value,name=value, so the separators are rejected, and so are all characters but visible ASCII. Keys are never altered.
func isValidKey(v string) bool {
	for i := range len(v) {
		if b := v[i]; b <= ' ' || b >= 0x7f || b == ',' || b == '=' {
			return false
		}
	}
	return v != "" && len(v) <= maxKeyLength
}

// parseETag returns an ETag without its quotes, or "" if it is not a hexadecimal number as an endpoint requires.
func parseETag(v string) string {
	v = strings.Trim(strings.TrimPrefix(v, "W/"), `"`)
	if _, err := strconv.ParseUint(v, 16, 64); err != nil || len(v) > maxIDLength {
		return ""
	}
	return v
}

// rejectPartial rejects the partial requests, as their connection is to be closed.
func (c *conn) rejectPartial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.updateServer()
	for id, q := range c.open {
		if !q.complete && !c.writesPaused {
			c.removeRequest(id)
			c.send(appendEnd(nil, id, 0, protoOverload))
		}
	}
}

// reserve reserves n bytes of a request in the request budget. If that is exhausted, the request is rejected and the rest of it
// is ignored: many clients that send large requests slowly must not exhaust the memory.
func (c *conn) reserve(id uint16, q *request, n int) bool {
	f := c.frontend
	share := 1.0
	if q.reserved+n > smallRequest {
		share = largeRequestShare
	}
	if f.requestBudget.TryReserveShare(n, share) {
		q.reserved += n
		return true
	}
	f.logSampled(f.opt.Log.Warn(), "request buffer limit reached; request rejected", func(e *zerolog.Event) {
		e.Uint16("request", id).Stringer("from", c.serverConn.RemoteAddr()).Int("bytes", q.reserved+n).Int64("all_bytes", f.requestBudget.Reserved())
	})
	c.removeRequest(id)
	c.send(appendEnd(nil, id, 0, protoOverload))
	return false
}

// removeRequest removes a request and releases its bytes.
func (c *conn) removeRequest(id uint16) {
	if q := c.open[id]; q != nil {
		c.frontend.requestBudget.Release(q.reserved)
		delete(c.open, id)
		c.frontend.open.Add(-1)
	}
}
