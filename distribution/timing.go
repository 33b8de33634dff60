package distribution

import "time"

// Timing are the time limits of the protocol. Its zero fields take the defaults.
type Timing struct {
	BatchDelay        time.Duration // the longest that a change waits for others to share its batch
	HeartbeatInterval time.Duration // between a subscriber's heartbeats, and between a voter's confirmations
	LeaseTTL          time.Duration // after the last confirmed heartbeat was sent, a view is stale
	SilenceTimeout    time.Duration // without a mark, a subscriber turns to another voter
	PurgeDeadline     time.Duration // by then a purge holds everywhere: the longest that it may take to be known
}

// Defaults of Timing. A purge has to hold everywhere within 7 s; a lease of 5 s leaves 2 s for requests under way.
const (
	DefaultBatchDelay        = 250 * time.Millisecond
	DefaultHeartbeatInterval = time.Second
	DefaultLeaseTTL          = 5 * time.Second
	DefaultSilenceTimeout    = 2500 * time.Millisecond
	DefaultPurgeDeadline     = 7 * time.Second
)

// DefaultPurgeRetention is how long a purge is kept after it was proposed, by a View and for snapshots. Stores drop the
// copies that a purge makes void by themselves within a few seconds, so that a purge counts for little longer than the purge
// deadline; a snapshot has to carry all that may still count, also where clocks differ by some seconds.
const DefaultPurgeRetention = time.Minute

// WithDefaults fills the zero fields.
func (t Timing) WithDefaults() Timing {
	setDefault(&t.BatchDelay, DefaultBatchDelay)
	setDefault(&t.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&t.LeaseTTL, DefaultLeaseTTL)
	setDefault(&t.SilenceTimeout, DefaultSilenceTimeout)
	setDefault(&t.PurgeDeadline, DefaultPurgeDeadline)
	return t
}

// setDefault sets a field that is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
