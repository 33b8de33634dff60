package membership

import (
	"errors"
	"slices"
	"testing"
)

func newVoters(leader string, others ...string) []Server {
	var servers []Server
	for _, id := range append([]string{leader}, others...) {
		servers = append(servers, Server{Member{ID: id, Addr: id + ":1"}, true})
	}
	return servers
}

// The changes of the group are made in an order in which a majority of the remaining members suffices for each.
func TestReplacementActionOrder(t *testing.T) {
	replacement := Replacement{Lost: "c", Joining: Member{ID: "f", Addr: "f:1"}}
	servers := newVoters("a", "b", "c", "d", "e")
	leader, caughtUp := "a", false
	expect := func(want Action) {
		t.Helper()
		if got, err := replacement.Next(servers, leader, caughtUp); got != want || err != nil {
			t.Fatalf("%v: %q, %v, want %q", servers, got, err, want)
		}
	}
	expect(AddNonvoter)
	servers = append(servers, Server{replacement.Joining, false})
	expect(AwaitCatchUp)
	caughtUp = true
	expect(RemoveLost)
	leader = "c"
	expect(TransferLeadership)
	leader = "b"
	servers = slices.DeleteFunc(servers, func(s Server) bool { return s.ID == "c" })
	expect(PromoteToVoter)
	caughtUp = false // it lags again; as a voter it would be needed for a majority of five
	expect(AwaitCatchUp)
	caughtUp = true
	servers[len(servers)-1].Votes = true
	expect(Done)
	caughtUp = false
	expect(Done)
}

// Impossible replacements are rejected before the group is changed.
func TestImpossibleReplacementRejected(t *testing.T) {
	servers := newVoters("a", "b", "c")
	cases := map[string]struct {
		replacement Replacement
		want        error
	}{
		"no lost name":              {Replacement{Joining: Member{"d", "d:1"}}, ErrIncomplete},
		"no address":                {Replacement{Lost: "c", Joining: Member{ID: "d"}}, ErrIncomplete},
		"same name":                 {Replacement{"c", Member{"c", "d:1"}}, ErrSameName},
		"unknown lost member":       {Replacement{"x", Member{"d", "d:1"}}, ErrUnknownMember},
		"another member's name":     {Replacement{"c", Member{"b", "d:1"}}, ErrConflict},
		"another member's address":  {Replacement{"c", Member{"d", "b:1"}}, ErrConflict},
		"the lost member's address": {Replacement{"c", Member{"d", "c:1"}}, ErrConflict}, // both members are in the group for a time
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if action, err := test.replacement.Next(servers, "a", true); !errors.Is(err, test.want) {
				t.Errorf("%q, %v, want %v", action, err, test.want)
			}
		})
	}
}
