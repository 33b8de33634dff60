package turnfork

import (
	"math"
	"runtime"
	"runtime/debug"

	"turnfork.dev/turnfork/config"
)

const (
	bytesPerMB = 1 << 20

	heapShare = 0.6 // of the memory limit: target of the garbage collector

	// processMemory is what a process takes besides its buffers: the program, its idle connections and the tables of the
	// decision module.
	processMemory = 24 * bytesPerMB

	minBufferShare = 0.25 // of the memory limit, for buffers where processMemory leaves less
)

// Shares of the memory for buffers. Their sum is far below 1, as the garbage that has not been collected yet and copies that are
// being written come on top.
const (
	responseShare         = 0.17 // responses that wait for their clients
	requestShare          = 0.06 // open requests
	upstreamResponseShare = 0.1  // responses of endpoints that are being read, or wait for the core
)

// memoryLimits are the limits on buffered bytes of a process; 0: the defaults of the packages, as no memory limit is set.
type memoryLimits struct{ responses, requests, upstreamResponses int64 }

// newMemoryLimits divides a node's memory among the buffers of its frontends, which share two of the limits evenly, and those of
// its upstreams.
func newMemoryLimits(node config.Node, frontends int) memoryLimits {
	memory := float64(node.MemoryMB) * bytesPerMB
	buffers := max(minBufferShare*memory, memory-processMemory)
	if memory == 0 {
		buffers = 0
	}
	perFrontend := buffers / float64(max(1, frontends))
	return memoryLimits{
		responses:         int64(responseShare * perFrontend),
		requests:          int64(requestShare * perFrontend),
		upstreamResponses: int64(upstreamResponseShare * buffers),
	}
}

// SetRuntimeLimits configures the Go runtime for a machine with this number of cores and this memory; 0 leaves a setting as it
// is.
func SetRuntimeLimits(cores float64, memoryMB int) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Round(cores))))
	}
	setHeapLimit(memoryMB, 1)
}

// setHeapLimit sets the memory limit of the Go runtime to this process's share; 0 leaves it as it is.
func setHeapLimit(memoryMB, processes int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memoryMB) / float64(processes) * bytesPerMB))
	}
}
