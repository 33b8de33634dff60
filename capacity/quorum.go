package capacity

import (
	"errors"
	"math"
	"math/bits"
	"time"
)

const year = 365 * 24 * time.Hour

// Failure is how often one unit of a kind fails, and for how long it is out then.
type Failure struct {
	PerYear float64
	Repair  time.Duration
}

// Unavailability is the share of time for which a unit is out.
func (f Failure) Unavailability() float64 {
	out := f.PerYear * f.Repair.Hours() / year.Hours()
	return out / (1 + out)
}

// Frequency is how often a year a unit fails, as it can't fail while it is out.
func (f Failure) Frequency() float64 { return f.PerYear * (1 - f.Unavailability()) }

// Failures are those of every kind of unit that a voter stands on. Units fail independently of each other.
type Failures struct{ Machine, Rack, Zone, Region Failure }

// Place is where a voter stands. Voters share a rack, zone or region where the whole path to it is the same: rack 1 of zone
// 1 is another one than rack 1 of zone 2.
type Place struct{ Region, Zone, Rack int }

// MaxVoters bounds the voters of one group.
const MaxVoters = 16

// ErrVoters tells that a group has no voters or more than MaxVoters.
var ErrVoters = errors.New("capacity: a group has 1 to 16 voters")

// Outage is how a group loses its majority.
type Outage struct {
	Unavailability float64 // share of time without a majority
	PerYear        float64
}

// Mean is how long one outage lasts in the mean.
func (o Outage) Mean() time.Duration {
	if o.PerYear == 0 {
		return 0
	}
	return time.Duration(o.Unavailability / o.PerYear * float64(year))
}

// PerYearTime is the time without a majority in a year.
func (o Outage) PerYearTime() time.Duration { return time.Duration(o.Unavailability * float64(year)) }

// MajorityLoss is how a group of voters loses its majority, one voter at each place.
func (f Failures) MajorityLoss(places []Place) (Outage, error) {
	if len(places) == 0 || len(places) > MaxVoters {
		return Outage{}, ErrVoters
	}
	units := f.units(places)
	out := Outage{Unavailability: lossOf(units, len(places), -1, 0)}
	for i, u := range units {
		// How often the whole fails by a unit is how often that fails while all hangs on it (Birnbaum's importance).
		importance := lossOf(units, len(places), i, 1) - lossOf(units, len(places), i, 0)
		out.PerYear += u.failure.Frequency() * importance
	}
	return out, nil
}

// unit is a machine, rack, zone or region, with the set of voters that are out with it.
type unit struct {
	failure Failure
	voters  uint32
}

// units gives those that the voters stand on.
func (f Failures) units(places []Place) (units []unit) {
	racks, zones, regions := map[Place]uint32{}, map[Place]uint32{}, map[Place]uint32{}
	for i, p := range places {
		voter := uint32(1) << i
		units = append(units, unit{f.Machine, voter})
		racks[p] |= voter
		zones[Place{Region: p.Region, Zone: p.Zone}] |= voter
		regions[Place{Region: p.Region}] |= voter
	}
	for _, kind := range []struct {
		failure Failure
		shared  map[Place]uint32
	}{{f.Rack, racks}, {f.Zone, zones}, {f.Region, regions}} {
		for _, voters := range kind.shared {
			units = append(units, unit{kind.failure, voters})
		}
	}
	return units
}

// lossOf is the chance that no majority of so many voters is up; the unit at index fixed is out with the chance given.
func lossOf(units []unit, voters, fixed int, chance float64) (loss float64) {
	chances := make([]float64, 1<<voters) // by the set of voters that are out
	chances[0] = 1
	for i, u := range units {
		out := u.failure.Unavailability()
		if i == fixed {
			out = chance
		}
		next := make([]float64, len(chances))
		for set, c := range chances {
			next[set] += c * (1 - out)
			next[uint32(set)|u.voters] += c * out
		}
		chances = next
	}
	for set, c := range chances {
		if 2*(voters-bits.OnesCount(uint(set))) <= voters {
			loss += c
		}
	}
	return loss
}

// AtLeast is the chance that of n independent units, each out with chance p, k or more are out (binomial distribution).
func AtLeast(k, n int, p float64) (chance float64) {
	for i := k; i <= n; i++ {
		chance += choose(n, i) * math.Pow(p, float64(i)) * math.Pow(1-p, float64(n-i))
	}
	return chance
}

// choose is the number of ways to choose k of n.
func choose(n, k int) float64 {
	ways := 1.0
	for i := range k {
		ways = ways * float64(n-i) / float64(i+1)
	}
	return ways
}
