package distribution

import (
	"math/rand/v2"
	"time"
)

// maxRetryAfter bounds the Retry-After of a rejection that a Backoff honours.
const maxRetryAfter = time.Minute

// Backoff computes the delays between attempts to connect: exponential with full jitter.
type Backoff struct {
	minDelay, maxDelay time.Duration
	ceiling            time.Duration // of the next delay
	random             *rand.Rand
}

// NewBackoff returns a back-off whose delays are between minDelay and maxDelay.
func NewBackoff(minDelay, maxDelay time.Duration, random *rand.Rand) *Backoff {
	b := &Backoff{minDelay: minDelay, maxDelay: max(minDelay, maxDelay), random: random}
	b.Reset()
	return b
}

// Next returns the delay before the next attempt: uniform between the minimum delay and a ceiling that doubles at each
// attempt, up to the maximum delay. The Retry-After of a rejection, up to maxRetryAfter, replaces the minimum delay if it is
// longer; 0: there was none.
func (b *Backoff) Next(retryAfter time.Duration) time.Duration {
	jitter := time.Duration(b.random.Int64N(int64(b.ceiling-b.minDelay) + 1))
	b.ceiling = min(2*b.ceiling, b.maxDelay)
	return max(b.minDelay, min(retryAfter, maxRetryAfter)) + jitter
}

// Reset resets the ceiling, after a successful connection.
func (b *Backoff) Reset() { b.ceiling = min(2*b.minDelay, b.maxDelay) }
