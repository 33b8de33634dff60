package limits

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

// Reservations stay within the limit and the share of it, wait for releases, and are released once.
func TestByteBudget(t *testing.T) {
	b := NewByteBudget(100)
	if !b.TryReserveShare(70, 0.75) || b.TryReserveShare(10, 0.75) || !b.TryReserve(30) || b.TryReserve(1) {
		t.Errorf("%d bytes are reserved, of 100", b.Reserved())
	}
	cause := errors.New("too late")
	ctx, cancel := context.WithTimeoutCause(context.Background(), 10*time.Millisecond, cause)
	defer cancel()
	if err := b.Reserve(ctx, 1); !errors.Is(err, cause) {
		t.Errorf("exhausted budget: %v", err)
	}
	r := NewReservation(b, 70)
	time.AfterFunc(10*time.Millisecond, r.Release)
	if err := b.Reserve(context.Background(), 60); err != nil || b.Reserved() != 90 {
		t.Errorf("%v, %d bytes are reserved", err, b.Reserved())
	}
	r.Release()
	b.Release(90)
	if err := b.Reserve(context.Background(), 500); err != nil || b.Reserved() != 500 {
		t.Errorf("more than the limit of an unused budget: %v, %d bytes are reserved", err, b.Reserved())
	}
	(*Reservation)(nil).Release()
}

// Guards against a try that fails but counts for a moment: others that fit were rejected meanwhile, and more than the limit seemed to
// be reserved.
func TestFailedTryReservesNothing(t *testing.T) {
	const limit, attempts = 1000, 200_000
	b := NewByteBudget(limit)
	var tries sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		tries.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					if b.TryReserve(limit + 1) {
						t.Error("more than the limit was reserved")
					}
				}
			}
		})
	}
	rejected, exceeded := 0, 0
	for range attempts {
		if b.Reserved() > limit {
			exceeded++
		}
		if !b.TryReserve(limit) {
			rejected++
			continue
		}
		b.Release(limit)
	}
	close(done)
	tries.Wait()
	if rejected+exceeded > 0 {
		t.Errorf("of %d attempts %d were rejected; %d times more than the limit was reserved", attempts, rejected, exceeded)
	}
}
