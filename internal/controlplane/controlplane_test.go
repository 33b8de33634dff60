package controlplane

import (
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/distribution"
)

// A purge must invalidate every copy made before it was received, even if the proposer's clock is wrong or this gateway's clock
// was stepped: a purge that appears to be an hour old would leave the copies of the last hour valid.
func TestPurgeIsDatedAtReceipt(t *testing.T) {
	const hour, now = 3600 * 1000, 1e12 // in ms
	for name, test := range map[string]struct{ clockStep, proposedAt float64 }{
		"clocks agree":                 {0, now},
		"proposer's clock is behind":   {0, now - hour},
		"proposer's clock is ahead":    {0, now + hour},
		"gateway's clock is ahead":     {hour, now},
		"gateway's clock was set back": {-hour, now},
	} {
		clk := clock.Manual(now)
		clk.StepUnix(test.clockStep)
		got := make(chan core.Event, 1)
		p := New(nil, clk, zerolog.Nop())
		p.events.Post = func(e core.Event) { got <- e }
		p.Purged(distribution.Change{Object: 5, Group: 2, At: int64(test.proposedAt)})
		if purge := (<-got).(core.Purge); purge != (core.Purge{Object: 5, Group: 2, At: clk.Unix()}) {
			t.Errorf("%s: %+v", name, purge)
		}
	}
}
