package controlplane

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
)

// A revocation is kept for the least time that the gateway of the leader states, however short its proposer's is.
func TestRevocationIsKeptForTheLeastTime(t *testing.T) {
	const now, minute = 1e12, 60 * 1000 // ms
	clk := clock.Manual(now)
	p := New(nil, clk, zerolog.Nop())
	if err := p.Open(func(core.Event) {}); err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.SetMinRevocation(func() time.Duration { return time.Hour })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := p.Revoke(ctx, "use", now); err != nil {
		t.Fatal(err)
	}
	for elapsed := 0; elapsed < 60; elapsed += 5 {
		if !p.Revoked("use") {
			t.Fatalf("dropped after %d minutes", elapsed)
		}
		clk.Advance(5 * minute)
		if err := p.Put(ctx, "other", elapsed); err != nil { // a command drops what has expired
			t.Fatal(err)
		}
	}
}
