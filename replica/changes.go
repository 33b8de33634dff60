package replica

import (
	"maps"
	"math"
	"slices"

	"turnfork.dev/turnfork/distribution"
)

// maxPurges bounds the purges in the state. At 46 a second the retention keeps far fewer.
const maxPurges = 1 << 17

// purgeRetention is how long the state keeps a purge, by the agreed time.
const purgeRetention = distribution.DefaultPurgeRetention

// unrecordedPosition is the position of a state whose snapshot was written before positions were recorded. It is that of the
// log's first entry, which bootstraps the cluster and is never distributed: a subscriber without any state must not be
// mistaken for one that has this state.
var unrecordedPosition = distribution.Position{Revision: 1}

// isDistributed reports whether a command is distributed to every gateway.
func (c *command) isDistributed() bool { return c.Op == opPut || c.Op == opRevoke || c.Op == opPurge }

// newChange returns the change that a granted command makes; s.mu is held.
func (s *stateMachine) newChange(at distribution.Position, c command) distribution.Change {
	out := distribution.Change{Position: at, Name: c.Name, At: int64(c.At)}
	switch c.Op {
	case opPut:
		out.Kind, out.Value = distribution.KindPut, c.Value
	case opRevoke:
		out.Kind, out.Until = distribution.KindRevoke, ceilMS(s.Revoked[c.Name])
	case opPurge:
		out.Kind, out.Object, out.Group = distribution.KindPurge, c.Object, c.Group
	}
	return out
}

// publish records a change and appends it to the feed; s.mu is held.
func (s *stateMachine) publish(c distribution.Change) {
	s.Position = c.Position
	s.ChangedAt = max(s.ChangedAt, c.At)
	if c.Kind == distribution.KindPurge {
		s.Purges = append(s.Purges, c)
		s.trimPurges()
	}
	if s.feed != nil {
		s.feed.append(c)
	}
}

// trimPurges drops the older half of the purges if there are more than maxPurges.
func (s *stateMachine) trimPurges() {
	if len(s.Purges) <= maxPurges {
		return
	}
	dropped := s.Purges[:maxPurges/2]
	for _, c := range dropped {
		s.PurgesSince = max(s.PurgesSince, c.At+1)
	}
	s.Purges = slices.Clone(s.Purges[len(dropped):])
}

// dropExpiredPurges drops the purges whose retention has passed by the agreed time. A purge whose proposer's clock was slow is
// dropped early: PurgesSince records this, and a gateway that missed the purge drops its older copies.
func (s *stateMachine) dropExpiredPurges() {
	oldest := int64(s.Latest) - purgeRetention.Milliseconds()
	s.Purges = slices.DeleteFunc(s.Purges, func(c distribution.Change) bool {
		expired := c.At < oldest
		if expired {
			s.PurgesSince = max(s.PurgesSince, c.At+1)
		}
		return expired
	})
}

// distributedState returns a copy of the state that is distributed to gateways. The values are shared: they are not modified.
func (s *stateMachine) distributedState() *distribution.Snapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	revocations := make(map[string]int64, len(s.Revoked))
	for name, until := range s.Revoked {
		revocations[name] = ceilMS(until)
	}
	return &distribution.Snapshot{
		At: s.Position, Config: maps.Clone(s.Config), Revocations: revocations,
		Purges: slices.Clone(s.Purges), PurgesSince: s.PurgesSince, LatestAt: s.ChangedAt,
	}
}

// position returns the position of the last distributed change.
func (s *stateMachine) position() distribution.Position {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.Position
}

// ceilMS rounds a time in Unix ms up to an integer, and saturates.
func ceilMS(ms float64) int64 {
	if ms >= math.MaxInt64 {
		return math.MaxInt64
	}
	return int64(math.Ceil(ms))
}
