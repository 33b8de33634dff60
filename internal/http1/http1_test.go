package http1

import (
	"bufio"
	"strings"
	"testing"
)

// The result must not depend on how the bytes are split into reads, no part may exceed its limit, and an accepted request has
// a valid path and host.
func FuzzMessage(f *testing.F) {
	f.Add("GET /v1/a/b/0?x=1 HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n")
	f.Add("\r\nGET http://h/p HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		const next = "NEXT"
		smallBuffer := bufio.NewReaderSize(strings.NewReader(in+next), 16)
		m, err := Read(smallBuffer, 100, func() {})
		largeBuffer := bufio.NewReaderSize(strings.NewReader(in+next), 64<<10)
		m2, err2 := Read(largeBuffer, 100, func() {})
		if (err == nil) != (err2 == nil) || string(m.Body) != string(m2.Body) || m.Path != m2.Path || m.Close != m2.Close {
			t.Fatalf("small buffer: %+v, %v; large buffer: %+v, %v", m, err, m2, err2)
		}
		if len(m.Body) > 100 || len(m.Header) > maxHeaders {
			t.Errorf("%d bytes, %d headers", len(m.Body), len(m.Header))
		}
		if err == nil && (m.Path[0] != '/' || strings.ContainsAny(m.Host, "/ ")) {
			t.Errorf("path %q, host %q", m.Path, m.Host)
		}
	})
}

func TestChunkedBody(t *testing.T) {
	r := bufio.NewReader(strings.NewReader("POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n" +
		"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\n\r\n"))
	continued := 0
	m, err := Read(r, 5, func() { continued++ })
	if err != nil || string(m.Body) != "abcde" || continued != 1 {
		t.Errorf("%q, %v, 100 Continue was sent %d times", m.Body, err, continued)
	}
	if m, err = Read(r, 5, func() {}); err != nil || m.Path != "/next" {
		t.Errorf("%+v %v", m, err)
	}
}
