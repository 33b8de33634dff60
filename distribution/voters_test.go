package distribution

import (
	"fmt"
	"slices"
	"testing"
)

// TestVoterOrder checks how evenly 3,400 gateways are spread over 5 voters, and which gateways the loss of a voter moves. The
// number at a voter that is chosen with probability p by n gateways has a standard deviation of sqrt(n*p*(1-p)); a deviation of
// four times that is allowed.
func TestVoterOrder(t *testing.T) {
	const gateways = 3400
	voters := []string{"10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400", "10.0.0.4:7400", "10.0.0.5:7400"}
	unchanged := slices.Clone(voters)
	lost := voters[2]
	remaining := slices.Concat(voters[:2], voters[3:])
	first, moved := map[string]int{}, map[string]int{}
	for i := range gateways {
		gateway := fmt.Sprintf("gateway-%d", i)
		order := VoterOrder(gateway, voters)
		if sorted := slices.Sorted(slices.Values(order)); !slices.Equal(sorted, voters) {
			t.Fatalf("%q is not a permutation of the voters", order)
		}
		first[order[0]]++
		orderAfterLoss := VoterOrder(gateway, remaining)
		if want := slices.DeleteFunc(slices.Clone(order), func(v string) bool { return v == lost }); !slices.Equal(orderAfterLoss, want) {
			t.Fatalf("the loss of %s changes %q to %q", lost, order, orderAfterLoss)
		}
		if order[0] == lost {
			moved[orderAfterLoss[0]]++
		}
	}
	if !slices.Equal(voters, unchanged) {
		t.Error("VoterOrder modified its argument")
	}
	t.Logf("first choices %v; moved by the loss of %s: %v", first, lost, moved)
	checkEven(t, first, gateways/len(voters), 93)       // 4 * sqrt(3400 * 1/5 * 4/5)
	checkEven(t, moved, first[lost]/len(remaining), 45) // 4 * sqrt(680 * 1/4 * 3/4)
}

func checkEven(t *testing.T, count map[string]int, want, tolerance int) {
	t.Helper()
	for voter, n := range count {
		if n < want-tolerance || n > want+tolerance {
			t.Errorf("%s has %d gateways, want %d±%d", voter, n, want, tolerance)
		}
	}
}
