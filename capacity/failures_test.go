package capacity

import (
	"testing"
	"time"
)

// Assumptions of docs/CAPACITY.md about how often one unit fails. A planned restart stops one voter at a time and does not
// count as a failure.
const (
	machines                = 3965 // gateways, endpoints and control machines
	racks                   = 280  // two at each site
	daysBetweenRackFailures = 45   // between failures of a rack or switch anywhere
	daysBetweenZoneFailures = 60   // between losses of a zone anywhere
	regionFailuresPerYear   = 6    // of all regions together
	daysPerYear             = 365
)

// repairs holds the time that the repair of each kind of unit takes.
type repairs struct {
	name                        string
	machine, rack, zone, region time.Duration
}

func (r repairs) failures() Failures {
	return Failures{
		Machine: Failure{Planned.MachineFailuresPerDay * daysPerYear / machines, r.machine},
		Rack:    Failure{daysPerYear / float64(daysBetweenRackFailures) / racks, r.rack},
		Zone:    Failure{daysPerYear / float64(daysBetweenZoneFailures) / float64(Planned.Zones), r.zone},
		Region:  Failure{regionFailuresPerYear / float64(Planned.Regions), r.region},
	}
}

var repairTimes = []repairs{
	{"fast", 15 * time.Minute, time.Hour, 30 * time.Minute, 5 * time.Minute},
	{"planned for", 4 * time.Hour, 4 * time.Hour, 2 * time.Hour, 10 * time.Minute},
	{"slow", 24 * time.Hour, 24 * time.Hour, 8 * time.Hour, time.Hour},
	{"by hand", 96 * time.Hour, 72 * time.Hour, 24 * time.Hour, 4 * time.Hour},
}

// placements are the locations of groups of five voters, and of a group of three.
var placements = []struct {
	name      string
	locations []Location
}{
	{"5 in one rack", []Location{{}, {}, {}, {}, {}}},
	{"5 in one zone, a rack each", []Location{{Rack: 1}, {Rack: 2}, {Rack: 3}, {Rack: 4}, {Rack: 5}}},
	{"5 in one region, zones 2-2-1", []Location{{0, 1, 1}, {0, 1, 2}, {0, 2, 1}, {0, 2, 2}, {0, 3, 1}}},
	{"5 in three regions 2-2-1, a zone each", []Location{{1, 1, 1}, {1, 2, 1}, {2, 1, 1}, {2, 2, 1}, {3, 1, 1}}},
	{"5 in five regions", []Location{{Region: 1}, {Region: 2}, {Region: 3}, {Region: 4}, {Region: 5}}},
	{"3 in three regions", []Location{{Region: 1}, {Region: 2}, {Region: 3}}},
}

// TestPlacements prints the table of docs/CAPACITY.md (with -v) and checks its rule: if voters share fewer kinds of units, the
// group is never less available, as long as units fail independently.
func TestPlacements(t *testing.T) {
	for _, r := range repairTimes {
		f := r.failures()
		t.Logf("%s: machine %v, rack %v, zone %v, region %v", r.name, r.machine, r.rack, r.zone, r.region)
		var outages []Outage
		for _, p := range placements {
			out, err := f.MajorityLoss(p.locations)
			if err != nil {
				t.Fatal(err)
			}
			outages = append(outages, out)
			t.Logf("| %s | %.2g | %.2g | %v | %v |", p.name, out.Unavailability, out.PerYear,
				out.MeanDuration().Round(time.Second), out.TimePerYear().Round(time.Millisecond))
		}
		for i := 1; i < 5; i++ {
			if outages[i].Unavailability > outages[i-1].Unavailability {
				t.Errorf("%s: %s is worse than %s", r.name, placements[i].name, placements[i-1].name)
			}
		}
		machine := f.Machine.Unavailability()
		t.Logf("probability that 3 or more of 5 independent machines are down: %.2g; unavailability of a machine: %.2g", ProbabilityAtLeast(3, 5, machine), machine)
	}
}
