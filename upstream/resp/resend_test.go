package resp

import (
	"sync/atomic"
	"testing"
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/internal/fakestore"
)

// A connection that ends under an attempt ends the attempt, which is not sent again by the pool: that is decided by the core.
func TestAttemptIsSentOnce(t *testing.T) {
	for _, kind := range []string{"read", "keyed write", "non-idempotent"} {
		var holds atomic.Bool
		arrived, release := make(chan struct{}, 8), make(chan struct{})
		s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
			if holds.Load() {
				arrived <- struct{}{}
				<-release
				return "", "", nil, false
			}
			return "ACK", "tag=0a,minted=1", []byte("part"), true
		})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		b := newTestPool(t, s.Addr())
		first, second := newRequest(1, 0, 1), newRequest(2, 0, 1)
		if kind != "read" {
			second.Write, second.Body = true, []byte("ride")
		}
		if second.NonIdempotent = kind == "non-idempotent"; kind == "keyed write" {
			second.IdempotencyKey, second.SendDeadline = "k", b.clock.Now()+2000
		}
		b.pool.Send(first)
		b.awaitResult(first.AttemptKey)
		holds.Store(true)
		b.pool.Send(second)
		<-arrived
		b.pool.Exclude(1, true)
		holds.Store(false)
		s.ResetConnections()
		close(release)
		if e := b.awaitResult(second.AttemptKey); e.Outcome != control.ConnectionLost || !e.Unconfirmed {
			t.Errorf("%s: ended as %+v, want a lost connection, unconfirmed", kind, e)
		}
		time.Sleep(20 * time.Millisecond)
		if n := len(s.Commands("GET")); n != 2 {
			t.Errorf("%s: the endpoint read %d requests, want 2", kind, n)
		}
	}
}
