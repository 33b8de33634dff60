package distribution

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

// Number of histories that TestHistories checks, without the race detector and with it.
const (
	checkerSeeds     = 200
	checkerSeedsRace = 40
)

func TestHistories(t *testing.T) {
	seeds := uint64(checkerSeeds)
	if raceEnabled {
		seeds = checkerSeedsRace
	}
	var total coverage
	for seed := range seeds {
		s := newSimulation(seed, noMutation())
		if err := s.run(); err != nil {
			t.Fatalf("seed %d, %v: %v", seed, s.now, err)
		}
		total.add(s.checker.coverage)
	}
	t.Logf("%d histories: %+v", seeds, total)
	total.check(t)
}

// coverage counts the kinds of events and checks in histories, so that the test fails if a simulation no longer reaches one.
type coverage struct {
	Batches, Snapshots, Gaps, Resets, Lost, Missed int
	FreshChecks, UnboundedChecks                   int
	OwnFreshChecks, OwnStaleChecks                 int
	DigestsCompared                                int
	LongestRecovery                                time.Duration
}

func (c *coverage) add(o coverage) {
	c.Batches += o.Batches
	c.Snapshots += o.Snapshots
	c.Gaps += o.Gaps
	c.Resets += o.Resets
	c.Lost += o.Lost
	c.Missed += o.Missed
	c.FreshChecks += o.FreshChecks
	c.UnboundedChecks += o.UnboundedChecks
	c.OwnFreshChecks += o.OwnFreshChecks
	c.OwnStaleChecks += o.OwnStaleChecks
	c.DigestsCompared += o.DigestsCompared
	c.LongestRecovery = max(c.LongestRecovery, o.LongestRecovery)
}

func (c *coverage) check(t *testing.T) {
	t.Helper()
	if min(c.Batches, c.Snapshots, c.Resets, c.Lost, c.Missed, c.Snapshots-c.Missed, c.DigestsCompared,
		c.OwnFreshChecks, c.OwnStaleChecks) == 0 {
		t.Errorf("the histories do not cover all kinds of events and checks: %+v", *c)
	}
	if c.Gaps > 0 {
		t.Errorf("%d batches did not follow the view's position", c.Gaps)
	}
}

// checker checks the invariants during a simulation and keeps the first violation.
type checker struct {
	sim         *simulation
	violation   error
	digests     map[Position]uint64
	knownPurges map[*gateway]int // number of leading changes of the history whose purges the gateway is known to have
	coverage    coverage
}

func newChecker(s *simulation) *checker {
	return &checker{sim: s, digests: map[Position]uint64{}, knownPurges: map[*gateway]int{}}
}

func (c *checker) start() {
	c.sim.every(simTick, c.checkAll)
	c.sim.after(simFaultsEnd, c.watchRecovery)
}

func (c *checker) reportViolation(format string, args ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, args...)
	}
}

func (c *checker) checkAll() {
	for _, g := range c.sim.gateways {
		c.check(g)
	}
	for _, v := range c.sim.voters {
		c.checkVoter(v)
		if v.memberLease != nil && !v.down {
			c.checkMemberLease(v)
		}
	}
}

// checkMemberLease checks that a voter whose own lease is fresh, or allows copies of any age, has all changes that this
// requires.
func (c *checker) checkMemberLease(v *voter) {
	cluster, now := c.sim.cluster, c.sim.clock()
	if v.memberLease.Fresh(now) {
		c.coverage.OwnFreshChecks++
		needed := cluster.ackedBy(v.memberLease.CompleteAt().Sub(simEpoch))
		if applied := cluster.appliedCount(v.memberLease.AppliedPosition()); applied < needed {
			c.reportViolation("the member lease of %s is fresh at %v, but %d changes are missing", v.name, v.memberLease.AppliedPosition(), needed-applied)
		}
	} else {
		c.coverage.OwnStaleChecks++
	}
	if v.memberLease.MaxCopyAge(now) == 0 {
		needed := cluster.ackedBy(c.sim.now - DefaultPurgeDeadline)
		if applied := cluster.appliedCount(v.memberLease.AppliedPosition()); applied < needed {
			c.reportViolation("the member lease of %s allows copies of any age, but %d changes are missing", v.name, needed-applied)
		}
	}
}

// check checks that a gateway whose lease is fresh, or allows copies of any age, has all changes and purges that this requires.
func (c *checker) check(g *gateway) {
	cluster := c.sim.cluster
	if g.lease.Fresh(g.clock()) {
		c.coverage.FreshChecks++
		needed := cluster.ackedBy(g.lease.CompleteAt().Sub(g.startedAt))
		if applied := cluster.appliedCount(g.view.Position()); applied < needed {
			c.reportViolation("%s is fresh at %v, but %d changes are missing", g.name, g.view.Position(), needed-applied)
		}
		c.checkPurges(g, needed, "is fresh")
	}
	if g.lease.MaxCopyAge(g.clock()) == 0 {
		c.coverage.UnboundedChecks++
		c.checkPurges(g, cluster.ackedBy(c.sim.now-DefaultPurgeDeadline), "allows copies of any age")
	}
}

// checkPurges checks that a gateway knows the purges among the first n changes.
func (c *checker) checkPurges(g *gateway, n int, why string) {
	for i := c.knownPurges[g]; i < n; i++ {
		change := c.sim.cluster.entries[i].change
		if change.Kind == KindPurge && !g.effects.covers(change) {
			c.reportViolation("%s %s, but does not know the purge at %v", g.name, why, change.Position)
			return
		}
		c.knownPurges[g] = i + 1
	}
}

// countLostHistory is called after the history was restored to its first n changes.
func (c *checker) countLostHistory(n int) {
	c.coverage.Lost++
	for g, known := range c.knownPurges {
		c.knownPurges[g] = min(known, n)
	}
}

// maxRoundsToAdmit is the number of confirmed rounds within which a voter has to detect that a position is not in the
// majority's history. It is above one since a round may have begun before the position was received, and since the voter
// records a limited number of positions and drops the oldest.
const maxRoundsToAdmit = 4

// checkRejection checks that a voter stops rejecting a position as ahead of its own state once confirmed rounds have proved
// that the majority does not have the position.
func (c *checker) checkRejection(v *voter, at Position, why Rejection) {
	if why != RejectLagging {
		return
	}
	before, again := v.rejectedAhead[at]
	if !again {
		v.rejectedAhead[at] = v.confirmedRounds
		return
	}
	if v.confirmed < at.Revision && v.confirmedRounds-before > maxRoundsToAdmit {
		c.reportViolation("%s still rejects %v as ahead of its state after %d rounds, the last of which confirmed %d", v.name, at, v.confirmedRounds-before, v.confirmed)
	}
}

// countGap counts a batch that did not follow the view's position.
func (c *checker) countGap(g *gateway, err error) { c.coverage.Gaps++ }

// checkBatchEffects checks that a batch had the effects of the changes after the position before, each once and in order.
func (c *checker) checkBatchEffects(g *gateway, before Position) {
	c.coverage.Batches++
	var want []string
	for e := c.sim.cluster.byPosition[g.view.Position()]; e != nil && e.change.Position != before; e = e.previous {
		switch e.change.Kind {
		case KindPut:
			want = append(want, configuredText(e.change.Name, e.change.Value))
		case KindPurge:
			if !slices.Contains(g.effects.calls, purgedText(e.change)) && g.effects.known[e.change.Position] {
				continue // known from a lost history or from a snapshot
			}
			want = append(want, purgedText(e.change))
		}
	}
	slices.Reverse(want)
	if !slices.Equal(g.effects.calls, want) {
		c.reportViolation("%s advanced from %v to %v with the effects %q, want %q", g.name, before, g.view.Position(), g.effects.calls, want)
	}
	c.checkState(g)
}

// checkSnapshotEffects checks that a snapshot led to the state at its position, and had the effects of the differences from
// the state before.
func (c *checker) checkSnapshotEffects(g *gateway, s *Snapshot, configBefore map[string]json.RawMessage, knownBefore map[Position]bool) {
	c.coverage.Snapshots++
	c.coverage.Missed += g.effects.missed
	g.effects.missed = 0
	var want []string
	for _, purge := range s.Purges {
		if !knownBefore[purge.Position] {
			want = append(want, purgedText(purge))
		}
	}
	for i := range simSettings {
		name := settingName(i)
		if before, after := string(configBefore[name]), string(s.Config[name]); before != after {
			want = append(want, configuredText(name, s.Config[name]))
		}
	}
	if !slices.Equal(g.effects.calls, want) {
		c.reportViolation("%s restored a snapshot at %v with the effects %q, want %q", g.name, s.At, g.effects.calls, want)
	}
	c.checkState(g)
}

// checkState compares the state of a view with the history at its position, and its digest with other views at this position.
func (c *checker) checkState(g *gateway) {
	at := g.view.Position()
	if len(g.effects.repeated) > 0 {
		c.reportViolation("%s was notified twice of the purges at %v", g.name, g.effects.repeated)
	}
	if e := c.sim.cluster.byPosition[at]; e != nil {
		c.checkConfig(g, e)
	}
	digest, known := c.digests[at]
	if !known {
		c.digests[at] = g.view.Digest()
		return
	}
	c.coverage.DigestsCompared++
	if digest != g.view.Digest() {
		c.reportViolation("%s at %v has a different digest than other views", g.name, at)
	}
}

func (c *checker) checkConfig(g *gateway, e *entry) {
	if len(g.view.config) != len(e.config) {
		c.reportViolation("%s at %v has %d settings, want %d", g.name, e.change.Position, len(g.view.config), len(e.config))
	}
	for name, want := range e.config {
		if value, _ := g.view.Get(name); string(value) != want {
			c.reportViolation("%s at %v has %s=%s, want %s", g.name, e.change.Position, name, value, want)
		}
	}
	for name := range e.revocations {
		if !g.view.Revoked(name) {
			c.reportViolation("%s at %v lacks the revocation of %s", g.name, e.change.Position, name)
		}
	}
}

// checkVoter checks a voter's limits, its counters and its position.
func (c *checker) checkVoter(v *voter) {
	j := &v.publisher.journal
	changes, size := len(j.open.batch.Changes), j.open.bytes
	for _, segment := range j.sealed {
		changes += len(segment.batch.Changes)
		size += segment.bytes
	}
	if changes != j.changes || size != j.bytes {
		c.reportViolation("%s counts %d changes of %d bytes, but its journal has %d of %d", v.name, j.changes, j.bytes, changes, size)
	}
	if j.changes > j.limits.JournalChanges || j.bytes > j.limits.JournalBytes {
		c.reportViolation("%s exceeds its journal limits: %d changes of %d bytes", v.name, j.changes, j.bytes)
	}
	subscribers, snapshots := v.publisher.Subscribers()
	if subscribers > simLimits.Subscribers || snapshots > simLimits.ConcurrentSnapshots || snapshots < 0 || subscribers > len(v.connections) {
		c.reportViolation("%s has %d subscribers and %d snapshots in progress", v.name, subscribers, snapshots)
	}
	if len(v.publisher.admission.ahead.roundsBefore) > simLimits.Subscribers {
		c.reportViolation("%s records %d positions ahead of its journal", v.name, len(v.publisher.admission.ahead.roundsBefore))
	}
	if v.publisher.Last() != c.sim.cluster.position(v.applied) {
		c.reportViolation("%s is at %v, want %v", v.name, v.publisher.Last(), c.sim.cluster.position(v.applied))
	}
	if v.memberLease != nil && v.memberLease.AppliedPosition() != v.publisher.Last() {
		c.reportViolation("the member lease of %s is at %v, want %v", v.name, v.memberLease.AppliedPosition(), v.publisher.Last())
	}
}

// watchRecovery checks that all gateways become fresh within simMaxRecovery after the end of the faults, and remain fresh.
func (c *checker) watchRecovery() {
	for _, g := range c.sim.gateways {
		if g.lease.Fresh(g.clock()) {
			continue
		}
		since := c.sim.now - simFaultsEnd
		c.coverage.LongestRecovery = since
		if since > simMaxRecovery {
			c.reportViolation("%s is not fresh %v after the end of the faults", g.name, since)
		}
	}
	for _, v := range c.sim.voters {
		if since := c.sim.now - simFaultsEnd; v.memberLease != nil && since > simMaxRecovery && !v.memberLease.Fresh(c.sim.clock()) {
			c.reportViolation("the member lease of %s is not fresh %v after the end of the faults", v.name, since)
		}
	}
	c.sim.after(simTick, c.watchRecovery)
}
