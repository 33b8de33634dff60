package turnfork

import (
	"math"
	"runtime"
	"runtime/debug"

	"turnfork.dev/turnfork/adminapi"
	"turnfork.dev/turnfork/config"
)

// Shares of the machine's file descriptors.
const (
	reservedDescriptors = 16       // for everything but admin callers, clients and endpoints
	adminShare          = 1.0 / 16 // of all, for the admin API
	frontendShare       = 0.58     // of the rest; typical clients hold at most a third of all
	upstreamShare       = 0.4      // of the rest

	minAdminConns  = 4
	minOtherConns  = 8
	defaultSockets = 1024
)

// Shares of the machine's memory limit.
const (
	heapShare     = 0.6  // target of the garbage collector
	responseShare = 0.15 // for buffered responses
	requestShare  = 0.05 // for unanswered requests

	bytesPerMB = 1 << 20
)

// connectionLimits are the limits on the number of connections of each kind, as each takes a descriptor.
type connectionLimits struct{ admin, frontend, upstream int }

// newConnectionLimits divides a process's descriptors among the kinds of connections.
func newConnectionLimits(sockets int) connectionLimits {
	admin := max(minAdminConns, min(adminapi.MaxConns, int(adminShare*float64(sockets))))
	rest := max(minOtherConns, float64(sockets-reservedDescriptors-admin))
	return connectionLimits{
		admin:    admin,
		frontend: int(frontendShare * rest),
		upstream: int(upstreamShare * rest),
	}
}

// SetRuntimeLimits configures the Go runtime for a machine with this number of cores and this memory; 0 leaves a setting as it
// is.
func SetRuntimeLimits(cores float64, memoryMB int) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Round(cores))))
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memoryMB) * bytesPerMB))
	}
}

// setHeapLimit sets the memory limit of the Go runtime to this process's share.
func setHeapLimit(node config.Node, processes int) {
	if node.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(node.MemoryMB) / float64(processes) * bytesPerMB))
	}
}

// memoryBytes returns a share of the node's memory in bytes; 0 if no memory limit is set.
func memoryBytes(share float64, node config.Node) int64 {
	return int64(share * float64(node.MemoryMB) * bytesPerMB)
}
