package replica

import (
	"time"

	"turnfork.dev/turnfork/distribution"
)

// timingDefaults fills the zero fields of the protocol's time limits.
func timingDefaults(t distribution.Timing) distribution.Timing {
	setDefault(&t.BatchDelay, distribution.DefaultBatchDelay)
	setDefault(&t.HeartbeatInterval, distribution.DefaultHeartbeatInterval)
	setDefault(&t.LeaseTTL, distribution.DefaultLeaseTTL)
	setDefault(&t.SilenceTimeout, distribution.DefaultSilenceTimeout)
	setDefault(&t.PurgeDeadline, distribution.DefaultPurgeDeadline)
	return t
}

// setDefault sets a duration that is zero.
func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
