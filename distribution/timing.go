package distribution

import "time"

// Timing configures the intervals and time-outs of the protocol. Its zero fields take the defaults.
type Timing struct {
	BatchDelay        time.Duration // maximum time that a change is held back to be batched with later ones
	HeartbeatInterval time.Duration // between a subscriber's heartbeats, and between a voter's confirmation rounds
	LeaseTTL          time.Duration // from when the last confirmed heartbeat was sent until the view is stale
	SilenceTimeout    time.Duration // without a mark, until a subscriber switches to another voter
	PurgeDeadline     time.Duration // from a purge until it has to be in effect everywhere
}

// Defaults of Timing. A purge has to be in effect everywhere within 7 s; a lease of 5 s leaves 2 s for requests in progress.
const (
	DefaultBatchDelay        = 250 * time.Millisecond
	DefaultHeartbeatInterval = time.Second
	DefaultLeaseTTL          = 5 * time.Second
	DefaultSilenceTimeout    = 2500 * time.Millisecond
	DefaultPurgeDeadline     = 7 * time.Second
)

// DefaultPurgeRetention is how long a purge is kept after it was proposed, by a View and for snapshots. Caches drop the
// invalidated copies by themselves within a few seconds, so that a purge is needed for little longer than the purge deadline;
// a snapshot has to contain all purges that may still be needed, even if clocks differ by some seconds.
const DefaultPurgeRetention = time.Minute

// WithDefaults returns the timing with defaults in place of zero fields.
func (t Timing) WithDefaults() Timing {
	defaultIfZero(&t.BatchDelay, DefaultBatchDelay)
	defaultIfZero(&t.HeartbeatInterval, DefaultHeartbeatInterval)
	defaultIfZero(&t.LeaseTTL, DefaultLeaseTTL)
	defaultIfZero(&t.SilenceTimeout, DefaultSilenceTimeout)
	defaultIfZero(&t.PurgeDeadline, DefaultPurgeDeadline)
	return t
}

// defaultIfZero sets a field to a value if it is zero.
func defaultIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
