package distribution

import "encoding/json"

// Revision is the number of a change: the index of its entry in the replicated log. Revisions ascend and have gaps, as the
// log also has entries that are not distributed.
type Revision uint64

// Position identifies a change and the history that it belongs to: two logs that differ at a revision differ in its term. The
// zero value precedes every change.
type Position struct {
	Revision Revision `json:"revision"`
	Term     uint64   `json:"term"`
}

// Kind is the kind of a change.
type Kind string

// The kinds of changes.
const (
	KindPut    Kind = "put"    // sets the configuration value Name to Value
	KindRevoke Kind = "revoke" // revokes the use Name until Until
	KindPurge  Kind = "purge"  // invalidates the cached copies of Object, or with object 0 of Group, that are older than At
)

// Change is a log entry that is distributed to every gateway.
type Change struct {
	Position
	Kind   Kind            `json:"kind"`
	Name   string          `json:"name,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Until  int64           `json:"until,omitempty"` // end of a revocation, in Unix ms
	Object uint64          `json:"object,omitempty"`
	Group  uint16          `json:"group,omitempty"`
	At     int64           `json:"at,omitempty"` // when the change was proposed, in Unix ms; of a purge: its time
}

// Snapshot is the complete distributed state at a position.
type Snapshot struct {
	At          Position                   `json:"at"`
	Config      map[string]json.RawMessage `json:"config"`
	Revocations map[string]int64           `json:"revocations"`  // name to the end, in Unix ms
	Purges      []Change                   `json:"purges"`       // by revision, as far back as PurgesSince
	PurgesSince int64                      `json:"purges_since"` // Unix ms: every purge proposed at or after it is in Purges
	LatestAt    int64                      `json:"latest_at"`    // Unix ms: the highest At of the changes up to the position
}

// Mark proves to a subscriber that every change that was acknowledged before the voter received the heartbeat of number
// Heartbeat has a revision of Through at most. A voter issues it only after a majority has confirmed its leader since then.
type Mark struct {
	Through   Revision `json:"through"`
	Heartbeat uint64   `json:"heartbeat"`
	Leader    string   `json:"leader,omitempty"` // address of the leader, for proposals
}
