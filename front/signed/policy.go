package signed

import (
	"context"
	"fmt"
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

// changePolicy changes the settings that a call names.
func (f *Frontend) changePolicy(ctx context.Context, body []byte) (any, error) {
	p := *f.policy.Load()
	if err := readJSON(body, &p); err != nil {
		return nil, err
	}
	if err := p.validate(); err != nil {
		return nil, err
	}
	err := f.opt.Claims.Put(ctx, ConfigPolicy, p)
	f.opt.Log.Info().Err(err).Interface("known", f.policy.Load()).Interface("proposed", p).Msg("policy change proposed")
	return okResponse, asUnavailable(err)
}
