package capacity_test

import (
	"runtime"
	"runtime/metrics"
	"syscall"
	"testing"
	"time"
)

// processorTime returns the processor time that this process has used so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the memory of live objects and of stacks, after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() + samples[1].Value.Uint64())
}

// reportWithoutTime reports a value and suppresses the time per iteration, for benchmarks that measure something else.
func reportWithoutTime(b *testing.B, value float64, unit string) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(value, unit)
}
