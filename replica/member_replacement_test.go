package replica

import (
	"context"
	"errors"
	"os"
	"slices"
	"testing"
	"time"

	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/membership"
)

// replacement returns the replacement of one voter by another.
func (c *cluster) replacement(lost, joining int) membership.Replacement {
	return membership.Replacement{Lost: c.members[lost].ID, Joining: c.members[joining]}
}

// voters returns the IDs of the voters in one member's configuration of the group.
func (c *cluster) voters(by int) (ids []string) {
	c.t.Helper()
	group, err := c.stores[by].configuration()
	if err != nil {
		c.t.Fatal(err)
	}
	for _, server := range group {
		if server.Votes {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// stopAndRemoveDisk stops a voter and deletes its directory.
func (c *cluster) stopAndRemoveDisk(voter int) {
	c.t.Helper()
	c.stop(voter)
	if err := os.RemoveAll(c.dirs[voter]); err != nil {
		c.t.Fatal(err)
	}
}

// A voter is lost with its disk and replaced by another one. The new voter has everything that was committed, the group then
// tolerates the loss of a further voter, and subscribers that were started with the former list of voters connect to it.
func TestReplaceLostMember(t *testing.T) {
	c, _ := newLeasedCluster(t, 3)
	lost := c.follower()
	s := c.subscriber("gateway", slices.Clone(c.members), nil)
	s.awaitFresh()
	leader := c.leader()
	if _, ok, err := c.stores[leader].Step(testContext(t), "use", claims.Step{Op: claims.Hold, Owner: "o", Until: 1e15}); !ok || err != nil {
		t.Fatal(ok, err)
	}
	c.put("policy", "before")
	c.stopAndRemoveDisk(lost)
	joined := c.join()
	members, err := c.stores[leader].ReplaceMember(testContext(t), c.replacement(lost, joined))
	if err != nil {
		t.Fatal(err)
	}
	if len(members) != 3 || !slices.Contains(members, c.members[joined]) || slices.Contains(members, c.members[lost]) {
		t.Fatalf("the voters are %v", members)
	}
	eventually(t, "the new voter to be fresh", c.stores[joined].Fresh)

	other := 3 - leader - lost
	c.stop(other) // the leader and the new voter are a majority
	c.put("policy", "after")
	if _, ok, err := c.stores[joined].Step(testContext(t), "use", claims.Step{Op: claims.Hold, Owner: "p", Until: 1e15}); !ok || err != nil {
		t.Errorf("hold by another owner: %v, %v; want granted, as the claim was not sent", ok, err)
	}
	c.awaitVoter(joined)
	var policy string
	if ok, err := c.stores[joined].Get("policy", &policy); !ok || err != nil || policy != "after" {
		t.Errorf("the new voter has the policy %q: %v, %v", policy, ok, err)
	}
	s.awaitPosition(c.stores[leader].Position()) // includes the new list of voters
	s.relay(leader).cut()
	eventually(t, "the subscriber to watch the new voter", func() bool {
		return s.Status().Voter == c.members[joined].Addr && s.Fresh()
	})
}

// A replacement is interrupted: the joining member has not been started yet, and then the leader is stopped. Requested again,
// the replacement is completed by the next leader.
func TestReplacementResumesAtNextLeader(t *testing.T) {
	c := newCluster(t, 5, distribution.Limits{}, nil)
	lost := c.follower()
	c.stopAndRemoveDisk(lost)
	joined := c.prepare()
	first := c.leader()
	brief, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := c.stores[first].ReplaceMember(brief, c.replacement(lost, joined)); !errors.Is(err, membership.ErrCatchingUp) {
		t.Fatalf("replacement by a member that is not started: %v", err)
	}
	if voters := c.voters(first); !slices.Contains(voters, c.members[lost].ID) || slices.Contains(voters, c.members[joined].ID) {
		t.Errorf("the joining member is not started, and the voters are %v", voters)
	}
	c.put("policy", "with four of five voters")
	c.stop(first)
	second := c.leader()
	c.start(joined, nil)
	members, err := c.stores[second].ReplaceMember(testContext(t), c.replacement(lost, joined))
	if err != nil || !slices.Contains(members, c.members[joined]) || slices.Contains(members, c.members[lost]) {
		t.Fatalf("%v, %v", members, err)
	}
	repeated, err := c.stores[second].ReplaceMember(testContext(t), c.replacement(lost, joined))
	if err != nil || !slices.Equal(repeated, members) {
		t.Errorf("repeated replacement: %v, %v", repeated, err)
	}
}

// The leader itself is replaced while it is running, on request of a gateway that does not vote: another member is elected,
// and resumes the replacement.
func TestReplaceLeader(t *testing.T) {
	c, _ := newLeasedCluster(t, 3)
	s := c.subscriber("gateway", slices.Clone(c.members), nil)
	s.awaitFresh()
	old := c.leader()
	joined := c.join()
	members, err := s.ReplaceMember(testContext(t), c.replacement(old, joined))
	if err != nil || slices.Contains(members, c.members[old]) || !slices.Contains(members, c.members[joined]) {
		t.Fatalf("%v, %v", members, err)
	}
	elected := c.leader(old)
	if err := c.stores[elected].Put(testContext(t), "policy", "after"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the new voter to have the change", func() bool {
		var policy string
		ok, err := c.stores[joined].Get("policy", &policy)
		return ok && err == nil && policy == "after"
	})
	eventually(t, "the member that was removed to be stale", func() bool { return !c.stores[old].Fresh() })
	if c.stores[old].Leads() {
		t.Error("the member that was removed leads")
	}
}

// An impossible replacement is rejected, also if a follower forwards it, and changes nothing.
func TestReplacementRejectedByLeader(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, nil)
	leader, follower := c.leader(), c.follower()
	third := 3 - leader - follower
	for what, replacement := range map[string]membership.Replacement{
		"lost is no member":             {Lost: "nobody", Joining: Member{ID: "new", Addr: "127.0.0.1:9"}},
		"joining is a member":           {Lost: c.members[third].ID, Joining: Member{ID: c.members[leader].ID, Addr: "127.0.0.1:9"}},
		"lost and joining are the same": {Lost: c.members[third].ID, Joining: Member{ID: c.members[third].ID, Addr: "127.0.0.1:9"}},
	} {
		if _, err := c.stores[follower].ReplaceMember(testContext(t), replacement); !errors.Is(err, membership.ErrRejected) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if voters := c.voters(leader); len(voters) != 3 {
		t.Errorf("the voters are %v", voters)
	}
}

// A member that is to join a group does not bootstrap one of its own: until the group adds it, it does not lead, commits
// nothing, and is stale.
func TestJoiningMemberDoesNotLead(t *testing.T) {
	c, _ := newLeasedCluster(t, 3)
	c.awaitAllFresh()
	joined := c.join()
	brief, cancel := context.WithTimeout(context.Background(), 3*testTiming.LeaseTTL/2)
	defer cancel()
	if err := c.stores[joined].Put(brief, "policy", "alone"); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("a proposal through a member that was not added to the group: %v", err)
	}
	if c.stores[joined].Leads() || c.stores[joined].Fresh() {
		t.Error("a member that was not added to the group leads or is fresh")
	}
}

// A list of voters that is invalid or has invalid addresses is ignored.
func TestDecodeVoters(t *testing.T) {
	for text, want := range map[string]int{
		`[{"id":"a","addr":"127.0.0.1:1"},{"id":"b","addr":"127.0.0.1:2"}]`: 2,
		`[{"id":"a","addr":"127.0.0.1:1"},{"id":"b"}]`:                      0,
		`[]`: 0, `{}`: 0, `null`: 0, `[{"addr":"nowhere"}]`: 0, ``: 0,
	} {
		if got := decodeVoters([]byte(text)); len(got) != want {
			t.Errorf("%s: %v", text, got)
		}
	}
}
