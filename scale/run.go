package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/distribution"
)

// Modes of a run: ModeWatch runs gateways that subscribe to voters, ModeVoters runs members that all vote.
const (
	ModeWatch  = "watch"
	ModeVoters = "voters"
)

// Options configure a run with gateways that subscribe to voters.
type Options struct {
	Gateways       int
	Sites          int
	Voters         int
	Endpoints      int
	Duration       time.Duration
	Seed           uint64
	Load           Load
	RestartsPerDay float64 // for a deployment of FullGateways; scaled to the number of gateways of the run
	Scenario       string  // one of Scenarios
	Progress       io.Writer
}

const (
	settleDelay     = 2 * time.Second // between the last gateway's first lease and the start of the load
	convergeTimeout = 40 * time.Second
	resultsTimeout  = 2 * time.Minute
)

// ErrUnknownScenario is returned for a scenario name that Scenarios doesn't list.
var ErrUnknownScenario = errors.New("scale: unknown scenario")

// validate checks the options and limits the number of sites to the number of gateways.
func (o *Options) validate() error {
	if _, known := scenarios[o.Scenario]; !known {
		return fmt.Errorf("%w %q, must be one of %v", ErrUnknownScenario, o.Scenario, Scenarios())
	}
	if o.Gateways < 1 || o.Sites < 1 || o.Voters < 1 || o.Endpoints < 1 || o.Duration <= 0 {
		return errors.New("scale: gateways, sites, voters, stores and the duration must be positive")
	}
	o.Sites = min(o.Sites, o.Gateways)
	return nil
}

// Run starts a cluster, proposes a load during a fault scenario, and returns the report. All child processes have exited
// when it returns.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	dir, err := makeTempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	progress := newProgress(options.Progress)
	report := newReport(options)
	cluster, err := startCluster(ctx, clusterOptions{
		topology: Topology{Gateways: options.Gateways, Sites: options.Sites}, voters: options.Voters, endpoints: options.Endpoints,
		seed: options.Seed, relay: needsRelay(options.Scenario), dir: dir, log: options.Progress,
	}, progress)
	if err != nil {
		return nil, err
	}
	defer cluster.stop()
	if !sleep(ctx, settleDelay) {
		return nil, ctx.Err()
	}
	driver := newDriver(cluster, options.Seed)
	if err := runLoad(ctx, cluster, driver, options, report, progress); err != nil {
		return report, err
	}
	if err := awaitConvergence(ctx, cluster, report, progress); err != nil {
		return report, err
	}
	if err := collectResults(ctx, cluster, driver.acknowledgedChanges(), report); err != nil {
		return report, err
	}
	report.runChecks()
	return report, nil
}

func newReport(options Options) *Report {
	return &Report{
		Mode: ModeWatch, Scenario: options.Scenario, Gateways: options.Gateways, Sites: options.Sites, Voters: options.Voters,
		Endpoints: options.Endpoints, Seed: options.Seed, Load: options.Load, Classes: map[string]ClassReport{},
		Usage: map[Role]Usage{}, Machine: thisMachine(),
	}
}

func thisMachine() Machine {
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		load = []byte("unknown")
	}
	return Machine{Cores: runtime.NumCPU(), Go: runtime.Version(), LoadAverage: strings.TrimSpace(string(load))}
}

// runLoad proposes the load while the scenario runs, and samples the resource usage of the processes.
func runLoad(ctx context.Context, c *cluster, driver *driver, options Options, report *Report, progress *progress) error {
	operations := options.Load.Operations(options.Duration, options.Seed)
	report.Proposed = len(operations)
	progress.print("the load begins: %d operations in %v, scenario %s", len(operations), options.Duration, options.Scenario)
	begin := time.Now()
	loadCtx, cancelLoad := context.WithCancel(ctx)
	defer cancelLoad()
	monitor := newMonitor(c)
	faults := newFaults(c, options.Seed)
	var background sync.WaitGroup
	background.Go(func() { monitor.run(loadCtx) })
	background.Go(func() { reportProgress(loadCtx, driver, len(operations), progress) })
	var group errgroup.Group
	group.Go(func() error { return faults.run(ctx, options.Scenario, options.Duration, progress) })
	group.Go(func() error {
		restarts, err := faults.restartAtRate(ctx, options.RestartsPerDay, options.Duration)
		report.Restarts = restarts
		return err
	})
	group.Go(func() error {
		driver.run(ctx, operations)
		return nil
	})
	err := group.Wait()
	sleep(ctx, time.Until(begin.Add(options.Duration)))
	monitor.sample(ctx)
	cancelLoad()
	background.Wait()
	report.Seconds = time.Since(begin).Seconds()
	report.Acked, report.Failed, report.Retried = driver.counts()
	report.recordUsage(monitor)
	return err
}

// reportProgress prints the progress of the load at intervals, until ctx is canceled.
func reportProgress(ctx context.Context, driver *driver, operations int, progress *progress) {
	const interval = 10 * time.Second
	for sleep(ctx, interval) {
		acked, failed, retried := driver.counts()
		progress.print("%d of %d operations acknowledged, %d given up, %d attempts repeated", acked, operations, failed, retried)
	}
}

func (r *Report) recordUsage(m *monitor) {
	for _, role := range []Role{RoleVoters, RoleGateways, RoleRelay} {
		r.Usage[role] = m.usage(role)
	}
	each := float64(r.Gateways)
	r.Gateway = GatewayUsage{
		CPUMean: r.Usage[RoleGateways].CPUMean / each, CPUPeak: m.gatewayPeak(),
		RSSBytes: float64(r.Usage[RoleGateways].RSSMax) / each,
	}
	r.Traffic = m.traffic(r.Gateways)
}

// awaitConvergence waits until all gateways are fresh and at the voters' last position, and records the outcome in the
// report. It is no error if they don't converge within convergeTimeout: then the report's checks fail.
func awaitConvergence(ctx context.Context, c *cluster, report *Report, progress *progress) error {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	for {
		last, err := c.lastPosition(ctx)
		if err != nil {
			return err
		}
		states, err := c.states(ctx)
		if err != nil {
			return err
		}
		fresh := 0
		positions, digests := map[distribution.Position]bool{last: true}, map[uint64]bool{}
		for _, state := range states {
			positions[state.Position], digests[state.Digest] = true, true
			if state.Fresh {
				fresh++
			}
		}
		report.Convergence = Convergence{
			FreshGateways: fresh, Positions: len(positions), Digests: len(digests), Seconds: time.Since(begin).Seconds(),
		}
		progress.print("%d gateways are fresh, at %d positions with %d digests", fresh, len(positions), len(digests))
		if fresh == report.Gateways && len(positions) == 1 {
			return nil
		}
		if !sleep(ctx, time.Second) {
			return nil // the report's checks fail
		}
	}
}

// collectResults collects the measurements of all gateways for the acknowledged changes.
func collectResults(ctx context.Context, c *cluster, acked []AckedChange, report *Report) error {
	ctx, cancel := context.WithTimeout(ctx, resultsTimeout)
	defer cancel()
	results := make([]Results, len(c.gateways))
	var group errgroup.Group
	for i, part := range c.gateways {
		group.Go(func() error { return part.process.Call(ctx, methodResults, resultsRequest{Acked: acked}, &results[i]) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	report.merge(acked, results)
	return nil
}

// merge merges the results of all processes into the report.
func (r *Report) merge(acked []AckedChange, results []Results) {
	staleness, catchUp := newHistogram(), newHistogram()
	for _, result := range results {
		mergeSnapshot(staleness, result.Staleness)
		mergeSnapshot(catchUp, result.CatchUp)
		r.CheckedClaims += result.CheckedClaims
		r.ViolationCount += result.ViolationCount
		r.Violations = append(r.Violations, result.Violations...)
	}
	r.Violations = r.Violations[:min(len(r.Violations), maxViolations)]
	r.Staleness, r.CatchUp = summarize(staleness), summarize(catchUp)
	for _, class := range []string{ClassPurge, ClassChange, ClassBurst} {
		r.Classes[class] = mergeClass(class, acked, results)
	}
}

func mergeClass(class string, acked []AckedChange, results []Results) (out ClassReport) {
	fresh, stale, everywhere := newHistogram(), newHistogram(), newHistogram()
	for _, result := range results {
		latencies := result.Latencies[class]
		if latencies == nil {
			continue
		}
		mergeSnapshot(fresh, latencies.Fresh)
		mergeSnapshot(stale, latencies.Stale)
		out.MissingFresh += latencies.MissingFresh
		out.MissingStale += latencies.MissingStale
	}
	for _, change := range acked {
		if change.class() != class {
			continue
		}
		out.Changes++
		recordEverywhere(everywhere, change, results)
	}
	out.Fresh, out.Stale, out.Everywhere = summarize(fresh), summarize(stale), summarize(everywhere)
	return out
}

// recordEverywhere records the latency of a change at the slowest gateway that was fresh throughout.
func recordEverywhere(into *hdrhistogram.Histogram, change AckedChange, results []Results) {
	slowest := time.Duration(0)
	for _, result := range results {
		slowest = max(slowest, result.Reach[change.Key].Slowest)
	}
	recordDuration(into, slowest)
}
