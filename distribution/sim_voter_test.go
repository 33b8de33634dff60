package distribution

import (
	"slices"
	"time"
)

// Timing of a voter.
const (
	simConnectionTimeout = 6 * time.Second // without a message, until a voter closes a connection
	simNormalLag         = 30 * time.Millisecond
)

// voter is a member of the cluster with its Publisher, and serves the connections of gateways.
type voter struct {
	sim         *simulation
	name        string
	publisher   *Publisher
	applied     int // number of applied changes of the history
	confirmed   Revision
	connections []*connection
	memberLease *MemberLease // nil: none

	confirmedRounds int              // since it was started
	rejectedAhead   map[Position]int // positions rejected as RejectLagging, each with confirmedRounds at the first rejection

	down              bool
	isolated          bool          // partitioned from the other voters, not from gateways
	lag               time.Duration // until it applies a committed change
	confirmationDelay time.Duration // maximum additional time of each step of a round
}

func newVoter(s *simulation, name string) *voter {
	v := &voter{
		sim: s, name: name, publisher: NewPublisher(simLimits, Timing{}, Position{}), lag: simNormalLag,
		rejectedAhead: map[Position]int{},
	}
	if len(s.voters) == 0 { // the others run rounds only for their subscribers
		v.memberLease = NewMemberLease(Timing{})
	}
	return v
}

func (v *voter) start() {
	v.sim.every(simTick, v.applyCommitted)
	v.sim.every(DefaultHeartbeatInterval, v.confirm)
	v.sim.every(time.Second, v.closeIdle)
}

// applyCommitted applies the committed changes one by one or, if the voter lags far, sometimes by a snapshot of the log.
func (v *voter) applyCommitted() {
	if v.down || v.isolated {
		return
	}
	target := v.sim.cluster.ackedBy(v.sim.now - v.lag)
	if target <= v.applied {
		return
	}
	if target-v.applied > 30 && v.sim.chance(0.5) {
		v.publisher.Reset(v.sim.cluster.position(target))
		v.sim.checker.coverage.Resets++
	} else {
		for _, e := range v.sim.cluster.entries[v.applied:target] {
			v.publisher.Append(e.change)
		}
	}
	v.applied = target
	v.updateMemberLease()
	v.serveAll()
	v.sim.checker.checkVoter(v)
}

// updateMemberLease records the applied changes in the voter's member lease.
func (v *voter) updateMemberLease() {
	if v.memberLease != nil {
		v.memberLease.SetApplied(v.sim.cluster.position(v.applied))
	}
}

// confirm starts a round: the request is sent to the leader, which reads the newest revision, is confirmed by a majority and
// responds.
func (v *voter) confirm() {
	if v.down || v.memberLease == nil && !v.publisher.NeedsConfirmation() {
		return
	}
	r := &round{voter: v, publisher: v.publisher, confirmation: v.publisher.BeginConfirmation(), applied: v.applied}
	if v.memberLease != nil {
		r.ownHeartbeat = v.memberLease.BeginRound(v.sim.clock())
	}
	v.sim.after(v.roundDelay(), r.arriveAtLeader)
}

func (v *voter) roundDelay() time.Duration {
	return v.sim.randomBetween(0, 60*time.Millisecond) + v.sim.randomUpTo(v.confirmationDelay)
}

// round is a confirmation round in progress.
type round struct {
	voter        *voter
	publisher    *Publisher
	confirmation Confirmation
	applied      int    // changes that the voter had applied when the round began
	ownHeartbeat uint64 // of the voter's member lease
	leader       *voter
	term         uint64
	through      Revision
}

// arriveAtLeader runs when the leader receives the request. The round fails if the leader is not reachable.
func (r *round) arriveAtLeader() {
	c := r.voter.sim.cluster
	if r.voter.isolated || c.leader == nil || !c.hasQuorum(c.leader) {
		if c.deposed == r.voter {
			r.voter.sim.mutation.deposedRound(r)
		}
		return
	}
	r.leader, r.term, r.through = c.leader, c.term, c.last().Revision
	r.voter.sim.after(r.voter.roundDelay(), r.confirmByMajority)
}

// confirmByMajority runs at the end of the leader's exchange with the majority. The round fails if it is no longer the leader.
func (r *round) confirmByMajority() {
	c := r.voter.sim.cluster
	if c.leader != r.leader || c.term != r.term || !c.hasQuorum(r.leader) {
		return
	}
	r.voter.sim.after(r.voter.roundDelay(), r.finish)
}

// finish runs when the voter receives the leader's response.
func (r *round) finish() {
	v := r.voter
	if v.down || v.isolated || v.publisher != r.publisher {
		return
	}
	v.confirmed = r.through
	v.confirmedRounds++
	v.sim.mutation.confirm(r)
	if v.memberLease != nil {
		v.sim.mutation.confirmMemberLease(r)
	}
	v.serveAll()
}

// subscribe handles a subscription.
func (v *voter) subscribe(c *connection, at Position) {
	d := v.sim.mutation.subscribe(v, at)
	v.sim.checker.checkVoter(v)
	if d.Admission == AdmitReject {
		v.sim.checker.checkRejection(v, at, d.Rejection)
		c.sendToGateway(func() { c.gateway.rejected(d.RetryAfter) })
		v.close(c)
		return
	}
	c.id, c.admitted = d.ID, true
	c.sendToGateway(c.gateway.accepted)
	if d.Admission == AdmitSnapshot {
		v.sim.after(v.sim.randomUpTo(100*time.Millisecond), func() { v.takeSnapshot(c) })
		return
	}
	v.serve(c)
}

// takeSnapshot begins the transfer of the state, which may change before the transfer ends.
func (v *voter) takeSnapshot(c *connection) {
	if c.closed {
		return
	}
	snapshot := v.sim.cluster.snapshot(v.applied)
	v.sim.after(v.sim.randomBetween(10*time.Millisecond, time.Second), func() { v.snapshotSent(c, snapshot) })
}

func (v *voter) snapshotSent(c *connection, snapshot *Snapshot) {
	if c.closed {
		return
	}
	v.sim.mutation.snapshot(v, snapshot)
	c.sendToGateway(func() { c.gateway.restore(snapshot) })
	if err := v.publisher.SnapshotSent(c.id, snapshot.At); err != nil {
		v.close(c)
		return
	}
	v.serve(c)
}

// heartbeat handles a heartbeat.
func (v *voter) heartbeat(c *connection, number uint64) {
	if !c.admitted {
		return
	}
	v.publisher.Heartbeat(c.id, number)
	v.serve(c)
}

func (v *voter) serveAll() {
	for _, c := range slices.Clone(v.connections) {
		v.serve(c)
	}
}

// serve sends a subscriber the batches and marks that are due, up to simMaxInFlight messages in flight.
func (v *voter) serve(c *connection) {
	for !c.closed && c.admitted && c.inFlight < simMaxInFlight {
		batch, mark, wake, err := v.publisher.Next(c.id, v.sim.clock())
		if err != nil {
			v.close(c)
			return
		}
		if batch == nil && mark == nil {
			v.scheduleWake(c, wake)
			return
		}
		if batch != nil {
			v.sendBatch(c, batch)
		}
		if mark != nil {
			m := v.sim.mutation.mark(*mark)
			c.sendToGatewayAlways(func() { c.gateway.renew(m) })
		}
	}
}

func (v *voter) sendBatch(c *connection, b *Batch) {
	if b = v.sim.mutation.batch(c, b); b != nil {
		c.sendToGateway(func() { c.gateway.apply(b) })
	}
}

// scheduleWake schedules the next call of serve.
func (v *voter) scheduleWake(c *connection, wake time.Time) {
	if wake.IsZero() {
		return
	}
	delay := wake.Sub(v.sim.clock())
	at := v.sim.now + delay
	if c.wakeAt == at {
		return
	}
	c.wakeAt = at
	v.sim.after(delay, func() { v.serve(c) })
}

// close closes a connection at the voter. The gateway is notified after the messages sent before.
func (v *voter) close(c *connection) {
	if c.closed {
		return
	}
	c.closed = true
	v.connections = slices.DeleteFunc(v.connections, func(other *connection) bool { return other == c })
	if c.admitted {
		v.publisher.Remove(c.id)
	}
	c.sendToGateway(c.gateway.disconnect)
}

// closeIdle closes the connections on which no message was received for simConnectionTimeout.
func (v *voter) closeIdle() {
	for _, c := range slices.Clone(v.connections) {
		if v.sim.now-c.lastReceivedAt > simConnectionTimeout {
			v.close(c)
		}
	}
}

// crash stops a voter for a time.
func (v *voter) crash(duration time.Duration) {
	if v.down {
		return
	}
	v.down = true
	v.closeAll()
	v.sim.cluster.voterLost(v)
	v.sim.after(duration, v.restartAfterCrash)
}

func (v *voter) restartAfterCrash() {
	if !v.down {
		return
	}
	v.restart(v.applied)
	v.down = false
	v.sim.cluster.voterRecovered(v)
}

// isolate partitions a voter from the other voters for a time.
func (v *voter) isolate(duration time.Duration) {
	if v.isolated || v.down {
		return
	}
	v.isolated = true
	v.sim.cluster.voterLost(v)
	v.sim.after(duration, v.rejoin)
}

func (v *voter) rejoin() {
	if !v.isolated {
		return
	}
	v.isolated = false
	v.sim.cluster.voterRecovered(v)
}

// restart replaces the publisher by one that replays the newest of the first n changes.
func (v *voter) restart(n int) {
	v.closeAll()
	v.applied = n
	v.confirmed, v.confirmedRounds = 0, 0
	clear(v.rejectedAhead)
	from := max(0, n-v.sim.random.IntN(20))
	v.publisher = NewPublisher(simLimits, Timing{}, v.sim.cluster.position(from))
	for _, e := range v.sim.cluster.entries[from:n] {
		v.publisher.Append(e.change)
	}
	if v.memberLease != nil {
		v.memberLease = NewMemberLease(Timing{})
		v.updateMemberLease()
	}
}

func (v *voter) closeAll() {
	for _, c := range slices.Clone(v.connections) {
		v.close(c)
	}
}
