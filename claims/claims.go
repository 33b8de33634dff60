// Package claims decides who may use a single-use token, and records what became of the use. It is the state machine of one
// claim: it does no I/O, and a replicated log applies the steps in one order, so every member computes the same record.
//
// A use passes the stages held (reserved), sent, and ran or unconfirmed. Only while it is held can it pass to another request:
// its owner has sent nothing yet, and the owner's own step to sent fails once the use belongs to another request. A hold whose
// outcome its owner never learned therefore blocks no other request, and a use that may have run is never granted again.
//
// It does not interpret tokens and does not decide when a record is deleted: packages front/signed and replica do.
package claims

import "errors"

// Stage is the stage of a use.
type Stage string

// The stages. A record of an older version has none, and counts as sent. They are stored under these names.
const (
	Held        Stage = "held"  // reserved: nothing was sent
	Sent        Stage = "sent"  // the request may be running, or have run
	Ran         Stage = "ran"   // the request ran; Outcome states the result
	Unconfirmed Stage = "doubt" // the request may have run, and its result can't be known
)

// ErrNotProposed is returned for a step that was rejected before it was proposed: nothing has to be undone.
var ErrNotProposed = errors.New("claims: the step was not proposed")

// Record is the state of a use.
type Record struct {
	Owner   string  `json:"owner"` // the request that has the use
	Until   float64 `json:"until"` // Unix ms
	Stage   Stage   `json:"stage,omitempty"`
	Outcome string  `json:"outcome,omitempty"`
	At      float64 `json:"at,omitempty"` // Unix ms of the step to sent; 0: unknown
}

// outcomeDelay is the longest time, in ms, that recording the last step of a use may take.
const outcomeDelay = 2000

// Pending reports whether the last step of a use may still follow at now, in Unix ms, if a request takes at most requestMS.
// Until then another request for the token is answered with a Retry-After instead of a final rejection: the owner may be
// about to release it.
func (r Record) Pending(now, requestMS float64) bool {
	return r.Stage == Sent && r.At > 0 && now < r.At+requestMS+outcomeDelay
}

// Op is the kind of a step.
type Op string

// The steps. Each is idempotent for its owner, so a step of unknown outcome can be repeated. They are stored under these names.
const (
	Hold    Op = "hold"    // reserve a use that has no owner, or that another only holds
	Send    Op = "send"    // the owner is about to send
	Finish  Op = "settle"  // the use ended in the stage To
	Release Op = "release" // nothing ran: the use has no owner again
)

// Step is a step of an owner.
type Step struct {
	Op      Op
	Owner   string
	Until   float64
	At      float64 // Unix ms of the step
	To      Stage   // of Finish: Ran or Unconfirmed
	Outcome string
}

// MaxOutcomeLen is the greatest length of an outcome, in bytes.
const MaxOutcomeLen = 64

// Apply applies a step to a record; exists states whether there is one. It returns the record afterwards, whether to keep it, and
// whether the step is granted.
func Apply(r Record, exists bool, s Step) (next Record, keep, ok bool) {
	switch s.Op {
	case Hold:
		return applyHold(r, exists, s)
	case Send:
		return applySend(r, exists, s)
	case Finish:
		return applyFinish(r, exists, s)
	case Release:
		return applyRelease(r, exists, s)
	}
	return r, exists, false
}

// applyHold reserves a use for its owner.
func applyHold(r Record, exists bool, s Step) (next Record, keep, ok bool) {
	if exists && r.Stage != Held {
		return r, true, false
	}
	return Record{Owner: s.Owner, Until: max(r.Until, s.Until), Stage: Held}, true, true
}

// applySend records that the owner is about to send the request.
func applySend(r Record, exists bool, s Step) (next Record, keep, ok bool) {
	owned := exists && r.Owner == s.Owner
	if !owned || r.Stage != Held && r.Stage != Sent {
		return r, exists, false
	}
	if r.Stage == Held {
		r.Stage, r.At = Sent, s.At
	}
	return r, true, true
}

// applyFinish records the end of a use. A repeated step with the same end is granted.
func applyFinish(r Record, exists bool, s Step) (next Record, keep, ok bool) {
	owned := exists && r.Owner == s.Owner
	endable := owned && r.Stage != Held && r.Stage != Ran
	valid := (s.To == Ran || s.To == Unconfirmed) && len(s.Outcome) <= MaxOutcomeLen
	if !endable || !valid {
		repeated := owned && r.Stage == s.To && r.Outcome == s.Outcome
		return r, exists, repeated
	}
	r.Stage, r.Outcome = s.To, s.Outcome
	return r, true, true
}

// applyRelease deletes the record of a use that did not run. Without a record the step is granted, as a repeated one.
func applyRelease(r Record, exists bool, s Step) (next Record, keep, ok bool) {
	if !exists {
		return r, false, true
	}
	owned := r.Owner == s.Owner
	if !owned || r.Stage == Ran || r.Stage == Unconfirmed {
		return r, true, false
	}
	return Record{}, false, true
}
