package signed

import (
	"context"
	"errors"
	"strings"

	"turnfork.dev/turnfork/claims"
)

// encodedIDOwner begins the owners of claims under earlier names. Owners of versions that did not encode ids never contain it.
const encodedIDOwner = "encoded-id/"

// errEarlierNameHeld is the error for a token whose earlier name is being claimed for another token at the same time. Until that claim
// is in its stage sent, it does not keep an earlier version from using the token.
var errEarlierNameHeld = errors.New("signed: the earlier name of the token is being claimed for another token")

// claimEarlierName claims the name that a held token has in versions that did not encode ids, if it differs from its own: such a
// version may have claimed the token under that name before an upgrade, or still run at another gateway during one. Other tokens
// may have the same earlier name, so a claim of this version under it does not reject the request: the token's own name does.
// The claim of an earlier name is never released, as another token may rely on it. It reports whether the request may go on, and
// answers it otherwise.
func (c *conn) claimEarlierName(ctx context.Context, s *slot) bool {
	if s.earlierClaimName == "" {
		return true
	}
	owner := encodedIDOwner + s.owner
	for _, step := range []claims.Step{{Op: claims.Hold, Owner: owner, Until: s.claimUntil}, {Op: claims.Send, Owner: owner}} {
		r, granted, err := c.frontend.opt.Claims.Step(ctx, s.earlierClaimName, step)
		ofThisVersion := strings.HasPrefix(r.Owner, encodedIDOwner)
		if ofThisVersion && !granted && r.Stage == claims.Held {
			err = errEarlierNameHeld
		}
		switch {
		case err != nil:
			c.releaseClaim(s)
			c.failUnavailable(s, step.Op, err)
			return false
		case granted:
		case ofThisVersion:
			return true
		default:
			c.releaseClaim(s)
			c.failReplayed(s, r)
			return false
		}
	}
	return true
}
