//go:build !race

package distribution

// raceEnabled tells whether the race detector is on.
const raceEnabled = false
