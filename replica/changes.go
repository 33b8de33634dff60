package replica

import (
	"maps"
	"math"
	"slices"

	"turnfork.dev/turnfork/distribution"
)

// maxPurges bounds the purges that the state keeps. At 46 a second the retention keeps far fewer.
const maxPurges = 1 << 17

// purgeRetention is how long the state keeps a purge, by the log's own times.
const purgeRetention = distribution.DefaultPurgeRetention

// unrecorded is the position of a state whose snapshot was written before positions were recorded. It is that of the log's
// first entry, which founds the cluster and is never distributed: a subscriber that holds nothing yet must not pass for one
// that holds all this.
var unrecorded = distribution.Position{Revision: 1}

// distributed tells whether every gateway has to know a command.
func (c *command) distributed() bool { return c.Op == opPut || c.Op == opRevoke || c.Op == opPurge }

// change puts a granted command into the form in which it is distributed; mu is held.
func (s *state) change(at distribution.Position, c command) distribution.Change {
	out := distribution.Change{Position: at, Name: c.Name, At: int64(c.At)}
	switch c.Op {
	case opPut:
		out.Kind, out.Value = distribution.KindPut, c.Value
	case opRevoke:
		out.Kind, out.Until = distribution.KindRevoke, untilMS(s.Revoked[c.Name])
	case opPurge:
		out.Kind, out.Object, out.Group = distribution.KindPurge, c.Object, c.Group
	}
	return out
}

// distribute enters a change that was made; mu is held.
func (s *state) distribute(c distribution.Change) {
	s.Position = c.Position
	s.ChangedAt = max(s.ChangedAt, c.At)
	if c.Kind == distribution.KindPurge {
		s.Purges = append(s.Purges, c)
		s.boundPurges()
	}
	if s.feed != nil {
		s.feed.append(c)
	}
}

// boundPurges drops the oldest purges where there are too many.
func (s *state) boundPurges() {
	if len(s.Purges) <= maxPurges {
		return
	}
	dropped := s.Purges[:maxPurges/2]
	for _, c := range dropped {
		s.PurgesSince = max(s.PurgesSince, c.At+1)
	}
	s.Purges = slices.Clone(s.Purges[len(dropped):])
}

// sweepPurges forgets the purges whose retention has passed by the log's own times. A purge whose proposer's clock was slow
// goes early: PurgesSince says so, and who missed it drops its older copies.
func (s *state) sweepPurges() {
	oldest := int64(s.Latest) - purgeRetention.Milliseconds()
	s.Purges = slices.DeleteFunc(s.Purges, func(c distribution.Change) bool {
		lapsed := c.At < oldest
		if lapsed {
			s.PurgesSince = max(s.PurgesSince, c.At+1)
		}
		return lapsed
	})
}

// distributedState copies what gateways have to know, all at one position. The values are shared: nobody changes them.
func (s *state) distributedState() *distribution.Snapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	revocations := make(map[string]int64, len(s.Revoked))
	for name, until := range s.Revoked {
		revocations[name] = untilMS(until)
	}
	return &distribution.Snapshot{
		At: s.Position, Config: maps.Clone(s.Config), Revocations: revocations,
		Purges: slices.Clone(s.Purges), PurgesSince: s.PurgesSince, LatestAt: s.ChangedAt,
	}
}

// position is that of the last change that is distributed.
func (s *state) position() distribution.Position {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.Position
}

// untilMS rounds a time in Unix ms up to a whole one, within what fits.
func untilMS(ms float64) int64 {
	if ms >= math.MaxInt64 {
		return math.MaxInt64
	}
	return int64(math.Ceil(ms))
}
