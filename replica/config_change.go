package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"

	"github.com/hashicorp/raft"
)

// changeConfig appends a change of the operator's configuration to the log. Changes are appended one after the other, so that a
// merge starts from the latest value.
func (s *Store) changeConfig(ctx context.Context, c command) (result, error) {
	select {
	case s.configChange <- struct{}{}:
	case <-ctx.Done():
		return result{}, ctx.Err()
	}
	defer func() { <-s.configChange }()
	if c.Op == opMerge {
		latest, err := s.latestConfig(ctx, c.Name, c.Initial)
		if err != nil {
			return result{}, err
		}
		merged, err := mergeObjects(latest, c.Value)
		if err != nil {
			return result{Err: fmt.Sprintf("merge of %s: %v", c.Name, err)}, nil
		}
		c.Op, c.Value, c.Initial = opPut, merged, nil // which members of every version apply alike
	}
	if err := c.validate(); err != nil {
		return result{Err: err.Error()}, nil
	}
	return s.appendCommand(ctx, c)
}

// latestConfig returns the latest value of the operator's configuration, or initial if there is none. The caller holds the
// semaphore configChange, and appends the value's successor.
//
// The barrier shows that this member was still the leader after the call began, and that it has applied every earlier change,
// also one whose proposer gave up before it was committed. In the same term no other member can append a change.
func (s *Store) latestConfig(ctx context.Context, name string, initial json.RawMessage) (json.RawMessage, error) {
	term := s.raft.CurrentTerm()
	if err := awaitFuture(ctx, s.raft.Barrier(enqueueTimeout(ctx))); err != nil {
		return nil, err
	}
	value, ok := s.state.configValue(name)
	if !s.Leads() || s.raft.CurrentTerm() != term {
		return nil, raft.ErrNotLeader
	}
	if !ok {
		return initial, nil
	}
	return value, nil
}

// mergeObjects returns a JSON object with the members of both objects. Where both have a member, that of changes counts.
func mergeObjects(object, changes json.RawMessage) (json.RawMessage, error) {
	var merged, changed map[string]json.RawMessage
	if err := json.Unmarshal(object, &merged); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(changes, &changed); err != nil {
		return nil, err
	}
	if merged == nil {
		merged = map[string]json.RawMessage{}
	}
	maps.Copy(merged, changed)
	return json.Marshal(merged)
}
