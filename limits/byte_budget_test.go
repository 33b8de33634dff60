package limits

import (
	"context"
	"errors"
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
