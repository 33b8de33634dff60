package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Point is one measurement: a quantity and what was measured at it.
type Point struct{ X, Y float64 }

// Line is a straight line.
type Line struct{ Intercept, Slope float64 }

// At is the line's value.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit gives the line of least squares through points of which two at least differ in X, and the largest relative distance of
// a point from it.
func Fit(points []Point) (l Line, residual float64) {
	n, meanX, meanY := float64(len(points)), 0.0, 0.0
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var spread, common float64
	for _, p := range points {
		spread += (p.X - meanX) * (p.X - meanX)
		common += (p.X - meanX) * (p.Y - meanY)
	}
	l.Slope = common / spread
	l.Intercept = meanY - l.Slope*meanX
	for _, p := range points {
		residual = max(residual, l.miss(p))
	}
	return l, residual
}

// miss is a point's distance from the line, relative to what was measured.
func (l Line) miss(p Point) float64 {
	return math.Abs(p.Y-l.At(p.X)) / max(math.Abs(p.Y), math.SmallestNonzeroFloat64)
}

// Bend gives the first point that a line through all points before it misses by more than the tolerance, a share of what was
// measured. A bend can't be told from fewer than three points.
func Bend(points []Point, tolerance float64) (at float64, bends bool) {
	sorted := slices.SortedFunc(slices.Values(points), func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	for i := 2; i < len(sorted); i++ {
		if l, _ := Fit(sorted[:i]); l.miss(sorted[i]) > tolerance {
			return sorted[i].X, true
		}
	}
	return 0, false
}
