package capacity

import (
	"errors"
	"math"
	"testing"
	"time"
)

func checkNear(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*math.Abs(want) {
		t.Errorf("%s: %g, want %g", what, got, want)
	}
}

func TestPlannedLoad(t *testing.T) {
	checkNear(t, "requests of a gateway", Planned.MeanLoad(Planned.Gateways).RequestsPerSecond, 853, 0.001)
	checkNear(t, "bytes of a gateway", Planned.MeanLoad(Planned.Gateways).BytesPerSecond, 0.662e9, 0.001)
	checkNear(t, "requests of an endpoint", Planned.MeanLoad(Planned.Endpoints).RequestsPerSecond, 5179, 0.001)
	checkNear(t, "bytes of a response", Planned.BytesPerRequest(), 775862, 0.001)
	checkNear(t, "requests of the busiest gateway", Planned.MeanLoad(Planned.Gateways).Scaled(PeakToMeanRatio).RequestsPerSecond, 3412, 0.001)
	checkNear(t, "concurrent transfers", Load{RequestsPerSecond: 100}.ConcurrentTransfers(3.4e6, 3.4e6), 100, 1e-9)
}

func TestFit(t *testing.T) {
	l, residual := Fit([]Point{{1, 12}, {2, 14}, {10, 30}})
	checkNear(t, "slope", l.Slope, 2, 1e-9)
	checkNear(t, "intercept", l.Intercept, 10, 1e-9)
	if residual > 1e-9 {
		t.Errorf("residual %g of a straight line", residual)
	}
	if _, residual = Fit([]Point{{0, 10}, {1, 20}, {2, 10}}); residual < 0.3 {
		t.Errorf("residual %g of a bent line", residual)
	}
}

func TestFirstBend(t *testing.T) {
	if at, bends := FirstBend([]Point{{4, 80}, {1, 10}, {2, 20}, {3, 30}}, 0.1); !bends || at != 4 {
		t.Errorf("bend at %v, %v", at, bends)
	}
	if at, bends := FirstBend([]Point{{1, 10}, {2, 20}, {3, 31}}, 0.1); bends {
		t.Errorf("bend of a straight line at %v", at)
	}
}

// Voters that share no machine, rack, zone or region fail independently: the binomial distribution has to give the same result
// as the sum over all sets of failed voters.
func TestMajorityLossOfIndependentVoters(t *testing.T) {
	f := Failures{Machine: Failure{PerYear: 10, Repair: 24 * time.Hour}}
	var locations []Location
	for i := range 5 {
		locations = append(locations, Location{Region: i})
	}
	got, err := f.MajorityLoss(locations)
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "unavailability", got.Unavailability, ProbabilityAtLeast(3, 5, f.Machine.Unavailability()), 1e-9)
	p := f.Machine.Unavailability()
	checkNear(t, "frequency", got.PerYear, 5*f.Machine.Frequency()*6*p*p*(1-p)*(1-p), 1e-9) // one fails while two of the other four are down
}

// Voters that share a unit are down together, so the group has no majority for at least as long as the unit is down.
func TestMajorityLossOfSharedUnits(t *testing.T) {
	f := Failures{Zone: Failure{PerYear: 2, Repair: 3 * time.Hour}, Rack: Failure{PerYear: 1, Repair: time.Hour}}
	one, err := f.MajorityLoss([]Location{{1, 1, 1}, {1, 1, 2}, {1, 1, 3}})
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "one zone", one.Unavailability, f.Zone.Unavailability(), 0.001)
	checkNear(t, "one zone, mean outage", one.MeanDuration().Hours(), 3, 0.01)
	checkNear(t, "one zone, outage per year", one.TimePerYear().Hours(), 6, 0.01)
	same, err := f.MajorityLoss([]Location{{1, 1, 1}, {1, 2, 1}, {1, 3, 1}})
	if err != nil || same.Unavailability > one.Unavailability/100 {
		t.Errorf("rack 1 of each of three zones is counted as a single rack: %+v, %v", same, err)
	}
}

func TestMajorityLossVoterCount(t *testing.T) {
	if _, err := (Failures{}).MajorityLoss(nil); !errors.Is(err, ErrVoterCount) {
		t.Error(err)
	}
	if out, err := (Failures{}).MajorityLoss([]Location{{}}); err != nil || out.Unavailability != 0 || out.MeanDuration() != 0 {
		t.Errorf("%+v, %v", out, err)
	}
}

func TestAtLeast(t *testing.T) {
	checkNear(t, "any", ProbabilityAtLeast(0, 5, 0.3), 1, 1e-12)
	checkNear(t, "three of five", ProbabilityAtLeast(3, 5, 0.5), 0.5, 1e-12)
	checkNear(t, "all", ProbabilityAtLeast(5, 5, 0.1), 1e-5, 1e-9)
}
