package replica

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the memory of heap and stacks after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// BenchmarkSubscribers has one voter serve subscribers in the same process. An iteration is a second with 46 purges. The
// metrics cover both ends together: memory of a subscriber, CPU time of one in a second, and bytes that one receives and
// sends in a second.
func BenchmarkSubscribers(b *testing.B) {
	const purgesPerSecond = 46
	for _, count := range []int{100, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := newCluster(b, 1, distribution.Limits{}, func(_ int, opt *Options) {
				opt.Timing, opt.Dial = distribution.Timing{}, nil
			})
			c.leader()
			before := memoryInUse()
			subscribers := make([]*testSubscriber, count)
			for i := range subscribers {
				subscribers[i] = c.subscriber(fmt.Sprint("gateway-", i), c.members, func(opt *SubscriberOptions) {
					opt.Timing, opt.Dial = distribution.Timing{}, nil
				})
			}
			for _, s := range subscribers {
				s.awaitFresh()
			}
			memory := memoryInUse() - before
			first := subscribers[0].Status()
			cpu, began := cpuTime(b), time.Now()
			object := uint64(0)
			for b.Loop() {
				for range purgesPerSecond {
					object++
					next := time.Now().Add(time.Second / purgesPerSecond)
					if err := c.stores[0].Purge(testContext(b), object, 0); err != nil {
						b.Fatal(err)
					}
					time.Sleep(time.Until(next))
				}
			}
			took := time.Since(began).Seconds()
			cpu = cpuTime(b) - cpu
			last := subscribers[0].Status()
			b.ReportMetric(float64(memory)/float64(count), "B/subscriber")
			b.ReportMetric(cpu.Seconds()/took/float64(count)*1e6, "µs-cpu/subscriber/s")
			b.ReportMetric(float64(last.BytesIn-first.BytesIn)/took, "B-in/s")
			b.ReportMetric(float64(last.BytesOut-first.BytesOut)/took, "B-out/s")
		})
	}
}
