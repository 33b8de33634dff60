package replica

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"
	"turnfork.dev/turnfork/claims"
)

// Operations of the log.
const (
	opClaim  = "claim" // of logs written before claims had stages: none becomes the owner's, for good
	opRevoke = "revoke"
	opPut    = "put" // operator configuration

	// The steps of package claims stand under their own names.
)

// command is one entry of the log. Its times are the proposer's, so every member comes to the same.
type command struct {
	Op    string          `json:"op"`
	Name  string          `json:"name"`
	Owner string          `json:"owner,omitempty"`
	At    float64         `json:"at"`              // Unix ms of the proposal
	Until float64         `json:"until,omitempty"` // Unix ms
	Value json.RawMessage `json:"value,omitempty"`

	To      claims.Stage `json:"to,omitempty"`
	Outcome string       `json:"outcome,omitempty"`
}

// steps tells whether a command is a step of a claim, which its owner may make again.
func (c *command) steps() bool {
	switch claims.Op(c.Op) {
	case claims.Hold, claims.Send, claims.Settle, claims.Release:
		return true
	}
	return false
}

// result is what a command came to.
type result struct {
	OK  bool   `json:"ok"`
	Err string `json:"err,omitempty"`

	Record claims.Record `json:"record,omitzero"` // of a claim, as it stands then
}

// forgetAfter is how long, in ms, what has lapsed is kept: a member whose clock runs ahead must not
// make the others forget a claim that still counts.
const forgetAfter = 10 * 60 * 1000

// Bounds of what is held.
const (
	maxName   = 512
	maxValue  = 1 << 20
	maxClaims = 1 << 20
)

// state is the replicated state machine.
type state struct {
	mu      sync.RWMutex
	Claims  map[string]claims.Record   `json:"claims"`
	Revoked map[string]float64         `json:"revoked"` // name to the time until which it counts
	Config  map[string]json.RawMessage `json:"config"`
	Latest  float64                    `json:"latest"` // the highest time seen

	sweptAt float64
	changed func(name string, value json.RawMessage)
}

func newState() *state {
	return &state{Claims: map[string]claims.Record{}, Revoked: map[string]float64{}, Config: map[string]json.RawMessage{}}
}

// Apply carries out one entry of the log.
func (s *state) Apply(l *raft.Log) any {
	var c command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return result{Err: "unreadable entry"}
	}
	res := s.apply(c)
	if c.Op == opPut && res.OK && s.changed != nil {
		s.changed(c.Name, c.Value)
	}
	return res
}

func (s *state) apply(c command) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Latest = max(s.Latest, c.At)
	s.sweep()
	if c.steps() {
		return s.step(c)
	}
	switch c.Op {
	case opClaim:
		// A lapsed claim stays taken until it is forgotten: its token has expired all the same.
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
	case opRevoke:
		s.Revoked[c.Name] = max(s.Revoked[c.Name], c.Until)
	case opPut:
		s.Config[c.Name] = c.Value
	default:
		return result{Err: fmt.Sprintf("unknown operation %q", c.Op)}
	}
	return result{OK: true}
}

// step makes a step of a claim.
func (s *state) step(c command) result {
	old, there := s.Claims[c.Name]
	if claims.Op(c.Op) == claims.Hold {
		if _, revoked := s.Revoked[c.Name]; revoked {
			return result{}
		}
		if !there && len(s.Claims) >= maxClaims {
			return result{Err: "too many claims"}
		}
	}
	next, stays, ok := claims.Apply(old, there, claims.Step{
		Op: claims.Op(c.Op), Owner: c.Owner, Until: c.Until, At: c.At, To: c.To, Outcome: c.Outcome,
	})
	if stays {
		s.Claims[c.Name] = next
	} else {
		delete(s.Claims, c.Name)
	}
	return result{OK: ok, Record: next}
}

// sweep forgets what lapsed long ago. It goes by the log's own times alone.
func (s *state) sweep() {
	if s.Latest < s.sweptAt+forgetAfter/10 {
		return
	}
	s.sweptAt = s.Latest
	for k, v := range s.Claims {
		if s.Latest > v.Until+forgetAfter {
			delete(s.Claims, k)
		}
	}
	for k, until := range s.Revoked {
		if s.Latest > until+forgetAfter {
			delete(s.Revoked, k)
		}
	}
}

func (s *state) revoked(name string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.Revoked[name]
	return ok
}

func (s *state) config(name string) (json.RawMessage, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.Config[name]
	return v, ok
}

// Snapshot copies the state for raft to keep.
func (s *state) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	b, err := json.Marshal(s)
	return snapshot(b), err
}

// Restore replaces the state by a snapshot's.
func (s *state) Restore(r io.ReadCloser) error {
	defer r.Close()
	fresh := newState()
	if err := json.NewDecoder(r).Decode(fresh); err != nil {
		return fmt.Errorf("replica: snapshot: %w", err)
	}
	s.mu.Lock()
	s.Claims, s.Revoked, s.Config, s.Latest = fresh.Claims, fresh.Revoked, fresh.Config, fresh.Latest
	s.mu.Unlock()
	if s.changed != nil {
		for name, value := range fresh.Config {
			s.changed(name, value)
		}
	}
	return nil
}

type snapshot []byte

func (b snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(b); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (snapshot) Release() {}
