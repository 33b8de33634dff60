// Package soaktest has what the seeded soak tests share.
package soaktest

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// seedsVariable names the environment variable that selects other seeds than a test's own, such as 7 or 1-60.
const seedsVariable = "SOAK_SEEDS"

// Seeds returns the seeds to run: those of $SOAK_SEEDS, or else 1 to count.
func Seeds(t *testing.T, count uint64) (seeds []uint64) {
	t.Helper()
	first, last := uint64(1), count
	if text := os.Getenv(seedsVariable); text != "" {
		from, to, isRange := strings.Cut(text, "-")
		if !isRange {
			to = from
		}
		first, last = parseSeed(t, from), parseSeed(t, to)
	}
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

func parseSeed(t *testing.T, text string) uint64 {
	t.Helper()
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", seedsVariable, err)
	}
	return seed
}
