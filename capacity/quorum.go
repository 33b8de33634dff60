package capacity

import (
	"errors"
	"math"
	"math/bits"
	"time"
)

const year = 365 * 24 * time.Hour

// Failure is how often one unit of a kind fails while it is up, and how long its repair takes.
type Failure struct {
	PerYear float64
	Repair  time.Duration
}

// Unavailability returns the fraction of time for which a unit is down.
func (f Failure) Unavailability() float64 {
	downPerUp := f.PerYear * f.Repair.Hours() / year.Hours()
	return downPerUp / (1 + downPerUp)
}

// Frequency returns the failures of a unit per year. A unit can't fail while it is down.
func (f Failure) Frequency() float64 { return f.PerYear * (1 - f.Unavailability()) }

// Failures holds the failures of every kind of unit that a voter depends on. Units fail independently of each other.
type Failures struct{ Machine, Rack, Zone, Region Failure }

// Location is the location of a voter. Rack numbers are local to a zone, and zone numbers to a region: rack 1 of zone 1 is not
// rack 1 of zone 2.
type Location struct{ Region, Zone, Rack int }

// MaxVoters bounds the voters of one group.
const MaxVoters = 16

// ErrVoterCount is returned for a group without voters or with more than MaxVoters.
var ErrVoterCount = errors.New("capacity: a group must have 1 to 16 voters")

// Outage describes how often and for how long a group has no majority.
type Outage struct {
	Unavailability float64 // fraction of time without a majority
	PerYear        float64 // number of outages per year
}

// MeanDuration returns the mean duration of an outage.
func (o Outage) MeanDuration() time.Duration {
	if o.PerYear == 0 {
		return 0
	}
	return time.Duration(o.Unavailability / o.PerYear * float64(year))
}

// TimePerYear returns the time without a majority per year.
func (o Outage) TimePerYear() time.Duration { return time.Duration(o.Unavailability * float64(year)) }

// MajorityLoss returns the outages of a group that has one voter at each location.
func (f Failures) MajorityLoss(locations []Location) (Outage, error) {
	if len(locations) == 0 || len(locations) > MaxVoters {
		return Outage{}, ErrVoterCount
	}
	units := f.units(locations)
	outage := Outage{Unavailability: majorityLossProbability(units, len(locations), -1, 0)}
	for i, u := range units {
		// The rate of outages caused by a unit is its failure frequency multiplied by the probability that the majority
		// depends on this unit (Birnbaum's importance).
		importance := majorityLossProbability(units, len(locations), i, 1) - majorityLossProbability(units, len(locations), i, 0)
		outage.PerYear += u.failure.Frequency() * importance
	}
	return outage, nil
}

// unit is a machine, rack, zone or region, with the set of voters (a bit each) that are down while it is down.
type unit struct {
	failure Failure
	voters  uint32
}

// units returns the units that voters at these locations depend on.
func (f Failures) units(locations []Location) (units []unit) {
	racks, zones, regions := map[Location]uint32{}, map[Location]uint32{}, map[Location]uint32{}
	for i, p := range locations {
		voter := uint32(1) << i
		units = append(units, unit{f.Machine, voter})
		racks[p] |= voter
		zones[Location{Region: p.Region, Zone: p.Zone}] |= voter
		regions[Location{Region: p.Region}] |= voter
	}
	for _, kind := range []struct {
		failure Failure
		shared  map[Location]uint32
	}{{f.Rack, racks}, {f.Zone, zones}, {f.Region, regions}} {
		for _, voters := range kind.shared {
			units = append(units, unit{kind.failure, voters})
		}
	}
	return units
}

// majorityLossProbability returns the probability that no majority of the voters is up. The unit at index fixed is down with
// the probability fixedDown instead of its unavailability; fixed -1: no unit.
func majorityLossProbability(units []unit, voters, fixed int, fixedDown float64) (loss float64) {
	probabilities := make([]float64, 1<<voters) // by the set of voters that are down
	probabilities[0] = 1
	for i, u := range units {
		down := u.failure.Unavailability()
		if i == fixed {
			down = fixedDown
		}
		next := make([]float64, len(probabilities))
		for set, p := range probabilities {
			next[set] += p * (1 - down)
			next[uint32(set)|u.voters] += p * down
		}
		probabilities = next
	}
	for set, p := range probabilities {
		if 2*(voters-bits.OnesCount(uint(set))) <= voters {
			loss += p
		}
	}
	return loss
}

// ProbabilityAtLeast returns the probability that at least k of n independent units are down, each with probability p (binomial
// distribution).
func ProbabilityAtLeast(k, n int, p float64) (probability float64) {
	for i := k; i <= n; i++ {
		probability += choose(n, i) * math.Pow(p, float64(i)) * math.Pow(1-p, float64(n-i))
	}
	return probability
}

// choose returns the binomial coefficient, the number of ways to choose k of n.
func choose(n, k int) float64 {
	ways := 1.0
	for i := range k {
		ways = ways * float64(n-i) / float64(i+1)
	}
	return ways
}
