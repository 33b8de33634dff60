// Package capacity holds the arithmetic of docs/CAPACITY.md: the planned size, straight lines fitted through measured points,
// and the probability that a group of voters loses its majority. It does no I/O. Its benchmarks measure the slopes that the
// page multiplies; each figure there names its benchmark.
package capacity

// Target is a planned size of the system.
type Target struct {
	Gateways, Sites, Endpoints int
	Zones, Regions             int
	ControlMachines            int
	RequestsPerSecond          float64
	BitsPerSecond              float64
	PurgesPerSecond            float64
	ConfigChangesPerDay        float64
	MachineFailuresPerDay      float64
	ReplacementsPerDay         float64
}

// Planned is the size in two years' time.
var Planned = Target{
	Gateways: 3400, Sites: 140, Endpoints: 560, Zones: 28, Regions: 8, ControlMachines: 5,
	RequestsPerSecond: 2.9e6, BitsPerSecond: 18e12, PurgesPerSecond: 46, ConfigChangesPerDay: 8100,
	MachineFailuresPerDay: 21, ReplacementsPerDay: 330,
}

// PeakToMeanRatio is the assumed ratio of the busiest unit's load to the mean of its kind.
const PeakToMeanRatio = 4

const bitsPerByte = 8

// Load is the peak load of one unit.
type Load struct {
	RequestsPerSecond float64
	BytesPerSecond    float64
}

// MeanLoad returns the load of one unit if the total is spread evenly over a number of units.
func (t Target) MeanLoad(units int) Load {
	return Load{t.RequestsPerSecond / float64(units), t.BitsPerSecond / bitsPerByte / float64(units)}
}

// Scaled returns the load multiplied by a factor.
func (l Load) Scaled(factor float64) Load {
	return Load{l.RequestsPerSecond * factor, l.BytesPerSecond * factor}
}

// BytesPerRequest returns the mean size of a response.
func (t Target) BytesPerRequest() float64 {
	return t.BitsPerSecond / bitsPerByte / t.RequestsPerSecond
}

// ConcurrentTransfers returns the mean number of concurrent transfers at a load (Little's law), if each runs at the client's rate.
func (l Load) ConcurrentTransfers(bytesPerRequest, clientBytesPerSecond float64) float64 {
	return l.RequestsPerSecond * bytesPerRequest / clientBytesPerSecond
}
