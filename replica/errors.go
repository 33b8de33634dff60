package replica

import (
	"errors"
	"fmt"

	"turnfork.dev/turnfork/claims"
)

var (
	// ErrNoQuorum is returned when no majority agreed to a proposal in time. Whether the proposal is applied is unknown.
	ErrNoQuorum = errors.New("replica: no quorum")

	// ErrStale is returned for a claim that was not proposed because this gateway's copy of the state is stale.
	ErrStale = fmt.Errorf("replica: stale: %w", claims.ErrNotProposed)
)

var (
	errNoLeader              = errors.New("no leader")
	errNoResult              = errors.New("no result")
	errReplacementInProgress = errors.New("replica: another replacement is under way")
	errWatchRejected         = errors.New("replica: subscription rejected")
)

// outcomeUnknownError is returned for a proposal that may or may not be applied. With any other error it is not applied.
type outcomeUnknownError struct{ err error }

// Error returns the text of the cause.
func (e *outcomeUnknownError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *outcomeUnknownError) Unwrap() error { return e.err }

// isOutcomeUnknown reports whether a proposal that failed with an error may be applied all the same.
func isOutcomeUnknown(err error) bool {
	var unknown *outcomeUnknownError
	return errors.As(err, &unknown)
}

// remoteError is an error that another member returned.
type remoteError struct{ text string }

// Error returns the other member's text.
func (e *remoteError) Error() string { return e.text }

// notLeaderError is the response of a member that is not the leader, with the leader's address if it is known.
type notLeaderError struct{ leader string }

// Error returns the text with which members respond that they are not the leader.
func (e *notLeaderError) Error() string { return notLeader }

// outcomeUnknownCause returns the cause of an outcomeUnknownError, and other errors as they are. A caller that abandons a
// proposal returns the cause, so that the outcome of an enclosing proposal (a replacement proposes commands) is not treated as
// unknown as well.
func outcomeUnknownCause(err error) error {
	var unknown *outcomeUnknownError
	if errors.As(err, &unknown) {
		return unknown.err
	}
	return err
}
