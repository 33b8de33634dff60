package adminapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
)

// fakeGateway is a gateway with one endpoint.
type fakeGateway struct{ draining, disabled bool }

func (g *fakeGateway) State() State { return State{Ready: !g.draining, Draining: g.draining} }

func (g *fakeGateway) SetDraining(_ context.Context, on bool) error { g.draining = on; return nil }

func (g *fakeGateway) SetDisabled(_ context.Context, id uint32, on bool) error {
	if id != 0xc41f7a {
		return ErrUnknownEndpoint
	}
	g.disabled = on
	return nil
}

// startServer serves a gateway's admin calls until the test ends. A maxConns of 0 selects the default.
func startServer(t *testing.T, g Gateway, maxConns int) (addr string) {
	return serveWithLog(t, g, maxConns, zerolog.Nop())
}

// serveWithLog is startServer with a logger.
func serveWithLog(t *testing.T, g Gateway, maxConns int, log zerolog.Logger) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		New(Options{Gateway: g, MaxConns: maxConns, Clock: clock.System(), Log: log}).Serve(ctx, l)
	}()
	t.Cleanup(func() { end(); <-done })
	return l.Addr().String()
}

// sendRequest sends one request in pieces of n bytes, and returns the status of the response.
func sendRequest(t *testing.T, addr, text string, n int) int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for len(text) > 0 {
		k := min(n, len(text))
		io.WriteString(c, text[:k])
		text = text[k:]
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || !resp.Close {
		t.Errorf("the response does not close its connection: %v", err)
	}
	return resp.StatusCode
}

// request returns the text of a request.
func request(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: admin\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

func TestRequests(t *testing.T) {
	g := &fakeGateway{}
	addr := startServer(t, g, 0)
	for _, c := range []struct {
		text string
		want int
	}{
		{request("GET", "/ready", ""), 200},
		{request("PUT", "/drain", ""), 200},
		{request("PUT", "/drain", ""), 200},
		{request("GET", "/ready", ""), 503},
		{request("PUT", "/undrain", ""), 200},
		{request("GET", "/ready", ""), 200},
		{request("PUT", "/stores/disable", `{"id":"s-00c41f7a"}`), 200},
		{request("PUT", "/stores/disable", `{"id":"s-00c41f7b"}`), 404},
		{request("PUT", "/stores/enable", `{"id":"nobody"}`), 404},
		{request("PUT", "/stores/enable", `{"id":7}`), 400},
		{request("PUT", "/stores/enable", `{`), 400},
		{request("PUT", "/stores/enable", `{}`), 400},
		{request("GET", "/stores/enable", ""), 405},
		{request("PUT", "/ready", ""), 405},
		{request("GET", "/nothing", ""), 404},
		{"nonsense\r\n\r\n", 400},
		{request("PUT", "/stores/enable", strings.Repeat("x", maxBodyLen+1)), 413},
	} {
		for _, n := range []int{1, 7, len(c.text)} {
			if got := sendRequest(t, addr, c.text, n); got != c.want {
				t.Errorf("%.60q in pieces of %d: %d, not %d", c.text, n, got, c.want)
			}
		}
	}
	if !g.disabled || g.draining {
		t.Errorf("%+v", g)
	}
}

// Connections with incomplete requests, many more than the connection limit, must not delay other callers.
func TestIncompleteRequestsDelayNoCaller(t *testing.T) {
	const maxConns = 4
	addr := startServer(t, &fakeGateway{}, maxConns)
	for i := range 5 * maxConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, request("GET", "/ready", "")[:5+i%20])
		if got := sendRequest(t, addr, request("GET", "/ready", ""), 100); got != 200 {
			t.Fatalf("status %d with %d incomplete requests open", got, i+1)
		}
	}
}

// logLines is a log writer that passes each line to the test.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// The log lines documented in docs/operations.md keep their messages and fields.
func TestLogLines(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"override", request("PUT", "/stores/disable", `{"id":"s-00c41f7a"}`),
			`{"level":"info","path":"/stores/disable","endpoint":"s-00c41f7a","message":"admin request handled"}`},
		{"failed override", request("PUT", "/stores/disable", `{"id":"nobody"}`),
			`{"level":"info","error":"no list has named this store","path":"/stores/disable","endpoint":"nobody","message":"admin request handled"}`},
		{"malformed request", "nonsense\r\n\r\n",
			`{"level":"warn","status":400,"reason":"no request line","message":"admin request malformed"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			lines := make(logLines, 8)
			addr := serveWithLog(t, &fakeGateway{}, 0, zerolog.New(lines))
			sendRequest(t, addr, c.text, len(c.text))
			if line := strings.TrimSpace(<-lines); line != c.want {
				t.Errorf("%s", line)
			}
		})
	}
}
