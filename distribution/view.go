package distribution

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// revocationRetention is how long a revocation is kept after its end, so that a clock that runs ahead does not end it early.
// The replicated state keeps revocations for the same duration.
const revocationRetention = 10 * time.Minute

// proposalDisorder bounds how much earlier a change may have been proposed than a change that precedes it in the log, as
// proposals take different times and the clocks of members differ.
const proposalDisorder = 10 * time.Second

// ErrGap is returned for a batch that does not follow a View's position.
var ErrGap = errors.New("distribution: batch does not follow the view's position")

// Effects is notified of what a View applies, in order. Its methods must not block.
type Effects interface {
	// Configured is called with the new value of a configuration name; nil: it was deleted.
	Configured(name string, value []byte)
	// Purged is called with a purge.
	Purged(c Change)
	// PurgesMissed is called when purges proposed before a Unix time in ms may never be received: copies made before it must be
	// dropped.
	PurgesMissed(before int64)
}

// View is a subscriber's copy of the state. It is not safe for concurrent use.
type View struct {
	effects             Effects
	position            Position
	latestAt            int64 // Unix ms: the highest At of the changes up to position
	config              map[string]json.RawMessage
	revocations         map[string]int64      // name to end; of the history that position is in
	retainedRevocations map[string]int64      // name to end; of an earlier history, absent from a snapshot
	purges              map[purgeKey]struct{} // applied, and not dropped yet
}

// purgeKey identifies a purge, also among those of a lost history.
type purgeKey struct {
	position Position
	object   uint64
	group    uint16
	at       int64
}

// NewView returns an empty view. Effects may be nil.
func NewView(effects Effects) *View {
	if effects == nil {
		effects = noEffects{}
	}
	return &View{
		effects:             effects,
		config:              map[string]json.RawMessage{},
		revocations:         map[string]int64{},
		retainedRevocations: map[string]int64{},
		purges:              map[purgeKey]struct{}{},
	}
}

// Position returns the position of the last applied change.
func (v *View) Position() Position { return v.position }

// Apply applies a batch. Changes that were applied before are skipped. On ErrGap nothing was applied: changes are missing, or
// the batch is of another history.
func (v *View) Apply(b *Batch) error {
	first, err := v.firstNew(b)
	if err != nil {
		return err
	}
	for _, c := range b.Changes[first:] {
		v.apply(c)
	}
	return nil
}

// firstNew checks that a batch follows the view's position, and returns the index of the first change to apply.
func (v *View) firstNew(b *Batch) (int, error) {
	previous := b.After
	if err := v.checkFollows(previous); err != nil {
		return 0, err
	}
	first := 0
	for i, c := range b.Changes {
		if c.Revision <= previous.Revision {
			return 0, fmt.Errorf("%w: revision %d follows %d in the batch", ErrGap, c.Revision, previous.Revision)
		}
		if previous.Revision < v.position.Revision {
			// The view is past the previous change. So it is at this change or past it, unless it is of another history.
			if err := v.checkFollows(c.Position); err != nil {
				return 0, err
			}
			first = i + 1
		}
		previous = c.Position
	}
	return first, nil
}

// checkFollows checks that a position is not ahead of the view's and, at the same revision, of the same term.
func (v *View) checkFollows(at Position) error {
	if at.Revision > v.position.Revision {
		return fmt.Errorf("%w: revision %d is ahead of the view, which is at %d", ErrGap, at.Revision, v.position.Revision)
	}
	if at.Revision == v.position.Revision && at.Term != v.position.Term {
		return fmt.Errorf("%w: revision %d has term %d, but term %d in the view", ErrGap, at.Revision, at.Term, v.position.Term)
	}
	return nil
}

// apply applies a change.
func (v *View) apply(c Change) {
	v.position = c.Position
	v.latestAt = max(v.latestAt, c.At)
	switch c.Kind {
	case KindPut:
		v.configure(c.Name, c.Value)
	case KindRevoke:
		v.revocations[c.Name] = max(v.revocations[c.Name], c.Until)
	case KindPurge:
		v.purge(c)
	}
}

// configure sets or deletes a configuration value.
func (v *View) configure(name string, value json.RawMessage) {
	if isAbsent(value) {
		delete(v.config, name)
		v.effects.Configured(name, nil)
		return
	}
	v.config[name] = value
	v.effects.Configured(name, value)
}

// isAbsent reports whether a value represents a deletion: it is empty, or the null that an empty value is encoded as in JSON.
func isAbsent(value json.RawMessage) bool {
	return len(value) == 0 || string(value) == "null"
}

// purge applies a purge, unless it was applied before.
func (v *View) purge(c Change) {
	id := purgeKey{position: c.Position, object: c.Object, group: c.Group, at: c.At}
	if _, known := v.purges[id]; known {
		return
	}
	v.purges[id] = struct{}{}
	v.effects.Purged(c)
}

// Restore replaces the state by a snapshot's. Revocations and purges that the snapshot lacks are kept until they expire, as
// they may belong to a lost history. Effects is notified of the differences.
//
// Purges may have been missed, and Effects is notified, if the snapshot is not at the view's position and either
//   - its revision is not above the view's: the view's history was lost, and the snapshot's may have diverged from it at any
//     time, or
//   - the newest change in the view was proposed less than proposalDisorder after PurgesSince: changes that the view lacks may
//     have been proposed before PurgesSince. This includes an empty view.
func (v *View) Restore(s *Snapshot, now time.Time) {
	if v.mayMissPurges(s) {
		v.effects.PurgesMissed(s.PurgesSince)
	}
	v.position = s.At
	v.latestAt = snapshotLatestAt(s)
	for _, c := range s.Purges {
		v.purge(c)
	}
	v.restoreRevocations(s.Revocations)
	v.restoreConfig(s.Config)
	v.DropExpired(now)
}

// mayMissPurges reports whether there may be purges that neither the view nor a snapshot has.
func (v *View) mayMissPurges(s *Snapshot) bool {
	if s.At == v.position && v.position != (Position{}) {
		return false
	}
	if s.At.Revision <= v.position.Revision {
		return true
	}
	return v.latestAt-proposalDisorder.Milliseconds() < s.PurgesSince
}

// snapshotLatestAt returns the highest At in a snapshot.
func snapshotLatestAt(s *Snapshot) int64 {
	latest := s.LatestAt
	for _, c := range s.Purges {
		latest = max(latest, c.At)
	}
	return latest
}

// restoreRevocations replaces the revocations by a snapshot's, and retains those that it lacks.
func (v *View) restoreRevocations(revocations map[string]int64) {
	for name, until := range v.revocations {
		if until > revocations[name] {
			v.retainedRevocations[name] = max(v.retainedRevocations[name], until)
		}
	}
	v.revocations = maps.Clone(revocations)
	if v.revocations == nil {
		v.revocations = map[string]int64{}
	}
}

// restoreConfig replaces the configuration by a snapshot's, and notifies of the differences in the order of their names.
func (v *View) restoreConfig(config map[string]json.RawMessage) {
	names := slices.Collect(maps.Keys(v.config))
	for name := range config {
		if _, known := v.config[name]; !known {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		old, value := v.config[name], config[name]
		if isAbsent(old) && isAbsent(value) || bytes.Equal(old, value) {
			continue
		}
		v.configure(name, value)
	}
}

// Get returns a configuration value, and whether there is one.
func (v *View) Get(name string) (value []byte, ok bool) {
	raw, ok := v.config[name]
	return raw, ok
}

// Revoked reports whether the use of a name is revoked.
func (v *View) Revoked(name string) bool {
	if _, revoked := v.revocations[name]; revoked {
		return true
	}
	_, revoked := v.retainedRevocations[name]
	return revoked
}

// DropExpired drops expired revocations and purges. A revocation expires revocationRetention after its end, by the clock, if it
// has also ended by the times in the log; a purge expires DefaultPurgeRetention after its time.
func (v *View) DropExpired(now time.Time) {
	revokedSince := now.Add(-revocationRetention).UnixMilli()
	for name, until := range v.revocations {
		// Digest covers the revocation until the log has a change of a later time.
		if until < revokedSince && until < v.latestAt {
			delete(v.revocations, name)
		}
	}
	for name, until := range v.retainedRevocations {
		if until < revokedSince {
			delete(v.retainedRevocations, name)
		}
	}
	purgedSince := now.Add(-DefaultPurgeRetention).UnixMilli()
	for id := range v.purges {
		if id.at < purgedSince {
			delete(v.purges, id)
		}
	}
}

// noEffects ignores all notifications.
type noEffects struct{}

// Configured does nothing.
func (noEffects) Configured(string, []byte) {}

// Purged does nothing.
func (noEffects) Purged(Change) {}

// PurgesMissed does nothing.
func (noEffects) PurgesMissed(int64) {}
