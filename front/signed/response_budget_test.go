package signed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/token"
)

// While one client leaves so much unread that the response buffer is nearly full, another client gets an error instead of a large
// response, gets small responses, and keeps its connection. The first client's response is complete once it reads.
func TestUnreadResponsesDoNotAffectOtherClients(t *testing.T) {
	const large = 32 << 20 // exceeds the socket buffers of both ends
	d := newGatewayPair(t)
	f := d.frontends[0]
	f.responseBudget.SetLimit(large + 1<<20)
	f.classes["firmware"] = Class{Name: "firmware", Deadline: 3000}
	issued, err := f.ring.Load().Issue("k", token.Terms{URI: "/v1/firmware/00000000000000e1/0", Expires: 1e9 + 600, ID: "n"})
	if err != nil {
		t.Fatal(err)
	}
	submitted := make(chan core.Request, 1)
	f.opt.Post = func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			submitted <- a
		}
	}
	connect := func() (net.Conn, *bufio.Reader) {
		nc, err := net.Dial("tcp", d.addrs[0])
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(20 * time.Second))
		return nc, bufio.NewReader(nc)
	}
	serve := func(nc net.Conn, size int) {
		fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", issued.URL)
		a := <-submitted
		a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Served, ETag: "aa", Body: make([]byte, size)})
	}
	expect := func(r *bufio.Reader, status int, size int64) {
		t.Helper()
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != status || err != nil || status == http.StatusOK && n != size {
			t.Errorf("status %d with %d bytes, error %v; want status %d", resp.StatusCode, n, err, status)
		}
	}
	slow, slowResponses := connect()
	serve(slow, large)
	if _, err := slowResponses.Peek(1); err != nil { // the response is being written
		t.Fatal(err)
	}
	other, otherResponses := connect()
	serve(other, 2<<20)
	expect(otherResponses, http.StatusBadGateway, 0)
	serve(other, 100)
	expect(otherResponses, http.StatusOK, 100)
	expect(slowResponses, http.StatusOK, large)
}
