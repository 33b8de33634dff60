package replica

import (
	"sync"

	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
)

// catchUpDivisor bounds how fast the agreed time makes up for a lag behind the wall clocks: by 1 ms in every 32 ms. In all it
// advances at 33/32 of real time at most. An entry that is kept until its end and expiredRetention beyond, by the agreed time, is
// therefore kept until its end in real time too, for spans of up to 32 times expiredRetention (5.3 h), even if every wall clock
// runs ahead.
const catchUpDivisor = 32

// maxLag bounds, in ms, how far the agreed time may lag behind the wall clocks, and thereby the size of the state. In a group
// that was down for longer, was restored from an old copy or began with a clock far behind, the agreed time is advanced to it
// at once. Claims end at dates, so a claim that is dropped then ended maxLag ago, minus the amount by which the clocks are
// ahead.
const maxLag = 6 * 3600 * 1000

// maxProposerLag bounds, in ms, the lag of a proposer's wall clock that is compensated: with no bound, the claims of a
// proposer whose clock is far behind would be kept for too long.
const maxProposerLag = 2 * 3600 * 1000

// agreedClock assigns the agreed time to the log entries that this member appends as the leader.
//
// The agreed time decides when the state machine drops claims, revocations and purges. It counts elapsed time; its value
// resembles a Unix time in ms only because the first leader starts it at its wall clock. Every member advances the last value
// that it has applied by its own monotonic clock, so a step of a wall clock never moves the agreed time. After a restart of
// all members it lags by the time that they were down, and the state is kept for longer.
type agreedClock struct {
	clock *clock.Clock

	mu     sync.Mutex
	value  float64 // the value at readAt; 0: none yet
	readAt float64 // of the monotonic clock, in ms
}

// observe records the agreed time of an applied entry, or of a snapshot.
func (a *agreedClock) observe(agreed float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if a.value == 0 || agreed > a.value+now-a.readAt {
		a.value, a.readAt = agreed, now
	}
}

// stamp converts a command's times, which its proposer took from a wall clock, to the agreed time, and returns the agreed
// time. ok is false for a claim that may have been dropped already: it must not be proposed.
func (a *agreedClock) stamp(c *command) (agreed float64, ok bool) {
	agreed = a.advance(c.At)
	if claims.Op(c.Op) == claims.Hold && a.mayBeDropped(c.Until) {
		return agreed, false
	}
	c.stamp(agreed, a.clock.Now(), a.clock.Unix())
	return agreed, true
}

// advance returns the agreed time for an entry that was proposed at a wall-clock time in Unix ms. It makes up for a lag only
// as far as the clocks of both the proposer and this member show one.
func (a *agreedClock) advance(proposedAt float64) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, wall := a.clock.Now(), a.clock.Unix()
	if a.value == 0 {
		a.value, a.readAt = wall, now
		return a.value
	}
	elapsed := now - a.readAt
	next := a.value + elapsed
	lag := max(0, min(wall, proposedAt)-next)
	next += min(lag, elapsed/catchUpDivisor)
	a.value, a.readAt = max(next, min(wall, proposedAt, now)-maxLag), now
	return a.value
}

// mayBeDropped reports whether a claim with an end may have been dropped from the state. Granting it again would allow a
// second use of its token, at a gateway whose wall clock was stepped back and that therefore accepts the token as valid
// again. The agreed time may have begun with a wrong clock, so this member's own clock has to be past the end too.
func (a *agreedClock) mayBeDropped(until float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return until+expiredRetention/2 < min(a.value, a.clock.Now())
}

// stamp converts a command's times to the agreed time. steady and wall are the leader's monotonic and wall clock, in Unix ms.
//
// The time until an end is measured by the proposer's clock and by the leader's; the longer one counts, and the end is never
// moved to before its date. A purge is dated later than the agreed time if that lags behind all three clocks, as gateways of an
// older version compare its date with their own clocks; Agreed then carries the agreed time. Members of an older version use
// the date as the agreed time, so no single clock may set it ahead.
func (c *command) stamp(agreed, steady, wall float64) {
	proposedAt := c.At
	if c.Until > 0 {
		byLeader := max(c.Until, agreed+c.Until-steady)
		byProposer := agreed + c.Until - proposedAt
		c.Until = max(byLeader, min(byProposer, byLeader+maxProposerLag))
	}
	c.At, c.Agreed = agreed, 0
	if date := min(proposedAt, steady, wall); c.Op == opPurge && date > agreed {
		c.At, c.Agreed = date, agreed
	}
}

// agreedAt returns the agreed time of an entry. In logs written before there was one, it is the proposer's time.
func (c *command) agreedAt() float64 {
	if c.Agreed > 0 {
		return c.Agreed
	}
	return c.At
}

// inProposerTime converts the time of a claim's record to the proposer's clock, by which the proposer judges its age.
func inProposerTime(r claims.Record, agreed, proposedAt float64) claims.Record {
	if r.At > 0 {
		r.At = proposedAt - max(0, agreed-r.At)
	}
	return r
}
