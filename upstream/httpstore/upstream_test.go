package httpstore

import (
	"net"
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
)

// startUpstream starts an upstream with one endpoint, and returns it with the channel of its events. Options that are zero get
// values that do not matter to the test.
func startUpstream(t testing.TB, endpoint Endpoint, opt Options) (*Upstream, chan core.Event) {
	opt.Endpoints = map[uint32]Endpoint{1: endpoint}
	opt.IdleClose, opt.Log = 60000, zerolog.Nop()
	if opt.DialTimeout == 0 {
		opt.DialTimeout = 5000
	}
	if opt.MaxConns == 0 {
		opt.MaxConns = 4
	}
	if opt.Clock == nil {
		opt.Clock = clock.Manual(1.8e12)
	}
	events := make(chan core.Event, 64)
	u := New(opt, func(ev core.Event) { events <- ev })
	t.Cleanup(u.Close)
	return u, events
}

// serveConns accepts connections on loopback until the test ends, and returns the base URL. serve must close its connection.
func serveConns(t testing.TB, serve func(net.Conn)) (base string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
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
