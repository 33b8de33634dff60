package scale

import (
	"testing"

	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/replica"
)

// Guards against a data race between a scenario and the restarts at random times, which run at the same time: each draws from
// a generator of random numbers, and must not share it.
func TestRestartsAtRandomTimesRunBesideScenario(t *testing.T) {
	const gateways = 20
	faults := newFaults(&cluster{options: clusterOptions{topology: Topology{Gateways: gateways, Sites: 1}}}, 1)
	var group errgroup.Group
	group.Go(func() error { return faults.restartTenth(t.Context()) })
	group.Go(func() error {
		_, err := faults.restartAtRate(t.Context(), 0, 0)
		return err
	})
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// Guards against requests to a voter's process that has not started its voter yet: until it has, the voter counts as down.
func TestVoterThatDoesNotStartIsDown(t *testing.T) {
	checkNoLeaks(t)
	authority, err := NewAuthority(nil)
	if err != nil {
		t.Fatal(err)
	}
	identity, err := authority.Issue(voterID(0))
	if err != nil {
		t.Fatal(err)
	}
	voters := &cluster{options: clusterOptions{log: testLog{t}}, voters: []*voterProcess{{id: voterID(0), setup: voterSetup{
		LocalIDs: []string{voterID(0)}, Members: []replica.Member{{ID: voterID(0), Addr: "not an address"}}, Dir: t.TempDir(),
		Identity: identity,
	}}}}
	defer voters.stop()
	if err := voters.startVoter(t.Context(), 0); err == nil {
		t.Fatal("the voter started")
	}
	if voters.voterProcess(0) != nil {
		t.Error("the voter does not count as down")
	}
}
