package replica

import (
	"context"
	"time"

	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/membership"
)

// Control is the replicated state as a gateway uses it, whether it votes ([Store]) or not ([Subscriber]).
type Control interface {
	// Get reads a piece of the operator's configuration as known here.
	Get(name string, into any) (ok bool, err error)
	// Revoked tells whether a token's use is known here as revoked.
	Revoked(name string) bool
	// Step makes a step of a name's claim.
	Step(ctx context.Context, name string, step claims.Step) (r claims.Record, ok bool, err error)
	// Revoke refuses a token's use from now on, until a time in Unix ms.
	Revoke(ctx context.Context, name string, until float64) error
	// Put sets a piece of the operator's configuration.
	Put(ctx context.Context, name string, value any) error
	// Purge makes copies of an object, or with object 0 of a group, void that are older than now.
	Purge(ctx context.Context, object uint64, group uint16) error
	// ReplaceMember has a new member take the place of one that is lost, and gives the voters afterwards.
	ReplaceMember(ctx context.Context, replacement membership.Replacement) ([]Member, error)
	// Fresh tells whether what is known here is complete but for the last seconds.
	Fresh() bool
	// MaxCopyAge bounds the age of copies that may be served now; 0: no bound.
	MaxCopyAge() time.Duration
	// Close ends it.
	Close() error
}

var (
	_ Control = (*Store)(nil)
	_ Control = (*Subscriber)(nil)
)
