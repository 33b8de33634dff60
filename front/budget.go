package front

import "sync/atomic"

// Budget limits the bytes that a frontend holds in memory for one purpose, over all its connections.
type Budget struct {
	Most int64
	held atomic.Int64
}

// Take reserves n bytes. It returns false if that would exceed the limit.
func (b *Budget) Take(n int) bool {
	if b.held.Add(int64(n)) > atomic.LoadInt64(&b.Most) {
		b.held.Add(-int64(n))
		return false
	}
	return true
}

// TakeAnyway reserves n bytes even beyond the limit. Callers must limit how often they do so.
func (b *Budget) TakeAnyway(n int) { b.held.Add(int64(n)) }

// Give releases n reserved bytes.
func (b *Budget) Give(n int) { b.held.Add(-int64(n)) }

// Limit changes the limit. Bytes that are already reserved stay reserved.
func (b *Budget) Limit(maxBytes int64) { atomic.StoreInt64(&b.Most, maxBytes) }
