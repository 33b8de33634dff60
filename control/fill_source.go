package control

// Fill source: which source a cache fills a missing object from.
//
// A parent of the zone's hub is preferred, then any other parent, then the origin. The parents are ranked by
// rendezvous hashing, so that each object has one parent. While fills from the origin are late or fail, the
// hubs pool their parents: all gateways hash over the parents of all hubs, so that the origin is asked for
// an object once instead of once by each hub.

import (
	"slices"
)

const (
	originCongestionGain = 1.0 / 8 // weight of a new sample in originCongestion
	poolParentsThreshold = 0.15    // originCongestion above which hubs pool their parents
)

// selectFillSource returns the source of a fill at a target. A nil target means that the request goes
// directly to the source. If no source is available it returns the target, which then answers only from its
// cache.
func (c *Controller) selectFillSource(r *request, target *endpoint) *endpoint {
	preferred := setPair{&c.hubParents}
	others := setPair{&c.otherParents}
	if c.poolParents {
		preferred = setPair{&c.hubParents, &c.otherParents}
		others = setPair{}
	}
	rankings := c.rankingsOf(r)
	if parent := c.firstParent(r, target, rankings.hash, &rankings.parents, preferred); parent != nil {
		return parent
	}
	if parent := c.firstParent(r, target, rankings.hash, &rankings.fallbackParents, others); parent != nil {
		return parent
	}
	if origin := c.readyOrigin(); origin != nil && c.permitted(r, target, origin) {
		return origin
	}
	return target
}

// firstParent returns the first parent of the sets that may be the source of a request's fill, or nil if
// there is none.
func (c *Controller) firstParent(
	r *request, target *endpoint, object uint64, rank *ranking, sets setPair,
) (parent *endpoint) {
	if r.Write || sets == (setPair{}) {
		return nil
	}
	eligible := func(e *endpoint) bool { return e.available(c.now) && !r.failedAsSource(e) }
	c.visitRanked(rank, object, sets, eligible, func(e *endpoint) bool {
		if c.permitted(r, target, e) {
			parent = e
		}
		return parent == nil
	})
	return parent
}

// failedAsSource reports whether a fill of the request from this source has failed or timed out.
func (r *request) failedAsSource(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		failed := a.suspected || a.ended && a.outcome != OK
		return a.source == e && a.target != e && failed && a.outcome != LocalFailure
	})
}

// observeOrigin updates the share of fills from the origin that are late or fail.
func (c *Controller) observeOrigin(lateOrFailed bool) {
	c.originCongestion += originCongestionGain * (indicator(lateOrFailed) - c.originCongestion)
	c.poolParents = c.originCongestion > poolParentsThreshold
}

// assumeOriginCongestion sets the congestion of the origin to its maximum after the purge of a group,
// because all hubs have just lost their copies of the group.
func (c *Controller) assumeOriginCongestion() {
	c.originCongestion = 1
	c.poolParents = true
}
