package limits

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
)

// FuzzTable compares a table with room for all names with plain buckets. In a table that is too small it checks that a name
// never gets less than its own bucket would give.
func FuzzTable(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 0, 0, 0, 9, 200, 0, 1})
	f.Add([]byte{5, 5, 5, 5, 5, 255, 5, 5, 5, 128, 5})
	f.Fuzz(func(t *testing.T, steps []byte) {
		rate := Rate{PerSecond: 10, Burst: 3}
		large, small := NewTable(rate, 1<<12), NewTable(rate, 1)
		levels, updatedAt, now := map[int]float64{}, map[int]float64{}, 1e12
		for i, s := range steps {
			now += float64(s>>4) * 20
			if s == 255 {
				now -= 1000 // a backward step of the clock
			}
			name := int(s & 15)
			text := fmt.Sprint(name)
			if s%3 == 0 {
				text = fmt.Sprintf("%d-%d", name, i) // a name seen once
			}
			level, lastUpdate := levels[name], updatedAt[name]
			if lastUpdate == 0 || text != fmt.Sprint(name) {
				level, lastUpdate = 3, now
			}
			level = math.Min(3, level+math.Max(0, now-lastUpdate)/100)
			ok, wait := large.Take(text, 1, now)
			if want := level >= 1; ok != want && math.Abs(level-1) > 1e-3 {
				t.Fatalf("step %d: %v at level %v", i, ok, level)
			}
			if !ok && (wait <= 0 || wait > 100.1) {
				t.Fatalf("wait %v", wait)
			}
			if okSmall, _ := small.Take(text, 1, now); ok && !okSmall && math.Abs(level-1) > 1e-3 {
				t.Fatalf("step %d: a full table gave less", i)
			}
			if ok {
				level--
			}
			if text == fmt.Sprint(name) {
				levels[name], updatedAt[name] = level, now
			}
		}
	})
}

// A million names use no more memory than the table was created with, and a name that has used its burst is not evicted unless
// its set holds eight others that are nearer to empty.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(Rate{PerSecond: 1, Burst: 5}, 1<<16)
	for range 5 {
		table.Take("greedy", 1, 0)
	}
	evicted := 0
	for i := range 1000000 {
		table.Take(fmt.Sprint(i), 1, float64(i)/1e6)
		if i%100000 == 0 {
			if ok, _ := table.Take("greedy", 1, float64(i)/1e6); ok {
				evicted++
			}
		}
	}
	if n := table.MemoryBytes(); n > 1<<16*bucketSize*2 || evicted > 0 {
		t.Errorf("%d bytes, evicted %d times", n, evicted)
	}
	t.Logf("%d bytes for a million names", table.MemoryBytes())
}

// A source with failures is slowed, then blocked; its tokens are still checked at the configured rate, and it recovers with
// time. Other sources are not affected.
func TestGuard(t *testing.T) {
	g := NewGuard(GuardOptions{Failures: Rate{1, 10}, Checks: Rate{5, 5}, PauseMs: 200, MaxSources: 100})
	now, checked := 0.0, 0
	for i := range 40 {
		pause := g.Pause("bad", now)
		if i < 5 && pause != 0 || i > 5 && i < 10 && (pause <= 0 || pause > 200) || i > 15 && pause != 200 {
			t.Errorf("failure %d: paused %v", i, pause)
		}
		if ok, wait := g.Check("bad", now); ok {
			checked++
			g.Failed("bad", now)
		} else if wait <= 0 {
			t.Errorf("failure %d: no retry delay", i)
		}
	}
	if checked != 15 { // ten tolerated failures, and a burst of five checks
		t.Errorf("%d checked", checked)
	}
	for range 20 {
		now += 200
		if ok, _ := g.Check("bad", now); !ok {
			t.Error("fewer checks than the configured rate")
		}
		g.Failed("bad", now)
	}
	if ok, wait := g.Check("good", now); !ok || wait != 0 || g.Pause("good", now) != 0 {
		t.Error("another source is limited as well")
	}
	now += 60000
	if g.Pause("bad", now) != 0 {
		t.Error("still paused after a minute")
	}
}

func TestSampler(t *testing.T) {
	s := NewSampler(Rate{PerSecond: 10, Burst: 10})
	through, suppressed := 0, 0
	for i := range 10000 {
		if ok, n := s.Take("a", float64(i)/10); ok {
			through++
			suppressed += n
		}
	}
	if through < 19 || through > 20 || suppressed+through > 10000 || suppressed < 8000 {
		t.Errorf("%d through, %d counted", through, suppressed)
	}
}

// Concurrent requests take no more tokens than the bucket has.
func TestConcurrentEnter(t *testing.T) {
	for range 200 {
		l := New(Options{Grant: Limit{Requests: Rate{1, 3}}})
		var wg sync.WaitGroup
		var admitted atomic.Int64
		for range 16 {
			wg.Go(func() {
				if l.Enter(Subject{Grant: "g"}, 0) == nil {
					admitted.Add(1)
				}
			})
		}
		if wg.Wait(); admitted.Load() != 3 {
			t.Fatalf("%d requests admitted", admitted.Load())
		}
	}
}

func BenchmarkTake(b *testing.B) {
	t := NewTable(Rate{PerSecond: 1000}, 1<<16)
	names := make([]string, 1<<12)
	for i := range names {
		names[i] = fmt.Sprint("grant/", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		t.Take(names[i&(1<<12-1)], 1, float64(i))
	}
}

// FuzzLimits compares the limits with plain counters: no name has more requests in flight than its limit, a rejected request is
// not charged, and after all admitted requests are released none is counted.
func FuzzLimits(f *testing.F) {
	f.Add([]byte{1, 2, 3, 128, 4, 5, 129, 130, 1, 1, 1, 1})
	f.Fuzz(func(t *testing.T, steps []byte) {
		l := New(Options{
			Grant: Limit{Requests: Rate{10, 3}, MaxInFlight: 2}, Key: Limit{MaxInFlight: 4, Bytes: Rate{1000, 1000}}, Client: Limit{Requests: Rate{5, 5}},
		})
		var admitted []Subject
		count := map[string]int{}
		now := 1e6
		for _, s := range steps {
			if s >= 128 && len(admitted) > 0 {
				at := int(s) % len(admitted)
				l.Release(admitted[at], float64(s), now)
				count["g"+admitted[at].Grant]--
				count["k"+admitted[at].Key]--
				admitted = append(admitted[:at], admitted[at+1:]...)
				continue
			}
			now += float64(s>>3) * 5
			w := Subject{Grant: fmt.Sprint("g", s%4), Key: fmt.Sprint("k", s%2), Client: "c"}
			before := l.kinds[2].requests.Level("c", now)
			r := l.Enter(w, now)
			after := l.kinds[2].requests.Level("c", now)
			switch {
			case r == nil:
				count["g"+w.Grant]++
				count["k"+w.Key]++
				admitted = append(admitted, w)
			case r.RetryAfter <= 0 || math.Abs(before-after) > 1e-3:
				t.Fatalf("%+v cost %v", r, before-after)
			}
			if count["g"+w.Grant] > 2 || count["k"+w.Key] > 4 {
				t.Fatalf("%v", count)
			}
		}
		for _, w := range admitted {
			l.Release(w, 0, now)
		}
		if len(l.inUse.open) > 0 {
			t.Errorf("still counted: %v", l.inUse.open)
		}
	})
}
