// Package soaktest has what the seeded soak tests share.
package soaktest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// seedsVariable names the environment variable that selects other seeds than a test's own, such as 7 or 1-60.
const seedsVariable = "SOAK_SEEDS"

// seeds returns the seeds to run: those of $SOAK_SEEDS, or else 1 to count.
func seeds(t *testing.T, count uint64) (list []uint64) {
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
		list = append(list, seed)
	}
	return list
}

func parseSeed(t *testing.T, text string) uint64 {
	t.Helper()
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", seedsVariable, err)
	}
	return seed
}

// Run plays a soak with each seed as a subtest, and at most this number of them at once.
func Run(t *testing.T, count uint64, parallel int, play func(t *testing.T, seed uint64)) {
	t.Helper()
	slots := make(chan struct{}, parallel)
	for _, seed := range seeds(t, count) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			play(t, seed)
		})
	}
}
