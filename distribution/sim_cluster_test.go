package distribution

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"
)

// Rates of changes, and timing of elections.
const (
	simSettings         = 6
	simBusyInterval     = 150 * time.Millisecond // mean time between changes
	simIdleInterval     = 5 * time.Second        // the same in a simulation with few changes
	simElectionTimeout  = 300 * time.Millisecond
	simElectionDuration = time.Second
)

// cluster is a model of the replicated log: the committed changes, the leader, and a deposed leader. It commits a change and
// acknowledges it in one step.
type cluster struct {
	sim            *simulation
	entries        []*entry // the changes committed, without the entries that are not distributed
	byPosition     map[Position]*entry
	revision       Revision // of the newest entry of any kind
	term           uint64
	leader         *voter // followed by a majority; nil: none
	deposed        *voter // isolated, and still considers itself the leader
	proposedCount  int    // changes so far, which makes their values unique
	changeInterval time.Duration
}

// entry is a committed change, with the state after it.
type entry struct {
	change      Change
	previous    *entry
	index       int
	ackedAt     time.Duration
	config      map[string]string
	revocations map[string]int64

	rolledBack   bool // the history was restored to a state without the entry
	commonPrefix int  // if rolled back: number of entries that its history shares with the current one
}

func newCluster(s *simulation) *cluster {
	interval := simBusyInterval
	if s.chance(0.25) {
		interval = simIdleInterval
	}
	return &cluster{sim: s, byPosition: map[Position]*entry{}, changeInterval: interval}
}

func (c *cluster) start() {
	c.elect()
	c.sim.after(0, c.propose)
}

// propose commits changes at random times.
func (c *cluster) propose() {
	c.sim.after(time.Duration(c.sim.random.ExpFloat64()*float64(c.changeInterval)), c.propose)
	c.commit()
}

// burst commits n changes at the same time.
func (c *cluster) burst(n int) {
	for range n {
		c.commit()
	}
}

// commit appends a random change if there is a leader with a majority.
func (c *cluster) commit() {
	if c.leader == nil || !c.hasQuorum(c.leader) {
		return
	}
	if c.sim.chance(0.3) {
		c.revision++ // an entry that is not distributed
	}
	c.revision++
	e := &entry{
		change: c.randomChange(), index: len(c.entries), ackedAt: c.sim.now,
		config: map[string]string{}, revocations: map[string]int64{},
	}
	if len(c.entries) > 0 {
		e.previous = c.entries[len(c.entries)-1]
		e.config, e.revocations = e.previous.config, e.previous.revocations
	}
	e.update()
	c.entries = append(c.entries, e)
	c.byPosition[e.change.Position] = e
}

// randomChange returns a change of the current revision. Its time differs a little from the current time, as proposals take
// some time and clocks differ.
func (c *cluster) randomChange() Change {
	c.proposedCount++
	proposedAt := c.sim.clock().Add(-c.sim.randomBetween(-100*time.Millisecond, 300*time.Millisecond))
	change := Change{Position: Position{Revision: c.revision, Term: c.term}, At: proposedAt.UnixMilli()}
	switch draw := c.sim.random.IntN(10); {
	case draw < 5:
		change.Kind, change.Object, change.Group = KindPurge, c.sim.random.Uint64N(5), 1
	case draw < 9:
		change.Kind, change.Name = KindPut, settingName(c.sim.random.IntN(simSettings))
		if !c.sim.chance(0.2) {
			change.Value = json.RawMessage(fmt.Sprintf(`"%d"`, c.proposedCount))
		}
	default:
		change.Kind, change.Name = KindRevoke, fmt.Sprintf("use-%d", c.proposedCount)
		change.Until = proposedAt.Add(c.sim.randomBetween(0, time.Minute)).UnixMilli()
	}
	return change
}

func settingName(i int) string { return fmt.Sprintf("setting-%d", i) }

// update applies an entry's change to its state, which is initially that of the previous entry.
func (e *entry) update() {
	switch c := e.change; c.Kind {
	case KindPut:
		e.config = maps.Clone(e.config)
		if len(c.Value) == 0 {
			delete(e.config, c.Name)
		} else {
			e.config[c.Name] = string(c.Value)
		}
	case KindRevoke:
		e.revocations = maps.Clone(e.revocations)
		e.revocations[c.Name] = max(e.revocations[c.Name], c.Until)
	}
}

// hasQuorum reports whether a voter can reach a majority, including itself.
func (c *cluster) hasQuorum(v *voter) bool {
	if v.down || v.isolated {
		return false
	}
	reachable := 0
	for _, other := range c.sim.voters {
		if !other.down && !other.isolated {
			reachable++
		}
	}
	return reachable > len(c.sim.voters)/2
}

// voterLost is called when a voter has crashed or was isolated. If it was the leader, an election follows.
func (c *cluster) voterLost(v *voter) {
	if c.leader != v {
		return
	}
	c.leader = nil
	if v.isolated {
		c.deposed = v
	}
	c.sim.after(c.sim.randomBetween(simElectionTimeout, simElectionDuration), c.elect)
}

// voterRecovered is called when a voter has restarted or was reconnected. It no longer considers itself the leader, and an
// election follows if there is none.
func (c *cluster) voterRecovered(v *voter) {
	if c.deposed == v {
		c.deposed = nil
	}
	c.sim.after(c.sim.randomBetween(simElectionTimeout, simElectionDuration), c.elect)
}

// elect elects a leader if there is none. The first entry of its term is not distributed.
func (c *cluster) elect() {
	if c.leader != nil {
		return
	}
	for _, i := range c.sim.random.Perm(len(c.sim.voters)) {
		if v := c.sim.voters[i]; c.hasQuorum(v) {
			c.leader = v
			c.term++
			c.revision++
			return
		}
	}
}

// loseHistory restores all voters from an older state, that of the first changes: those committed since then are lost.
func (c *cluster) loseHistory(keep int) {
	for _, e := range c.entries[keep:] {
		e.rolledBack = true
	}
	c.entries = c.entries[:keep]
	for _, e := range c.byPosition {
		if e.rolledBack {
			e.commonPrefix = min(max(e.commonPrefix, e.index), keep)
		}
	}
	c.revision = c.last().Revision
	c.term += 10
	c.leader, c.deposed = nil, nil
	for _, v := range c.sim.voters {
		v.restart(keep)
	}
	c.sim.checker.countLostHistory(keep)
	c.sim.after(c.sim.randomBetween(simElectionTimeout, simElectionDuration), c.elect)
}

// last returns the position of the newest change.
func (c *cluster) last() Position { return c.position(len(c.entries)) }

// position returns the position after the first n changes.
func (c *cluster) position(n int) Position {
	if n == 0 {
		return Position{}
	}
	return c.entries[n-1].change.Position
}

// ackedBy returns the number of changes acknowledged up to a time.
func (c *cluster) ackedBy(at time.Duration) int {
	n := len(c.entries)
	for n > 0 && c.entries[n-1].ackedAt > at {
		n--
	}
	return n
}

// appliedCount returns how many changes of the current history a state at a position has.
func (c *cluster) appliedCount(at Position) int {
	e := c.byPosition[at]
	switch {
	case e == nil:
		return 0
	case e.rolledBack:
		return e.commonPrefix
	}
	return e.index + 1
}

// snapshot returns the snapshot of the first n changes.
func (c *cluster) snapshot(n int) *Snapshot {
	s := &Snapshot{
		Config: map[string]json.RawMessage{}, Revocations: map[string]int64{},
		PurgesSince: c.sim.clock().Add(-c.sim.purgeRetention).UnixMilli(),
	}
	if n == 0 {
		return s
	}
	e := c.entries[n-1]
	s.At = e.change.Position
	for name, value := range e.config {
		s.Config[name] = json.RawMessage(value)
	}
	maps.Copy(s.Revocations, e.revocations)
	for _, e := range c.entries[:n] {
		s.LatestAt = max(s.LatestAt, e.change.At)
		if e.change.Kind == KindPurge && e.change.At >= s.PurgesSince {
			s.Purges = append(s.Purges, e.change)
		}
	}
	return s
}
