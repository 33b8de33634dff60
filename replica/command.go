package replica

import (
	"encoding/json"

	"turnfork.dev/turnfork/claims"
)

// The operations of commands. A step of a claim has its name in package claims.
const (
	opClaim  = "claim" // in logs of a version whose claims had no stages: permanently grants an unclaimed name to the owner
	opRevoke = "revoke"
	opPut    = "put"   // sets a value of the operator's configuration
	opPurge  = "purge" // invalidates cached copies, by object or group

	// opMerge is a proposal to change members of a configuration value. The leader turns it into opPut: in an entry of the log,
	// it is an unknown operation to members of every version.
	opMerge = "merge"
)

// Limits of commands and of the state.
const (
	maxName   = 512
	maxValue  = 1 << 20
	maxClaims = 1 << 20
)

// command is the content of a log entry. The leader converts its times to the agreed time, see command.stamp, so that every
// member applies it with the same result. In logs of a version without the agreed time they are the proposer's.
type command struct {
	Op    string          `json:"op"`
	Name  string          `json:"name"`
	Owner string          `json:"owner,omitempty"`
	At    float64         `json:"at"`              // ms; Unix time in a proposal, agreed time in an entry
	Until float64         `json:"until,omitempty"` // ms, as At
	Value json.RawMessage `json:"value,omitempty"`

	Initial json.RawMessage `json:"initial,omitempty"` // of opMerge: the value to change if there is none

	To      claims.Stage `json:"to,omitempty"`
	Outcome string       `json:"outcome,omitempty"`

	Object uint64 `json:"object,omitempty"`
	Group  uint16 `json:"group,omitempty"`

	// Agreed is the agreed time, in ms, if At is not. Members of a version without it use At.
	Agreed float64 `json:"agreed,omitempty"`
}

// isClaimStep reports whether a command is a step of a claim, which its owner may repeat.
func (c *command) isClaimStep() bool {
	switch claims.Op(c.Op) {
	case claims.Hold, claims.Send, claims.Finish, claims.Release:
		return true
	}
	return false
}

// changesConfig reports whether a command changes the operator's configuration.
func (c *command) changesConfig() bool { return c.Op == opPut || c.Op == opMerge }

// result is the result of applying a command, or of a replacement.
type result struct {
	OK  bool   `json:"ok"`
	Err string `json:"err,omitempty"`

	Record claims.Record `json:"record,omitzero"` // of a claim, after the command

	Members    []Member `json:"members,omitempty"`     // of a replacement: the voters
	CatchingUp bool     `json:"catching_up,omitempty"` // of a replacement: the joining member is not ready yet
	Rejected   string   `json:"refused,omitempty"`     // of a replacement: why it is impossible
}
