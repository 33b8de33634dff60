package scale

import (
	"testing"

	"golang.org/x/sync/errgroup"
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
