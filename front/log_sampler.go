package front

import (
	"sync"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/limits"
)

// maxLogsPerSecond limits the log lines of each kind that clients can cause.
const maxLogsPerSecond = 10

// LogSampler limits the log lines that clients can cause, so that a client that breaks the protocol at full speed neither fills
// the log nor takes the processor time for it.
type LogSampler struct {
	clock *clock.Clock

	mu      sync.Mutex
	sampler *limits.Sampler
}

// NewLogSampler returns a sampler for the lines of one frontend.
func NewLogSampler(clk *clock.Clock) *LogSampler {
	return &LogSampler{clock: clk, sampler: limits.NewSampler(limits.Rate{PerSecond: maxLogsPerSecond, Burst: maxLogsPerSecond})}
}

// Take reports whether a line of a kind may be logged now, and if so adds the number of lines that were suppressed since the
// last one to the event. A kind is a constant of the program.
func (l *LogSampler) Take(e *zerolog.Event, kind string) bool {
	l.mu.Lock()
	ok, suppressed := l.sampler.Take(kind, l.clock.Now())
	l.mu.Unlock()
	if ok && suppressed > 0 {
		e.Int("left_out", suppressed)
	}
	return ok
}
