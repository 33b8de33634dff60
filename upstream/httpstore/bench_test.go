package httpstore

import (
	"bytes"
	"testing"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
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
	u, events := startUpstream(b, Endpoint{Base: startBenchStore(b)}, Options{MaxConns: benchConns})
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
		if outcome := (<-events).(core.AttemptResult).Outcome; outcome != control.OK {
			b.Fatal(outcome)
		}
		if sent < b.N {
			send()
		}
	}
}

// startBenchStore starts an endpoint that responds to each request with the same bytes, and returns its base.
func startBenchStore(b *testing.B) string {
	response := append([]byte("HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 16384\r\n\r\n"), bytes.Repeat([]byte("x"), benchBodySize)...)
	store, err := fakestore.ListenHTTP(func(request fakestore.HTTPRequest) (usable bool) {
		_, err := request.Conn.Write(response)
		return err == nil
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(store.Close)
	return store.BaseURL()
}
