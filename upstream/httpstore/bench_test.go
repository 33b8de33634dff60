package httpstore

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

const (
	benchBodySize = 16 << 10 // bytes
	benchConns    = 16
)

// Attempts per second to an endpoint that responds at once: one at a time, as many as there are connections, and four times as
// many, three quarters of which wait for a connection.
func BenchmarkAttempts(b *testing.B) {
	for name, inFlight := range map[string]int{"one": 1, "all-connections": benchConns, "waiting": 4 * benchConns} {
		b.Run(name, func(b *testing.B) {
			benchmarkAttempts(b, inFlight, core.AttemptRequest{Class: "tile", ObjectName: "x"})
		})
	}
}

// Attempts per second that each take a connection of their own.
func BenchmarkNonIdempotentAttempts(b *testing.B) {
	write := core.AttemptRequest{Class: "ride-end", ObjectName: "x", Write: true, NonIdempotent: true, Body: make([]byte, 128)}
	benchmarkAttempts(b, 1, write)
}

func benchmarkAttempts(b *testing.B, inFlight int, request core.AttemptRequest) {
	ended := make(chan control.Outcome, inFlight)
	u := New(Options{
		Endpoints: map[uint32]Endpoint{1: {Base: startBenchStore(b)}}, DialTimeout: 5000, IdleClose: 60000, MaxConns: benchConns,
		Clock: clock.Manual(1.8e12), Log: zerolog.Nop(),
	}, func(ev core.Event) { ended <- ev.(core.AttemptResult).Outcome })
	defer u.Close()
	request.Endpoint, request.Txn = 1, "00000000000000aa"
	sent := 0
	send := func() {
		sent++
		request.AttemptKey = core.AttemptKey{ID: control.RequestID(sent)}
		u.Send(request)
	}
	b.ReportAllocs()
	for range min(inFlight, b.N) {
		send()
	}
	for range b.N {
		if outcome := <-ended; outcome != control.OK {
			b.Fatal(outcome)
		}
		if sent < b.N {
			send()
		}
	}
}

// startBenchStore starts an endpoint that responds to each request with the same bytes, and returns its base.
func startBenchStore(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	response := append([]byte("HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 16384\r\n\r\n"), bytes.Repeat([]byte("x"), benchBodySize)...)
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			if _, err := conn.Write(response); err != nil || request.Close {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return "http://" + listener.Addr().String()
}
