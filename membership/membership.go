// Package membership decides how a lost voter of a replicated store is replaced, one change of the group at a time.
//
// It does no I/O: the caller passes the current group to [Replacement.Next], makes the change that it returns, and calls it
// again. An interrupted replacement is therefore resumed by starting it again. Package replica makes the changes.
package membership

import (
	"errors"
	"fmt"
	"slices"
)

// Member is a member of the group.
type Member struct {
	ID   string `toml:"id" json:"id"`
	Addr string `toml:"addr" json:"addr"`
}

// Server is a member of the group, and whether it is a voter. A non-voter receives the log, but does not count for a majority.
type Server struct {
	Member
	Votes bool
}

// Replacement replaces a lost member by a new one. The new member has another name: a member that has lost its log must not
// return under its former name, as it could vote twice in one term, and a majority could form that lacks committed entries.
type Replacement struct {
	Lost    string `json:"lost"` // the lost member's name
	Joining Member `json:"joining"`
}

// ErrRejected is matched by every RejectedError.
var ErrRejected = errors.New("membership: refused")

// RejectedError is returned for a replacement that is impossible: retrying it is useless.
type RejectedError struct {
	Reason   string
	sentinel error // the package's error that this one adds a detail to; nil: none
}

// Error returns the reason.
func (e *RejectedError) Error() string { return ErrRejected.Error() + ": " + e.Reason }

// Is reports whether target is ErrRejected or the package's error that e adds a detail to.
func (e *RejectedError) Is(target error) bool {
	return target == ErrRejected || e.sentinel != nil && target == e.sentinel
}

// withDetail returns an error that matches e, with a detail added to its reason.
func (e *RejectedError) withDetail(detail string) error {
	return &RejectedError{Reason: e.Reason + ": " + detail, sentinel: e}
}

// Errors of Check and Next.
var (
	ErrIncomplete    = &RejectedError{Reason: "the lost member's name, and the joining one's name and address are needed"}
	ErrSameName      = &RejectedError{Reason: "the joining member needs a name of its own"}
	ErrUnknownMember = &RejectedError{Reason: "no member has the lost one's name"}
	ErrConflict      = &RejectedError{Reason: "the joining member's name or address is a member's already"}
)

// ErrCatchingUp is returned by package replica while the joining member can't be reached or lacks log entries. The
// replacement is resumed by starting it again.
var ErrCatchingUp = errors.New("membership: the joining member is not reached, or does not have the whole log yet")

// Check validates the fields of a replacement, without regard to the group.
func (r Replacement) Check() error {
	switch {
	case r.Lost == "" || r.Joining.ID == "" || r.Joining.Addr == "":
		return ErrIncomplete
	case r.Lost == r.Joining.ID:
		return ErrSameName
	}
	return nil
}

// Action is a change of the group, or a precondition of one.
type Action string

// The actions, in the order of a replacement. The lost member is removed before the new one becomes a voter: while both
// count, a majority of a group of odd size needs one more member.
const (
	AddNonvoter        Action = "add"      // add the joining member as a non-voter, which receives the log
	AwaitCatchUp       Action = "await"    // wait until the joining member has caught up with the log
	TransferLeadership Action = "transfer" // transfer leadership away from the lost member
	RemoveLost         Action = "remove"   // remove the lost member
	PromoteToVoter     Action = "vote"     // make the joining member a voter
	Done               Action = "done"     // the replacement is complete
)

// Next returns the next action for a group. leader is the leader's name; caughtUp is whether the joining member has caught up
// with the log.
func (r Replacement) Next(group []Server, leader string, caughtUp bool) (Action, error) {
	if err := r.Check(); err != nil {
		return "", err
	}
	lost := slices.ContainsFunc(group, func(s Server) bool { return s.ID == r.Lost })
	joining, err := r.findJoining(group)
	switch {
	case err != nil:
		return "", err
	case joining == nil && !lost:
		return "", ErrUnknownMember.withDetail(r.Lost)
	case joining == nil:
		return AddNonvoter, nil
	case !joining.Votes && !caughtUp:
		return AwaitCatchUp, nil
	case lost && r.Lost == leader:
		return TransferLeadership, nil
	case lost:
		return RemoveLost, nil
	case !joining.Votes:
		return PromoteToVoter, nil
	}
	return Done, nil
}

// findJoining returns the joining member's entry in the group; nil if it is not in the group yet.
func (r Replacement) findJoining(group []Server) (*Server, error) {
	var found *Server
	for i, s := range group {
		switch {
		case s.Member == r.Joining:
			found = &group[i]
		case s.ID == r.Joining.ID || s.Addr == r.Joining.Addr:
			return nil, ErrConflict.withDetail(fmt.Sprintf("%s at %s", s.ID, s.Addr))
		}
	}
	return found, nil
}
