package signed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Bounds of a request, beside the body's.
const (
	lineMost    = 8 << 10  // a request line or one header
	headMost    = 16 << 10 // all headers
	headersMost = 64
	chunkLine   = 128
)

// message is one HTTP/1.1 request.
type message struct {
	method, path, query, host string
	header                    map[string]string // by lower-case name
	body                      []byte
	close                     bool // the connection ends after the answer
}

// badMessage is a request that gets an error answer and ends the connection.
type badMessage struct {
	status int
	text   string
}

func (b *badMessage) Error() string { return fmt.Sprintf("%d: %s", b.status, b.text) }

func bad(status int, text string) error { return &badMessage{status, text} }

// readLine reads a line of at most so many bytes and takes its end off. A bare CR or NUL has no place
// in one: readers that differ over it would see different requests.
func readLine(r *bufio.Reader, most int, over int) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > most {
			return "", bad(over, "a line is too long")
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
		return "", bad(400, "a line does not end with CR LF")
	}
	text := string(line[:len(line)-2])
	if strings.ContainsAny(text, "\r\x00") {
		return "", bad(400, "a line holds CR or NUL")
	}
	return text, nil
}

// readMessage reads one request. cont is called before a body that the client holds back for a 100.
func readMessage(r *bufio.Reader, bodyMost int, cont func()) (m message, err error) {
	line, err := readLine(r, lineMost, 414)
	if err == nil && line == "" { // one empty line before a request is passed over (RFC 9112, 2.2)
		line, err = readLine(r, lineMost, 414)
	}
	if err != nil {
		return m, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return m, bad(400, "no request line")
	}
	m.method = parts[0]
	switch {
	case parts[2] == "HTTP/1.1":
	case parts[2] == "HTTP/1.0":
		m.close = true
	case strings.HasPrefix(parts[2], "HTTP/"):
		return m, bad(505, "HTTP/1.1 is spoken here")
	default:
		return m, bad(400, "no request line")
	}
	if err := m.target(parts[1]); err != nil {
		return m, err
	}
	if err := m.headers(r); err != nil {
		return m, noEnd(err)
	}
	if parts[2] == "HTTP/1.1" && m.host == "" {
		return m, bad(400, "no Host")
	}
	for _, v := range strings.Split(m.header["connection"], ",") {
		switch strings.ToLower(strings.TrimSpace(v)) {
		case "close":
			m.close = true
		case "keep-alive":
			m.close = m.close && parts[2] != "HTTP/1.0"
		}
	}
	return m, noEnd(m.readBody(r, bodyMost, cont))
}

func noEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// target reads the origin form, or the absolute form as proxies send it.
func (m *message) target(t string) error {
	for _, scheme := range []string{"http://", "https://"} {
		if rest, ok := strings.CutPrefix(t, scheme); ok {
			host, path, _ := strings.Cut(rest, "/")
			m.host, t = host, "/"+path
		}
	}
	if t[0] != '/' {
		return bad(400, "the target is no path")
	}
	for _, c := range []byte(t) {
		if c <= ' ' || c >= 0x7f || c == '#' {
			return bad(400, "the target holds a character it can't")
		}
	}
	m.path, m.query, _ = strings.Cut(t, "?")
	return nil
}

func (m *message) headers(r *bufio.Reader) error {
	m.header = map[string]string{}
	left := headMost
	for n := 0; ; n++ {
		line, err := readLine(r, min(lineMost, left+2), 431)
		if err != nil || line == "" {
			return err
		}
		if left -= len(line) + 2; left < 0 || n >= headersMost {
			return bad(431, "the headers are too large")
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) { // also a folded line, and a space before the colon
			return bad(400, "a header can't be read")
		}
		name, value = strings.ToLower(name), strings.Trim(value, " \t")
		if old, twice := m.header[name]; twice {
			switch name {
			case "host", "content-length", "transfer-encoding", "authorization", "if-none-match", "x-ttl-ms":
				return bad(400, "a header that stands alone comes twice")
			case "cookie":
				value = old + "; " + value
			default:
				value = old + ", " + value
			}
		}
		m.header[name] = value
		if name == "host" {
			if value == "" || strings.ContainsAny(value, "/?#@ ,\\") {
				return bad(400, "the Host can't be read")
			}
			if m.host == "" { // an absolute target comes first
				m.host = value
			}
		}
	}
}

func (m *message) readBody(r *bufio.Reader, most int, cont func()) error {
	length, sized := m.header["content-length"]
	coding, coded := m.header["transfer-encoding"]
	if sized && coded { // the classic way to smuggle a request past a proxy
		return bad(400, "both Content-Length and Transfer-Encoding")
	}
	if coded && !strings.EqualFold(coding, "chunked") {
		return bad(501, "only chunked is understood")
	}
	if !sized && !coded {
		return nil
	}
	n := uint64(0)
	if sized {
		var err error
		if n, err = strconv.ParseUint(length, 10, 63); err != nil || length[0] == '+' {
			return bad(400, "the Content-Length can't be read")
		}
		if n > uint64(most) {
			return bad(413, "the body is too large")
		}
	}
	if strings.EqualFold(m.header["expect"], "100-continue") && (coded || n > 0) {
		cont()
	}
	if sized {
		m.body = make([]byte, n)
		_, err := io.ReadFull(r, m.body)
		return err
	}
	for {
		line, err := readLine(r, chunkLine, 400)
		if err != nil {
			return err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 32)
		if err != nil {
			return bad(400, "a chunk's size can't be read")
		}
		if n == 0 {
			break
		}
		if n > uint64(most-len(m.body)) {
			return bad(413, "the body is too large")
		}
		at := len(m.body)
		m.body = append(m.body, make([]byte, n)...)
		if _, err := io.ReadFull(r, m.body[at:]); err != nil {
			return err
		}
		if end, err := readLine(r, chunkLine, 400); err != nil || end != "" {
			if err == nil {
				err = bad(400, "a chunk does not end where it says")
			}
			return err
		}
	}
	for n := 0; ; n++ { // trailers are read and not used
		line, err := readLine(r, lineMost, 431)
		if err != nil || line == "" {
			return err
		}
		if n >= headersMost {
			return bad(431, "the trailers are too large")
		}
	}
}

// cookie gives a cookie's value.
func (m *message) cookie(name string) string {
	for item := range strings.SplitSeq(m.header["cookie"], ";") {
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

// isBad gives a malformed request's answer.
func isBad(err error) (*badMessage, bool) {
	var b *badMessage
	ok := errors.As(err, &b)
	return b, ok
}
