package discovery

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/core"
)

// purgeFrame returns a frame with sequence number n that purges group n.
func purgeFrame(n byte) []byte {
	return frame(uint64(n), kindPurgeGroup, []byte{0, n, 0, 0, 0, 0, 0, 0, 0, 8})
}

// After a watch has failed, the next one resumes from the last sequence number; an event that is received again is skipped.
func TestResumeAfterFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	requested := make(chan uint64, 2)
	go func() {
		for i := range 2 {
			c, err := l.Accept()
			if err != nil {
				return
			}
			var b [8]byte
			io.ReadFull(c, b[:])
			requested <- binary.BigEndian.Uint64(b[:])
			if i == 0 {
				c.Write(purgeFrame(6))
				c.Write([]byte{0, 0, 0, 3}) // shorter than any frame: the watch fails
			} else {
				c.Write(append(purgeFrame(6), purgeFrame(7)...))
			}
			defer c.Close()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan core.Event, 8)
	w := &Watcher{Addr: l.Addr().String(), Seq: 5, Post: func(ev core.Event) { got <- ev }, Log: zerolog.Nop()}
	go w.Run(ctx)
	if a, b := <-got, <-got; a.(core.Purge).Group != 6 || b.(core.Purge).Group != 7 {
		t.Errorf("%+v %+v", a, b)
	}
	if a, b := <-requested, <-requested; a != 5 || b != 6 {
		t.Errorf("resumed from %d, then from %d", a, b)
	}
}

// After a change of the address, the watch resumes at the new address from the last event posted, and events from the old address
// are ignored. Missing events are requested once more.
func TestAddressChange(t *testing.T) {
	requested := make(chan uint64, 8)
	serve := func(respond func(attempt int, c net.Conn)) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for attempt := 0; ; attempt++ {
				c, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { c.Close() })
				var b [8]byte
				io.ReadFull(c, b[:])
				requested <- binary.BigEndian.Uint64(b[:])
				respond(attempt, c)
			}
		}()
		return l.Addr().String()
	}
	old := serve(func(_ int, c net.Conn) { c.Write(purgeFrame(6)) })
	next := serve(func(attempt int, c net.Conn) {
		if attempt > 0 {
			c.Write(purgeFrame(7))
		}
		c.Write(purgeFrame(8))
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got, changes := make(chan core.Event, 8), make(chan AddressChange)
	w := &Watcher{Addr: old, Seq: 5, AddressChanges: changes, Post: func(ev core.Event) { got <- ev }, Log: zerolog.Nop()}
	go w.Run(ctx)
	for i, want := range []uint16{6, 7, 8} {
		if i == 1 {
			changes <- AddressChange{old} // the same address: the connection stays open
			changes <- AddressChange{next}
		}
		if ev := <-got; ev.(core.Purge).Group != want {
			t.Errorf("%+v, not %d", ev, want)
		}
	}
	for _, want := range []uint64{5, 6, 6} {
		if n := <-requested; n != want {
			t.Errorf("resumed from %d, not %d", n, want)
		}
	}
}

// Whatever the server does between two events, each event is posted once and in order, and the watch resumes after the last one.
// On a connection that is not closed, the server sends nothing after the given bytes.
func TestEachEventIsPostedOnce(t *testing.T) {
	list := func(n byte, kind byte) []byte { return frame(uint64(n), kind, endpointEntry) }
	type connection struct {
		sends []byte
		close bool
	}
	for _, c := range []struct {
		name           string
		connections    []connection
		addressChanges bool     // after the first connection, on which the rest of the frame is sent afterwards
		requested      []uint64 // the sequence numbers that watches resume from
		want           int      // number of events posted, numbered from 6
	}{
		{"idle from the start", []connection{{}, {sends: purgeFrame(6)}}, false, []uint64{5, 5}, 1},
		{"idle just before a drain", []connection{{sends: purgeFrame(6)}, {sends: list(7, kindDelta)}}, false, []uint64{5, 6}, 2},
		{"idle in the middle of a frame", []connection{{sends: purgeFrame(6)[:11]}, {sends: purgeFrame(6)}}, false, []uint64{5, 5}, 1},
		{"idle, then connections that are closed at once", []connection{{}, {close: true}, {close: true}, {close: true}, {sends: purgeFrame(6)}}, false,
			[]uint64{5, 5, 5, 5, 5}, 1},
		{"closed in the middle of a frame, then a drain first", []connection{{sends: purgeFrame(6)[:11], close: true}, {sends: append(list(6, kindDelta), purgeFrame(7)...)}},
			false, []uint64{5, 5}, 2},
		{"events repeated and out of date", []connection{{sends: slices.Concat(purgeFrame(6), purgeFrame(6), purgeFrame(4), purgeFrame(7), purgeFrame(6), purgeFrame(8))}}, false, []uint64{5}, 3},
		{"out-of-date events on a new connection", []connection{{sends: purgeFrame(6), close: true}, {sends: slices.Concat(purgeFrame(5), purgeFrame(6), purgeFrame(7))}}, false, []uint64{5, 6}, 2},
		{"snapshot after deltas", []connection{{sends: slices.Concat(list(6, kindDelta), list(7, kindSnapshot))}}, false, []uint64{5}, 2},
		{"missing event, sent when requested again", []connection{{sends: slices.Concat(purgeFrame(6), purgeFrame(8))}, {sends: slices.Concat(purgeFrame(7), purgeFrame(8))}},
			false, []uint64{5, 6}, 3},
		{"address change in the middle of a frame", []connection{{sends: purgeFrame(6)[:11]}, {sends: slices.Concat(purgeFrame(6), purgeFrame(7))}}, true, []uint64{5, 5}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			requested, firstConn := make(chan uint64, 64), make(chan net.Conn, 1)
			serve := func(connections []connection) string {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { l.Close() })
				go func() {
					for i := 0; ; i++ {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						t.Cleanup(func() { conn.Close() })
						var b [8]byte
						io.ReadFull(conn, b[:])
						requested <- binary.BigEndian.Uint64(b[:])
						if i >= len(connections) {
							continue // nothing is sent on further connections
						}
						if conn.Write(connections[i].sends); connections[i].close {
							conn.Close()
						}
						select {
						case firstConn <- conn:
						default:
						}
					}
				}()
				return l.Addr().String()
			}
			got, changes := make(chan core.Event, 64), make(chan AddressChange)
			w := &Watcher{Seq: 5, AddressChanges: changes, IdleTimeout: 100 * time.Millisecond, Post: func(ev core.Event) { got <- ev }, Log: zerolog.Nop()}
			next := ""
			if c.addressChanges {
				w.IdleTimeout = time.Minute
				w.Addr, next = serve(c.connections[:1]), serve(c.connections[1:])
			} else {
				w.Addr = serve(c.connections)
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			t.Cleanup(func() { cancel(); <-done })
			go func() { defer close(done); w.Run(ctx) }()
			if c.addressChanges {
				old := <-firstConn
				changes <- AddressChange{next}
				old.Write(purgeFrame(6)[11:])
			}
			for i := range c.want {
				ev := <-got
				if p, ok := ev.(core.Purge); ok && int(p.Group) != 6+i {
					t.Errorf("event %d is %+v", 6+i, ev)
				}
			}
			for i, want := range c.requested {
				// Data that the old address sent during the change may or may not have been received.
				if n := <-requested; n != want && !(c.addressChanges && i == 1 && n == want+1) {
					t.Errorf("watch %d resumed from %d, not %d", i, n, want)
				}
			}
			if !c.addressChanges {
				if n := <-requested; n != uint64(5+c.want) { // after the last connection has timed out
					t.Errorf("the last watch resumed from %d", n)
				}
			}
			if len(got) > 0 {
				t.Errorf("unexpected event: %+v", <-got)
			}
		})
	}
}

// logLines is a log writer that passes each line to a test.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// The log lines described in docs/operations.md have these messages and fields.
func TestLogLines(t *testing.T) {
	lines, changes := make(logLines, 64), make(chan AddressChange)
	w := &Watcher{Addr: "first", Seq: 5, AddressChanges: changes, Post: func(core.Event) {}, Log: zerolog.New(lines)}
	w.Dial = func(ctx context.Context, _, addr string) (net.Conn, error) {
		if addr == "first" {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, io.ErrUnexpectedEOF
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	defer func() { cancel(); <-done }()
	go func() { defer close(done); w.Run(ctx) }()
	changes <- AddressChange{"second"}
	for _, want := range []string{
		`{"level":"info","from":"first","to":"second","message":"discovery address changed"}`,
		`{"level":"warn","error":"unexpected EOF","seq":5,"message":"watch ended"}`,
	} {
		if line := strings.TrimSpace(<-lines); line != want {
			t.Errorf("%s, not %s", line, want)
		}
	}
}
