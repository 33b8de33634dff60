package replica

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/hashicorp/raft"
	"turnfork.dev/turnfork/clock"
)

// defaultEnqueueTimeout limits how long Raft may take to accept an entry where the context has no deadline.
const defaultEnqueueTimeout = 2 * time.Second

// attempt makes one attempt at a proposal, on this member if it is the leader and otherwise by forwarding it to the leader.
func (s *Store) attempt(ctx context.Context, p proposal) (result, error) {
	if s.Leads() {
		return s.execute(ctx, p)
	}
	addr, _ := s.raft.LeaderWithID()
	if addr == "" || s.transport == nil {
		return result{}, errNoLeader
	}
	return s.leaderConns.forward(ctx, string(addr), p)
}

// execute executes a proposal on the leader.
func (s *Store) execute(ctx context.Context, p proposal) (result, error) {
	if p.kind == connMembers {
		return s.executeReplacement(ctx, p.body)
	}
	return s.executeCommand(ctx, p.body)
}

// executeCommand executes a command and returns the result of applying it.
func (s *Store) executeCommand(ctx context.Context, encoded []byte) (result, error) {
	var c command
	if err := json.Unmarshal(encoded, &c); err != nil {
		return result{Err: "unreadable command"}, nil
	}
	if err := s.awaitEarlierTerms(ctx); err != nil {
		return result{}, err
	}
	if c.changesConfig() {
		return s.changeConfig(ctx, c)
	}
	if c.Op == opRevoke && s.opt.MinRevocation != nil {
		c.Until = max(c.Until, c.At+clock.Ms(s.opt.MinRevocation()))
	}
	return s.appendCommand(ctx, c)
}

// appendCommand appends a command to the log, at the agreed time, and returns the result of applying it.
func (s *Store) appendCommand(ctx context.Context, c command) (result, error) {
	proposedAt := c.At
	agreed, ok := s.agreedClock.stamp(&c)
	if !ok {
		return result{}, nil
	}
	entry, err := json.Marshal(c)
	if err != nil {
		return result{}, err
	}
	res, err := s.applyEntry(ctx, entry)
	if err != nil {
		return result{}, err
	}
	res.Record = inProposerTime(res.Record, agreed, proposedAt)
	return res, nil
}

// awaitEarlierTerms waits until this leader has applied all entries of earlier terms: only then does it know the agreed time.
// After the first call of a term it returns at once.
func (s *Store) awaitEarlierTerms(ctx context.Context) error {
	term := s.raft.CurrentTerm()
	if s.caughtUpTerm.Load() == term {
		return nil
	}
	if err := awaitFuture(ctx, s.raft.Barrier(enqueueTimeout(ctx))); err != nil {
		return err
	}
	s.caughtUpTerm.Store(term)
	return nil
}

// enqueueTimeout returns how long Raft may take to accept an entry.
func enqueueTimeout(ctx context.Context) time.Duration {
	if at, ok := ctx.Deadline(); ok {
		return max(time.Until(at), time.Millisecond)
	}
	return defaultEnqueueTimeout
}

// awaitFuture waits for the end of a Raft operation or of ctx.
func awaitFuture(ctx context.Context, f raft.Future) error {
	done := make(chan error, 1)
	go func() { done <- f.Error() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// applyEntry appends an entry to the log and waits until it is committed and applied.
func (s *Store) applyEntry(ctx context.Context, entry []byte) (result, error) {
	future := s.raft.Apply(entry, enqueueTimeout(ctx))
	err := awaitFuture(ctx, future)
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout):
		return result{}, err // the entry is not in the log
	case err != nil:
		return result{}, &outcomeUnknownError{err}
	}
	res, ok := future.Response().(result)
	if !ok {
		return result{}, &outcomeUnknownError{errNoResult}
	}
	return res, nil
}
