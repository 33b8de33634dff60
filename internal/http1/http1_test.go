package http1

import (
	"bufio"
	"io"
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
		m, err := Read(smallBuffer, Options{MaxBodyBytes: 100, SendContinue: func() {}})
		largeBuffer := bufio.NewReaderSize(strings.NewReader(in+next), 64<<10)
		m2, err2 := Read(largeBuffer, Options{MaxBodyBytes: 100, SendContinue: func() {}})
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
	m, err := Read(r, Options{MaxBodyBytes: 5, SendContinue: func() { continued++ }})
	if err != nil || string(m.Body) != "abcde" || continued != 1 {
		t.Errorf("%q, %v, 100 Continue was sent %d times", m.Body, err, continued)
	}
	if m, err = Read(r, Options{MaxBodyBytes: 5, SendContinue: func() {}}); err != nil || m.Path != "/next" {
		t.Errorf("%+v %v", m, err)
	}
}

// No part of a request passes for a whole one.
func TestIncompleteRequestIsRejected(t *testing.T) {
	for _, whole := range []string{
		"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde",
		"POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
	} {
		for n := range len(whole) + 1 {
			m, err := Read(bufio.NewReader(strings.NewReader(whole[:n])), Options{MaxBodyBytes: 5, SendContinue: func() {}})
			if accepted := err == nil; accepted != (n == len(whole)) || accepted && string(m.Body) != "abcde" {
				t.Errorf("%d of %d bytes: body %q, %v", n, len(whole), m.Body, err)
			}
		}
	}
}

// Guards against memory for a request that is not reserved before its bytes come: what was reserved must cover what the request
// holds at each of its bytes, and a request for which nothing can be reserved must be rejected at once.
func TestMemoryIsReservedWithTheBytes(t *testing.T) {
	long := strings.Repeat("x", 7000)
	for name, text := range map[string]string{
		"long target":  "GET /" + long + " HTTP/1.1\r\nHost: a\r\n\r\n",
		"many headers": "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: b\r\n", 60) + "\r\n",
		"long headers": "GET / HTTP/1.1\r\nHost: a\r\nA: " + long + "\r\nB: " + long + "\r\n\r\n",
		"body":         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n" + strings.Repeat("x", 40000),
		"chunks":       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("3E8\r\n"+strings.Repeat("x", 1000)+"\r\n", 40) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			in := &countedReader{r: strings.NewReader(text)}
			reserved, ahead := 0, 0
			r := bufio.NewReaderSize(in, 512)
			m, err := Read(r, Options{MaxBodyBytes: 48000, Reserve: func(n int) bool {
				reserved += n
				ahead = max(ahead, reserved-2*in.n)
				return true
			}})
			if err != nil || reserved < in.n-512-len("GET / HTTP/1.1\r\n") || reserved < cap(m.Body) {
				t.Errorf("%v, %d bytes are reserved for %d, the body's buffer has %d", err, reserved, in.n, cap(m.Body))
			}
			if ahead > minBodyBuffer+maxHeaders*headerOverhead {
				t.Errorf("%d bytes are reserved beyond twice those that have come", ahead)
			}
			in = &countedReader{r: strings.NewReader(text)}
			granted := 0
			_, err = Read(bufio.NewReaderSize(in, 512), Options{MaxBodyBytes: 48000, Reserve: func(n int) bool {
				if granted+n > len(text)/2 {
					return false
				}
				granted += n
				return true
			}})
			if b, ok := AsBadMessage(err); !ok || b.Status != 503 {
				t.Errorf("no memory: %v", err)
			}
			if in.n > granted+2*512 {
				t.Errorf("%d bytes were read with memory for %d", in.n, granted)
			}
		})
	}
}

// countedReader counts the bytes that are read.
type countedReader struct {
	r io.Reader
	n int
}

func (c *countedReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.n += n
	return n, err
}
