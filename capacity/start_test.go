package capacity_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"turnfork.dev/turnfork/capacity"
	"turnfork.dev/turnfork/config"
)

// knownEndpoint is an entry of the list of endpoints in a node's configuration.
type knownEndpoint struct {
	ID, Addr, Zone, Kind, State string
	Cell                        int
	Weight                      float64
	StartedMs                   float64 `json:"started_ms"`
}

// nodeConfig returns a node's configuration with a list of endpoints.
func nodeConfig(endpoints int) []byte {
	var zones []string
	for i := range capacity.Planned.Zones {
		zones = append(zones, fmt.Sprintf("zone-%02d", i))
	}
	kinds := []string{"box", "parent", "origin"}
	servers := []knownEndpoint{}
	for _, s := range endpointList(endpoints) {
		servers = append(servers, knownEndpoint{
			ID: fmt.Sprintf("s-%08x", uint32(s.Info.ID)), Addr: s.Addr, Zone: zones[s.Info.Zone], Kind: kinds[s.Info.Kind],
			State: "Ready", Weight: s.Info.Weight,
		})
	}
	type object = map[string]any
	text, err := json.Marshal(object{
		"name": "n1", "listen": "127.0.0.1:0", "seed": "1",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  object{"seq": 1, "results": []any{object{"seq": 1, "fleet": object{"full": true, "servers": servers}}}},
		"settings": object{
			"az": 0, "balancers": capacity.Planned.Gateways, "zones": zones, "kinds": kinds, "quantum": 0.002,
			"classes": []any{object{"name": "firmware", "aim": 0.6, "deadline": 5, "repeat": "free", "worth": 1}},
			"allowed": object{"max-attempts": 8, "cancel": true, "dial-timeout": 0.4, "idle-close": 15, "probes": true},
			"family-info": object{"origin-kind": originKind, "shield-kind": parentKind, "client-kb-per-s": clientKBps,
				"purge-done": purgeCompletion.Seconds(), "says": "all", "straight": true},
		},
	})
	if err != nil {
		panic(err) // impossible: all values can be encoded
	}
	return text
}

func writeNodeConfig(tb testing.TB, endpoints int) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "config.json")
	if err := os.WriteFile(path, nodeConfig(endpoints), 0o600); err != nil {
		tb.Fatal(err)
	}
	return path
}

// TestNodeConfig checks that the configuration used by BenchmarkStart is read completely.
func TestNodeConfig(t *testing.T) {
	node, err := config.Load(writeNodeConfig(t, 100), func(string) string { return "" })
	if err != nil || len(node.KnownEvents) != 1 || node.Settings.Gateways != capacity.Planned.Gateways {
		t.Errorf("%+v, %v", node, err)
	}
}

// BenchmarkStart measures the built program: the time from its start until it serves, its processor time until then and in one
// second without traffic, and its resident memory after that second.
func BenchmarkStart(b *testing.B) {
	program := filepath.Join(b.TempDir(), "turnfork")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/turnfork").CombinedOutput(); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("stores=%d", endpoints), func(b *testing.B) {
			path := writeNodeConfig(b, endpoints)
			var ready, processor, idle time.Duration
			var memory float64
			runs := 0
			for b.Loop() {
				s := measureStart(b, program, path)
				ready, processor, idle, memory = ready+s.ready, processor+s.processor, idle+s.idle, memory+s.memory
				runs++
			}
			n := float64(runs)
			reportWithoutTime(b, ready.Seconds()*1000/n, "ms-to-serve")
			b.ReportMetric(processor.Seconds()*1000/n, "processor-ms")
			b.ReportMetric(idle.Seconds()*100/n, "idle-%core")
			b.ReportMetric(memory/n/1e6, "MB-resident")
		})
	}
}

// startMeasurement is the result of measuring one start.
type startMeasurement struct {
	ready, processor, idle time.Duration // idle: processor time in one second without traffic
	memory                 float64       // bytes resident
}

// measureStart starts the program, waits until it serves and for one more second, and stops it.
func measureStart(b *testing.B, program, config string) (s startMeasurement) {
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+config, "TMPDIR="+b.TempDir())
	log, err := cmd.StderrPipe()
	if err != nil {
		b.Fatal(err)
	}
	begun := time.Now()
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() {
		cmd.Process.Signal(syscall.SIGTERM)
		cmd.Wait()
	}()
	lines := bufio.NewScanner(log)
	for lines.Scan() && !strings.Contains(lines.Text(), `"serving"`) {
	}
	s.ready = time.Since(begun)
	s.processor = processorTimeOf(b, cmd.Process.Pid)
	time.Sleep(time.Second)
	s.idle = processorTimeOf(b, cmd.Process.Pid) - s.processor
	s.memory = residentBytes(b, cmd.Process.Pid)
	return s
}

// processorTimeOf returns the processor time that the threads of a process have used so far.
func processorTimeOf(b *testing.B, process int) (used time.Duration) {
	b.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process))
	if err != nil || len(threads) == 0 {
		b.Fatal("no threads:", err)
	}
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			continue // the thread has ended
		}
		ns, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		if err != nil {
			b.Fatal(err)
		}
		used += time.Duration(ns)
	}
	return used
}

// residentBytes returns the resident memory of a process.
func residentBytes(b *testing.B, process int) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		b.Fatal(err)
	}
	return kb * 1024
}
