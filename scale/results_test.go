package scale

import (
	"testing"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// timeAfter returns the time s seconds after since.
func timeAfter(since time.Time, s float64) time.Time {
	return since.Add(time.Duration(s * float64(time.Second)))
}

// newTwoGatewayWorker returns a worker with the histories of two gateways that don't run: the first is always fresh, the
// second is stale from 10 s to 20 s.
func newTwoGatewayWorker(begin time.Time) *gatewayWorker {
	w := &gatewayWorker{
		recorder: newRecorder(2), staleness: newHistogram(), catchUp: newHistogram(),
		gateways: []*runningGateway{{spec: gatewaySpec{Name: "a"}}, {spec: gatewaySpec{Name: "b"}}},
	}
	w.recorder.start = begin
	for _, running := range w.gateways {
		running.history.started(begin)
		running.history.observeLease(true, begin)
	}
	w.gateways[1].history.observeLease(false, timeAfter(begin, 10))
	w.gateways[1].history.observeLease(true, timeAfter(begin, 20))
	return w
}

func purgeAt(key uint64, at time.Time) AckedChange {
	return AckedChange{Key: key, Kind: distribution.KindPurge, At: at}
}

// Latencies at gateways that know that they are stale are reported separately from those at fresh gateways.
func TestLatenciesByFreshness(t *testing.T) {
	begin := time.Now()
	w := newTwoGatewayWorker(begin)
	w.recorder.record(1, 0, timeAfter(begin, 11.5))
	w.recorder.record(1, 1, timeAfter(begin, 19))
	w.recorder.record(2, 0, timeAfter(begin, 30.25))
	got := w.results([]AckedChange{purgeAt(1, timeAfter(begin, 11)), purgeAt(2, timeAfter(begin, 30))})
	purges := got.Latencies[ClassPurge]
	fresh, stale := newHistogram(), newHistogram()
	mergeSnapshot(fresh, purges.Fresh)
	mergeSnapshot(stale, purges.Stale)
	if fresh.TotalCount() != 2 || stale.TotalCount() != 1 || purges.MissingFresh != 1 || purges.MissingStale != 0 {
		t.Errorf("%d fresh, %d stale, %d and %d missing", fresh.TotalCount(), stale.TotalCount(), purges.MissingFresh, purges.MissingStale)
	}
	if d := summarize(fresh); d.Max < 499 || d.Max > 501 {
		t.Errorf("the slowest fresh gateway took %v ms, want 500", d.Max)
	}
	if reach := got.Reach[2]; reach.Missing != 1 || reach.Slowest != 250*time.Millisecond {
		t.Errorf("the second purge reached %+v", reach)
	}
}

// A claim of completeness beyond a change is a violation if the change comes into force after the claim or never.
func TestFalseFreshnessClaimsAreDetected(t *testing.T) {
	begin := time.Now()
	for _, c := range []struct {
		name       string
		inForceAt  float64 // 0: never
		claimedAt  float64
		complete   float64
		violations int
	}{
		{"in force before the claim", 5.5, 6, 5.8, 0},
		{"in force at the claim", 6, 6, 5.8, 0},
		{"in force after the claim", 6.01, 6, 5.8, 1},
		{"never in force", 0, 6, 5.8, 1},
		{"the claim reaches up to the change", 7, 6, 5, 1},
		{"the claim does not reach the change", 7, 6, 4.9, 0},
	} {
		w := newTwoGatewayWorker(begin)
		if c.inForceAt > 0 {
			w.recorder.record(1, 0, timeAfter(begin, c.inForceAt))
		}
		w.gateways[0].history.addClaim(timeAfter(begin, c.claimedAt), timeAfter(begin, c.complete))
		if got := w.results([]AckedChange{purgeAt(1, timeAfter(begin, 5))}); got.ViolationCount != c.violations {
			t.Errorf("%s: %d violations: %+v", c.name, got.ViolationCount, got.Violations)
		}
	}
}

// A gateway that restarted after a change received it in the snapshot and needs no event of it. For a change after the
// restart, a claim without the event is a violation.
func TestFreshnessClaimsAfterRestart(t *testing.T) {
	begin := time.Now()
	w := newTwoGatewayWorker(begin)
	history := &w.gateways[0].history
	history.stopped(timeAfter(begin, 6))
	history.started(timeAfter(begin, 7))
	history.observeLease(true, timeAfter(begin, 8))
	history.addClaim(timeAfter(begin, 8), timeAfter(begin, 7.9))
	got := w.results([]AckedChange{purgeAt(1, timeAfter(begin, 5)), purgeAt(2, timeAfter(begin, 7.5))})
	if got.ViolationCount != 1 || got.Violations[0].Key != 2 {
		t.Errorf("%d violations: %+v", got.ViolationCount, got.Violations)
	}
}

// A gateway that receives a snapshot sees only the last value of a name. An earlier value counts as in force from when the
// value that replaced it is in force.
func TestSupersededValuesCountAsInForce(t *testing.T) {
	begin := time.Now()
	w := newTwoGatewayWorker(begin)
	for gateway := range 2 {
		w.recorder.record(12, gateway, timeAfter(begin, 4))
	}
	change := func(key uint64, at float64) AckedChange {
		return AckedChange{Key: key, Kind: distribution.KindPut, Name: "keys", At: timeAfter(begin, at)}
	}
	got := w.results([]AckedChange{change(11, 1), change(12, 2), change(13, 3)})
	changes := got.Latencies[ClassChange]
	if changes.MissingFresh != 1 || changes.MissingStale != 1 { // the last change, at both gateways
		t.Errorf("%d and %d are missing", changes.MissingFresh, changes.MissingStale)
	}
	if slowest := got.Reach[11].Slowest; slowest != 3*time.Second {
		t.Errorf("the superseded value counts as in force after %v, want 3s", slowest)
	}
}
