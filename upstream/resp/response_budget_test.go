package resp

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/limits"
)

// Guards against responses that no limit counts: endpoints that announced large bodies and stopped, or answered more than the core
// had handed on, took memory without a limit. A wait for memory is no failure of the endpoint.
func TestResponsesStayWithinBudget(t *testing.T) {
	const bodySize, endpoints = 200_000, 8
	body := make([]byte, bodySize)
	var addrs []string
	for range endpoints {
		s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
			return "ACK", "tag=aa,why=local,minted=1", body, true
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		addrs = append(addrs, s.Addr())
	}
	b := newTestPool(t, addrs...)
	budget := limits.NewByteBudget(2 * bodySize)
	b.pool.opt.ResponseBudget = budget
	for i := range endpoints {
		b.pool.Send(newRequest(i, 0, uint32(i+1)))
	}
	received := map[core.AttemptKey]bool{}
	for len(received) < endpoints {
		var results []core.AttemptResult
		b.waitUntil("further results", func() bool {
			results = nil
			for _, ev := range b.events {
				if e, ok := ev.(core.AttemptResult); ok && !received[e.AttemptKey] {
					results = append(results, e)
				}
			}
			return len(results) > 0
		})
		time.Sleep(20 * time.Millisecond) // the others wait
		if held := budget.Reserved(); held > 2*bodySize {
			t.Errorf("%d bytes are reserved, of %d", held, 2*bodySize)
		}
		for _, e := range results {
			if received[e.AttemptKey] = true; e.Outcome != control.OK || len(e.Body) != bodySize {
				t.Errorf("%v: outcome %v, %d bytes", e.AttemptKey, e.Outcome, len(e.Body))
			}
			e.BodyReservation.Release()
			e.BodyReservation.Release() // a second call does nothing
		}
	}
	if held := budget.Reserved(); held != 0 {
		t.Errorf("%d bytes stay reserved", held)
	}
}

// stallingEndpoint announces a body for each command on a connection, and sends half of it.
func stallingEndpoint(t *testing.T, bodySize int) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	t.Cleanup(func() { l.Close(); conns.Wait() })
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer c.Close()
				r := bufio.NewReader(c)
				if _, err := r.ReadByte(); err != nil {
					return
				}
				fmt.Fprintf(c, "*4\r\n$16\r\n000000000000000a\r\n$3\r\nACK\r\n$1\r\n-\r\n$%d\r\n", bodySize)
				c.Write(make([]byte, bodySize/2))
				for {
					if _, err := r.ReadByte(); err != nil {
						return
					}
				}
			})
		}
	})
	return l.Addr().String()
}

// An endpoint that stops in the middle of its response holds its bytes only until the response times out. If the memory is not
// released in time, no endpoint is blamed.
func TestStalledResponsesReleaseBudget(t *testing.T) {
	const bodySize = 200_000
	b := newTestPool(t, stallingEndpoint(t, bodySize))
	budget := limits.NewByteBudget(bodySize)
	b.pool.opt.ResponseBudget = budget
	b.pool.Send(newRequest(0, 0, 1))
	if e := b.awaitResult(core.AttemptKey{ID: 0}); e.Outcome != control.ConnectionLost {
		t.Errorf("stalled response: outcome %v", e.Outcome)
	}
	b.waitUntil("bytes are released", func() bool { return budget.Reserved() == 0 })

	budget.ReserveBeyond(bodySize) // by others, which do not release it
	s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
		return "ACK", "tag=aa,why=local,minted=1", make([]byte, bodySize), true
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	b.updateEndpoint(2, s.Addr(), control.Ready)
	b.pool.Send(newRequest(1, 0, 2))
	if e := b.awaitResult(core.AttemptKey{ID: 1}); e.Outcome != control.Canceled || !e.Unconfirmed {
		t.Errorf("no memory for a response: outcome %v, unconfirmed %v", e.Outcome, e.Unconfirmed)
	}
}
