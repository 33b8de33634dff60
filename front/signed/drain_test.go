package signed

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/token/ring"
)

// During a drain the health check fails at once. Idle connections are closed after a short delay, in which clients can notice
// this, and connections with an incomplete request later. After the drain the health check succeeds again. All requests of the
// health check arrive byte by byte.
func TestDrain(t *testing.T) {
	keys, err := ring.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	clk := clock.Manual(1e12)
	f := New(Options{Post: func(core.Event) {}, Clock: clk, Log: zerolog.Nop(), Ring: keys})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Serve(ctx, l) }()
	defer func() { end(); <-done }()
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(30 * time.Second))
		return c, bufio.NewReader(c)
	}
	const ask = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
	health := func(c net.Conn, r *bufio.Reader, want int) {
		t.Helper()
		for _, b := range []byte(ask) {
			c.Write([]byte{b})
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != want {
			t.Errorf("status %d, want %d", resp.StatusCode, want)
		}
	}
	idle, idleReader := dial()
	health(idle, idleReader, 200)
	partial, partialReader := dial()
	partial.Write([]byte(ask[:10]))
	for f.Conns() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.Drain(true)
	health(idle, idleReader, 503)
	for f.OpenRequests() > 0 {
		time.Sleep(time.Millisecond)
	}
	clk.Advance(600)
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection not closed: %v", err)
	}
	clk.Advance(2000)
	if _, err := partialReader.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("connection with an incomplete request not closed")
	}
	f.Drain(false)
	c, r := dial()
	health(c, r, 200)
}
