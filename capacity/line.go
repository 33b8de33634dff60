package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Point is one measurement: the value Y measured at the quantity X.
type Point struct{ X, Y float64 }

// Line is a straight line.
type Line struct{ Intercept, Slope float64 }

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the least-squares line through points of which at least two differ in X, and the largest relative error of the
// line at a point.
func Fit(points []Point) (l Line, residual float64) {
	n, meanX, meanY := float64(len(points)), 0.0, 0.0
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var squaresX, productsXY float64 // sums of the squared deviations of X, and of the products of deviations
	for _, p := range points {
		squaresX += (p.X - meanX) * (p.X - meanX)
		productsXY += (p.X - meanX) * (p.Y - meanY)
	}
	l.Slope = productsXY / squaresX
	l.Intercept = meanY - l.Slope*meanX
	for _, p := range points {
		residual = max(residual, l.relativeError(p))
	}
	return l, residual
}

// relativeError returns the vertical distance between a point and the line, relative to the measured value.
func (l Line) relativeError(p Point) float64 {
	return math.Abs(p.Y-l.At(p.X)) / max(math.Abs(p.Y), math.SmallestNonzeroFloat64)
}

// FirstBend returns the X of the first point at which the line fitted through all points before it has a relative error above the
// tolerance. At least three points are needed.
func FirstBend(points []Point, tolerance float64) (at float64, bends bool) {
	sorted := slices.SortedFunc(slices.Values(points), func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	for i := 2; i < len(sorted); i++ {
		if l, _ := Fit(sorted[:i]); l.relativeError(sorted[i]) > tolerance {
			return sorted[i].X, true
		}
	}
	return 0, false
}
