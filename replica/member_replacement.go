package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/raft"
	"turnfork.dev/turnfork/membership"
)

// ConfigMembers is the name of the configuration value that lists the voters, once one was replaced. Subscribers adopt the list.
const ConfigMembers = "members"

const (
	// configurationChangeTimeout limits how long Raft may take to accept a change of the group.
	configurationChangeTimeout = 2 * time.Second
	// catchUpPollInterval is the delay between requests for the progress of a joining member.
	catchUpPollInterval = 100 * time.Millisecond
	// maxCatchUpLag is how many log entries a member that counts as caught up may lag behind: new ones are appended meanwhile.
	maxCatchUpLag = 256
)

// ReplaceMember replaces a permanently lost member by a new one, and returns the voters afterwards. The new member has to be
// started first, with Options.Join. A replacement that was interrupted is resumed by calling ReplaceMember again.
func (p *proposer) ReplaceMember(ctx context.Context, replacement membership.Replacement) ([]Member, error) {
	if err := replacement.Check(); err != nil {
		return nil, err
	}
	body, err := json.Marshal(replacement)
	if err != nil {
		return nil, err
	}
	res, err := p.run(ctx, proposal{kind: connMembers, body: body, idempotent: true})
	switch {
	case err != nil:
		return nil, err
	case res.CatchingUp:
		return nil, membership.ErrCatchingUp
	case res.Rejected != "":
		return nil, &membership.RejectedError{Reason: res.Rejected}
	}
	return res.Members, nil
}

// executeReplacement executes a replacement on the leader. Each of its changes is idempotent.
func (s *Store) executeReplacement(ctx context.Context, encoded []byte) (result, error) {
	var replacement membership.Replacement
	if err := json.Unmarshal(encoded, &replacement); err != nil {
		return result{Err: "unreadable replacement"}, nil
	}
	if s.transport == nil {
		return result{Rejected: "this member is alone"}, nil
	}
	if !s.replacementMu.TryLock() {
		return result{}, errReplacementInProgress
	}
	defer s.replacementMu.Unlock()
	err := s.runReplacement(ctx, replacement)
	var rejected *membership.RejectedError
	switch {
	case errors.Is(err, membership.ErrCatchingUp):
		return result{CatchingUp: true}, nil
	case errors.As(err, &rejected):
		return result{Rejected: rejected.Reason}, nil
	case err != nil:
		return result{}, err
	}
	members, err := s.publishVoters(ctx)
	return result{OK: err == nil, Members: members}, err
}

// runReplacement makes the changes of the group one by one, until the replacement is complete.
func (s *Store) runReplacement(ctx context.Context, replacement membership.Replacement) error {
	caughtUp := false
	for {
		group, err := s.configuration()
		if err != nil {
			return err
		}
		action, err := replacement.Next(group, s.opt.ID, caughtUp)
		if err != nil {
			return err
		}
		s.opt.Log.Info().Str("action", string(action)).Str("lost", replacement.Lost).Str("joining", replacement.Joining.ID).
			Msg("member replacement step")
		switch action {
		case membership.Done:
			return nil
		case membership.AwaitCatchUp:
			if err := s.awaitCatchUp(ctx, replacement.Joining); err != nil {
				return err
			}
			caughtUp = true
		case membership.TransferLeadership:
			if err := s.raft.LeadershipTransfer().Error(); err != nil {
				return err
			}
			return raft.ErrNotLeader // the proposer retries at the next leader
		default:
			if err := s.changeConfiguration(action, replacement); err != nil {
				return err
			}
		}
	}
}

// changeConfiguration makes a change of the group. No other one interferes: replacementMu is held, and Raft accepts a change only
// when the previous one is committed.
func (s *Store) changeConfiguration(action membership.Action, replacement membership.Replacement) error {
	const unconditional = 0 // Raft need not verify that the group is unchanged since an index of the log
	id, addr := raft.ServerID(replacement.Joining.ID), raft.ServerAddress(replacement.Joining.Addr)
	switch action {
	case membership.AddNonvoter:
		return s.raft.AddNonvoter(id, addr, unconditional, configurationChangeTimeout).Error()
	case membership.PromoteToVoter:
		return s.raft.AddVoter(id, addr, unconditional, configurationChangeTimeout).Error()
	case membership.RemoveLost:
		return s.raft.RemoveServer(raft.ServerID(replacement.Lost), unconditional, configurationChangeTimeout).Error()
	}
	return fmt.Errorf("replica: no change of the group: %q", action)
}

// configuration returns the group as Raft has it.
func (s *Store) configuration() ([]membership.Server, error) {
	future := s.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	var group []membership.Server
	for _, server := range future.Configuration().Servers {
		group = append(group, membership.Server{
			Member: Member{ID: string(server.ID), Addr: string(server.Address)}, Votes: server.Suffrage == raft.Voter,
		})
	}
	return group, nil
}

// awaitCatchUp waits until a joining member has applied what this member, the leader, has committed, except for at most
// maxCatchUpLag entries.
func (s *Store) awaitCatchUp(ctx context.Context, joining Member) error {
	conn := &confirmConn{store: s}
	defer conn.close()
	for {
		response, err := conn.exchange(ctx, joining.Addr)
		if err != nil {
			conn.close()
		}
		if err == nil && response.Applied+maxCatchUpLag >= s.raft.CommitIndex() && response.Applied > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s at %s: %d of %d",
				membership.ErrCatchingUp, joining.ID, joining.Addr, response.Applied, s.raft.CommitIndex())
		case <-time.After(catchUpPollInterval):
		}
	}
}

// publishVoters sets ConfigMembers to the current voters, unless it lists them already.
func (s *Store) publishVoters(ctx context.Context) ([]Member, error) {
	group, err := s.configuration()
	if err != nil {
		return nil, err
	}
	var voters []Member
	for _, server := range group {
		if server.Votes {
			voters = append(voters, server.Member)
		}
	}
	value, err := json.Marshal(voters)
	if err != nil {
		return nil, err
	}
	if known, ok := s.state.configValue(ConfigMembers); ok && string(known) == string(value) {
		return voters, nil
	}
	return voters, s.Put(ctx, ConfigMembers, json.RawMessage(value))
}

// decodeVoters decodes a list of voters; nil if it is invalid.
func decodeVoters(value []byte) []Member {
	var members []Member
	if json.Unmarshal(value, &members) != nil {
		return nil
	}
	for _, m := range members {
		if _, _, err := net.SplitHostPort(m.Addr); err != nil {
			return nil
		}
	}
	return members
}
