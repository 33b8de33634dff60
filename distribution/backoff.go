package distribution

import (
	"math/rand/v2"
	"time"
)

// maxAdvice is the longest pause that a Backoff lets a refusal ask for.
const maxAdvice = time.Minute

// Backoff paces attempts to connect: exponential with full jitter.
type Backoff struct {
	least, most time.Duration
	ceiling     time.Duration // of the next pause
	random      *rand.Rand
}

// NewBackoff returns a back-off whose pauses lie between least and most.
func NewBackoff(least, most time.Duration, random *rand.Rand) *Backoff {
	b := &Backoff{least: least, most: max(least, most), random: random}
	b.Reset()
	return b
}

// Next gives the pause before the next attempt; advice is what a refusal asked for, to which jitter is added. Without advice
// the pause is drawn evenly between least and a ceiling that doubles at each attempt, up to most. Advice takes the place of
// least, up to a minute.
func (b *Backoff) Next(advice time.Duration) time.Duration {
	jitter := time.Duration(b.random.Int64N(int64(b.ceiling-b.least) + 1))
	b.ceiling = min(2*b.ceiling, b.most)
	return max(b.least, min(advice, maxAdvice)) + jitter
}

// Reset begins anew, after a connection that worked.
func (b *Backoff) Reset() { b.ceiling = min(2*b.least, b.most) }
