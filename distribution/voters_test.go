package distribution

import (
	"fmt"
	"slices"
	"testing"
)

// TestVoterOrder sees how 3,400 gateways spread over 5 voters, and what the loss of one moves. An even spread of n has a
// standard deviation of about sqrt(n); four of them are allowed.
func TestVoterOrder(t *testing.T) {
	const gateways = 3400
	voters := []string{"10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400", "10.0.0.4:7400", "10.0.0.5:7400"}
	unchanged := slices.Clone(voters)
	lost := voters[2]
	left := slices.Concat(voters[:2], voters[3:])
	first, moved := map[string]int{}, map[string]int{}
	for i := range gateways {
		gateway := fmt.Sprintf("gateway-%d", i)
		order := VoterOrder(gateway, voters)
		if sorted := slices.Sorted(slices.Values(order)); !slices.Equal(sorted, voters) {
			t.Fatalf("%q is not an order of the voters", order)
		}
		first[order[0]]++
		orderLeft := VoterOrder(gateway, left)
		if want := slices.DeleteFunc(slices.Clone(order), func(v string) bool { return v == lost }); !slices.Equal(orderLeft, want) {
			t.Fatalf("the loss of %s turns %q to %q", lost, order, orderLeft)
		}
		if order[0] == lost {
			moved[orderLeft[0]]++
		}
	}
	if !slices.Equal(voters, unchanged) {
		t.Error("the voters given were changed")
	}
	t.Logf("first choices %v; moved by the loss of %s: %v", first, lost, moved)
	checkEven(t, first, gateways/len(voters), 93)  // 4 * sqrt(3400 * 1/5 * 4/5)
	checkEven(t, moved, first[lost]/len(left), 45) // 4 * sqrt(680 * 1/4 * 3/4)
}

func checkEven(t *testing.T, count map[string]int, want, tolerance int) {
	t.Helper()
	for voter, n := range count {
		if n < want-tolerance || n > want+tolerance {
			t.Errorf("%s has %d, expected %d±%d", voter, n, want, tolerance)
		}
	}
}
