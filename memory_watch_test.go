package turnfork

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/limits"
)

// The line tells what holds the memory; it is written only above the threshold.
func TestHighMemoryIsLogged(t *testing.T) {
	var log bytes.Buffer
	budget := limits.NewByteBudget(1000)
	budget.TryReserve(700)
	gw := &gateway{Config: Config{Log: zerolog.New(&log)}, node: config.Node{MemoryMB: 64}, upstreamBudget: budget}
	if use := readMemoryUse(); use.total <= use.heap || use.heap <= 0 || use.stacks <= 0 {
		t.Errorf("%+v", use)
	}
	if gw.memoryIsHigh(memoryUse{total: 48 << 20}) || !gw.memoryIsHigh(memoryUse{total: 48<<20 + 1}) {
		t.Error("the threshold is not at three quarters of 64 MB")
	}
	gw.logMemory(memoryUse{total: 50 << 20, heap: 40 << 20, stacks: 5 << 20})
	var line map[string]any
	if err := json.Unmarshal(log.Bytes(), &line); err != nil || line["upstream_bytes"] != 700.0 || line["heap_bytes"] != float64(40<<20) || line["limit_mb"] != 64.0 {
		t.Errorf("%s, %v", log.String(), err)
	}
}
