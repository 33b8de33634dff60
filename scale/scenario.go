package scale

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// step is an action of a scenario.
type step struct {
	at          float64
	description string
	do          func(f *faults, ctx context.Context) error
	needsRelay  bool // it needs the relay
}

// faults executes the steps of a scenario.
type faults struct {
	cluster      *cluster
	random       *rand.Rand // of the scenario's steps
	restartTimes *rand.Rand // of restartAtRate, which runs beside the scenario
	down         []int      // indices of the voters that are killed or paused
}

// Extent of the faults.
const (
	reconnectDivisor = 10 // one in this many gateways restarts at the same time
	linkDelay        = 300 * time.Millisecond
	slowReaderDelay  = 1500 * time.Millisecond
)

// ScenarioQuiet is the scenario without faults.
const ScenarioQuiet = "quiet"

// scenarios are the steps of each scenario, in chronological order.
var scenarios = map[string][]step{
	ScenarioQuiet: nil,
	"voter-death": {
		{at: 0.30, description: "the leader is killed", do: (*faults).killLeader},
		{at: 0.50, description: "a tenth of the gateways starts anew", do: (*faults).restartTenth},
		{at: 0.70, description: "the killed voter starts again", do: (*faults).restartVoters},
	},
	"two-voters-death": {
		{at: 0.30, description: "the leader is killed", do: (*faults).killLeader},
		{at: 0.40, description: "the next leader is killed", do: (*faults).killLeader},
		{at: 0.70, description: "the killed voters start again", do: (*faults).restartVoters},
	},
	"quorum-loss": {
		{at: 0.30, description: "a majority of the voters is killed", do: (*faults).killMajority},
		{at: 0.45, description: "the killed voters start again", do: (*faults).restartVoters},
	},
	"leader-pause": {
		{at: 0.30, description: "the leader stands still", do: (*faults).pauseLeader},
		{at: 0.60, description: "it goes on", do: (*faults).resumeVoters},
	},
	"reconnect":     {{at: 0.50, description: "a tenth of the gateways starts anew", do: (*faults).restartTenth}},
	"reconnect-all": {{at: 0.50, description: "all gateways start anew", do: (*faults).restartAll}},
	"site-cut":      cutAndHeal("a site is cut off", func(f *faults) []int { return []int{0} }),
	"zone-cut":      cutAndHeal("a zone is cut off", func(f *faults) []int { return f.topology().ZoneSites(0) }),
	"region-cut":    cutAndHeal("a region is cut off", func(f *faults) []int { return f.topology().RegionSites(0) }),
	"zone-stall":    linkFault("a zone's links carry nothing", linkCondition{Stall: true}, func(f *faults) []int { return f.topology().ZoneSites(0) }),
	"delay":         linkFault("a region's links are slow", linkCondition{Delay: linkDelay}, func(f *faults) []int { return f.topology().RegionSites(0) }),
	"slow-reader":   linkFault("a site reads slowly", linkCondition{Delay: slowReaderDelay}, func(f *faults) []int { return []int{0} }),
	"pause": {
		{at: 0.30, description: "a process of gateways stands still", do: (*faults).pauseGateways},
		{at: 0.60, description: "it goes on", do: (*faults).resumeGateways},
	},
}

// Scenarios returns the sorted names of all scenarios.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// cutAndHeal closes the links of some sites for a period in the middle of the run.
func cutAndHeal(description string, sites func(*faults) []int) []step {
	return linkFault(description, linkCondition{Cut: true}, sites)
}

// linkFault puts the links of some sites into a condition for a period in the middle of the run.
func linkFault(description string, condition linkCondition, sites func(*faults) []int) []step {
	set := func(condition linkCondition) func(*faults, context.Context) error {
		return func(f *faults, ctx context.Context) error {
			condition.Sites = sites(f)
			return f.cluster.setLink(ctx, condition)
		}
	}
	return []step{
		{at: 0.30, description: description, do: set(condition), needsRelay: true},
		{at: 0.60, description: "that is over", do: set(linkCondition{}), needsRelay: true},
	}
}

// needsRelay reports whether a scenario needs the relay, to inject network faults.
func needsRelay(scenario string) bool {
	return slices.ContainsFunc(scenarios[scenario], func(s step) bool { return s.needsRelay })
}

func newFaults(c *cluster, seed uint64) *faults {
	random := rand.New(rand.NewPCG(seed, 2))
	return &faults{cluster: c, random: random, restartTimes: rand.New(rand.NewPCG(random.Uint64(), 3))}
}

func (f *faults) topology() Topology { return f.cluster.options.topology }

// run executes a scenario that is spread over a duration.
func (f *faults) run(ctx context.Context, name string, duration time.Duration, progress *progress) error {
	begin := time.Now()
	for _, step := range scenarios[name] {
		if !sleep(ctx, time.Until(begin.Add(time.Duration(step.at*float64(duration))))) {
			return ctx.Err()
		}
		progress.print("fault: %s", step.description)
		if err := step.do(f, ctx); err != nil {
			return fmt.Errorf("scale: fault %q: %w", step.description, err)
		}
	}
	return nil
}

func (f *faults) killLeader(ctx context.Context) error {
	leader, err := f.cluster.awaitLeader(ctx)
	if err != nil {
		return err
	}
	f.kill(leader)
	return nil
}

// killMajority kills a majority of the voters, including the leader.
func (f *faults) killMajority(ctx context.Context) error {
	leader, err := f.cluster.awaitLeader(ctx)
	if err != nil {
		return err
	}
	voters := len(f.cluster.voters)
	for i := range voters/2 + 1 {
		f.kill((leader + i) % voters)
	}
	return nil
}

func (f *faults) kill(voter int) {
	f.down = append(f.down, voter)
	f.cluster.killVoter(voter)
}

func (f *faults) restartVoters(ctx context.Context) error {
	var failed []error
	for _, voter := range f.down {
		failed = append(failed, f.cluster.startVoter(ctx, voter))
	}
	f.down = nil
	return errors.Join(failed...)
}

func (f *faults) pauseLeader(ctx context.Context) error {
	leader, err := f.cluster.awaitLeader(ctx)
	if err != nil {
		return err
	}
	f.down = append(f.down, leader)
	return f.cluster.voterProcess(leader).Pause()
}

func (f *faults) resumeVoters(context.Context) error {
	var failed []error
	for _, voter := range f.down {
		failed = append(failed, f.cluster.voterProcess(voter).Resume())
	}
	f.down = nil
	return errors.Join(failed...)
}

func (f *faults) restartTenth(ctx context.Context) error {
	all := f.random.Perm(f.topology().Gateways)
	return f.cluster.restartGateways(ctx, all[:max(1, len(all)/reconnectDivisor)])
}

func (f *faults) restartAll(ctx context.Context) error {
	return f.cluster.restartGateways(ctx, f.random.Perm(f.topology().Gateways))
}

func (f *faults) pauseGateways(context.Context) error  { return f.cluster.gateways[0].process.Pause() }
func (f *faults) resumeGateways(context.Context) error { return f.cluster.gateways[0].process.Resume() }

// restartAtRate restarts single gateways at random times, and returns the number of restarts. The rate is per day for the
// full deployment, and is scaled to the number of gateways of the run.
func (f *faults) restartAtRate(ctx context.Context, perDay float64, duration time.Duration) (restarts int, err error) {
	begin := time.Now()
	rate := perDay / day.Seconds() * float64(f.topology().Gateways) / FullGateways
	if rate <= 0 {
		return 0, nil
	}
	at := time.Duration(0)
	for {
		at += time.Duration(f.restartTimes.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return restarts, nil
		}
		if !sleep(ctx, time.Until(begin.Add(at))) {
			return restarts, ctx.Err()
		}
		if err := f.cluster.restartGateways(ctx, []int{f.restartTimes.IntN(f.topology().Gateways)}); err != nil {
			return restarts, err
		}
		restarts++
	}
}
