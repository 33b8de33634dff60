package membership

import (
	"errors"
	"slices"
	"testing"
)

func group(leader string, others ...string) []Server {
	var servers []Server
	for _, id := range append([]string{leader}, others...) {
		servers = append(servers, Server{Member{ID: id, Addr: id + ":1"}, true})
	}
	return servers
}

// A replacement goes through the changes in an order in which a majority of those that are left suffices for each.
func TestReplacementStepByStep(t *testing.T) {
	replacement := Replacement{Lost: "c", Joining: Member{ID: "f", Addr: "f:1"}}
	servers := group("a", "b", "c", "d", "e")
	leader, caughtUp := "a", false
	expect := func(want Action) {
		t.Helper()
		if got, err := replacement.Next(servers, leader, caughtUp); got != want || err != nil {
			t.Fatalf("%v: %q, %v, want %q", servers, got, err, want)
		}
	}
	expect(AddWithoutVote)
	servers = append(servers, Server{replacement.Joining, false})
	expect(AwaitCatchUp)
	caughtUp = true
	expect(RemoveLost)
	leader = "c"
	expect(TransferLeadership)
	leader = "b"
	servers = slices.DeleteFunc(servers, func(s Server) bool { return s.ID == "c" })
	expect(GiveVote)
	caughtUp = false // it lags again, but is needed for a majority of five
	expect(AwaitCatchUp)
	caughtUp = true
	servers[len(servers)-1].Votes = true
	expect(Done)
	caughtUp = false
	expect(Done)
}

// What can't be a replacement is refused before anything changes.
func TestReplacementRefused(t *testing.T) {
	servers := group("a", "b", "c")
	cases := map[string]struct {
		replacement Replacement
		want        error
	}{
		"no name":                {Replacement{Joining: Member{"d", "d:1"}}, ErrIncomplete},
		"no address":             {Replacement{Lost: "c", Joining: Member{ID: "d"}}, ErrIncomplete},
		"under the same name":    {Replacement{"c", Member{"c", "d:1"}}, ErrSameName},
		"nobody of that name":    {Replacement{"x", Member{"d", "d:1"}}, ErrUnknownMember},
		"another one's name":     {Replacement{"c", Member{"b", "d:1"}}, ErrConflict},
		"another one's address":  {Replacement{"c", Member{"d", "b:1"}}, ErrConflict},
		"the lost one's address": {Replacement{"c", Member{"d", "c:1"}}, ErrConflict}, // both are members for a while
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if action, err := test.replacement.Next(servers, "a", true); !errors.Is(err, test.want) {
				t.Errorf("%q, %v, want %v", action, err, test.want)
			}
		})
	}
}
