package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VoterOrder returns the voters in a gateway's order of preference, by rendezvous hashing: gateways are spread evenly, and
// the loss of a voter moves only the gateways that were connected to it.
func VoterOrder(gateway string, voters []string) []string {
	order := slices.Clone(voters)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(voterScore(gateway, b), voterScore(gateway, a)),
			cmp.Compare(a, b),
		)
	})
	return order
}

// voterScore returns the score of a voter for a gateway.
func voterScore(gateway, voter string) uint64 {
	return xxhash.Sum64String(gateway + "\x00" + voter)
}
