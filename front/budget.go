package front

import "sync/atomic"

// Budget limits the bytes that a frontend holds in memory for one purpose, over all its connections.
type Budget struct {
	Limit    int64
	reserved atomic.Int64
}

// TryReserve reserves n bytes. It returns false if that would exceed the limit.
func (b *Budget) TryReserve(n int) bool {
	if b.reserved.Add(int64(n)) > atomic.LoadInt64(&b.Limit) {
		b.reserved.Add(-int64(n))
		return false
	}
	return true
}

// Reserve reserves n bytes even beyond the limit. Callers must limit how often they do so.
func (b *Budget) Reserve(n int) { b.reserved.Add(int64(n)) }

// Release releases n reserved bytes.
func (b *Budget) Release(n int) { b.reserved.Add(-int64(n)) }

// SetLimit changes the limit. Bytes that are already reserved stay reserved.
func (b *Budget) SetLimit(maxBytes int64) { atomic.StoreInt64(&b.Limit, maxBytes) }
