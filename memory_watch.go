package turnfork

import (
	"context"
	"runtime/metrics"
	"time"
)

const (
	memoryCheckInterval = time.Second
	memoryLogInterval   = 10 * time.Second // between two lines while the memory stays high

	highMemoryShare = 0.75 // of the memory limit, from which the memory is logged; the rest is for what the runtime does not count
)

// memoryUse is what a process uses of its memory, in bytes.
type memoryUse struct{ total, heap, stacks int64 }

// readMemoryUse asks the Go runtime, which does not count the program's own pages.
func readMemoryUse() memoryUse {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
	}
	metrics.Read(samples)
	value := func(i int) int64 { return int64(samples[i].Value.Uint64()) }
	return memoryUse{total: value(0) - value(1), heap: value(2), stacks: value(3)}
}

// watchMemory logs what holds the memory while more than highMemoryShare of the limit is in use, until ctx ends.
func (gw *gateway) watchMemory(ctx context.Context) {
	if gw.node.MemoryMB <= 0 {
		return
	}
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	var lastLog time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if use := readMemoryUse(); gw.memoryIsHigh(use) && time.Since(lastLog) >= memoryLogInterval {
			lastLog = time.Now()
			gw.logMemory(use)
		}
	}
}

// memoryIsHigh reports whether the use is to be logged.
func (gw *gateway) memoryIsHigh(use memoryUse) bool {
	return float64(use.total) > highMemoryShare*float64(gw.node.MemoryMB)*bytesPerMB
}

// logMemory logs the use of the memory, and how much of it each kind of buffer has.
func (gw *gateway) logMemory(use memoryUse) {
	connections := 0
	var requests, responses, upstream int64
	for _, f := range gw.frontends {
		connections += f.Conns()
		inRequests, inResponses := f.BufferedBytes()
		requests += inRequests
		responses += inResponses
	}
	if gw.upstreamBudget != nil {
		upstream = gw.upstreamBudget.Reserved()
	}
	gw.Log.Warn().
		Int("limit_mb", gw.node.MemoryMB).
		Int64("total_bytes", use.total).
		Int64("heap_bytes", use.heap).
		Int64("stack_bytes", use.stacks).
		Int64("request_bytes", requests).
		Int64("response_bytes", responses).
		Int64("upstream_bytes", upstream).
		Int("connections", connections).
		Int("open", gw.openRequests()).
		Msg("memory use is high")
}
