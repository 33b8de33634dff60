package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
)

const retryPause = 20 * time.Millisecond

// propose has a majority agree on a command, by way of the leader. It goes on looking for one until
// ctx ends, but a command whose fate is unknown is not proposed again.
func (s *Store) propose(ctx context.Context, c command) (out result, err error) {
	if len(c.Name) == 0 || len(c.Name) > maxName || len(c.Value) > maxValue {
		return out, fmt.Errorf("replica: name: 1 to %d bytes", maxName)
	}
	c.At = s.opt.Clock.Unix()
	b, err := json.Marshal(c)
	if err != nil {
		return out, err
	}
	for {
		res, sure, err := s.once(ctx, b)
		if err == nil {
			if res.Err != "" {
				return out, errors.New("replica: " + res.Err)
			}
			return res, nil
		}
		// Guards against doing a thing twice, where the first proposal may still be agreed on. A claim's owner may
		// make its step again.
		if !sure && !c.steps() || errors.Is(err, raft.ErrRaftShutdown) {
			return out, fmt.Errorf("%w: %v", ErrNoQuorum, err)
		}
		if s.raft.State() == raft.Shutdown {
			return out, fmt.Errorf("%w: %v", ErrNoQuorum, err)
		}
		select {
		case <-ctx.Done():
			return out, fmt.Errorf("%w: %v", ErrNoQuorum, err)
		case <-time.After(retryPause):
		}
	}
}

// once proposes a command; sure tells that after an error it was not proposed.
func (s *Store) once(ctx context.Context, b []byte) (res result, sure bool, err error) {
	if s.Leads() {
		return s.lead(ctx, b)
	}
	addr, _ := s.raft.LeaderWithID()
	if addr == "" || s.links == nil {
		return res, true, errors.New("no leader")
	}
	return s.links.forward(ctx, string(addr), b)
}

// lead proposes a command on the leader itself.
func (s *Store) lead(ctx context.Context, b []byte) (res result, sure bool, err error) {
	wait := 2 * time.Second
	if at, ok := ctx.Deadline(); ok {
		wait = max(time.Until(at), time.Millisecond)
	}
	f := s.raft.Apply(b, wait)
	done := make(chan error, 1)
	go func() { done <- f.Error() }()
	select {
	case err = <-done:
	case <-ctx.Done():
		return res, false, ctx.Err()
	}
	if err != nil {
		return res, errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrEnqueueTimeout), err
	}
	res, ok := f.Response().(result)
	if !ok {
		return res, false, errors.New("no result")
	}
	return res, true, nil
}
