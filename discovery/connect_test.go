package discovery

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/core"
)

// The first byte is received even if an overloaded server, which serves many other clients first, sends it later than
// IdleTimeout after the connect. Closing each connection after IdleTimeout would make the gateway redial forever
// and add to the overload.
func TestSlowFirstByteIsReceived(t *testing.T) {
	const idleTimeout = 100 * time.Millisecond
	for name, firstByteDelay := range map[string]time.Duration{
		"in time": idleTimeout / 2, "somewhat late": idleTimeout * 3 / 2, "late": idleTimeout * 3,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			var connections atomic.Int64
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					connections.Add(1)
					go func() {
						defer c.Close()
						io.ReadFull(c, make([]byte, 8))
						time.Sleep(firstByteDelay)
						c.Write(frame(6, kindPurgeGroup, []byte{0, 6, 0, 0, 0, 0, 0, 0, 0, 8}))
						io.Copy(io.Discard, c)
					}()
				}
			}()
			got := make(chan core.Event, 8)
			w := &Watcher{Addr: l.Addr().String(), Seq: 5, IdleTimeout: idleTimeout, Post: func(ev core.Event) { got <- ev }, Log: zerolog.Nop()}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			defer func() { cancel(); <-done }()
			go func() { defer close(done); w.Run(ctx) }()
			select {
			case ev := <-got:
				if p, ok := ev.(core.Purge); !ok || p.Group != 6 {
					t.Errorf("%+v", ev)
				}
			case <-time.After(20 * idleTimeout): // time for ten attempts, if each were closed too early
				t.Errorf("no event was received on %d connections", connections.Load())
			}
		})
	}
}

// If connections to a server take longer than attemptDelay to open, events are received on the first one that opens, and no other
// stays open. A change of the address cancels a pending dial.
func TestSlowDialIsReceived(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var open atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Add(-1)
				defer c.Close()
				if _, err := io.ReadFull(c, make([]byte, 8)); err != nil {
					return
				}
				c.Write(frame(6, kindPurgeGroup, []byte{0, 6, 0, 0, 0, 0, 0, 0, 0, 8}))
				io.Copy(io.Discard, c)
			}()
		}
	}()
	var dials atomic.Int64
	var once sync.Once
	dialed, secondDial := make(chan struct{}), make(chan struct{})
	got, changes := make(chan core.Event, 8), make(chan AddressChange)
	w := &Watcher{Addr: "192.0.2.1:1", Seq: 5, AddressChanges: changes, IdleTimeout: time.Minute, Post: func(ev core.Event) { got <- ev }, Log: zerolog.Nop()}
	w.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr != l.Addr().String() {
			once.Do(func() { close(dialed) })
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var ready chan struct{} // nil: the connection never opens
		switch dials.Add(1) {
		case 1:
			ready = secondDial // opens once another attempt is started
		case 2:
			close(secondDial)
		}
		select {
		case <-ready:
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	defer func() { cancel(); <-done }()
	go func() { defer close(done); w.Run(ctx) }()
	<-dialed
	changes <- AddressChange{l.Addr().String()}
	if ev := <-got; ev.(core.Purge).Group != 6 {
		t.Errorf("%+v", ev)
	}
	for deadline := time.Now().Add(20 * time.Second); open.Load() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open", open.Load())
		}
	}
}

// Connections on which the server never sends do not delay the one on which it sends again, and at most maxConnections are open at
// a time.
func TestIdleConnectionsDoNotDelayReconnect(t *testing.T) {
	const (
		idleTimeout     = 100 * time.Millisecond
		idleConnections = 10
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var open, maxOpen atomic.Int64
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
			go func() {
				defer open.Add(-1)
				defer c.Close()
				io.ReadFull(c, make([]byte, 8))
				if n > idleConnections {
					c.Write(frame(6, kindPurgeGroup, []byte{0, 6, 0, 0, 0, 0, 0, 0, 0, 8}))
				}
				io.Copy(io.Discard, c)
			}()
		}
	}()
	got := make(chan core.Event, 8)
	w := &Watcher{Addr: l.Addr().String(), Seq: 5, IdleTimeout: idleTimeout, Post: func(ev core.Event) { got <- ev }, Log: zerolog.Nop()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	defer func() { cancel(); <-done }()
	go func() { defer close(done); w.Run(ctx) }()
	select {
	case ev := <-got:
		if p, ok := ev.(core.Purge); !ok || p.Group != 6 {
			t.Errorf("%+v", ev)
		}
	case <-time.After(2 * idleConnections * idleTimeout): // twice the idle time-out for each idle connection
		t.Error("no event was received though the server sends again")
	}
	if n := maxOpen.Load(); n > maxConnections+1 { // a canceled one may not be counted as closed yet
		t.Errorf("%d connections were open at a time", n)
	}
}
