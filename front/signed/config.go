package signed

import (
	"encoding/json"

	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/ring"
)

// ApplyConfig applies configuration from the replicated store. A value that can't be used is logged and ignored: the previous
// one stays in force.
func (f *Frontend) ApplyConfig(name string, value json.RawMessage) {
	var err error
	switch name {
	case ConfigKeys:
		err = f.applyKeys(value)
	case ConfigPolicy:
		err = f.applyPolicy(value)
	default:
		return
	}
	if err != nil {
		f.opt.Log.Error().Err(err).Str("name", name).Msg("configuration from the replicated store rejected")
		return
	}
	f.opt.Log.Info().Str("name", name).Msg("configuration changed")
}

func (f *Frontend) applyKeys(value json.RawMessage) error {
	var keys []token.Key
	if err := json.Unmarshal(value, &keys); err != nil {
		return err
	}
	next, err := ring.New(keys)
	if err != nil {
		return err
	}
	f.SetRing(next)
	return nil
}

func (f *Frontend) applyPolicy(value json.RawMessage) error {
	var p Policy
	if err := json.Unmarshal(value, &p); err != nil {
		return err
	}
	if err := p.validate(); err != nil {
		return err
	}
	f.policy.Store(&p)
	f.opt.Log.Info().Interface("policy", p).Msg("policy in force")
	return nil
}
