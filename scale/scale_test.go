package scale

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	ChildMain()
	if file := os.Getenv(fullGatewayVariable); file != "" {
		if err := serveFullGateway(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// testLog is a writer to the test's log.
type testLog struct{ t *testing.T }

func (l testLog) Write(line []byte) (int, error) {
	l.t.Log(strings.TrimSuffix(string(line), "\n"))
	return len(line), nil
}

// ownChildren lists the processes that this one has started and that have not ended.
func childProcesses(t *testing.T) (children []int) {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			continue // it has ended meanwhile
		}
		_, afterName, _ := strings.Cut(string(content), ") ") // the state and the parent's number follow
		fields := strings.Fields(afterName)
		if len(fields) > 1 && fields[1] == strconv.Itoa(os.Getpid()) {
			number, err := strconv.Atoi(filepath.Base(filepath.Dir(file)))
			if err != nil {
				t.Fatal(err)
			}
			children = append(children, number)
		}
	}
	return children
}

// checkNothingLeft fails a test that leaves a process or a goroutine.
func checkNoLeaks(t *testing.T) {
	t.Helper()
	before := runtime.NumGoroutine()
	t.Cleanup(func() {
		if left := childProcesses(t); len(left) > 0 {
			t.Errorf("processes are left: %v", left)
		}
		deadline := time.Now().Add(10 * time.Second)
		for runtime.NumGoroutine() > before && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		if now := runtime.NumGoroutine(); now > before {
			stacks := make([]byte, 1<<16)
			t.Errorf("%d goroutines, %d before:\n%s", now, before, stacks[:runtime.Stack(stacks, true)])
		}
	})
}

// A hundred gateways keep the operators' limits while the leader is killed, a tenth of them starts anew, and the killed
// voter comes back.
func TestHundredGatewaysThroughVoterDeath(t *testing.T) {
	checkNoLeaks(t)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	const gateways, duration = 100, 6 * time.Second
	report, err := Run(ctx, Options{
		Gateways: gateways, Sites: 20, Voters: FullVoters, Stores: 560, Duration: duration, Seed: 1, Scenario: "voter-death",
		Load: Load{Purges: 46, ChangesPerDay: 86400, Burst: 20, Revocations: 1, StoreInterval: 4 * time.Second},
		// Some gateways start anew one by one, beside the tenth.
		RestartsPerDay: 86400 * FullGateways / gateways, Progress: testLog{t},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, check := range report.Checks {
		if !check.OK {
			t.Errorf("%s: %v, limit %v", check.Name, check.Value, check.Limit)
		}
	}
	for _, violation := range report.Violations {
		t.Errorf("%+v", violation)
	}
	purges := report.Classes[ClassPurge]
	if purges.Changes == 0 || report.Classes[ClassChange].Changes == 0 || report.Classes[ClassBurst].Changes == 0 {
		t.Errorf("a class has no changes: %+v", report.Classes)
	}
	if reached := purges.Fresh.Count + purges.Stale.Count + int64(purges.MissingStale); reached != int64(purges.Changes*gateways) {
		t.Errorf("%d purges at %d gateways make %d observations", purges.Changes, gateways, reached)
	}
	if report.Traffic.Reconnects == 0 || report.Restarts == 0 || report.Retried == 0 || report.Claims == 0 {
		t.Errorf("nothing was seen of the faults: %d reconnects, %d restarts, %d attempts repeated, %d claims checked",
			report.Traffic.Reconnects, report.Restarts, report.Retried, report.Claims)
	}
}

// Gateways that are stopped and go on, and a leader that is, claim nothing that they don't know: what was sent to them meanwhile
// counts from when they asked for it. In the end all hold the same.
func TestPausedProcesses(t *testing.T) {
	const gateways, duration = 20, 5 * time.Second
	for _, scenario := range []string{"pause", "leader-pause"} {
		t.Run(scenario, func(t *testing.T) {
			checkNoLeaks(t)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			report, err := Run(ctx, Options{
				Gateways: gateways, Sites: 4, Voters: FullVoters, Stores: 35, Duration: duration, Seed: 2, Scenario: scenario,
				Load: Load{Purges: 46, ChangesPerDay: 86400, Burst: 10, Revocations: 1}, Progress: testLog{t},
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, check := range report.Checks {
				if !check.OK {
					t.Errorf("%s: %v, limit %v", check.Name, check.Value, check.Limit)
				}
			}
			if len(report.Violations) > 0 || report.Claims == 0 {
				t.Errorf("%d claims, false: %+v", report.Claims, report.Violations)
			}
		})
	}
}

// Members that all vote are measured, and leave nothing behind.
func TestVotersMode(t *testing.T) {
	checkNoLeaks(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	report, err := RunVoters(ctx, VotersOptions{Counts: []int{3}, Duration: time.Second, Seed: 1, Progress: testLog{t}})
	if err != nil {
		t.Fatal(err)
	}
	run := report.Runs[0]
	if run.Acked == 0 || run.Missing != 0 || run.InForce.Count != int64(run.Members*run.Acked) || run.Stopped != "" {
		t.Errorf("%+v", run)
	}
	var lines bytes.Buffer
	if err := report.WriteBenchmark(&lines); err != nil || !strings.HasPrefix(lines.String(), "BenchmarkVoters/members=3 1 ") {
		t.Errorf("%v, %q", err, lines.String())
	}
}

// A child ends by itself once its standard input does, as when its parent has died.
func TestChildEndsWithItsInput(t *testing.T) {
	checkNoLeaks(t)
	for _, role := range []Role{RoleVoters, RoleGateways, RoleRelay} {
		process, err := StartProcess(role, testLog{t})
		if err != nil {
			t.Fatal(err)
		}
		var stats ProcessStats
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		if err := process.Call(ctx, methodStats, empty{}, &stats); err != nil || stats.PID != process.PID() || stats.RSS == 0 {
			t.Errorf("%s: %+v, %v", role, stats, err)
		}
		process.stdin.Close()
		select {
		case <-process.exited:
		case <-time.After(30 * time.Second):
			process.Kill()
			t.Errorf("%s: the child outlived its input", role)
		}
		if err := process.Call(ctx, methodStats, empty{}, nil); err == nil {
			t.Errorf("%s: a child that has ended answered", role)
		}
	}
}

// A scenario's name is checked before anything starts.
func TestUnknownScenario(t *testing.T) {
	if _, err := Run(t.Context(), Options{Gateways: 1, Sites: 1, Voters: 1, Stores: 1, Duration: 1, Scenario: "flood"}); err == nil ||
		!strings.Contains(fmt.Sprint(err), "flood") {
		t.Error(err)
	}
}
