//go:build race

package distribution

// raceEnabled reports whether the race detector is on. A simulation has no goroutines, and runs about ten times slower with it.
const raceEnabled = true
