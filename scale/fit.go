package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Figure is a figure of reports that is looked at over the number of gateways.
type Figure struct {
	Name string
	Unit string
	Of   func(*Report) float64
}

const mebibyte = 1 << 20

// Figures are those of the table and the plot.
var Figures = []Figure{
	{"purge everywhere, p99", "ms", func(r *Report) float64 { return r.Classes[ClassPurge].Everywhere.P99 }},
	{"purge everywhere, max", "ms", func(r *Report) float64 { return r.Classes[ClassPurge].Everywhere.Max }},
	{"burst everywhere, max", "ms", func(r *Report) float64 { return r.Classes[ClassBurst].Everywhere.Max }},
	{"staleness, p99", "ms", func(r *Report) float64 { return r.Staleness.P99 }},
	{"busiest voter, processor", "% of a core", func(r *Report) float64 { return r.Usage[RoleVoters].CPUHighestMean }},
	{"largest voter, memory", "MB", func(r *Report) float64 { return float64(r.Usage[RoleVoters].RSSHighest) / mebibyte }},
	{"busiest voter, sent", "KB/s", func(r *Report) float64 { return slices.Max(append(r.Traffic.VoterBytesOut, 0)) / 1000 }},
	{"a gateway, processor", "% of a core", func(r *Report) float64 { return r.Gateway.CPUMean }},
	{"a gateway, memory", "MB", func(r *Report) float64 { return r.Gateway.RSSBytes / mebibyte }},
	{"a gateway, both ways", "KB/s", func(r *Report) float64 { return (r.Traffic.GatewayBytesIn + r.Traffic.GatewayBytesOut) / 1000 }},
}

// Fit is a straight line through a figure over the number of gateways, by least squares.
type Fit struct {
	Intercept float64
	Slope     float64 // for each gateway
	Residual  float64 // root of the mean of the squares of what the line leaves
}

// FitFigure fits a line. With fewer than two reports it is flat.
func FitFigure(figure Figure, reports []*Report) Fit {
	x, y := points(figure, reports)
	if len(x) < 2 {
		return Fit{Intercept: stat.Mean(y, nil)}
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	sumOfSquares := 0.0
	for i := range x {
		residual := y[i] - intercept - slope*x[i]
		sumOfSquares += residual * residual
	}
	return Fit{Intercept: intercept, Slope: slope, Residual: math.Sqrt(sumOfSquares / float64(len(x)))}
}

// points gives a figure over the number of gateways.
func points(figure Figure, reports []*Report) (x, y []float64) {
	for _, report := range reports {
		x = append(x, float64(report.Gateways))
		y = append(y, figure.Of(report))
	}
	return x, y
}

// SortByGateways puts reports in the order of their numbers of gateways.
func SortByGateways(reports []*Report) {
	slices.SortFunc(reports, func(a, b *Report) int { return cmp.Compare(a.Gateways, b.Gateways) })
}

// Table words the figures of reports as a table in Markdown, with the slope of each for a thousand gateways and what the
// line leaves.
func Table(reports []*Report) string {
	var text strings.Builder
	text.WriteString("| figure |")
	for _, report := range reports {
		fmt.Fprintf(&text, " N = %d |", report.Gateways)
	}
	text.WriteString(" slope for 1,000 | residual |\n|---|" + strings.Repeat("---:|", len(reports)+2) + "\n")
	for _, figure := range Figures {
		fmt.Fprintf(&text, "| %s, %s |", figure.Name, figure.Unit)
		for _, report := range reports {
			fmt.Fprintf(&text, " %s |", formatValue(figure.Of(report)))
		}
		fit := FitFigure(figure, reports)
		fmt.Fprintf(&text, " %s | %s |\n", formatValue(1000*fit.Slope), formatValue(fit.Residual))
	}
	return text.String()
}

// number writes a figure with three digits at least.
func formatValue(value float64) string {
	switch magnitude := math.Abs(value); {
	case magnitude >= 100:
		return fmt.Sprintf("%.0f", value)
	case magnitude >= 1:
		return fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("%.4f", value)
}
