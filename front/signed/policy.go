package signed

import (
	"context"
	"fmt"
	"time"

	"turnfork.dev/turnfork/clock"
)

// ConfigPolicy is the name of the policy in the replicated store.
const ConfigPolicy = "policy"

// Policy holds the settings that an operator may change while the gateway runs.
type Policy struct {
	LeewayMs     float64 `json:"leeway_ms"`     // tolerated clock skew in either direction
	TokenSeconds float64 `json:"token_seconds"` // maximum lifetime of an issued token
}

func (p Policy) validate() error {
	switch {
	case !(p.LeewayMs >= 0 && p.LeewayMs <= 300000):
		return fmt.Errorf("leeway_ms: 0 to 300000")
	case !(p.TokenSeconds > 0 && p.TokenSeconds <= 366*24*3600):
		return fmt.Errorf("token_seconds: more than 0, a year at most")
	}
	return nil
}

// MinRevocation returns the least time for which a revocation has to be kept: as long as a token that is renewed now is accepted.
func (f *Frontend) MinRevocation() time.Duration {
	p := f.policy.Load()
	return clock.Duration(p.TokenSeconds*1000 + p.LeewayMs)
}

// policyChange holds the settings that a call changes; nil: those that it leaves as they are.
type policyChange struct {
	LeewayMs     *float64 `json:"leeway_ms,omitempty"`
	TokenSeconds *float64 `json:"token_seconds,omitempty"`
}

// appliedTo returns a policy with the changed settings.
func (c policyChange) appliedTo(p Policy) Policy {
	if c.LeewayMs != nil {
		p.LeewayMs = *c.LeewayMs
	}
	if c.TokenSeconds != nil {
		p.TokenSeconds = *c.TokenSeconds
	}
	return p
}

// isComplete reports whether a change names every setting.
func (c policyChange) isComplete() bool { return c.LeewayMs != nil && c.TokenSeconds != nil }

// changePolicy changes the settings that a call names, and leaves the others as the group has them. The policy known here takes no
// part in it, as it may be outdated: after a restart, or while a change by another gateway is under way.
func (f *Frontend) changePolicy(ctx context.Context, body []byte) (any, error) {
	var change policyChange
	if err := readJSON(body, &change); err != nil {
		return nil, err
	}
	initial := change.appliedTo(f.configuredPolicy())
	if err := initial.validate(); err != nil {
		return nil, err
	}
	known := f.policy.Load()
	err := f.proposePolicy(ctx, change, initial)
	f.opt.Log.Info().Err(err).Interface("known", known).Interface("proposed", change).Msg("policy change proposed")
	return okResponse, asUnavailable(err)
}

// proposePolicy proposes a change of the policy. initial is the whole policy if the group has none yet. A change that names every
// setting needs nothing of the group's policy, so that a leader of an earlier version accepts it too.
func (f *Frontend) proposePolicy(ctx context.Context, change policyChange, initial Policy) error {
	if change.isComplete() {
		return f.opt.Claims.Put(ctx, ConfigPolicy, initial)
	}
	return f.opt.Claims.Merge(ctx, ConfigPolicy, change, initial)
}

// configuredPolicy returns the policy of the operator's file.
func (f *Frontend) configuredPolicy() Policy {
	return Policy{LeewayMs: f.opt.MaxClockSkew, TokenSeconds: f.opt.MaxTokenSeconds}
}
