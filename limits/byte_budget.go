package limits

import (
	"context"
	"sync/atomic"
	"time"
)

// reservePollInterval is the interval at which Reserve checks whether bytes have been released.
const reservePollInterval = 2 * time.Millisecond

// ByteBudget limits the bytes that a process holds in memory for one purpose. It is safe for concurrent use.
type ByteBudget struct {
	limit    atomic.Int64
	reserved atomic.Int64
}

// NewByteBudget returns a budget with a limit in bytes.
func NewByteBudget(limit int64) *ByteBudget {
	b := &ByteBudget{}
	b.SetLimit(limit)
	return b
}

// TryReserve reserves n bytes. It returns false if that would exceed the limit.
func (b *ByteBudget) TryReserve(n int) bool { return b.TryReserveShare(n, 1) }

// TryReserveShare reserves n bytes. It returns false if more than a share of the limit, from 0 to 1, would be reserved then.
func (b *ByteBudget) TryReserveShare(n int, share float64) bool {
	for {
		reserved := b.reserved.Load()
		next := reserved + int64(n)
		if float64(next) > share*float64(b.limit.Load()) {
			return false
		}
		if b.reserved.CompareAndSwap(reserved, next) {
			return true
		}
	}
}

// Reserve reserves n bytes, and waits while the budget is exhausted. It returns the error of ctx if that is done before. More
// than the limit are reserved if nothing else is.
func (b *ByteBudget) Reserve(ctx context.Context, n int) error {
	for !b.TryReserve(n) && !b.reserved.CompareAndSwap(0, int64(n)) {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(reservePollInterval):
		}
	}
	return nil
}

// ReserveBeyond reserves n bytes even beyond the limit. Callers must limit how often they do so.
func (b *ByteBudget) ReserveBeyond(n int) { b.reserved.Add(int64(n)) }

// Release releases n reserved bytes.
func (b *ByteBudget) Release(n int) { b.reserved.Add(-int64(n)) }

// Reserved returns the number of reserved bytes.
func (b *ByteBudget) Reserved() int64 { return b.reserved.Load() }

// SetLimit changes the limit. Bytes that are already reserved stay reserved.
func (b *ByteBudget) SetLimit(maxBytes int64) { b.limit.Store(maxBytes) }

// Reservation is a number of bytes reserved in a budget, which whoever holds the bytes releases once. A nil Reservation is empty.
type Reservation struct {
	budget   *ByteBudget
	bytes    int
	released atomic.Bool
}

// NewReservation returns a reservation of bytes that are already reserved.
func NewReservation(budget *ByteBudget, bytes int) *Reservation {
	return &Reservation{budget: budget, bytes: bytes}
}

// Release releases the bytes. Further calls do nothing.
func (r *Reservation) Release() {
	if r != nil && !r.released.Swap(true) {
		r.budget.Release(r.bytes)
	}
}
