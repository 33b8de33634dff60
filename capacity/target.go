// Package capacity holds the arithmetic of docs/CAPACITY.md: the size that is planned for, straight lines through measured
// points, and the chance that a group of voters loses its majority. It does no I/O. Its benchmarks measure the slopes that the
// page multiplies; each figure there names the one that gave it.
package capacity

// Target is a size that the system is planned for.
type Target struct {
	Gateways, Sites, Stores int
	Zones, Regions          int
	ControlMachines         int
	RequestsPerSecond       float64
	BitsPerSecond           float64
	PurgesPerSecond         float64
	ConfigChangesPerDay     float64
	MachineFailuresPerDay   float64
	ReplacementsPerDay      float64
}

// Planned is the size in two years' time.
var Planned = Target{
	Gateways: 3400, Sites: 140, Stores: 560, Zones: 28, Regions: 8, ControlMachines: 5,
	RequestsPerSecond: 2.9e6, BitsPerSecond: 18e12, PurgesPerSecond: 46, ConfigChangesPerDay: 8100,
	MachineFailuresPerDay: 21, ReplacementsPerDay: 330,
}

// Unevenness is the assumed ratio of the busiest unit's load to the mean of its kind.
const Unevenness = 4

const bitsPerByte = 8

// Load is what one unit carries at the peak.
type Load struct {
	RequestsPerSecond float64
	BytesPerSecond    float64
}

// Mean is the load of one unit where the whole is spread evenly over so many.
func (t Target) Mean(units int) Load {
	return Load{t.RequestsPerSecond / float64(units), t.BitsPerSecond / bitsPerByte / float64(units)}
}

// Times is a load multiplied by a factor.
func (l Load) Times(factor float64) Load {
	return Load{l.RequestsPerSecond * factor, l.BytesPerSecond * factor}
}

// BytesPerRequest is the mean size of an answer.
func (t Target) BytesPerRequest() float64 {
	return t.BitsPerSecond / bitsPerByte / t.RequestsPerSecond
}

// InHand is the mean number of transfers under way at a load (Little's law), where each goes at a client's pace.
func (l Load) InHand(bytesPerRequest, clientBytesPerSecond float64) float64 {
	return l.RequestsPerSecond * bytesPerRequest / clientBytesPerSecond
}
