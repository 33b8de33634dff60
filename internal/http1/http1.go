// Package http1 reads HTTP/1.1 requests for the signed frontend and the admin API, and writes responses. Every length is
// limited, and requests that two parsers could interpret differently are rejected.
package http1

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits of a request, in addition to that of its body.
const (
	maxLineBytes      = 8 << 10  // of a request line or one header
	maxHeaderBytes    = 16 << 10 // of all headers
	maxHeaders        = 64
	maxChunkLineBytes = 128 // of the line that states the size of a chunk
)

const (
	headerOverhead = 96      // bytes reserved for each header beside its text
	minBodyBuffer  = 4 << 10 // bytes, the first size of a body's buffer; it grows with the bytes that arrive
)

// Options determine how a request is read.
type Options struct {
	MaxBodyBytes int
	SendContinue func() // called before a body is read that the client holds back until 100 Continue

	// Reserve reserves memory for the request before its bytes are read, and reports false if there is none; then the request is
	// rejected with the status 503. What was reserved stays so when Read returns. Nil: there is no limit.
	Reserve func(bytes int) bool
}

// errNoMemory is the error of a request for which no memory could be reserved.
var errNoMemory = badMessage(503, "too many bytes of requests in hand")

// reserve reserves memory for the request.
func (o *Options) reserve(bytes int) error {
	if o.Reserve != nil && !o.Reserve(bytes) {
		return errNoMemory
	}
	return nil
}

// Message is one HTTP/1.1 request.
type Message struct {
	Method, Path, Query, Host string
	Header                    map[string]string // by lower-case name
	Body                      []byte
	Close                     bool // the connection is closed after the response
}

// BadMessage is the error of a malformed request. It is answered with Status and Detail, and the connection is closed.
type BadMessage struct {
	Status int
	Detail string
}

// Error returns the HTTP status and what is wrong with the request.
func (b *BadMessage) Error() string { return fmt.Sprintf("%d: %s", b.Status, b.Detail) }

func badMessage(status int, text string) error { return &BadMessage{status, text} }

// readLine reads a line of at most maxBytes and removes its CR LF. A longer line is rejected with the status tooLong. A line with
// a bare CR or a NUL is rejected: parsers that treat it differently would see different requests.
func readLine(r *bufio.Reader, opt *Options, maxBytes int, tooLong int) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > maxBytes {
			return "", badMessage(tooLong, "a line is too long")
		}
		if err := opt.reserve(len(part)); err != nil {
			return "", err
		}
		line = append(line, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			if err == io.EOF && len(line) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		break
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return "", badMessage(400, "a line does not end with CR LF")
	}
	text := string(line[:len(line)-2])
	if strings.ContainsAny(text, "\r\x00") {
		return "", badMessage(400, "a line holds CR or NUL")
	}
	return text, nil
}

// Read reads one request. It returns a BadMessage if the request is malformed or too large, or if no memory can be reserved for it.
func Read(r *bufio.Reader, opt Options) (m Message, err error) {
	line, err := readLine(r, &opt, maxLineBytes, 414)
	if err == nil && line == "" { // one empty line before a request is skipped (RFC 9112, 2.2)
		line, err = readLine(r, &opt, maxLineBytes, 414)
	}
	if err != nil {
		return m, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return m, badMessage(400, "no request line")
	}
	m.Method = parts[0]
	switch {
	case parts[2] == "HTTP/1.1":
	case parts[2] == "HTTP/1.0":
		m.Close = true
	case strings.HasPrefix(parts[2], "HTTP/"):
		return m, badMessage(505, "HTTP/1.1 is spoken here")
	default:
		return m, badMessage(400, "no request line")
	}
	if err := m.parseTarget(parts[1]); err != nil {
		return m, err
	}
	if err := m.readHeaders(r, &opt); err != nil {
		return m, unexpectedEOF(err)
	}
	if parts[2] == "HTTP/1.1" && m.Host == "" {
		return m, badMessage(400, "no Host")
	}
	for _, v := range strings.Split(m.Header["connection"], ",") {
		switch strings.ToLower(strings.TrimSpace(v)) {
		case "close":
			m.Close = true
		case "keep-alive":
			m.Close = m.Close && parts[2] != "HTTP/1.0"
		}
	}
	return m, unexpectedEOF(m.readBody(r, &opt))
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseTarget parses a request target in origin form, or in absolute form as proxies send it.
func (m *Message) parseTarget(target string) error {
	for _, scheme := range []string{"http://", "https://"} {
		if rest, ok := strings.CutPrefix(target, scheme); ok {
			host, path, _ := strings.Cut(rest, "/")
			m.Host, target = host, "/"+path
		}
	}
	if target[0] != '/' {
		return badMessage(400, "the target is no path")
	}
	for _, c := range []byte(target) {
		if c <= ' ' || c >= 0x7f || c == '#' {
			return badMessage(400, "the target holds a character it can't")
		}
	}
	m.Path, m.Query, _ = strings.Cut(target, "?")
	return nil
}

func (m *Message) readHeaders(r *bufio.Reader, opt *Options) error {
	m.Header = map[string]string{}
	remaining := maxHeaderBytes
	for n := 0; ; n++ {
		line, err := readLine(r, opt, min(maxLineBytes, remaining+2), 431)
		if err != nil || line == "" {
			return err
		}
		if err := opt.reserve(headerOverhead); err != nil {
			return err
		}
		if remaining -= len(line) + 2; remaining < 0 || n >= maxHeaders {
			return badMessage(431, "the headers are too large")
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) { // this also rejects a folded line and a space before the colon
			return badMessage(400, "a header can't be read")
		}
		name, value = strings.ToLower(name), strings.Trim(value, " \t")
		if old, repeated := m.Header[name]; repeated {
			switch name {
			case "host", "content-length", "transfer-encoding", "authorization", "if-none-match", "if-match", "if-range", "range", "x-ttl-ms":
				return badMessage(400, "a header that stands alone comes twice")
			case "cookie":
				value = old + "; " + value
			default:
				value = old + ", " + value
			}
		}
		m.Header[name] = value
		if name == "host" {
			if value == "" || strings.ContainsAny(value, "/?#@ ,\\") {
				return badMessage(400, "the Host can't be read")
			}
			if m.Host == "" { // the host of an absolute target takes precedence
				m.Host = value
			}
		}
	}
}

func (m *Message) readBody(r *bufio.Reader, opt *Options) error {
	length, hasLength := m.Header["content-length"]
	coding, hasCoding := m.Header["transfer-encoding"]
	switch {
	case hasLength && hasCoding: // request smuggling (RFC 9112, 11.2)
		return badMessage(400, "both Content-Length and Transfer-Encoding")
	case hasCoding && !strings.EqualFold(coding, "chunked"):
		return badMessage(501, "only chunked is understood")
	case hasCoding:
		m.sendContinue(opt)
		return m.readChunks(r, opt)
	case !hasLength:
		return nil
	}
	n, err := strconv.ParseUint(length, 10, 63)
	if err != nil || length[0] == '+' {
		return badMessage(400, "the Content-Length can't be read")
	}
	if n > uint64(opt.MaxBodyBytes) {
		return badMessage(413, "the body is too large")
	}
	if n > 0 {
		m.sendContinue(opt)
	}
	return m.appendBody(r, opt, int(n), int(n))
}

// sendContinue has the client send the body if it holds it back.
func (m *Message) sendContinue(opt *Options) {
	if strings.EqualFold(m.Header["expect"], "100-continue") {
		opt.SendContinue()
	}
}

// appendBody reads n bytes and appends them to the body, which has maxBytes at most. Its buffer grows with the bytes that arrive:
// an announced body that does not come takes no memory.
func (m *Message) appendBody(r *bufio.Reader, opt *Options, n, maxBytes int) error {
	for n > 0 {
		if len(m.Body) == cap(m.Body) {
			size := min(max(minBodyBuffer, 2*cap(m.Body)), maxBytes)
			if err := opt.reserve(size - cap(m.Body)); err != nil {
				return err
			}
			m.Body = append(make([]byte, 0, size), m.Body...)
		}
		free := m.Body[len(m.Body):cap(m.Body)]
		read, err := r.Read(free[:min(n, len(free))])
		m.Body = m.Body[:len(m.Body)+read]
		if n -= read; err != nil && n > 0 {
			return err
		}
	}
	return nil
}

// readChunks reads a chunked body and its trailers, which are ignored.
func (m *Message) readChunks(r *bufio.Reader, opt *Options) error {
	for {
		line, err := readLine(r, opt, maxChunkLineBytes, 400)
		if err != nil {
			return err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 32)
		if err != nil {
			return badMessage(400, "a chunk's size can't be read")
		}
		if n == 0 {
			return readTrailers(r, opt)
		}
		if n > uint64(opt.MaxBodyBytes-len(m.Body)) {
			return badMessage(413, "the body is too large")
		}
		if err := m.appendBody(r, opt, int(n), opt.MaxBodyBytes); err != nil {
			return err
		}
		end, err := readLine(r, opt, maxChunkLineBytes, 400)
		if err == nil && end != "" {
			err = badMessage(400, "a chunk does not end where it says")
		}
		if err != nil {
			return err
		}
	}
}

// readTrailers reads the trailers of a chunked body.
func readTrailers(r *bufio.Reader, opt *Options) error {
	for n := 0; ; n++ {
		line, err := readLine(r, opt, maxLineBytes, 431)
		if err != nil || line == "" {
			return err
		}
		if n >= maxHeaders {
			return badMessage(431, "the trailers are too large")
		}
	}
}

// Cookie returns the value of a cookie, or "" if there is none of that name.
func (m *Message) Cookie(name string) string {
	for item := range strings.SplitSeq(m.Header["cookie"], ";") {
		if n, v, ok := strings.Cut(strings.TrimSpace(item), "="); ok && n == name {
			return v
		}
	}
	return ""
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// AsBadMessage returns the BadMessage that an error of Read wraps, if any.
func AsBadMessage(err error) (*BadMessage, bool) {
	var b *BadMessage
	ok := errors.As(err, &b)
	return b, ok
}

var statusTexts = map[int]string{
	200: "OK", 201: "Created", 204: "No Content", 206: "Partial Content", 304: "Not Modified", 400: "Bad Request", 401: "Unauthorized",
	403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 412: "Precondition Failed", 413: "Content Too Large",
	414: "URI Too Long", 416: "Range Not Satisfiable",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

// EncodeResponse returns an encoded response. The response to HEAD has a nil body and the length that GET would return.
func EncodeResponse(status int, contentType, head string, length int, body []byte, closeConn bool) []byte {
	b := make([]byte, 0, 256+len(head)+len(body))
	b = append(b, "HTTP/1.1 "+strconv.Itoa(status)+" "+statusTexts[status]+"\r\n"...)
	if contentType != "" {
		b = append(b, "Content-Type: "+contentType+"\r\n"...)
	}
	if status != 304 && status != 204 {
		b = append(b, "Content-Length: "+strconv.Itoa(length)+"\r\n"...)
	}
	if closeConn {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, head...)
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// EncodeErrorResponse returns an encoded response with an error as JSON.
func EncodeErrorResponse(status int, code, text, head string, closeConn bool) []byte {
	body, _ := json.Marshal(map[string]string{"error": code, "detail": text})
	body = append(body, '\n')
	return EncodeResponse(status, "application/json", "Cache-Control: no-store\r\n"+head, len(body), body, closeConn)
}
