// Package limits limits requests, bytes and failures by name. It does no I/O and has no clock: the time in milliseconds is
// passed to every call. The memory of its tables is fixed when they are created, however many names are used.
package limits

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Rate is the refill rate and the capacity of a token bucket.
type Rate struct {
	PerSecond float64 // tokens that are refilled; 0: no limit
	Burst     float64 // capacity; 0: what is refilled in a second, at least 1
}

func (r Rate) burst() float64 {
	if r.Burst > 0 {
		return r.Burst
	}
	return math.Max(1, r.PerSecond)
}

// ways is the number of buckets in a set. A name's bucket is evicted only when its set holds this many others that are nearer
// to empty.
const ways = 8

const shards = 64

// Table has a token bucket for each name. When a set is full, the bucket that is nearest to full is evicted, and its name starts
// again with a full one. So the error is one-sided: a name may get more than its rate, by at most the tokens that the evicted
// bucket lacked, but never less, except if names have the same 64-bit hash (xxHash64).
type Table struct {
	rate   Rate
	shards [shards]shard
}

type shard struct {
	mu   sync.Mutex
	sets [][ways]bucket
}

type bucket struct {
	name  uint64  // hash of the name; 0: the bucket is unused
	level float32 // tokens at the time of the last update
	at    float64 // time of the last update, in ms
}

// bucketSize is the size of a bucket in bytes.
const bucketSize = 24

// NewTable returns a table for about the given number of names.
func NewTable(rate Rate, names int) *Table {
	t := &Table{rate: rate}
	setsPerShard := max(1, (names+shards*ways-1)/(shards*ways))
	for i := range t.shards {
		t.shards[i].sets = make([][ways]bucket, setsPerShard)
	}
	return t
}

// MemoryBytes returns the size of the table's memory.
func (t *Table) MemoryBytes() int { return shards * len(t.shards[0].sets) * ways * bucketSize }

// Enabled reports whether the table limits anything.
func (t *Table) Enabled() bool { return t != nil && t.rate.PerSecond > 0 }

// level returns a bucket's tokens at now. After a backward step of the clock none are refilled.
func (t *Table) level(b *bucket, now float64) float64 {
	return math.Min(t.rate.burst(), float64(b.level)+math.Max(0, now-b.at)/1000*t.rate.PerSecond)
}

// Take takes n tokens from a name's bucket if it has them, and otherwise returns in how many ms it will. If n exceeds the
// burst, a full bucket suffices, and the difference is owed.
func (t *Table) Take(name string, n, now float64) (ok bool, wait float64) {
	if !t.Enabled() {
		return true, 0
	}
	return t.consume(name, n, now, math.Min(n, t.rate.burst()))
}

// Spend takes n tokens from a name's bucket whether or not it has them: missing tokens are owed, up to a burst.
func (t *Table) Spend(name string, n, now float64) {
	if t.Enabled() {
		t.consume(name, n, now, math.Inf(-1))
	}
}

// Level returns the tokens of a name.
func (t *Table) Level(name string, now float64) float64 {
	if !t.Enabled() {
		return math.Inf(1)
	}
	hash, s, set := t.find(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range set {
		if set[i].name == hash {
			return t.level(&set[i], now)
		}
	}
	return t.rate.burst()
}

func (t *Table) find(name string) (hash uint64, s *shard, set *[ways]bucket) {
	hash = xxhash.Sum64String(name) | 1 // 0 marks an unused bucket
	s = &t.shards[hash>>58]
	return hash, s, &s.sets[(hash>>1)%uint64(len(s.sets))]
}

func (t *Table) consume(name string, n, now, required float64) (ok bool, wait float64) {
	hash, s, set := t.find(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	var b *bucket
	for i := range set {
		if set[i].name == hash {
			b = &set[i]
			break
		}
	}
	level := t.rate.burst()
	if b != nil {
		level = t.level(b, now)
	}
	if b != nil { // even if nothing is taken: after a backward step of the clock, refilling starts from the new time
		b.level, b.at = float32(level), now
	}
	if level < required {
		return false, (required - level) / t.rate.PerSecond * 1000
	}
	if b == nil {
		b = t.leastUsed(set, now)
	}
	b.name, b.at = hash, now
	b.level = float32(math.Max(level-n, -t.rate.burst()))
	return true, 0
}

// leastUsed returns an unused bucket of a set, or else the bucket that is nearest to full.
func (t *Table) leastUsed(set *[ways]bucket, now float64) *bucket {
	best, highest := &set[0], math.Inf(-1)
	for i := range set {
		if set[i].name == 0 {
			return &set[i]
		}
		if l := t.level(&set[i], now); l > highest {
			best, highest = &set[i], l
		}
	}
	return best
}
