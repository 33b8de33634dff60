package scale

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"turnfork.dev/turnfork/distribution"
)

// Classes of changes, by which latencies are reported.
const (
	ClassPurge  = "purge"
	ClassChange = "change"
	ClassBurst  = "burst" // changes of configuration that come many at once
)

// maxViolations bounds the violations that are listed.
const maxViolations = 20

// class tells under which class a change is reported.
func (c AckedChange) class() string {
	switch {
	case c.Kind == distribution.KindPurge:
		return ClassPurge
	case c.Burst:
		return ClassBurst
	}
	return ClassChange
}

// results compares what was acknowledged, in that order, with what came into force at the gateways.
func (w *gatewayWorker) results(acked []AckedChange) Results {
	out := Results{Latencies: map[string]*Latencies{}, Everyone: map[uint64]ChangeReach{}}
	tallies := map[string]*latencyTally{}
	later := laterValues{}
	for _, change := range slices.Backward(acked) {
		tally := tallies[change.class()]
		if tally == nil {
			tally = newLatencyTally()
			tallies[change.class()] = tally
		}
		times := later.fillSuperseded(change, w.recorder.inForceTimes(change.Key))
		out.Everyone[change.Key] = tally.add(change, w.gateways, times)
		w.checkClaims(&out, change, times)
	}
	for class, tally := range tallies {
		out.Latencies[class] = tally.export()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	out.Staleness, out.CatchUp = w.staleness.Export(), w.catchUp.Export()
	return out
}

// superseding holds, by name, when the latest value of a piece of configuration so far came into force at each gateway.
type laterValues map[string][]time.Time

// cover gives when a change or a later one of the same name came into force at each gateway: one that received the state
// as a whole never sees the values before the last. The changes are covered from the last to the first.
func (s laterValues) fillSuperseded(change AckedChange, times []time.Time) []time.Time {
	if change.Name == "" {
		return times
	}
	for i, later := range s[change.Name] {
		if times[i].IsZero() {
			times[i] = later
		}
	}
	s[change.Name] = times
	return times
}

// checkClaims checks that no gateway claimed to be complete beyond a change that was not in force there.
func (w *gatewayWorker) checkClaims(out *Results, change AckedChange, times []time.Time) {
	for index, running := range w.gateways {
		claim, claimed := running.history.firstClaimFor(change.At)
		if !claimed {
			continue
		}
		out.Claims++
		inForceAt := times[index]
		if !inForceAt.IsZero() && !inForceAt.After(claim.at) {
			continue
		}
		if inForceAt.IsZero() && change.At.Before(running.history.incarnationStart()) {
			continue // the process that claimed it has ended, and the next one holds the state without the event
		}
		out.Violated++
		if len(out.Violation) < maxViolations {
			out.Violation = append(out.Violation, Violation{
				Gateway: running.spec.Name, Key: change.Key, Acked: change.At, CompleteAt: claim.completeAt,
				ClaimedAt: claim.at, InForceAt: inForceAt,
			})
		}
	}
}

// latencyTally collects the latencies of one class of changes.
type latencyTally struct {
	fresh, stale               *hdrhistogram.Histogram
	missingFresh, missingStale int
}

func newLatencyTally() *latencyTally {
	return &latencyTally{fresh: newHistogram(), stale: newHistogram()}
}

// enter enters one change, with when it came into force at each gateway.
func (t *latencyTally) add(change AckedChange, gateways []*runningGateway, times []time.Time) (reach ChangeReach) {
	for index, running := range gateways {
		inForceAt := times[index]
		fresh := running.history.freshThroughout(change.At, inForceAt)
		latency := inForceAt.Sub(change.At)
		switch {
		case inForceAt.IsZero() && fresh:
			t.missingFresh++
			reach.Missing++
		case inForceAt.IsZero():
			t.missingStale++
		case fresh:
			recordDuration(t.fresh, latency)
			reach.Slowest = max(reach.Slowest, latency)
		default:
			recordDuration(t.stale, latency)
		}
	}
	return reach
}

func (t *latencyTally) export() *Latencies {
	return &Latencies{
		Fresh: t.fresh.Export(), Stale: t.stale.Export(), MissingFresh: t.missingFresh, MissingStale: t.missingStale,
	}
}
