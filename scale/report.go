package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Limits that the operators require of the deployment.
const (
	MaxPurgeLatency                 = 7 * time.Second
	MaxChangeLatency                = 12 * time.Second
	MaxGatewayCPUPercent            = 2.9 // of a core, for a gateway's control plane
	MaxGatewayMemoryBytes           = 256 << 20
	MaxGatewayTrafficBytesPerSecond = 10_000 // bytes per second of a gateway, both directions together
)

// Report is the outcome of a run.
type Report struct {
	Mode      string  `json:"mode"`
	Scenario  string  `json:"scenario"`
	Gateways  int     `json:"gateways"`
	Sites     int     `json:"sites"`
	Voters    int     `json:"voters"`
	Endpoints int     `json:"stores"`
	Seed      uint64  `json:"seed"`
	Seconds   float64 `json:"seconds"`
	Load      Load    `json:"load"`
	Machine   Machine `json:"machine"`

	Classes   map[string]ClassReport `json:"classes"` // by class of change
	Staleness LatencySummary         `json:"staleness"`
	CatchUp   LatencySummary         `json:"catch_up"` // from a gateway's start to its first lease
	Proposed  int                    `json:"proposed"`
	Acked     int                    `json:"acknowledged"`
	Failed    int                    `json:"failed"` // not acknowledged before the proposer's timeout
	Retried   int                    `json:"retried"`

	Gateway GatewayUsage   `json:"gateway"`
	Usage   map[Role]Usage `json:"usage"`
	Traffic TrafficReport  `json:"traffic"`

	Convergence    Convergence `json:"convergence"`
	CheckedClaims  int         `json:"freshness_claims"`
	ViolationCount int         `json:"freshness_violated"`
	Violations     []Violation `json:"violations,omitempty"`
	Restarts       int         `json:"restarts"`
	Checks         []Check     `json:"checks"`
}

// Machine describes the machine of a run.
type Machine struct {
	Cores       int    `json:"cores"`
	Go          string `json:"go"`
	LoadAverage string `json:"load_before"` // /proc/loadavg at the start of the run
}

// ClassReport summarizes the latencies of one class of changes.
type ClassReport struct {
	Changes      int            `json:"changes"`
	Fresh        LatencySummary `json:"fresh"`      // from acknowledged to in force, at gateways that were fresh throughout
	Everywhere   LatencySummary `json:"everywhere"` // the slowest of these for each change
	Stale        LatencySummary `json:"stale"`      // at gateways that knew that they were stale, or were down, for a part of the time
	MissingFresh int            `json:"missing_fresh"`
	MissingStale int            `json:"missing_stale"`
}

// GatewayUsage is the mean and peak resource usage per gateway.
type GatewayUsage struct {
	CPUMean  float64 `json:"cpu_mean_percent"`
	CPUPeak  float64 `json:"cpu_peak_percent"` // mean per gateway of the busiest process between two samples
	RSSBytes float64 `json:"rss_bytes"`
}

// Convergence describes the states of the gateways after the load, which should all be equal.
type Convergence struct {
	FreshGateways int     `json:"gateways"`  // number of fresh gateways
	Positions     int     `json:"positions"` // number of different positions, including the voters' last position
	Digests       int     `json:"digests"`
	Seconds       float64 `json:"seconds"` // from the end of the load until convergence or its timeout
}

// Check compares a figure with its limit.
type Check struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit"`
	OK    bool    `json:"ok"`
}

// Passed reports whether all checks passed.
func (r *Report) Passed() bool {
	for _, check := range r.Checks {
		if !check.OK {
			return false
		}
	}
	return true
}

// runChecks compares the results with the operators' limits.
func (r *Report) runChecks() {
	atMost := func(name string, value, limit float64) {
		r.Checks = append(r.Checks, Check{Name: name, Value: value, Limit: limit, OK: value <= limit})
	}
	milliseconds := func(d time.Duration) float64 { return float64(d.Milliseconds()) }
	missing := 0
	for _, class := range r.Classes {
		missing += class.MissingFresh
	}
	atMost("purge everywhere, ms", r.Classes[ClassPurge].Everywhere.Max, milliseconds(MaxPurgeLatency))
	atMost("change everywhere, ms", r.Classes[ClassChange].Everywhere.Max, milliseconds(MaxChangeLatency))
	atMost("change of a burst everywhere, ms", r.Classes[ClassBurst].Everywhere.Max, milliseconds(MaxChangeLatency))
	atMost("changes missing at fresh gateways", float64(missing), 0)
	atMost("changes given up by their proposer", float64(r.Failed), 0)
	atMost("processor time of a gateway, % of a core", r.Gateway.CPUMean, MaxGatewayCPUPercent)
	atMost("memory of a gateway, bytes", r.Gateway.RSSBytes, MaxGatewayMemoryBytes)
	atMost("traffic of a gateway, bytes a second", r.Traffic.GatewayBytesIn+r.Traffic.GatewayBytesOut, MaxGatewayTrafficBytesPerSecond)
	atMost("positions at the end", float64(r.Convergence.Positions), 1)
	atMost("digests at the end", float64(r.Convergence.Digests), 1)
	atMost("false claims of freshness", float64(r.ViolationCount), 0)
	atMost("gateways that are not fresh at the end", float64(r.Gateways-r.Convergence.FreshGateways), 0)
}

// WriteFile writes the report as JSON.
func (r *Report) WriteFile(path string) error { return writeJSON(path, r) }

func writeJSON(path string, report any) error {
	content, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("scale: report: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("scale: report: %w", err)
	}
	if err := os.WriteFile(path, append(content, '\n'), 0o644); err != nil {
		return fmt.Errorf("scale: report: %w", err)
	}
	return nil
}

// ReadReport reads a report that WriteFile wrote.
func ReadReport(path string) (*Report, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scale: report: %w", err)
	}
	report := &Report{}
	if err := json.Unmarshal(content, report); err != nil {
		return nil, fmt.Errorf("scale: report %s: %w", path, err)
	}
	return report, nil
}

// WriteBenchmark writes the results in Go's benchmark format, for benchstat.
func (r *Report) WriteBenchmark(out io.Writer) error {
	scenario := strings.ReplaceAll(r.Scenario, " ", "-")
	prefix := fmt.Sprintf("BenchmarkScale/scenario=%s/gateways=%d", scenario, r.Gateways)
	var text strings.Builder
	for _, class := range []string{ClassPurge, ClassChange, ClassBurst} {
		report := r.Classes[class]
		if report.Fresh.Count == 0 {
			continue
		}
		fmt.Fprintf(&text, "%s/%s 1 %.3f p50-ms %.3f p99-ms %.3f max-ms %.3f everywhere-p99-ms\n",
			prefix, class, report.Fresh.P50, report.Fresh.P99, report.Fresh.Max, report.Everywhere.P99)
	}
	fmt.Fprintf(&text, "%s/staleness 1 %.3f p50-ms %.3f p99-ms %.3f max-ms\n", prefix, r.Staleness.P50, r.Staleness.P99, r.Staleness.Max)
	fmt.Fprintf(&text, "%s/gateway 1 %.5f cpu-%% %.0f rss-B %.1f in-B/s %.1f out-B/s\n",
		prefix, r.Gateway.CPUMean, r.Gateway.RSSBytes, r.Traffic.GatewayBytesIn, r.Traffic.GatewayBytesOut)
	voter := r.Usage[RoleVoters]
	fmt.Fprintf(&text, "%s/voter 1 %.3f cpu-%% %.3f cpu-peak-%% %d rss-B\n", prefix, voter.CPUHighestMean, voter.CPUPeak, voter.RSSHighest)
	if _, err := io.WriteString(out, text.String()); err != nil {
		return fmt.Errorf("scale: benchmark lines: %w", err)
	}
	return nil
}
