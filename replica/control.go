package replica

import (
	"context"
	"time"

	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/membership"
)

// Control is the replicated state as a gateway uses it: a [Store] in a gateway that votes, and a [Subscriber] in one that
// does not.
type Control interface {
	// Get decodes a value of the operator's configuration as known here. It reports whether there is one.
	Get(name string, into any) (ok bool, err error)
	// Revoked reports whether a token's use is known here as revoked.
	Revoked(name string) bool
	// Step performs a step of the claim of a name. It reports whether the step was granted.
	Step(ctx context.Context, name string, step claims.Step) (r claims.Record, ok bool, err error)
	// Revoke rejects a token's use from now on, until a time in Unix ms.
	Revoke(ctx context.Context, name string, until float64) error
	// Put sets a value of the operator's configuration.
	Put(ctx context.Context, name string, value any) error
	// Merge sets the members of a configuration value, an object, that changes names, and keeps the others as the group has
	// them. Where the group has no value yet, it starts from initial.
	Merge(ctx context.Context, name string, changes, initial any) error
	// Purge invalidates the cached copies of an object, or with object 0 of a group, that are older than now.
	Purge(ctx context.Context, object uint64, group uint16) error
	// ReplaceMember replaces a member that is lost by a new one, and returns the voters afterwards.
	ReplaceMember(ctx context.Context, replacement membership.Replacement) ([]Member, error)
	// Fresh reports whether the state here is known to have been complete within the lease's TTL.
	Fresh() bool
	// MaxCopyAge returns the greatest age of a cached copy that may be served now; 0: no bound.
	MaxCopyAge() time.Duration
	// Close closes the member or the subscriber.
	Close() error
}

var (
	_ Control = (*Store)(nil)
	_ Control = (*Subscriber)(nil)
)
