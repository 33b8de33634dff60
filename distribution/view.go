package distribution

import (
	"errors"
	"math/rand/v2"
	"time"
)

// ErrGap tells that a batch does not follow what a View holds.
var ErrGap = errors.New("distribution: a batch does not follow")

// Effects receives what a View learns, in order. Its methods must not block.
type Effects interface {
	// Configured tells the value of a piece of configuration; nil: it is gone.
	Configured(name string, value []byte)
	// Purged tells of a purge.
	Purged(c Change)
	// PurgesMissed tells that purges proposed before a Unix time in ms may never be known: copies minted before it that
	// are kept here must go.
	PurgesMissed(before int64)
}

// View is a subscriber's state. It is not safe for concurrent use.
type View struct{}

// NewView returns an empty view. Effects may be nil.
func NewView(effects Effects) *View { panic("not built yet") }

// Position is that of the last change held.
func (v *View) Position() Position { panic("not built yet") }

// Apply enters a batch: changes that are held already are passed over, so none is applied twice. ErrGap means that some are
// missing, and nothing was entered.
func (v *View) Apply(b *Batch) error { panic("not built yet") }

// Restore replaces the state by a snapshot's. Revocations and purges that the snapshot lacks stay as long as they count, as
// a history that was lost may have held them.
func (v *View) Restore(s *Snapshot, now time.Time) { panic("not built yet") }

// Get reads a piece of configuration.
func (v *View) Get(name string) (value []byte, ok bool) { panic("not built yet") }

// Revoked tells whether the use of a name is refused.
func (v *View) Revoked(name string) bool { panic("not built yet") }

// Forget drops revocations and purges that no longer count, at a Unix time in ms.
func (v *View) Forget(now time.Time) { panic("not built yet") }

// Digest is a checksum of configuration and revocations at Position: views of one history at one position have the same.
func (v *View) Digest() uint64 { panic("not built yet") }

// Lease tells whether a view is known to be complete. Its times are the subscriber's own, so neither clocks that differ nor
// messages that were held up can make it fresh: a mark counts from when the heartbeat that it names was sent.
type Lease struct{}

// NewLease returns a lease that has expired.
func NewLease(timing Timing) *Lease { panic("not built yet") }

// Heartbeat gives the number of the heartbeat that is sent now.
func (l *Lease) Heartbeat(now time.Time) (number uint64) { panic("not built yet") }

// Renew enters a mark, received on the connection on which its heartbeat was sent, with the position that the view holds. It
// tells whether the mark counted: it must name a heartbeat of this connection, and the view must hold every change up to it.
func (l *Lease) Renew(m Mark, now time.Time) bool { panic("not built yet") }

// Disconnected forgets the heartbeats of a connection that ended. What was confirmed stays.
func (l *Lease) Disconnected() { panic("not built yet") }

// Fresh tells whether the view may be relied on, and CompleteAt since when it was known to be complete (zero: never).
func (l *Lease) Fresh(now time.Time) bool { panic("not built yet") }

// CompleteAt is the time at which the view was last known to be complete; zero: never.
func (l *Lease) CompleteAt() time.Time { panic("not built yet") }

// MaxCopyAge bounds the age of copies that may be asked for now; 0: no bound. While a purge could be missing that is due by
// now, only a copy younger than the purge deadline is sure not to be older than it.
func (l *Lease) MaxCopyAge(now time.Time) time.Duration { panic("not built yet") }

// Backoff paces attempts to connect: exponential with full jitter.
type Backoff struct{}

// NewBackoff returns a back-off whose pauses lie between least and most.
func NewBackoff(least, most time.Duration, random *rand.Rand) *Backoff { panic("not built yet") }

// Next gives the pause before the next attempt; advice is what a refusal asked for, to which jitter is added.
func (b *Backoff) Next(advice time.Duration) time.Duration { panic("not built yet") }

// Reset begins anew, after a connection that worked.
func (b *Backoff) Reset() { panic("not built yet") }

// VoterOrder gives the voters in the order in which a gateway turns to them, by rendezvous hashing: gateways spread evenly,
// and the loss of a voter moves only its own.
func VoterOrder(gateway string, voters []string) []string { panic("not built yet") }
