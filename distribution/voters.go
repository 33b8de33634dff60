package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VoterOrder gives the voters in the order in which a gateway turns to them, by rendezvous hashing: gateways spread evenly,
// and the loss of a voter moves only its own.
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

// voterScore ranks a voter for a gateway.
func voterScore(gateway, voter string) uint64 {
	return xxhash.Sum64String(gateway + "\x00" + voter)
}
