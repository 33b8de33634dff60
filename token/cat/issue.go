package cat

import (
	"fmt"

	"turnfork.dev/turnfork/token"
)

// Issue signs a token for a single URI, or for all URIs whose path begins with the prefix in t.Patterns.
func (Dialect) Issue(k *token.LoadedKey, t token.Terms) (out token.Issued, err error) {
	u, err := t.AbsoluteURI(true)
	if err != nil {
		return out, err
	}
	c := map[int64]any{claimExp: int64(t.Expires), claimVersion: int64(1)}
	if t.Patterns != "" {
		c[claimURI] = map[int64]any{partPath: map[int64]any{matchPrefix: t.Patterns}}
	} else {
		c[claimURI] = map[int64]any{
			partScheme: map[int64]any{matchExact: u.Scheme}, partHost: map[int64]any{matchExact: u.Hostname()},
			partPath: map[int64]any{matchExact: u.Path}, partQuery: map[int64]any{matchExact: u.RawQuery},
		}
	}
	if k.Issuer != "" {
		c[claimIss] = k.Issuer
	}
	if k.Audience != "" {
		c[claimAud] = k.Audience
	}
	if t.Now > 0 {
		c[claimIat] = int64(t.Now)
	}
	if t.NotBefore > 0 {
		c[claimNbf] = int64(t.NotBefore)
	}
	if t.Method != "" {
		c[claimMethods] = []any{t.Method}
	}
	if t.ID != "" {
		c[claimCti] = []byte(t.ID)
		out.ID = t.ID
	}
	if t.SingleUse {
		c[claimReplay] = int64(1)
	}
	if t.Address != "" {
		net, err := token.ParsePrefix(t.Address)
		if err != nil {
			return out, fmt.Errorf("address: %w", err)
		}
		c[claimNetworkIP] = []any{encodeAddress(net)}
	}
	if t.Renew > 0 {
		c[claimRenewal] = map[int64]any{renewType: int64(1), renewAdd: int64(t.Renew), renewCookie: Param}
	}
	if out.Token, err = sign(k, c); err != nil {
		return out, err
	}
	if out.ID == "" {
		payload, err := encMode.Marshal(c)
		if err != nil {
			return out, fmt.Errorf("token: %w", err)
		}
		out.ID = token.DerivedID(string(payload))
	}
	if t.URI == "" {
		return out, nil
	}
	out.URL = token.AppendQuery(u, Param+"="+out.Token)
	return out, nil
}

// Renew returns the next token for one with catr: the same claims, with the validity starting now. A token without cti is named by
// a digest of its claims, which change with the dates, so its successor carries that name as cti.
func (Dialect) Renew(k *token.LoadedKey, g *token.Grant, now float64) (name, text string, err error) {
	old, ok := g.DialectClaims.(map[int64]any)
	if !ok {
		return "", "", fmt.Errorf("token: no claims")
	}
	c := map[int64]any{}
	for n, v := range old {
		c[n] = v
	}
	c[claimExp], c[claimIat] = int64(now)+int64(g.Renewal.Seconds), int64(now)
	delete(c, claimNbf)
	c[claimFirstExp] = g.FirstExpiry()
	if _, present := c[claimCti]; !present {
		c[claimCti] = []byte(g.ID)
	}
	name = Param
	if g.Renewal.Header {
		name = Header
	}
	text, err = sign(k, c)
	return name, text, err
}
