package distribution

import (
	"fmt"
	"maps"
	"time"
)

// lease has the methods of a Lease that a gateway uses, so that a mutation can replace it.
type lease interface {
	Heartbeat(now time.Time) uint64
	Renew(m Mark, at Position) bool
	Disconnected()
	Fresh(now time.Time) bool
	CompleteAt() time.Time
	MaxCopyAge(now time.Time) time.Duration
}

// gateway is a subscriber.
type gateway struct {
	sim     *simulation
	name    string
	view    *View
	lease   lease
	backoff *Backoff
	effects *effectLog

	voters       map[string]*voter
	choice       *VoterChoice
	connection   *connection // nil: none
	subscribed   bool
	leaseRenewed bool // by a mark on this connection

	startedAt        time.Time     // its clock at the start of the simulation
	nextConnectAt    time.Duration // when it next attempts to connect
	lastHeartbeatAt  time.Duration // when it sent the last heartbeat
	lastProgressAt   time.Duration // when its connection last made progress
	suspendedUntil   time.Duration
	unreachableUntil map[*voter]time.Duration // by voter
}

func newGateway(s *simulation, name string) *gateway {
	g := &gateway{
		sim: s, name: name, effects: &effectLog{known: map[Position]bool{}},
		voters: map[string]*voter{}, unreachableUntil: map[*voter]time.Duration{},
		startedAt: simEpoch.Add(s.randomBetween(-time.Hour, time.Hour)),
		backoff:   NewBackoff(50*time.Millisecond, 2*time.Second, s.random),
	}
	g.view = NewView(s.mutation.effects(g.effects))
	g.lease = s.mutation.lease(g, NewLease(Timing{}))
	var names []string
	for _, v := range s.voters {
		g.voters[v.name] = v
		names = append(names, v.name)
	}
	g.choice = NewVoterChoice(VoterOrder(name, names))
	return g
}

func (g *gateway) start() {
	g.sim.after(g.sim.randomUpTo(simTick), g.tick)
}

// clock returns the time of the gateway's monotonic clock, which has its own origin and runs while the gateway is suspended.
func (g *gateway) clock() time.Time { return g.startedAt.Add(g.sim.now) }

// tick runs the periodic work that is due, unless the gateway is suspended.
func (g *gateway) tick() {
	if g.sim.now < g.suspendedUntil {
		g.sim.after(min(simTick, g.suspendedUntil-g.sim.now)+g.sim.randomUpTo(time.Millisecond), g.tick)
		return
	}
	g.sim.after(simTick, g.tick)
	switch {
	case g.connection == nil && g.sim.now >= g.nextConnectAt:
		g.connect()
	case g.connection != nil && g.sim.now-g.lastProgressAt > DefaultSilenceTimeout:
		g.disconnect()
	case g.subscribed && g.sim.now-g.lastHeartbeatAt >= DefaultHeartbeatInterval:
		g.heartbeat()
	}
	if g.sim.chance(0.01) {
		g.view.DropExpired(g.sim.clock())
	}
}

// connect connects to the next voter, unless the Retry-After of all voters has not passed yet.
func (g *gateway) connect() {
	name, wait := g.choice.Next(g.clock())
	if wait > 0 {
		g.nextConnectAt = g.sim.now + wait
		return
	}
	v := g.voters[name]
	if v.down || g.unreachableUntil[v] > g.sim.now {
		g.choice.WatchEnded(name, false, 0, g.clock())
		g.nextConnectAt = g.sim.now + g.backoff.Next(0)
		return
	}
	c := newConnection(g, v)
	v.connections = append(v.connections, c)
	g.connection, g.subscribed = c, false
	g.lastProgressAt = g.sim.now
	position := g.view.Position()
	c.sendToVoter(func() { v.subscribe(c, position) })
}

// disconnect disconnects from the voter and schedules the next attempt.
func (g *gateway) disconnect() { g.disconnectFor(0) }

// disconnectFor disconnects, and does not reconnect to this voter before retryAfter has passed.
func (g *gateway) disconnectFor(retryAfter time.Duration) {
	c := g.connection
	if c == nil {
		return
	}
	g.choice.WatchEnded(c.voter.name, g.leaseRenewed, retryAfter, g.clock())
	g.leaseRenewed = false
	g.connection, g.subscribed = nil, false
	g.lease.Disconnected()
	g.nextConnectAt = g.sim.now + g.backoff.Next(0)
	c.sendToVoter(func() { c.voter.close(c) })
}

// rejected handles a rejection.
func (g *gateway) rejected(retryAfter time.Duration) {
	g.disconnectFor(g.backoff.Next(retryAfter))
}

// accepted handles an admission: heartbeats begin.
func (g *gateway) accepted() {
	g.subscribed = true
	g.lastProgressAt = g.sim.now
	g.heartbeat()
}

func (g *gateway) heartbeat() {
	g.lastHeartbeatAt = g.sim.now
	c, number := g.connection, g.lease.Heartbeat(g.clock())
	c.sendToVoter(func() { c.voter.heartbeat(c, number) })
}

// apply handles a batch.
func (g *gateway) apply(b *Batch) {
	before := g.view.Position()
	g.effects.calls = nil
	if err := g.view.Apply(b); err != nil {
		g.sim.checker.countGap(g, err)
		g.disconnect()
		return
	}
	g.sim.checker.checkBatchEffects(g, before)
}

// restore handles a snapshot.
func (g *gateway) restore(snapshot *Snapshot) {
	g.lastProgressAt = g.sim.now
	g.effects.calls = nil
	configBefore, knownBefore := maps.Clone(g.view.config), maps.Clone(g.effects.known)
	g.view.Restore(snapshot, g.sim.clock())
	g.sim.checker.checkSnapshotEffects(g, snapshot, configBefore, knownBefore)
}

// renew handles a mark. Marks of a connection that has ended are delivered too, and must not renew the lease.
func (g *gateway) renew(m Mark) {
	if g.lease.Renew(m, g.view.Position()) {
		g.lastProgressAt = g.sim.now
		g.leaseRenewed = true
		g.backoff.Reset()
	}
}

// suspend suspends a gateway for a time. Its clock continues, and messages to it are queued.
func (g *gateway) suspend(duration time.Duration) {
	g.suspendedUntil = max(g.suspendedUntil, g.sim.now+duration)
	if g.connection != nil {
		g.connection.toGateway.stalledUntil = max(g.connection.toGateway.stalledUntil, g.suspendedUntil)
	}
}

// effectLog records the notifications of a View.
type effectLog struct {
	calls        []string          // of the last Apply or Restore
	known        map[Position]bool // purges
	repeated     []Position        // purges notified twice
	missed       int
	missedBefore int64
}

func (l *effectLog) Configured(name string, value []byte) {
	l.calls = append(l.calls, configuredText(name, value))
}

func (l *effectLog) Purged(c Change) {
	if l.known[c.Position] {
		l.repeated = append(l.repeated, c.Position)
	}
	l.known[c.Position] = true
	l.calls = append(l.calls, purgedText(c))
}

func (l *effectLog) PurgesMissed(before int64) {
	l.missed++
	l.missedBefore = max(l.missedBefore, before)
}

// covers reports whether a purge was notified, or is older than the bound of missed purges.
func (l *effectLog) covers(c Change) bool { return l.known[c.Position] || c.At < l.missedBefore }

func configuredText(name string, value []byte) string { return name + "=" + string(value) }

func purgedText(c Change) string { return fmt.Sprint("purge ", c.Position) }
