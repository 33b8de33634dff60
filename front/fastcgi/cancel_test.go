package fastcgi

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"turnfork.dev/turnfork/core"
)

// While the core is blocked, a client cancels requests. The cancellation must not wait behind queued events: a queued request
// is never passed to the core, and one that was passed on is marked as canceled.
func TestCancelOvertakesQueuedEvents(t *testing.T) {
	for _, way := range []struct {
		name   string
		cancel func(c *client)
		both   bool // it cancels both requests
	}{
		{"abort", func(c *client) { c.Write(appendRecord(nil, typeAbort, 2, nil)) }, false},
		{"close behind a partial request", func(c *client) {
			c.Write(append(append(beginRecord(3), paramsAndStdin(3, "/v1/tile", "0c")[:40]...), 0))
			c.Close()
		}, true},
		{"close", func(c *client) { c.Close() }, true},
		{"reset", func(c *client) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() }, true},
	} {
		t.Run(way.name, func(t *testing.T) {
			var mu sync.Mutex
			var posted []core.Event
			called, resume := make(chan struct{}, 8), make(chan struct{})
			f := newTestFrontend(func(ev core.Event) {
				mu.Lock()
				posted = append(posted, ev)
				mu.Unlock()
				called <- struct{}{}
				<-resume
			})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { f.Serve(ctx, l) })
			t.Cleanup(func() { stop(); wg.Wait() })
			nc, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			c := newClient(nc)
			t.Cleanup(func() { c.Close() })
			c.Write(append(beginRecord(1), paramsAndStdin(1, "/v1/tile", "0a")...))
			<-called // the core is blocked from here on
			c.Write(append(beginRecord(2), paramsAndStdin(2, "/v1/tile", "0b")...))
			for f.OpenRequests() < 2 {
				time.Sleep(time.Millisecond)
			}
			way.cancel(c)
			if way.both {
				for deadline := time.Now().Add(20 * time.Second); f.Conns() > 0; time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatal("timed out waiting for the frontend to close the connection")
					}
				}
			} else if e := c.wait(t, 2); e.stdout.Len() > 0 {
				t.Errorf("unexpected response %q", e.stdout.String())
			}
			mu.Lock()
			first := posted[0].(core.Request)
			mu.Unlock()
			if first.Canceled.Load() != way.both {
				t.Errorf("first request canceled: %t", first.Canceled.Load())
			}
			close(resume)
			f.events.Push(core.GetStats{}) // the last event
			for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
				mu.Lock()
				_, last := posted[len(posted)-1].(core.GetStats)
				mu.Unlock()
				if last {
					break
				}
				if time.Now().After(deadline) {
					t.Fatal("timed out waiting for the last event")
				}
			}
			cancels := 0
			mu.Lock()
			defer mu.Unlock()
			for _, ev := range posted[1:] {
				switch ev.(type) {
				case core.Request:
					t.Errorf("passed to the core after it was canceled: %+v", ev)
				case core.CancelRequest:
					cancels++
				}
			}
			if want := map[bool]int{true: 1}[way.both]; cancels != want {
				t.Errorf("%d cancellations passed to the core, want %d", cancels, want)
			}
		})
	}
}
