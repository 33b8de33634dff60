// Package distribution decides how the changes of a replicated log reach gateways that do not vote in it. A voter has a
// [Publisher]: a bounded journal of changes with one cursor per subscriber. A gateway has a [View], which holds the state as
// far as it was received, and a [Lease], which tells whether that state is known to be complete.
//
// The package does no I/O and starts no goroutine. The time is an argument, and randomness is handed in. Package replica
// carries its messages over the links between members.
package distribution

import "encoding/json"

// Revision numbers the changes: it is the index of the change's entry in the replicated log. Revisions ascend and have gaps,
// as the log also holds entries that are not distributed.
type Revision uint64

// Position names a change and the history that it belongs to: two logs that differ at a revision differ in its term.
// The zero value stands before every change.
type Position struct {
	Revision Revision `json:"revision"`
	Term     uint64   `json:"term"`
}

// Kind says what a change does.
type Kind string

// The kinds of changes.
const (
	KindPut    Kind = "put"    // sets the named piece of configuration to Value
	KindRevoke Kind = "revoke" // refuses the named use until Until
	KindPurge  Kind = "purge"  // makes copies of an object, or with object 0 of a group, void that are older than At
)

// Change is one entry of the log that every gateway has to know.
type Change struct {
	Position
	Kind   Kind            `json:"kind"`
	Name   string          `json:"name,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Until  int64           `json:"until,omitempty"` // Unix ms, of a revocation
	Object uint64          `json:"object,omitempty"`
	Group  uint16          `json:"group,omitempty"`
	At     int64           `json:"at,omitempty"` // Unix ms at which the change was proposed; of a purge: its time
}

// Snapshot is the whole state at a position, sorted by name or, for purges, by revision.
type Snapshot struct {
	At          Position                   `json:"at"`
	Config      map[string]json.RawMessage `json:"config"`
	Revocations map[string]int64           `json:"revocations"`  // name to the Unix ms until which it counts
	Purges      []Change                   `json:"purges"`       // as far back as PurgesSince
	PurgesSince int64                      `json:"purges_since"` // Unix ms: every purge proposed at or after it is in Purges
	LatestAt    int64                      `json:"latest_at"`    // Unix ms: the highest At of the changes up to the position
}

// Mark tells a subscriber that it has received every change up to Through that was acknowledged before the voter took up the
// subscriber's heartbeat of number Heartbeat. A voter issues one only after a majority confirmed its leader since then.
type Mark struct {
	Through   Revision `json:"through"`
	Heartbeat uint64   `json:"heartbeat"`
	Leader    string   `json:"leader,omitempty"` // address of the leader, where proposals go
}
