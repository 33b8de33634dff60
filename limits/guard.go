package limits

import "math"

// GuardOptions configure a guard.
type GuardOptions struct {
	Failures   Rate    // failures that are tolerated
	Checks     Rate    // tokens of a blocked source that are checked nevertheless
	PauseMs    float64 // between the requests of a connection whose source is blocked
	MaxSources int     // number of sources that are tracked
}

// DefaultGuard is generous to one honest proxy and slows a client that guesses tokens.
var DefaultGuard = GuardOptions{
	Failures: Rate{PerSecond: 2, Burst: 100}, Checks: Rate{PerSecond: 20, Burst: 20}, PauseMs: 250, MaxSources: 1 << 15,
}

// Guard limits sources that send forged or unknown tokens. Each source has a token bucket of tolerated failures. When half of
// it is used, the source's connections are slowed: after a response the next request is read a little later. When all of it is
// used, the source is blocked: its connections are read every PauseMs, and its tokens are checked at the rate Checks, while its
// other requests are rejected unchecked. So a flood costs little, and an honest client behind the same address gets through at
// the rate of the checks, which it shares with those requests of the flood that are read.
type Guard struct {
	opt      GuardOptions
	failures *Table
	checks   *Table
}

// NewGuard returns a guard.
func NewGuard(opt GuardOptions) *Guard {
	return &Guard{opt: opt, failures: NewTable(opt.Failures, opt.MaxSources), checks: NewTable(opt.Checks, opt.MaxSources)}
}

// MemoryBytes returns the size of the guard's memory.
func (g *Guard) MemoryBytes() int { return g.failures.MemoryBytes() + g.checks.MemoryBytes() }

// Failed counts a token of a source that was not accepted.
func (g *Guard) Failed(source string, now float64) { g.failures.Spend(source, 1, now) }

// Check reports whether a source's token may be checked; if not, after how many ms the source should retry.
func (g *Guard) Check(source string, now float64) (ok bool, wait float64) {
	level := g.failures.Level(source, now)
	if level >= 1 { // at least one more failure is tolerated
		return true, 0
	}
	if ok, _ := g.checks.Take(source, 1, now); ok {
		return true, 0
	}
	return false, math.Ceil((1 - level) / g.opt.Failures.PerSecond * 1000)
}

// Pause returns for how many ms a connection of a source is not read after a response.
func (g *Guard) Pause(source string, now float64) float64 {
	half := g.opt.Failures.burst() / 2
	level := g.failures.Level(source, now)
	if level >= half {
		return 0
	}
	return g.opt.PauseMs * math.Min(1, (half-math.Max(0, level-1))/half)
}

// Sampler limits the events of each kind that are let through per second, and counts the others.
type Sampler struct {
	table      *Table
	suppressed map[string]int
}

// NewSampler returns a sampler for a few kinds of events, each named by a constant of the program.
func NewSampler(rate Rate) *Sampler {
	return &Sampler{table: NewTable(rate, 1), suppressed: map[string]int{}}
}

// Take reports whether an event is let through, and if so how many of its kind were suppressed since the last one. It must not
// be called concurrently.
func (s *Sampler) Take(kind string, now float64) (ok bool, suppressed int) {
	if ok, _ = s.table.Take(kind, 1, now); !ok {
		s.suppressed[kind]++
		return false, 0
	}
	suppressed = s.suppressed[kind]
	delete(s.suppressed, kind)
	return true, suppressed
}
