package turnfork

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/token"
)

// revokedUntil returns the end of a revocation in a member's state, in Unix ms.
func (c *gatewayGroup) revokedUntil(member int, name string) float64 {
	c.Helper()
	if err := c.stores[member].Snapshot(); err != nil {
		c.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(c.dirs[member], "snapshots", "*", "state.bin"))
	if err != nil || len(files) == 0 {
		c.Fatal(files, err)
	}
	text, err := os.ReadFile(files[len(files)-1])
	if err != nil {
		c.Fatal(err)
	}
	var state struct{ Revoked map[string]float64 }
	if err := json.Unmarshal(text, &state); err != nil {
		c.Fatal(err)
	}
	return state.Revoked[name]
}

// Guards against a revocation that ends before the token and its successors do: its end was computed from the answering gateway's
// own copy of the policy, which is outdated after a restart. The gateways of this group learn of the policy, but the one that is
// called does not.
func TestRevocationLastsAsTheGroupAgreed(t *testing.T) {
	c := newGatewayGroup(t, 1000)
	const week = 7 * 24 * time.Hour
	if err := operatorCall(c.frontends[0], "/-/policy", `{"token_seconds":604800}`); err != nil {
		t.Fatal(err)
	}
	c.expectPolicy(signed.Policy{LeewayMs: 10000, TokenSeconds: week.Seconds()})
	for i, f := range c.frontends {
		var agreed json.RawMessage
		if _, err := c.stores[i].Get(signed.ConfigPolicy, &agreed); err != nil {
			t.Fatal(err)
		}
		f.ApplyConfig(signed.ConfigPolicy, agreed)
	}
	outdated := c.newFrontend(c.stores[0], 1000, 20000)
	before := time.Now()
	if err := operatorCall(outdated, "/-/revocations", `{"key":"url","id":"x"}`); err != nil {
		t.Fatal(err)
	}
	until := time.UnixMilli(int64(c.revokedUntil(c.leader(), token.Grant{Key: "url", ID: "x"}.UseKey())))
	if until.Before(before.Add(week)) {
		t.Errorf("revoked for %v, and a token may be renewed for %v", until.Sub(before), week)
	}
}
