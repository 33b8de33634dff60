package scale

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// newTestReport returns a report for a number of gateways, in which the voters' processor usage depends linearly on it.
func newTestReport(gateways int) *Report {
	return &Report{
		Mode: ModeWatch, Scenario: ScenarioQuiet, Gateways: gateways,
		Usage: map[Role]Usage{RoleVoters: {CPUHighestMean: 10 + float64(gateways)/100}},
		Classes: map[string]ClassReport{
			ClassPurge: {Changes: 1, Fresh: LatencySummary{Count: int64(gateways)}, Everywhere: LatencySummary{Count: 1, P99: 300, Max: 400}},
		},
		Convergence: Convergence{FreshGateways: gateways, Positions: 1, Digests: 1},
	}
}

// A fit has the slope and intercept of linear data without residual, and a residual for data that is not linear. The
// table shows the values with slope and residual.
func TestFit(t *testing.T) {
	reports := []*Report{newTestReport(100), newTestReport(300), newTestReport(1000), newTestReport(3400)}
	fit := FitFigure(Figure{Of: func(r *Report) float64 { return r.Usage[RoleVoters].CPUHighestMean }}, reports)
	if math.Abs(fit.Slope-0.01) > 1e-9 || math.Abs(fit.Intercept-10) > 1e-9 || fit.Residual > 1e-9 {
		t.Errorf("%+v", fit)
	}
	calls := 0.0
	fit = FitFigure(Figure{Of: func(*Report) float64 { calls++; return math.Mod(calls, 2) }}, reports)
	if fit.Residual < 0.4 {
		t.Errorf("residual of nonlinear data: %v", fit.Residual)
	}
	table := Table(reports)
	if !strings.Contains(table, "| busiest voter, processor, % of a core | 11.00 | 13.00 | 20.00 | 44.00 | 10.00 | 0.0000 |") {
		t.Error(table)
	}
}

// A report can be read back from its file and plotted as svg and png. Other plot formats are rejected.
func TestReportFileRoundTripAndPlot(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "below", "report.json")
	if err := newTestReport(100).WriteFile(path); err != nil {
		t.Fatal(err)
	}
	read, err := ReadReport(path)
	if err != nil || read.Gateways != 100 || read.Classes[ClassPurge].Everywhere.P99 != 300 {
		t.Fatalf("%+v, %v", read, err)
	}
	for _, format := range []string{"svg", "png"} {
		file := filepath.Join(dir, "plot."+format)
		if err := PlotFile(file, []*Report{read, newTestReport(300)}); err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(file); err != nil || info.Size() < 1000 {
			t.Errorf("the plot %s: %v, %v", format, info, err)
		}
	}
	if PlotFile(filepath.Join(dir, "plot.xyz"), []*Report{read}) == nil {
		t.Error("a plot in an unknown format was written")
	}
}

// The benchmark output has the format that benchstat reads.
func TestBenchmarkLines(t *testing.T) {
	var out bytes.Buffer
	if err := newTestReport(100).WriteBenchmark(&out); err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`^Benchmark\S+ \d+( [0-9.]+ \S+)+$`)
	for text := range strings.Lines(out.String()) {
		if !line.MatchString(strings.TrimSuffix(text, "\n")) {
			t.Errorf("not a benchmark line: %q", text)
		}
	}
	if !strings.Contains(out.String(), "BenchmarkScale/scenario=quiet/gateways=100/purge 1 ") {
		t.Error(out.String())
	}
}

// A report within all limits passes, and each single violation of a limit fails it.
func TestChecks(t *testing.T) {
	good := newTestReport(100)
	good.runChecks()
	if !good.Passed() {
		t.Errorf("%+v", good.Checks)
	}
	for name, breakLimit := range map[string]func(*Report){
		"late purge":     func(r *Report) { r.Classes[ClassPurge] = ClassReport{Everywhere: LatencySummary{Max: 7001}} },
		"late change":    func(r *Report) { r.Classes[ClassChange] = ClassReport{Everywhere: LatencySummary{Max: 12001}} },
		"late burst":     func(r *Report) { r.Classes[ClassBurst] = ClassReport{Everywhere: LatencySummary{Max: 12001}} },
		"missing change": func(r *Report) { r.Classes[ClassChange] = ClassReport{MissingFresh: 1} },
		"given up":       func(r *Report) { r.Failed = 1 },
		"processor":      func(r *Report) { r.Gateway.CPUMean = 3 },
		"memory":         func(r *Report) { r.Gateway.RSSBytes = MaxGatewayMemoryBytes + 1 },
		"traffic":        func(r *Report) { r.Traffic.GatewayBytesIn, r.Traffic.GatewayBytesOut = 9000, 1001 },
		"positions":      func(r *Report) { r.Convergence.Positions = 2 },
		"digests":        func(r *Report) { r.Convergence.Digests = 2 },
		"false claim":    func(r *Report) { r.ViolationCount = 1 },
		"lost gateway":   func(r *Report) { r.Convergence.FreshGateways = 99 },
	} {
		report := newTestReport(100)
		breakLimit(report)
		report.runChecks()
		if report.Passed() {
			t.Errorf("%s: passed", name)
		}
	}
}
