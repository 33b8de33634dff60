package replica

import (
	"errors"
	"testing"

	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/distribution"
)

// A subscriber receives the existing state and later changes, whether it watches the leader or a follower, and its commands
// reach the leader.
func TestVoterServesSubscriber(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, nil)
	leader := c.leader()
	if err := c.stores[leader].Put(testContext(t), "policy", "first"); err != nil {
		t.Fatal(err)
	}
	for i := range c.members {
		s := c.subscriber(c.members[i].ID+"-only", c.members[i:i+1], nil)
		s.awaitFresh()
		var policy string
		if ok, err := s.Get("policy", &policy); !ok || err != nil || policy != "first" {
			t.Errorf("voter %d: policy %q, %v, %v", i, policy, ok, err)
		}
	}

	s := c.subscriber("gateway", c.members, nil)
	s.awaitFresh()
	if err := s.Put(testContext(t), "policy", "second"); err != nil {
		t.Fatal(err)
	}
	if err := s.Revoke(testContext(t), "use", s.opt.Clock.Unix()+60000); err != nil {
		t.Fatal(err)
	}
	if err := s.Purge(testContext(t), 7, 3); err != nil {
		t.Fatal(err)
	}
	s.awaitPosition(c.stores[c.leader()].Position())
	var policy string
	if ok, err := s.Get("policy", &policy); !ok || err != nil || policy != "second" {
		t.Errorf("policy %q, %v, %v", policy, ok, err)
	}
	if !s.Revoked("use") || s.Revoked("other") {
		t.Error("revocations:", s.Revoked("use"), s.Revoked("other"))
	}
	if objects := s.effects.objects(); len(objects) != 1 || objects[0] != 7 {
		t.Errorf("purged %v", objects)
	}
	hold := claims.Step{Op: claims.Hold, Owner: "a", Until: s.opt.Clock.Unix() + 60000}
	if _, ok, err := s.Step(testContext(t), "k", hold); !ok || err != nil {
		t.Errorf("hold: %v, %v", ok, err)
	}
	if _, ok, err := s.Step(testContext(t), "use", hold); ok || err != nil {
		t.Errorf("hold of a revoked use: %v, %v", ok, err)
	}
	if status := s.Status(); status.BytesIn == 0 || status.MessagesIn == 0 || status.Voter == "" || status.Leader == "" {
		t.Errorf("status %+v", status)
	}
}

// A subscriber begins no claim before its state is known to be complete.
func TestHoldNeedsFreshState(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, nil)
	c.leader()
	s := c.subscriber("gateway", c.members, func(opt *SubscriberOptions) { opt.RetryMin = testTiming.LeaseTTL })
	s.relays((*relay).cut)
	_, _, err := s.Step(testContext(t), "k", claims.Step{Op: claims.Hold, Owner: "a", Until: 1e15})
	if !errors.Is(err, ErrStale) {
		t.Errorf("hold: %v", err)
	}
}
