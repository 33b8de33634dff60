package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Figure is a measurement in reports that is tabulated and plotted over the number of gateways.
type Figure struct {
	Name string
	Unit string
	Of   func(*Report) float64
}

const mebibyte = 1 << 20

// Figures lists the rows of the table, which are also the panels of the plot.
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

// Fit is a linear least-squares fit of a figure over the number of gateways.
type Fit struct {
	Intercept float64
	Slope     float64 // per gateway
	Residual  float64 // root mean square of the residuals
}

// FitFigure fits a line to a figure of the reports. With fewer than two reports the line is horizontal.
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

// points returns the numbers of gateways (x) and the values of the figure (y).
func points(figure Figure, reports []*Report) (x, y []float64) {
	for _, report := range reports {
		x = append(x, float64(report.Gateways))
		y = append(y, figure.Of(report))
	}
	return x, y
}

// SortByGateways sorts reports by ascending number of gateways.
func SortByGateways(reports []*Report) {
	slices.SortFunc(reports, func(a, b *Report) int { return cmp.Compare(a.Gateways, b.Gateways) })
}

// Table formats the figures of reports as a Markdown table, with the slope per thousand gateways and the residual of
// each figure's fit.
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

// formatValue formats a value with more decimal places the smaller it is.
func formatValue(value float64) string {
	switch magnitude := math.Abs(value); {
	case magnitude >= 100:
		return fmt.Sprintf("%.0f", value)
	case magnitude >= 1:
		return fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("%.4f", value)
}
