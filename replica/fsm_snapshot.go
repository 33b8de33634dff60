package replica

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/hashicorp/raft"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/distribution"
)

// persistentState is the part of the state that Raft's snapshots hold.
type persistentState struct {
	Claims  map[string]claims.Record   `json:"claims"`
	Revoked map[string]float64         `json:"revoked"` // name to the end of the revocation, in ms
	Config  map[string]json.RawMessage `json:"config"`
	Latest  float64                    `json:"latest"` // the highest agreed time, in ms

	Purges      []distribution.Change `json:"purges,omitempty"` // by revision
	PurgesSince int64                 `json:"purges_since,omitempty"`
	Position    distribution.Position `json:"position,omitzero"`   // of the last distributed change
	ChangedAt   int64                 `json:"changed_at,omitzero"` // the highest time of a distributed change
}

// clone copies the maps and the list, which are modified in place. Their values are not modified.
func (p *persistentState) clone() persistentState {
	copied := *p
	copied.Claims = maps.Clone(p.Claims)
	copied.Revoked = maps.Clone(p.Revoked)
	copied.Config = maps.Clone(p.Config)
	copied.Purges = slices.Clone(p.Purges)
	return copied
}

// Snapshot returns a copy of the state for Raft. Nothing is applied during this call, so the copy is encoded later, by Persist.
func (s *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return &fsmSnapshot{s.clone()}, nil
}

// Restore replaces the state by a snapshot's.
func (s *stateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	restored := newStateMachine()
	if err := json.NewDecoder(r).Decode(&restored.persistentState); err != nil {
		return fmt.Errorf("replica: snapshot: %w", err)
	}
	s.install(restored)
	s.notifyRestored(restored)
	s.notifyApplied(s.position())
	return nil
}

// install replaces the state by that of a restored state machine.
func (s *stateMachine) install(restored *stateMachine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.persistentState = restored.persistentState
	if s.Latest > 0 {
		s.observeAgreed()
	}
	if s.Position == (distribution.Position{}) && len(s.Config)+len(s.Revoked) > 0 {
		s.Position = unrecordedPosition
	}
	if s.feed != nil {
		s.feed.reset(s.Position)
	}
}

// notifyRestored notifies this member's gateway of everything in a restored state.
func (s *stateMachine) notifyRestored(restored *stateMachine) {
	if s.onPut != nil {
		for name, value := range restored.Config {
			s.onPut(name, value)
		}
	}
	if s.onPurgesMissed != nil && restored.PurgesSince > 0 {
		s.onPurgesMissed(restored.PurgesSince)
	}
	if s.onPurge != nil {
		for _, c := range restored.Purges {
			s.onPurge(c)
		}
	}
}

// fsmSnapshot is a copy of the state, to be written by Raft.
type fsmSnapshot struct{ persistentState }

// Persist writes the snapshot, while further entries are applied to the state.
func (s *fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if err := s.write(sink); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (s *fsmSnapshot) write(to io.Writer) error {
	encoded, err := json.Marshal(&s.persistentState)
	if err != nil {
		return err
	}
	_, err = to.Write(encoded)
	return err
}

// Release does nothing: there is nothing to free.
func (*fsmSnapshot) Release() {}
