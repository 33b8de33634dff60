package scale

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxHistogramDuration       = time.Hour
	histogramSignificantDigits = 3
)

// newHistogram returns a histogram of durations in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramDuration.Microseconds(), histogramSignificantDigits)
}

// recordDuration records a duration. Durations outside of the histogram's range are clamped to it.
func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	duration = min(max(duration, time.Microsecond), maxHistogramDuration)
	if err := histogram.RecordValue(duration.Microseconds()); err != nil {
		panic(fmt.Sprintf("scale: a duration in range: %v", err))
	}
}

// LatencySummary summarizes a histogram, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

func summarize(histogram *hdrhistogram.Histogram) LatencySummary {
	quantile := func(percent float64) float64 { return float64(histogram.ValueAtQuantile(percent)) / 1000 }
	return LatencySummary{
		Count: histogram.TotalCount(), P50: quantile(50), P99: quantile(99), P999: quantile(99.9),
		Max: float64(histogram.Max()) / 1000,
	}
}

// mergeSnapshot adds a snapshot to a histogram.
func mergeSnapshot(into *hdrhistogram.Histogram, snapshot *hdrhistogram.Snapshot) {
	if snapshot != nil {
		into.Merge(hdrhistogram.Import(snapshot))
	}
}
