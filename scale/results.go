package scale

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"turnfork.dev/turnfork/distribution"
)

// Classes of changes, for which latencies are reported separately.
const (
	ClassPurge  = "purge"
	ClassChange = "change"
	ClassBurst  = "burst" // configuration changes of Load.Burst
)

// maxViolations limits the number of violations that are listed; all are counted.
const maxViolations = 20

// class returns the class in which a change is reported.
func (c AckedChange) class() string {
	switch {
	case c.Kind == distribution.KindPurge:
		return ClassPurge
	case c.Burst:
		return ClassBurst
	}
	return ClassChange
}

// results compares the acknowledged changes with the times at which they came into force at the gateways. The changes are
// in the order of their acknowledgements.
func (w *gatewayWorker) results(acked []AckedChange) Results {
	out := Results{Latencies: map[string]*Latencies{}, Reach: map[uint64]ChangeReach{}}
	tallies := map[string]*latencyTally{}
	later := laterValues{}
	for _, change := range slices.Backward(acked) {
		tally := tallies[change.class()]
		if tally == nil {
			tally = newLatencyTally()
			tallies[change.class()] = tally
		}
		times := later.fillSuperseded(change, w.recorder.inForceTimes(change.Key))
		out.Reach[change.Key] = tally.add(change, w.gateways, times)
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

// laterValues holds, by configuration name, the times at which the next value came into force at each gateway. It is
// filled while the changes are processed from the last to the first.
type laterValues map[string][]time.Time

// fillSuperseded returns when a change or a later one of the same name came into force at each gateway: a gateway that
// received a snapshot of the state sees only the last value of a name. It must be called from the last change to the first.
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

// checkClaims checks each gateway's first claim of completeness that covers the change: the change must have been in force
// at the gateway by the time of the claim.
func (w *gatewayWorker) checkClaims(out *Results, change AckedChange, times []time.Time) {
	for index, running := range w.gateways {
		claim, claimed := running.history.firstClaimFor(change.At)
		if !claimed {
			continue
		}
		out.CheckedClaims++
		inForceAt := times[index]
		if !inForceAt.IsZero() && !inForceAt.After(claim.at) {
			continue
		}
		if inForceAt.IsZero() && change.At.Before(running.history.incarnationStart()) {
			continue // the claiming incarnation has ended, and the current one received the change in a snapshot, without an event
		}
		out.ViolationCount++
		if len(out.Violations) < maxViolations {
			out.Violations = append(out.Violations, Violation{
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

// add adds the latencies of a change, given the times at which it came into force at each gateway.
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
