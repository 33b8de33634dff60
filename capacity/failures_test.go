package capacity

import (
	"testing"
	"time"
)

// Assumptions of docs/CAPACITY.md about how often one unit fails. A planned restart takes one voter at a time and is no
// failure.
const (
	machines       = 3965 // gateways, stores and control machines
	racks          = 280  // two at each site
	rackDays       = 45   // between failures of a rack or switch anywhere
	zoneDays       = 60   // between losses of a zone anywhere
	regionCutsYear = 6    // of regions, all together
	daysPerYear    = 365
)

// repairs are how long each kind of unit is out.
type repairs struct {
	name                        string
	machine, rack, zone, region time.Duration
}

func (r repairs) failures() Failures {
	return Failures{
		Machine: Failure{Planned.MachineFailuresPerDay * daysPerYear / machines, r.machine},
		Rack:    Failure{daysPerYear / float64(rackDays) / racks, r.rack},
		Zone:    Failure{daysPerYear / float64(zoneDays) / float64(Planned.Zones), r.zone},
		Region:  Failure{regionCutsYear / float64(Planned.Regions), r.region},
	}
}

var repairTimes = []repairs{
	{"fast", 15 * time.Minute, time.Hour, 30 * time.Minute, 5 * time.Minute},
	{"planned for", 4 * time.Hour, 4 * time.Hour, 2 * time.Hour, 10 * time.Minute},
	{"slow", 24 * time.Hour, 24 * time.Hour, 8 * time.Hour, time.Hour},
	{"by hand", 96 * time.Hour, 72 * time.Hour, 24 * time.Hour, 4 * time.Hour},
}

// placements of five voters, and of three.
var placements = []struct {
	name   string
	places []Place
}{
	{"5 in one rack", []Place{{}, {}, {}, {}, {}}},
	{"5 in one zone, a rack each", []Place{{Rack: 1}, {Rack: 2}, {Rack: 3}, {Rack: 4}, {Rack: 5}}},
	{"5 in one region, zones 2-2-1", []Place{{0, 1, 1}, {0, 1, 2}, {0, 2, 1}, {0, 2, 2}, {0, 3, 1}}},
	{"5 in three regions 2-2-1, a zone each", []Place{{1, 1, 1}, {1, 2, 1}, {2, 1, 1}, {2, 2, 1}, {3, 1, 1}}},
	{"5 in five regions", []Place{{Region: 1}, {Region: 2}, {Region: 3}, {Region: 4}, {Region: 5}}},
	{"3 in three regions", []Place{{Region: 1}, {Region: 2}, {Region: 3}}},
}

// TestPlacements prints the table of the page (-v) and checks its rule: more kinds of units kept apart is never worse, as
// long as what is kept apart fails on its own.
func TestPlacements(t *testing.T) {
	for _, r := range repairTimes {
		f := r.failures()
		t.Logf("%s: machine %v, rack %v, zone %v, region %v", r.name, r.machine, r.rack, r.zone, r.region)
		var outages []Outage
		for _, p := range placements {
			out, err := f.MajorityLoss(p.places)
			if err != nil {
				t.Fatal(err)
			}
			outages = append(outages, out)
			t.Logf("| %s | %.2g | %.2g | %v | %v |", p.name, out.Unavailability, out.PerYear,
				out.Mean().Round(time.Second), out.PerYearTime().Round(time.Millisecond))
		}
		for i := 1; i < 5; i++ {
			if outages[i].Unavailability > outages[i-1].Unavailability {
				t.Errorf("%s: %s is worse than %s", r.name, placements[i].name, placements[i-1].name)
			}
		}
		machine := f.Machine.Unavailability()
		t.Logf("of 5 independent machines alone, 3 or more out: %.2g; a machine's unavailability %.2g", AtLeast(3, 5, machine), machine)
	}
}
