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

// testLog is an io.Writer that writes to the test's log.
type testLog struct{ t *testing.T }

func (l testLog) Write(line []byte) (int, error) {
	l.t.Log(strings.TrimSuffix(string(line), "\n"))
	return len(line), nil
}

// childProcesses returns the IDs of the running child processes of this process.
func childProcesses(t *testing.T) (children []int) {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			continue // the process has exited meanwhile
		}
		_, afterName, _ := strings.Cut(string(content), ") ") // followed by the state and the parent's process ID
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

// checkNoLeaks fails the test if it leaves a process or a goroutine running.
func checkNoLeaks(t *testing.T) {
	t.Helper()
	before := runtime.NumGoroutine()
	t.Cleanup(func() {
		if left := childProcesses(t); len(left) > 0 {
			t.Errorf("child processes still run: %v", left)
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

// A hundred gateways stay within the operators' limits while the leader is killed, a tenth of the gateways restarts, and
// the killed voter restarts.
func TestHundredGatewaysThroughVoterDeath(t *testing.T) {
	checkNoLeaks(t)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	const gateways, duration = 100, 6 * time.Second
	report, err := Run(ctx, Options{
		Gateways: gateways, Sites: 20, Voters: FullVoters, Endpoints: 560, Duration: duration, Seed: 1, Scenario: "voter-death",
		Load: Load{Purges: 46, ChangesPerDay: 86400, Burst: 20, Revocations: 1, EndpointListInterval: 4 * time.Second},
		// On average one gateway restarts per second, in addition to the tenth of the scenario.
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
	if report.Traffic.Reconnects == 0 || report.Restarts == 0 || report.Retried == 0 || report.CheckedClaims == 0 {
		t.Errorf("the faults had no visible effect: %d reconnects, %d restarts, %d attempts retried, %d claims checked",
			report.Traffic.Reconnects, report.Restarts, report.Retried, report.CheckedClaims)
	}
}

// Neither gateways that are suspended and resumed nor gateways of a suspended leader claim to be fresh without holding all
// changes: data that was sent during the suspension counts from the time of the gateway's request for it. In the end all
// gateways hold the same state.
func TestPausedProcesses(t *testing.T) {
	const gateways, duration = 20, 5 * time.Second
	for _, scenario := range []string{"pause", "leader-pause"} {
		t.Run(scenario, func(t *testing.T) {
			checkNoLeaks(t)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			report, err := Run(ctx, Options{
				Gateways: gateways, Sites: 4, Voters: FullVoters, Endpoints: 35, Duration: duration, Seed: 2, Scenario: scenario,
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
			if len(report.Violations) > 0 || report.CheckedClaims == 0 {
				t.Errorf("%d claims checked, violations: %+v", report.CheckedClaims, report.Violations)
			}
		})
	}
}

// A cluster in which all members vote is measured without failures, and leaves no processes or goroutines.
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

// A child exits once its standard input is closed, as when its parent has died. Calls to it fail then.
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
			t.Errorf("%s: the child did not exit after its standard input was closed", role)
		}
		if err := process.Call(ctx, methodStats, empty{}, nil); err == nil {
			t.Errorf("%s: a call to an exited child succeeded", role)
		}
	}
}

// An unknown scenario is rejected, with its name in the error.
func TestUnknownScenario(t *testing.T) {
	if _, err := Run(t.Context(), Options{Gateways: 1, Sites: 1, Voters: 1, Endpoints: 1, Duration: 1, Scenario: "flood"}); err == nil ||
		!strings.Contains(fmt.Sprint(err), "flood") {
		t.Error(err)
	}
}
