package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/replica"
)

// VotersOptions configure runs of the earlier architecture: every gateway is a voting member, and none subscribes.
type VotersOptions struct {
	Counts   []int         // numbers of members, one run each
	Duration time.Duration // of the load, for each run
	Seed     uint64
	Progress io.Writer
}

const (
	voterWriterCount   = 8 // each proposes one change after the other
	maxVoterProcesses  = 15
	votersStartTimeout = 45 * time.Second
	votersRunMargin    = 90 * time.Second // for a run, in addition to the load's duration
	votersDrainDelay   = time.Second      // so that the last changes come into force
	leaderPollInterval = 250 * time.Millisecond
	maxFailedShare     = 0.5
)

// VotersReport is the outcome of runs in which all members vote.
type VotersReport struct {
	Mode    string      `json:"mode"`
	Seed    uint64      `json:"seed"`
	Machine Machine     `json:"machine"`
	Runs    []VotersRun `json:"runs"`
}

// VotersRun is the outcome of the run with one number of members.
type VotersRun struct {
	Members       int            `json:"members"`
	Processes     int            `json:"processes"`
	Seconds       float64        `json:"seconds"`
	ElectedMS     float64        `json:"elected_ms"` // from the start to the first leader
	Leaders       int            `json:"leaders"`    // observed changes of the leader, including the first leader
	Acked         int            `json:"acknowledged"`
	Failed        int            `json:"failed"`
	PutsPerSecond float64        `json:"puts_per_s"`
	Acknowledge   LatencySummary `json:"acknowledge"` // from proposed to acknowledged
	InForce       LatencySummary `json:"in_force"`    // from acknowledged to in force at each member
	Everywhere    LatencySummary `json:"everywhere"`
	Missing       int            `json:"missing"`
	MemberCPU     float64        `json:"member_cpu_percent"` // of a core, on average
	MemberRSS     float64        `json:"member_rss_bytes"`
	Stopped       string         `json:"stopped,omitempty"` // why the run failed; no further clusters are measured then
}

// RunVoters measures clusters in which all members vote, in the order of options.Counts, until one fails.
func RunVoters(ctx context.Context, options VotersOptions) (*VotersReport, error) {
	report := &VotersReport{Mode: ModeVoters, Seed: options.Seed, Machine: thisMachine()}
	progress := newProgress(options.Progress)
	for _, members := range options.Counts {
		progress.print("%d members that all vote", members)
		run, err := runVoters(ctx, members, options)
		if ctx.Err() != nil {
			return report, ctx.Err()
		}
		if err != nil {
			run.Stopped = err.Error()
		}
		report.Runs = append(report.Runs, run)
		progress.print("%.0f puts/s, everywhere p99 %.0f ms, %.2f %% of a core for each, %d failed, %d leaders %s",
			run.PutsPerSecond, run.Everywhere.P99, run.MemberCPU, run.Failed, run.Leaders, run.Stopped)
		if run.Stopped != "" {
			break
		}
	}
	return report, nil
}

// runVoters measures one cluster. On failure the returned run contains the results so far.
func runVoters(ctx context.Context, members int, options VotersOptions) (run VotersRun, err error) {
	dir, err := makeTempDir()
	if err != nil {
		return run, err
	}
	defer os.RemoveAll(dir)
	cluster := &votersCluster{members: members, log: options.Progress, dir: dir}
	defer cluster.stop()
	run = VotersRun{Members: members, Processes: min(members, maxVoterProcesses)}
	ctx, cancelRun := context.WithTimeout(ctx, options.Duration+votersRunMargin)
	defer cancelRun()
	startCtx, cancel := context.WithTimeout(ctx, votersStartTimeout)
	defer cancel()
	begin := time.Now()
	if err := cluster.start(startCtx, run.Processes); err != nil {
		return run, err
	}
	if !cluster.awaitLeader(startCtx) {
		run.Stopped = fmt.Sprintf("no leader within %v", votersStartTimeout)
		return run, nil
	}
	run.ElectedMS = float64(time.Since(begin).Milliseconds())
	err = cluster.measure(ctx, options, &run)
	if total := run.Acked + run.Failed; total > 0 && float64(run.Failed) > maxFailedShare*float64(total) {
		run.Stopped = fmt.Sprintf("%d of %d proposals failed", run.Failed, total)
	}
	return run, err
}

// votersCluster is a cluster in which all members vote; a process may run several of them.
type votersCluster struct {
	members         int
	dir             string
	log             io.Writer
	processes       []*Process
	memberProcesses []*Process // by member
}

func (c *votersCluster) start(ctx context.Context, processes int) error {
	const ip = "127.0.1.1"
	authority, err := NewAuthority([]net.IP{net.ParseIP(ip)})
	if err != nil {
		return err
	}
	addresses, err := freeAddresses(slices.Repeat([]string{ip}, c.members))
	if err != nil {
		return err
	}
	var memberList []replica.Member
	for member, address := range addresses {
		memberList = append(memberList, replica.Member{ID: voterID(member), Addr: address})
	}
	var group errgroup.Group
	for _, own := range (Topology{Gateways: c.members, Sites: 1}).split(processes) {
		identity, err := authority.Issue(voterID(own[0]))
		if err != nil {
			return errors.Join(err, group.Wait())
		}
		process, err := StartProcess(RoleVoters, c.log)
		if err != nil {
			return errors.Join(err, group.Wait())
		}
		c.processes = append(c.processes, process)
		setup := voterSetup{Members: memberList, Dir: filepath.Clean(c.dir), Identity: identity, RecordConfig: true}
		for _, member := range own {
			c.memberProcesses = append(c.memberProcesses, process)
			setup.LocalIDs = append(setup.LocalIDs, voterID(member))
		}
		group.Go(func() error { return process.Call(ctx, methodStart, setup, nil) })
	}
	return group.Wait()
}

func (c *votersCluster) stop() {
	var stopping sync.WaitGroup
	for _, process := range c.processes {
		stopping.Go(process.Stop)
	}
	stopping.Wait()
}

// leader returns the ID of the leading member, or "" if none is known to lead.
func (c *votersCluster) leader(ctx context.Context) string {
	for _, process := range c.processes {
		var leads leadership
		if process.Call(ctx, methodLeads, empty{}, &leads) == nil && leads.Leader != "" {
			return leads.Leader
		}
	}
	return ""
}

func (c *votersCluster) awaitLeader(ctx context.Context) bool {
	for c.leader(ctx) == "" {
		if !sleep(ctx, pollInterval) {
			return false
		}
	}
	return true
}

// measure proposes changes for a duration, and collects when the acknowledged changes came into force at the members.
func (c *votersCluster) measure(ctx context.Context, options VotersOptions, run *VotersRun) error {
	before, err := c.stats(ctx)
	if err != nil {
		return err
	}
	begin := time.Now()
	writers := &voterWriters{cluster: c, acknowledge: newHistogram()}
	loadCtx, cancel := context.WithDeadline(ctx, begin.Add(options.Duration))
	defer cancel()
	var workers sync.WaitGroup
	for writer := range voterWriterCount {
		workers.Go(func() { writers.proposeInTurn(loadCtx, writer) })
	}
	workers.Go(func() { run.Leaders = c.countLeaders(loadCtx) })
	workers.Wait()
	seconds := time.Since(begin).Seconds()
	after, err := c.stats(ctx)
	if err != nil {
		return err
	}
	run.recordUsage(before, after)
	run.Seconds, run.Acked, run.Failed = seconds, len(writers.acked), writers.failed
	run.PutsPerSecond, run.Acknowledge = float64(run.Acked)/seconds, summarize(writers.acknowledge)
	sleep(ctx, votersDrainDelay)
	return c.collectResults(ctx, writers.acked, run)
}

func (c *votersCluster) stats(ctx context.Context) ([]ProcessStats, error) {
	all := make([]ProcessStats, len(c.processes))
	for i, process := range c.processes {
		if err := process.Call(ctx, methodStats, empty{}, &all[i]); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func (r *VotersRun) recordUsage(before, after []ProcessStats) {
	for i := range before {
		r.MemberCPU += corePercent(before[i], after[i]) / float64(r.Members)
		r.MemberRSS += float64(after[i].RSS) / float64(r.Members)
	}
}

// countLeaders polls for the leader until ctx is canceled, and returns the number of observed changes.
func (c *votersCluster) countLeaders(ctx context.Context) (changes int) {
	for last := ""; ; {
		if leader := c.leader(ctx); leader != "" && leader != last {
			last = leader
			changes++
		}
		if !sleep(ctx, leaderPollInterval) {
			return changes
		}
	}
}

func (c *votersCluster) collectResults(ctx context.Context, acked []AckedChange, run *VotersRun) error {
	results := make([]Results, len(c.processes))
	for i, process := range c.processes {
		if err := process.Call(ctx, methodResults, resultsRequest{Acked: acked}, &results[i]); err != nil {
			return err
		}
	}
	class := mergeClass(ClassChange, acked, results)
	run.InForce, run.Everywhere, run.Missing = class.Fresh, class.Everywhere, class.MissingFresh
	return nil
}

// voterWriters are concurrent writers that propose configuration changes.
type voterWriters struct {
	cluster *votersCluster

	mu          sync.Mutex
	acked       []AckedChange
	failed      int
	acknowledge *hdrhistogram.Histogram
}

// proposeInTurn proposes one change after the other, each at the next member, until ctx is canceled.
func (w *voterWriters) proposeInTurn(ctx context.Context, writer int) {
	for number := 0; ctx.Err() == nil; number++ {
		name := fmt.Sprintf("notes/%d", writer)
		value := json.RawMessage(fmt.Sprintf(`{"writer":%d,"number":%d}`, writer, number))
		member := (writer + number) % w.cluster.members
		operation := Operation{Kind: distribution.KindPut, Name: name, Value: value, Key: ConfigKey(name, value)}
		var ack acknowledgement
		begin := time.Now()
		// Not canceled with ctx, so that the proposals in flight at the end of the load are counted.
		attempt, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposalTimeout)
		err := w.cluster.memberProcesses[member].Call(attempt, methodPropose, proposeRequest{voterID(member), operation}, &ack)
		cancel()
		w.record(operation, ack.At, ack.At.Sub(begin), err)
		if err != nil {
			sleep(ctx, proposalRetryPause)
		}
	}
}

func (w *voterWriters) record(operation Operation, at time.Time, took time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed++
		return
	}
	recordDuration(w.acknowledge, took)
	w.acked = append(w.acked, AckedChange{Key: operation.Key, Kind: operation.Kind, Name: operation.Name, At: at})
}

// WriteFile writes the report as JSON.
func (r *VotersReport) WriteFile(path string) error { return writeJSON(path, r) }

// WriteBenchmark writes the results in Go's benchmark format, for benchstat.
func (r *VotersReport) WriteBenchmark(out io.Writer) error {
	for _, run := range r.Runs {
		if run.Acked == 0 {
			continue
		}
		_, err := fmt.Fprintf(out,
			"BenchmarkVoters/members=%d 1 %.2f puts/s %.3f ack-p50-ms %.3f ack-p99-ms %.3f everywhere-p99-ms %.4f cpu-%%/member %.0f rss-B/member\n",
			run.Members, run.PutsPerSecond, run.Acknowledge.P50, run.Acknowledge.P99, run.Everywhere.P99, run.MemberCPU, run.MemberRSS)
		if err != nil {
			return fmt.Errorf("scale: benchmark lines: %w", err)
		}
	}
	return nil
}
