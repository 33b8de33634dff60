package controlplane

import (
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/distribution"
)

// A purge voids the copies of before it came, whatever clock dated it and however this gateway's is stepped: a date that seems an
// hour old would let copies of the last hour pass.
func TestPurgeCountsFromItsReceipt(t *testing.T) {
	const hour, now = 3600 * 1000, 1e12 // ms
	for name, x := range map[string]struct{ step, date float64 }{
		"clocks agree":              {0, now},
		"dated by a clock behind":   {0, now - hour},
		"dated by a clock ahead":    {0, now + hour},
		"this clock is ahead":       {hour, now},
		"this clock was set behind": {-hour, now},
	} {
		clk := clock.Manual(now)
		clk.StepUnix(x.step)
		got := make(chan core.Event, 1)
		p := New(nil, clk, zerolog.Nop())
		p.events.Post = func(e core.Event) { got <- e }
		p.Purged(distribution.Change{Object: 5, Group: 2, At: int64(x.date)})
		if purge := (<-got).(core.Purge); purge != (core.Purge{Object: 5, Group: 2, At: clk.Unix()}) {
			t.Errorf("%s: %+v", name, purge)
		}
	}
}
