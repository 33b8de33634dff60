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

// processUse is what a process has used of a core, and its memory.
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
	fields := strings.Fields(afterName) // from the third of proc(5) on
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
			t.Fatalf("never: %s", what)
		}
	}
}

// Limits of how far a hollow gateway may be from a whole one.
const (
	maxRecordDifference = 4    // a mark and a batch more at each end of the time that is looked at
	maxBytesFactor      = 1.02 // either way, as the others
	maxCPUFactor        = 2
	maxRSSFactor        = 1.5
)

// maxLoads bounds the loads that are tried until one goes undisturbed.
const maxLoadAttempts = 4

// pair is a whole gateway and a hollow one, each in a process of its own, before the voters of a cluster.
type gatewayPair struct {
	t       *testing.T
	ctx     context.Context
	cluster *cluster

	full   *fullGateway
	hollow *Process

	fullVoters, hollowVoters *meteredVoters
}

// observation is what is compared of a gateway over a time.
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
	p.full = startFullGateway(t, "gateway-w", p.fullVoters.members, identity) // names of one length make messages of one
	if p.hollow, err = StartProcess(RoleGateways, testLog{t}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.hollow.Stop)
	setup := gatewaysSetup{
		Gateways: []gatewaySpec{{Name: "gateway-h", Voters: p.hollowVoters.members}}, Endpoints: hollow.DefaultStores, Seed: 1,
		Dir: t.TempDir(), Identity: identity,
	}
	if err := p.hollow.Call(ctx, methodStart, setup, nil); err != nil {
		t.Fatal(err)
	}
	awaitCondition(t, "both are fresh", func() bool { return p.full.subscription().Fresh && p.hollowState().Fresh })
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

// observe gives the counts so far, of the whole gateway and of the hollow one.
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

// checkState checks that both come to the cluster's last state, in which a key ring is in force.
func (p *gatewayPair) checkState(ring string) {
	p.t.Helper()
	awaitCondition(p.t, "all hold the last change", func() bool {
		last, err := p.cluster.lastPosition(p.ctx) // it may move on, by an attempt that was given up and still came through
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
			p.t.Errorf("%+v holds another state than %x", state, digest)
		}
	}
	if key := p.full.signingKey(); !strings.HasPrefix(key, ring) {
		p.t.Errorf("the whole gateway signs by %s, the last ring was %s", key, ring)
	}
}

// load proposes for some seconds, and a last key ring behind all else. It gives the start of that ring's names of keys, and
// tells whether nothing went wrong under way: no attempt was repeated and no gateway connected anew.
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

// reconnects counts how often either connected anew.
func (p *gatewayPair) reconnects() int64 {
	p.t.Helper()
	var stats ProcessStats
	if err := p.hollow.Call(p.ctx, methodStats, empty{}, &stats); err != nil {
		p.t.Fatal(err)
	}
	return stats.Traffic.Reconnects + int64(p.full.subscription().Reconnects)
}

// clusterAt tells whether the cluster's own gateways hold a position.
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
	t.Logf("%s: whole %.0f, hollow %.0f", what, full, hollow)
	if ratio := hollow / full; ratio > limit || ratio < 1/limit || math.IsNaN(ratio) {
		t.Errorf("%s: whole %.0f, hollow %.0f, limit a factor of %.2f", what, full, hollow, limit)
	}
}

// A hollow gateway is like a whole one on the same stream: it comes to the same state, has the same messages and bytes from
// its voters, and uses processor time and memory within a factor.
func TestHollowGatewayMatchesFullGateway(t *testing.T) {
	checkNoLeaks(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	cluster, err := startCluster(ctx, clusterOptions{
		topology: Topology{Gateways: 2, Sites: 1}, voters: 3, endpoints: hollow.DefaultStores, seed: 1, dir: t.TempDir(), log: testLog{t},
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
		t.Log("the machine was too busy for the voters: their streams can't be compared")
	}
	t.Fatalf("none of %d loads went undisturbed", maxLoadAttempts)
}

// since gives what was counted after an earlier observation, with the memory as it is.
func (o observation) since(earlier observation) observation {
	return observation{
		records: o.records - earlier.records, bytes: o.bytes - earlier.bytes, cpuMS: o.cpuMS - earlier.cpuMS, rss: o.rss,
	}
}

func compareObservations(t *testing.T, full, hollow observation) {
	t.Helper()
	t.Logf("records: whole %.0f, hollow %.0f", full.records, hollow.records)
	if math.Abs(full.records-hollow.records) > maxRecordDifference {
		t.Errorf("records: whole %.0f, hollow %.0f, limit %d apart", full.records, hollow.records, maxRecordDifference)
	}
	checkRatio(t, "bytes", full.bytes, hollow.bytes, maxBytesFactor)
	checkRatio(t, "processor ms", full.cpuMS, hollow.cpuMS, maxCPUFactor)
	checkRatio(t, "memory", full.rss, hollow.rss, maxRSSFactor)
}
