package replica

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/hashicorp/raft"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/distribution"
)

// expiredRetention is how long, in ms, expired claims and revocations are kept: the agreed time may advance a little faster than
// real time, and wall clocks, by which tokens expire, differ.
const expiredRetention = 10 * 60 * 1000

// stateMachine is the replicated state machine: claims, revocations, configuration and purges. Raft applies the committed
// entries of the log to it.
type stateMachine struct {
	mu sync.RWMutex
	persistentState

	lastDropAt float64 // agreed time of the last dropExpired, in ms

	// Notifications of this member's own gateway; each may be nil.
	onPut          func(name string, value json.RawMessage)
	onPurge        func(c distribution.Change)
	onPurgesMissed func(before int64)
	onApplied      func(at distribution.Position) // after those above, for all changes up to a position

	feed        *feed        // nil: there are no subscribers
	agreedClock *agreedClock // observes the agreed time; may be nil
}

func newStateMachine() *stateMachine {
	return &stateMachine{persistentState: persistentState{
		Claims: map[string]claims.Record{}, Revoked: map[string]float64{}, Config: map[string]json.RawMessage{},
	}}
}

// Apply applies a committed entry of the log.
func (s *stateMachine) Apply(entry *raft.Log) any {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return result{Err: "unreadable entry"}
	}
	at := distribution.Position{Revision: distribution.Revision(entry.Index), Term: entry.Term}
	res, change := s.applyCommand(at, c)
	s.notify(change)
	if change != nil {
		s.notifyApplied(change.Position)
	}
	return res
}

// applyCommand applies a command at its position and appends the change to the feed in the same critical section, so that the
// state and the feed never differ for a holder of the lock. The change is nil if there is none to distribute.
func (s *stateMachine) applyCommand(at distribution.Position, c command) (result, *distribution.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := s.applyLocked(c)
	if !res.OK || !c.isDistributed() {
		return res, nil
	}
	change := s.newChange(at, c)
	s.publish(change)
	return res, &change
}

// notify notifies this member's gateway of a change, which may be nil.
func (s *stateMachine) notify(change *distribution.Change) {
	switch {
	case change == nil:
	case change.Kind == distribution.KindPut && s.onPut != nil:
		s.onPut(change.Name, change.Value)
	case change.Kind == distribution.KindPurge && s.onPurge != nil:
		s.onPurge(*change)
	}
}

// notifyApplied notifies that all changes up to a position are applied and notified.
func (s *stateMachine) notifyApplied(at distribution.Position) {
	if s.onApplied != nil {
		s.onApplied(at)
	}
}

// applyLocked applies a command; s.mu is held.
func (s *stateMachine) applyLocked(c command) result {
	s.Latest = max(s.Latest, c.agreedAt())
	s.observeAgreed()
	s.dropExpired()
	if c.isClaimStep() {
		return s.applyClaimStep(c)
	}
	switch c.Op {
	case opClaim:
		return s.applyClaim(c)
	case opRevoke:
		s.Revoked[c.Name] = max(s.Revoked[c.Name], c.Until)
	case opPut:
		s.Config[c.Name] = c.Value
	case opPurge: // recorded by publish, which knows its position
	default:
		return result{Err: fmt.Sprintf("unknown operation %q", c.Op)}
	}
	return result{OK: true}
}

// observeAgreed reports the agreed time to the clock; s.mu is held.
func (s *stateMachine) observeAgreed() {
	if s.agreedClock != nil {
		s.agreedClock.observe(s.Latest)
	}
}

// applyClaim applies a claim from a log whose claims had no stages; s.mu is held. An expired claim still blocks its name until
// it is dropped, as its token has expired too.
func (s *stateMachine) applyClaim(c command) result {
	if _, taken := s.Claims[c.Name]; taken {
		return result{}
	}
	if _, revoked := s.Revoked[c.Name]; revoked {
		return result{}
	}
	if len(s.Claims) >= maxClaims {
		return result{Err: "too many claims"}
	}
	s.Claims[c.Name] = claims.Record{Owner: c.Owner, Until: c.Until}
	return result{OK: true}
}

// applyClaimStep applies a step of a claim; s.mu is held.
func (s *stateMachine) applyClaimStep(c command) result {
	old, exists := s.Claims[c.Name]
	if claims.Op(c.Op) == claims.Hold {
		if _, revoked := s.Revoked[c.Name]; revoked {
			return result{}
		}
		if !exists && len(s.Claims) >= maxClaims {
			return result{Err: "too many claims"}
		}
	}
	next, keep, ok := claims.Apply(old, exists, claims.Step{
		Op: claims.Op(c.Op), Owner: c.Owner, Until: c.Until, At: c.At, To: c.To, Outcome: c.Outcome,
	})
	if keep {
		s.Claims[c.Name] = next
	} else {
		delete(s.Claims, c.Name)
	}
	return result{OK: ok, Record: next}
}

// dropExpired drops what expired expiredRetention ago; s.mu is held. It uses the agreed time alone, so that every member
// drops the same.
func (s *stateMachine) dropExpired() {
	if s.Latest < s.lastDropAt+expiredRetention/10 {
		return
	}
	s.lastDropAt = s.Latest
	for name, record := range s.Claims {
		if s.Latest > record.Until+expiredRetention {
			delete(s.Claims, name)
		}
	}
	for name, until := range s.Revoked {
		if s.Latest > until+expiredRetention {
			delete(s.Revoked, name)
		}
	}
	s.dropExpiredPurges()
}

func (s *stateMachine) revoked(name string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.Revoked[name]
	return ok
}

func (s *stateMachine) configValue(name string) (json.RawMessage, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	value, ok := s.Config[name]
	return value, ok
}
