package scale

import (
	"time"

	"turnfork.dev/turnfork/distribution"
)

// subscription is what the rig asks of a gateway's subscription to the log.
type subscription interface {
	Position() distribution.Position
	Digest() uint64
	Fresh() bool
	CompleteAt() time.Time
	Close() error
}
