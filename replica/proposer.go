package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/raft"
	"turnfork.dev/turnfork/claims"
)

const (
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 640 * time.Millisecond // of a subscriber
	// maxBackoffDoublings keeps the shift of growingRetryDelay in range.
	maxBackoffDoublings = 16
)

// proposer submits commands to the leader and retries until a majority has agreed to them.
type proposer struct {
	// propose makes one attempt. With an outcomeUnknownError the proposal may be applied all the same.
	propose func(ctx context.Context, p proposal) (result, error)
	// stopped reports whether further attempts are pointless, as the proposer's owner is closed.
	stopped func() bool
	// unixMS is the time of proposals, by the wall clock: claims end at dates that the issuers of tokens set by theirs.
	unixMS func() float64
	// retryDelay is the delay after an attempt; attempts are counted from 0.
	retryDelay func(attempt int) time.Duration
}

// proposal is a request that the leader executes.
type proposal struct {
	kind       connKind // connForward: a command; connMembers: the replacement of a member
	body       []byte
	idempotent bool // it may be proposed again if the outcome is unknown
}

// fixedRetryDelay is the retry delay of members, of which there are few.
func fixedRetryDelay(int) time.Duration { return retryDelay }

// growingRetryDelay is the retry delay of subscribers: exponential with jitter, as thousands may miss the leader at once and each
// attempt costs the voters a handshake.
func growingRetryDelay(attempt int) time.Duration {
	ceiling := maxRetryDelay
	if doublings := min(attempt, maxBackoffDoublings); retryDelay<<doublings < maxRetryDelay {
		ceiling = retryDelay << doublings
	}
	return ceiling/2 + rand.N(ceiling/2)
}

// claimStep proposes a step of a claim.
func (p *proposer) claimStep(ctx context.Context, name string, step claims.Step) (claims.Record, bool, error) {
	res, err := p.proposeCommand(ctx, command{
		Op: string(step.Op), Name: name, Owner: step.Owner, Until: step.Until, To: step.To, Outcome: step.Outcome,
	})
	return res.Record, res.OK, err
}

// Revoke rejects a token's use from now on, until a time in Unix ms or for Options.MinRevocation, whichever
// is longer.
func (p *proposer) Revoke(ctx context.Context, name string, until float64) error {
	return p.proposeChange(ctx, command{Op: opRevoke, Name: name, Until: until})
}

// Put sets a value of the operator's configuration.
func (p *proposer) Put(ctx context.Context, name string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("replica: %s: %w", name, err)
	}
	return p.proposeChange(ctx, command{Op: opPut, Name: name, Value: encoded})
}

// Merge sets the members of a configuration value, an object, that changes names, and keeps the others as the group has them,
// whatever this gateway knows of the value. Where the group has no value yet, it starts from initial. A leader of a version
// without Merge rejects it.
func (p *proposer) Merge(ctx context.Context, name string, changes, initial any) error {
	encoded, err := json.Marshal(changes)
	if err != nil {
		return fmt.Errorf("replica: %s: %w", name, err)
	}
	encodedInitial, err := json.Marshal(initial)
	if err != nil {
		return fmt.Errorf("replica: %s: %w", name, err)
	}
	return p.proposeChange(ctx, command{Op: opMerge, Name: name, Value: encoded, Initial: encodedInitial})
}

// Purge invalidates the cached copies of an object, or with object 0 of a group, that are older than now.
func (p *proposer) Purge(ctx context.Context, object uint64, group uint16) error {
	return p.proposeChange(ctx, command{Op: opPurge, Object: object, Group: group})
}

// proposeChange proposes a command whose result says only that it is applied.
func (p *proposer) proposeChange(ctx context.Context, c command) error {
	res, err := p.proposeCommand(ctx, c)
	if err == nil && !res.OK {
		return fmt.Errorf("%w: %w", ErrNoQuorum, errNoResult)
	}
	return err
}

// proposeCommand proposes a command. Only steps of a claim are proposed again if the outcome is unknown: their owner may repeat
// them.
func (p *proposer) proposeCommand(ctx context.Context, c command) (result, error) {
	if err := c.validate(); err != nil {
		return result{}, err
	}
	c.At = p.unixMS()
	body, err := json.Marshal(c)
	if err != nil {
		return result{}, err
	}
	return p.run(ctx, proposal{kind: connForward, body: body, idempotent: c.isClaimStep()})
}

// run attempts a proposal until it succeeds or ctx ends. It fails earlier if another attempt could apply the proposal twice,
// or if the member is shut down.
func (p *proposer) run(ctx context.Context, proposed proposal) (result, error) {
	for attempt := 0; ; attempt++ {
		res, err := p.propose(ctx, proposed)
		if err == nil {
			if res.Err != "" {
				return result{}, fmt.Errorf("replica: %w", &remoteError{text: res.Err})
			}
			return res, nil
		}
		mayApplyTwice := isOutcomeUnknown(err) && !proposed.idempotent
		err = outcomeUnknownCause(err)
		if mayApplyTwice || errors.Is(err, raft.ErrRaftShutdown) || p.stopped() {
			return result{}, fmt.Errorf("%w: %w", ErrNoQuorum, err)
		}
		select {
		case <-ctx.Done():
			return result{}, fmt.Errorf("%w: %w", ErrNoQuorum, err)
		case <-time.After(p.retryDelay(attempt)):
		}
	}
}

// validate checks that a command is within the size limits.
func (c *command) validate() error {
	if c.Op != opPurge && len(c.Name) == 0 || len(c.Name) > maxName {
		return fmt.Errorf("replica: name: 1 to %d bytes", maxName)
	}
	if len(c.Value)+len(c.Initial) > maxValue {
		return fmt.Errorf("replica: value: %d bytes at most", maxValue)
	}
	return nil
}
