// Package membership decides how a lost voter of a replicated store is replaced, one change of the group at a time. It does no
// I/O: its caller names the group as it is, carries the next change out and asks again, so that a replacement that was broken off
// is finished by asking for it once more.
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

// Server is a member with its part in the group. One that does not vote receives the log, but no majority depends on it.
type Server struct {
	Member
	Votes bool
}

// Replacement puts a new member in the place of one that is lost. The new one has a name of its own: a member that has lost
// its log must not come back under its former name, as it would vote again in elections in which it has voted already, and a
// majority could form that has forgotten what was agreed on.
type Replacement struct {
	Lost    string `json:"lost"` // its name
	Joining Member `json:"joining"`
}

// ErrRefused is what all errors of Check and Next are: it is no use to ask for the same again.
var ErrRefused = errors.New("membership: refused")

// Errors of Check and Next.
var (
	ErrIncomplete    = fmt.Errorf("%w: the lost member's name, and the joining one's name and address are needed", ErrRefused)
	ErrSameName      = fmt.Errorf("%w: the joining member needs a name of its own", ErrRefused)
	ErrUnknownMember = fmt.Errorf("%w: no member has the lost one's name", ErrRefused)
	ErrConflict      = fmt.Errorf("%w: the joining member's name or address is a member's already", ErrRefused)
)

// ErrCatchingUp tells that the joining member is not reached, or has not got the whole log yet. The replacement goes on when it
// is asked for again.
var ErrCatchingUp = errors.New("membership: the joining member is not reached, or does not have the whole log yet")

// Check tells whether a replacement is complete in itself.
func (r Replacement) Check() error {
	switch {
	case r.Lost == "" || r.Joining.ID == "" || r.Joining.Addr == "":
		return ErrIncomplete
	case r.Lost == r.Joining.ID:
		return ErrSameName
	}
	return nil
}

// Action is a change of the group, or what has to come before one.
type Action string

// The actions, in the order of a replacement. The lost member goes before the new one votes: as long as both count, one more
// member is needed for a majority.
const (
	AddWithoutVote     Action = "add"      // the joining member, so that it receives the log
	AwaitCatchUp       Action = "await"    // until the joining member has the log
	TransferLeadership Action = "transfer" // as the member to remove leads
	RemoveLost         Action = "remove"
	GiveVote           Action = "vote" // to the joining member
	Done               Action = "done"
)

// Next gives the next action for a group. Leader is the leading member's name; caughtUp tells whether the joining member has
// the log.
func (r Replacement) Next(group []Server, leader string, caughtUp bool) (Action, error) {
	if err := r.Check(); err != nil {
		return "", err
	}
	lost := slices.ContainsFunc(group, func(s Server) bool { return s.ID == r.Lost })
	joining, err := r.find(group)
	switch {
	case err != nil:
		return "", err
	case joining == nil && !lost:
		return "", fmt.Errorf("%w: %s", ErrUnknownMember, r.Lost)
	case joining == nil:
		return AddWithoutVote, nil
	case !joining.Votes && !caughtUp:
		return AwaitCatchUp, nil
	case lost && r.Lost == leader:
		return TransferLeadership, nil
	case lost:
		return RemoveLost, nil
	case !joining.Votes:
		return GiveVote, nil
	}
	return Done, nil
}

// find gives the joining member as the group has it; nil: not yet.
func (r Replacement) find(group []Server) (*Server, error) {
	var found *Server
	for i, s := range group {
		switch {
		case s.Member == r.Joining:
			found = &group[i]
		case s.ID == r.Joining.ID || s.Addr == r.Joining.Addr:
			return nil, fmt.Errorf("%w: %s at %s", ErrConflict, s.ID, s.Addr)
		}
	}
	return found, nil
}
