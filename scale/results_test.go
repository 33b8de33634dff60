package scale

import (
	"testing"
	"time"

	"turnfork.dev/turnfork/distribution"
)

// seconds gives a time on the tests' scale.
func timeAfter(since time.Time, s float64) time.Time {
	return since.Add(time.Duration(s * float64(time.Second)))
}

// twoGateways is a worker without processes: the first gateway is fresh all the while, the second stale from 10 s to 20 s.
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

// What reaches a gateway while it knows itself to be stale is reported apart from what reaches a fresh one.
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
	if reach := got.Everyone[2]; reach.Missing != 1 || reach.Slowest != 250*time.Millisecond {
		t.Errorf("the second purge reached %+v", reach)
	}
}

// A claim to be complete beyond a change that is not in force is found, whether the change comes late or never.
func TestFalseFreshnessClaimsAreDetected(t *testing.T) {
	begin := time.Now()
	for _, c := range []struct {
		name      string
		inForceAt float64 // 0: never
		claimedAt float64
		complete  float64
		violated  int
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
		if got := w.results([]AckedChange{purgeAt(1, timeAfter(begin, 5))}); got.Violated != c.violated {
			t.Errorf("%s: %d violations: %+v", c.name, got.Violated, got.Violation)
		}
	}
}

// A gateway that started anew after a change does not need to see it as an event. One that was there does.
func TestFreshnessClaimsAfterRestart(t *testing.T) {
	begin := time.Now()
	w := newTwoGatewayWorker(begin)
	history := &w.gateways[0].history
	history.stopped(timeAfter(begin, 6))
	history.started(timeAfter(begin, 7))
	history.observeLease(true, timeAfter(begin, 8))
	history.addClaim(timeAfter(begin, 8), timeAfter(begin, 7.9))
	got := w.results([]AckedChange{purgeAt(1, timeAfter(begin, 5)), purgeAt(2, timeAfter(begin, 7.5))})
	if got.Violated != 1 || got.Violation[0].Key != 2 {
		t.Errorf("%d violations: %+v", got.Violated, got.Violation)
	}
}

// A value that was replaced before a gateway received the state is in force there with the one that replaced it.
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
	if changes.MissingFresh != 1 || changes.MissingStale != 1 { // the last one, at each gateway
		t.Errorf("%d and %d are missing", changes.MissingFresh, changes.MissingStale)
	}
	if slowest := got.Everyone[11].Slowest; slowest != 3*time.Second {
		t.Errorf("the replaced value counts as in force after %v", slowest)
	}
}
