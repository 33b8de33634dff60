package scale

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/internal/hollow"
)

// processUsage is the consumed processor time and the resident memory of a process.
type processUsage struct {
	cpu time.Duration
	rss int64
}

func usageOf(t *testing.T, pid int) processUsage {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName) // begins with field 3 of proc(5)
	parse := func(field string) int64 {
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	const tick = time.Second / 100
	return processUsage{
		cpu: time.Duration(parse(fields[11])+parse(fields[12])) * tick, rss: parse(fields[21]) * int64(os.Getpagesize()),
	}
}

func awaitCondition(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(60 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// Limits of the differences between a hollow gateway and a full one.
const (
	maxRecordDifference = 4    // one more mark and batch at each end of the observation
	maxBytesFactor      = 1.02 // whichever of the two gateways has more; this holds for the other factors as well
	maxCPUFactor        = 2
	maxRSSFactor        = 1.5
)

// maxLoadAttempts limits how often the load is repeated until one run is undisturbed.
const maxLoadAttempts = 4

// gatewayPair is a full gateway and a hollow one, each in its own process, that subscribe to the voters of a cluster.
type gatewayPair struct {
	t       *testing.T
	ctx     context.Context
	cluster *cluster

	full   *fullGateway
	hollow *Process

	fullVoters, hollowVoters *meteredVoters
}

// observation contains the quantities that are compared between the gateways.
type observation struct {
	records, bytes float64
	cpuMS, rss     float64
}

func newGatewayPair(t *testing.T, ctx context.Context, cluster *cluster) *gatewayPair {
	t.Helper()
	identity, err := cluster.authority.Issue("gateways")
	if err != nil {
		t.Fatal(err)
	}
	p := &gatewayPair{t: t, ctx: ctx, cluster: cluster}
	p.fullVoters, p.hollowVoters = meterVoters(t, cluster.members), meterVoters(t, cluster.members)
	// Both names have equal length, so that the messages have equal length.
	p.full = startFullGateway(t, "gateway-w", p.fullVoters.members, identity)
	if p.hollow, err = StartProcess(RoleGateways, testLog{t}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.hollow.Stop)
	setup := gatewaysSetup{
		Gateways: []gatewaySpec{{Name: "gateway-h", Voters: p.hollowVoters.members}}, Endpoints: hollow.DefaultEndpoints, Seed: 1,
		Dir: t.TempDir(), Identity: identity,
	}
	if err := p.hollow.Call(ctx, methodStart, setup, nil); err != nil {
		t.Fatal(err)
	}
	awaitCondition(t, "both gateways are fresh", func() bool { return p.full.subscription().Fresh && p.hollowState().Fresh })
	return p
}

func (p *gatewayPair) hollowState() State {
	p.t.Helper()
	var states []State
	if err := p.hollow.Call(p.ctx, methodStates, empty{}, &states); err != nil || len(states) != 1 {
		p.t.Fatalf("%v, %+v", err, states)
	}
	return states[0]
}

// observeBoth returns the counts so far of the full gateway and of the hollow one.
func (p *gatewayPair) observeBoth() (full, hollow observation) {
	p.t.Helper()
	of := func(voters *meteredVoters, pid int) observation {
		use := usageOf(p.t, pid)
		return observation{
			records: float64(voters.records.Load()), bytes: float64(voters.bytes.Load()),
			cpuMS: float64(use.cpu.Milliseconds()), rss: float64(use.rss),
		}
	}
	return of(p.fullVoters, p.full.command.Process.Pid), of(p.hollowVoters, p.hollow.PID())
}

// checkState checks that both gateways reach the cluster's last state and that the given key ring is in force.
func (p *gatewayPair) checkState(ring string) {
	p.t.Helper()
	awaitCondition(p.t, "all gateways hold the last change", func() bool {
		last, err := p.cluster.lastPosition(p.ctx) // may still advance: an attempt that timed out can be committed later
		if err != nil {
			p.t.Fatal(err)
		}
		return p.full.subscription().Revision == uint64(last.Revision) && p.hollowState().Position == last && p.clusterHoldsPosition(last)
	})
	states, err := p.cluster.states(p.ctx)
	if err != nil {
		p.t.Fatal(err)
	}
	for _, state := range states {
		if digest := p.hollowState().Digest; state.Digest != digest {
			p.t.Errorf("state %+v differs from the hollow gateway's digest %x", state, digest)
		}
	}
	if key := p.full.signingKey(); !strings.HasPrefix(key, ring) {
		p.t.Errorf("the full gateway signs with key %s, want a key of the last ring %s", key, ring)
	}
}

// runLoad proposes a load for some seconds, followed by a final key ring. It returns the common prefix of that ring's key
// IDs, and whether the run was undisturbed: no attempt was retried and neither gateway reconnected.
func (p *gatewayPair) runLoad(seed uint64) (ring string, undisturbed bool) {
	p.t.Helper()
	before := p.reconnects()
	driver := newDriver(p.cluster, seed)
	driver.run(p.ctx, Load{Purges: 100, ChangesPerDay: 5 * day.Seconds(), Revocations: 5}.Operations(5*time.Second, seed))
	var last generator
	last.random, last.serial = rand.New(rand.NewPCG(seed, 9)), int(1000*seed)
	driver.run(p.ctx, []Operation{newPut(signed.ConfigKeys, last.keyRing())})
	_, failed, retried := driver.counts()
	return fmt.Sprintf("key-%d-", last.serial), failed+retried == 0 && p.reconnects() == before
}

// reconnects returns the total number of reconnections of both gateways.
func (p *gatewayPair) reconnects() int64 {
	p.t.Helper()
	var stats ProcessStats
	if err := p.hollow.Call(p.ctx, methodStats, empty{}, &stats); err != nil {
		p.t.Fatal(err)
	}
	return stats.Traffic.Reconnects + int64(p.full.subscription().Reconnects)
}

// clusterHoldsPosition reports whether the cluster's own gateways are at a position.
func (p *gatewayPair) clusterHoldsPosition(position distribution.Position) bool {
	p.t.Helper()
	states, err := p.cluster.states(p.ctx)
	if err != nil {
		p.t.Fatal(err)
	}
	return !slices.ContainsFunc(states, func(s State) bool { return s.Position != position })
}

func checkRatio(t *testing.T, what string, full, hollow, limit float64) {
	t.Helper()
	t.Logf("%s: full %.0f, hollow %.0f", what, full, hollow)
	if ratio := hollow / full; ratio > limit || ratio < 1/limit || math.IsNaN(ratio) {
		t.Errorf("%s: full %.0f, hollow %.0f, limit a factor of %.2f", what, full, hollow, limit)
	}
}

// A hollow gateway matches a full one that receives the same changes: it reaches the same state, receives the same number
// of TLS records and bytes from its voters, and uses processor time and memory within a factor of the full gateway's.
func TestHollowGatewayMatchesFullGateway(t *testing.T) {
	checkNoLeaks(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	cluster, err := startCluster(ctx, clusterOptions{
		topology: Topology{Gateways: 2, Sites: 1}, voters: 3, endpoints: hollow.DefaultEndpoints, seed: 1, dir: t.TempDir(), log: testLog{t},
	}, newProgress(testLog{t}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.stop)
	p := newGatewayPair(t, ctx, cluster)
	for attempt := range maxLoadAttempts {
		fullBefore, hollowBefore := p.observeBoth()
		ring, undisturbed := p.runLoad(uint64(attempt + 1))
		p.checkState(ring)
		full, hollow := p.observeBoth()
		if undisturbed {
			compareObservations(t, full.since(fullBefore), hollow.since(hollowBefore))
			return
		}
		t.Log("attempts were retried or a gateway reconnected, so the streams can't be compared; repeating the load")
	}
	t.Fatalf("all %d loads were disturbed by retries or reconnections", maxLoadAttempts)
}

// since returns the counts since an earlier observation, with the current memory.
func (o observation) since(earlier observation) observation {
	return observation{
		records: o.records - earlier.records, bytes: o.bytes - earlier.bytes, cpuMS: o.cpuMS - earlier.cpuMS, rss: o.rss,
	}
}

func compareObservations(t *testing.T, full, hollow observation) {
	t.Helper()
	t.Logf("records: full %.0f, hollow %.0f", full.records, hollow.records)
	if math.Abs(full.records-hollow.records) > maxRecordDifference {
		t.Errorf("records: full %.0f, hollow %.0f, limit is a difference of %d", full.records, hollow.records, maxRecordDifference)
	}
	checkRatio(t, "bytes", full.bytes, hollow.bytes, maxBytesFactor)
	checkRatio(t, "processor ms", full.cpuMS, hollow.cpuMS, maxCPUFactor)
	checkRatio(t, "memory", full.rss, hollow.rss, maxRSSFactor)
}
