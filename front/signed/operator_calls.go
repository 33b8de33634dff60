package signed

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/membership"
	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/ring"
)

// SharedState is the part of the replicated state that operators can change.
type SharedState interface {
	// Purge invalidates the copies of an object, or with object 0 those of a group, that are older than now.
	Purge(ctx context.Context, object uint64, group uint16) error
	// ReplaceMember replaces a lost member with a new one, and returns the voters afterwards.
	ReplaceMember(ctx context.Context, replacement membership.Replacement) ([]membership.Member, error)
}

// operatorCalls maps paths to the operator's calls. Each takes the body of the request, and returns the response, which is
// encoded as JSON.
var operatorCalls = map[string]func(f *Frontend, ctx context.Context, body []byte) (any, error){
	"/-/tokens":      (*Frontend).issueToken,
	"/-/revocations": (*Frontend).revokeToken,
	"/-/keys":        (*Frontend).replaceKeys,
	"/-/policy":      (*Frontend).changePolicy,
	"/-/purges":      (*Frontend).purgeCopies,
	"/-/members":     (*Frontend).replaceMember,
}

// okResponse is the response to a successful call without a result.
var okResponse = map[string]bool{"ok": true}

// unavailableError is the error of a call that may succeed when it is retried.
type unavailableError struct {
	code string
	err  error
}

// Error returns the text of the cause.
func (e *unavailableError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *unavailableError) Unwrap() error { return e.err }

// asUnavailable wraps an error of a change of the replicated state.
func asUnavailable(err error) error {
	if err != nil {
		return &unavailableError{code: "no_quorum", err: err}
	}
	return nil
}

func (f *Frontend) issueToken(_ context.Context, body []byte) (any, error) {
	var q IssueRequest
	if err := readJSON(body, &q); err != nil {
		return nil, err
	}
	return Issue(f.ring.Load(), q, f.opt.Clock.Unix()/1000, f.policy.Load().TokenSeconds, rand.Text())
}

func (f *Frontend) revokeToken(ctx context.Context, body []byte) (any, error) {
	var q struct {
		Key, ID string
		Until   float64 // Unix seconds; at least MinRevocation from now on
	}
	if err := readJSON(body, &q); err != nil {
		return nil, err
	}
	if q.Key == "" || q.ID == "" {
		return nil, errors.New("key and id: missing")
	}
	// A leader with a later policy extends it, and one of an earlier version takes it as it is.
	until := max(q.Until*1000+f.policy.Load().LeewayMs, f.opt.Clock.Unix()+clock.Ms(f.MinRevocation()))
	name := token.Grant{Key: q.Key, ID: q.ID}.UseKey()
	if err := f.opt.Claims.Revoke(ctx, name, until); err != nil {
		return nil, asUnavailable(err)
	}
	f.opt.Log.Info().Str("claim", name).Float64("until_s", until/1000).Msg("token revoked")
	return okResponse, nil
}

func (f *Frontend) replaceKeys(ctx context.Context, body []byte) (any, error) {
	var keys []token.Key
	if err := readJSON(body, &keys); err != nil {
		return nil, err
	}
	if _, err := ring.New(keys); err != nil {
		return nil, err
	}
	return okResponse, asUnavailable(f.opt.Claims.Put(ctx, ConfigKeys, keys))
}

// purgeCopies invalidates the copies of one object, or of one group of objects, that are older than the call.
func (f *Frontend) purgeCopies(ctx context.Context, body []byte) (any, error) {
	var q struct {
		Object string // as in paths
		Group  uint16
	}
	if err := readJSON(body, &q); err != nil {
		return nil, err
	}
	if (q.Object == "") == (q.Group == 0) {
		return nil, errors.New("object or group: one of them is needed")
	}
	var object uint64
	if q.Object != "" {
		var err error
		if object, err = parseObjectID(q.Object); err != nil {
			return nil, err
		}
		if object == 0 {
			return nil, errors.New("object: 0 names none")
		}
	}
	if f.opt.State == nil {
		return nil, errors.New("this gateway has no replicated state")
	}
	return okResponse, asUnavailable(f.opt.State.Purge(ctx, object, q.Group))
}

// replaceMember returns the voters after a replacement.
func (f *Frontend) replaceMember(ctx context.Context, body []byte) (any, error) {
	var replacement membership.Replacement
	if err := readJSON(body, &replacement); err != nil {
		return nil, err
	}
	if f.opt.State == nil {
		return nil, errors.New("this gateway has no replicated state")
	}
	members, err := f.opt.State.ReplaceMember(ctx, replacement)
	switch {
	case errors.Is(err, membership.ErrCatchingUp):
		return nil, &unavailableError{code: "catching_up", err: err}
	case errors.Is(err, membership.ErrRejected):
		return nil, fmt.Errorf("the replacement can't be made: %w", err)
	case err != nil:
		return nil, asUnavailable(err)
	}
	return map[string][]membership.Member{"members": members}, nil
}
