package control

// Endpoints: the endpoint list, operators' exclusions, and which endpoints may be sent a request.
//
// The list gives the state of each endpoint. An endpoint that the operators have excluded counts as
// draining, whatever its listed state. An endpoint that was restarted or readmitted is a new process: its
// failures are cleared, and it is in slow start.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	maxKnownIDs   = 1 << 13 // endpoint ids kept in each of two generations
	defaultWeight = 1       // weight of an endpoint whose listed weight is not positive and finite
)

// endpoint is a cache, a parent or an origin, with the state that this gateway keeps about it.
type endpoint struct {
	Endpoint                   // State is the effective state: an excluded endpoint is draining
	listedState  State         // the state in the list
	excludedAt   time.Duration // when the operators excluded it
	readmittedAt time.Duration // when the operators readmitted it
	inFlight     []*attempt    // attempts of this gateway with this endpoint as target
	generation   int           // number of health resets
	placement    placement

	// Health (outlier.go).
	lastResponseAt       time.Duration
	lastAnsweredSendAt   time.Duration // latest send time of an attempt that it has answered
	lastConnectionLossAt time.Duration // when the last connection loss was counted
	lastCheckedAt        time.Duration // when its health was last checked
	consecutiveErrors    int
	ejections            int // consecutive ejections
	ejectedUntil         time.Duration
	probation            bool    // no success since its ejection: it gets one attempt at a time
	latencyRatio         float64 // mean of a hit's latency over its transfer time
	slowdownLevel        float64 // log2 of latencyRatio, rounded down
	lossRate             float64 // share of lookups and hits without a response although later ones had one

	// Load (load_report.go).
	load           LoadReport
	reportedAt     time.Duration
	othersInFlight float64 // requests in flight from other gateways, by its reports
	linkQuota      float64 // transfers that this gateway may have in flight on its link

	// Slow start (slow_start.go).
	slowStartBudget float64 // transfer-seconds that may be sent
	budgetUpdatedAt time.Duration
}

// newEndpoint returns an endpoint without any history.
func newEndpoint() *endpoint { return &endpoint{load: noLoadReport, latencyRatio: 1} }

// resetHealth clears the learned state of an endpoint, except for its attempts in flight.
func (e *endpoint) resetHealth() {
	*e = endpoint{
		Endpoint:     e.Endpoint,
		listedState:  e.listedState,
		excludedAt:   e.excludedAt,
		readmittedAt: e.readmittedAt,
		inFlight:     e.inFlight,
		generation:   e.generation + 1,
		placement:    e.placement,
		load:         noLoadReport,
		latencyRatio: 1,
	}
}

// removable reports whether an endpoint is gone and has no attempts in flight.
func (e *endpoint) removable() bool { return e.State == Gone && len(e.inFlight) == 0 }

func (c *Controller) isParent(e *endpoint) bool { return e.Kind == c.settings.ParentKind }
func (c *Controller) isOrigin(e *endpoint) bool { return e.Kind == c.settings.OriginKind }

// isCache reports whether an endpoint is a cache of this gateway's zone.
func (c *Controller) isCache(e *endpoint) bool {
	return !c.isParent(e) && !c.isOrigin(e) && e.Zone == c.settings.Zone
}

// ---- The list ----

// updateEndpoints applies a snapshot or a delta of the endpoint list.
func (c *Controller) updateEndpoints(ev EndpointList) {
	if ev.Failed {
		c.refreshEndpoints()
		return
	}
	if ev.Snapshot { // missing endpoints are gone; their entries stay while attempts are in flight
		for _, e := range c.endpoints {
			e.State = Gone
			e.listedState = Gone
		}
	}
	for _, listed := range ev.Endpoints {
		c.updateEndpoint(listed)
	}
	for _, e := range c.endpoints {
		if e.removable() {
			c.removeFromSets(e)
		}
	}
	c.endpoints = slices.DeleteFunc(c.endpoints, (*endpoint).removable)
	c.dispatch()
}

// updateEndpoint applies one entry of the list.
func (c *Controller) updateEndpoint(listed Endpoint) {
	if !(listed.Weight > 0) || math.IsInf(listed.Weight, 0) {
		listed.Weight = defaultWeight
	}
	i, known := c.search(listed.ID)
	if !known {
		c.endpoints = slices.Insert(c.endpoints, i, newEndpoint())
	}
	e := c.endpoints[i]
	if known && listed.StartedAt > e.StartedAt {
		e.resetHealth()
	}
	if listed.StartedAt <= e.excludedAt { // the list may not yet show a restart during the exclusion
		listed.StartedAt = max(listed.StartedAt, e.readmittedAt)
	}
	e.Endpoint = listed
	e.listedState = listed.State
	c.rememberID(listed.ID)
	c.updateState(e)
	c.updatePlacement(e)
}

// refreshEndpoints requests the list, if it is polled and not pushed.
func (c *Controller) refreshEndpoints() {
	if c.settings.PollEndpoints {
		c.emit(RefreshEndpoints{})
	}
}

// setExcluded excludes or readmits an endpoint on behalf of the operators. A readmitted endpoint was
// restarted in the meantime: its failures are cleared, and it is in slow start. From then on its listed
// state counts again.
func (c *Controller) setExcluded(ev Excluded) {
	_, wasExcluded := c.excluded[ev.Endpoint]
	if ev.Excluded {
		c.excluded[ev.Endpoint] = struct{}{}
	} else {
		delete(c.excluded, ev.Endpoint)
	}
	e := c.endpoint(ev.Endpoint)
	if e == nil || wasExcluded == ev.Excluded {
		return
	}
	if ev.Excluded {
		e.excludedAt = c.now
	} else {
		e.resetHealth()
		e.StartedAt = max(c.now, 1) // 0 means long ago
		e.readmittedAt = c.now
	}
	c.updateState(e)
	c.updatePlacement(e)
	c.dispatch()
}

// updateState sets the effective state of an endpoint.
func (c *Controller) updateState(e *endpoint) {
	e.State = e.listedState
	if _, excluded := c.excluded[e.ID]; excluded && e.State == Ready {
		e.State = Draining
	}
}

// ---- Look-ups ----

// search returns the index of an endpoint and true, or the index at which to insert it and false.
func (c *Controller) search(id EndpointID) (int, bool) {
	return slices.BinarySearchFunc(c.endpoints, id, func(e *endpoint, id EndpointID) int {
		return cmp.Compare(e.ID, id)
	})
}

// endpoint returns the endpoint with this id, or nil if it is unknown.
func (c *Controller) endpoint(id EndpointID) *endpoint {
	if i, ok := c.search(id); ok {
		return c.endpoints[i]
	}
	return nil
}

// WasListed reports whether the endpoint is or recently was in the list, or is excluded by the operators.
func (c *Controller) WasListed(id EndpointID) bool {
	_, recently := c.knownIDs[0][id]
	_, before := c.knownIDs[1][id]
	_, excluded := c.excluded[id]
	return recently || before || excluded
}

// rememberID records that an id was listed. Two generations bound the memory; the ids of all current
// endpoints are copied into the new generation.
func (c *Controller) rememberID(id EndpointID) {
	if len(c.knownIDs[0]) >= maxKnownIDs {
		c.knownIDs[1] = c.knownIDs[0]
		c.knownIDs[0] = map[EndpointID]struct{}{}
		for _, e := range c.endpoints {
			c.knownIDs[0][e.ID] = struct{}{}
		}
	}
	c.knownIDs[0][id] = struct{}{}
}

// hubOf returns the hub zone of a zone, or -1 if it has none.
func (c *Controller) hubOf(zone int) int {
	if zone >= 0 && zone < len(c.settings.HubOfZone) {
		return c.settings.HubOfZone[zone]
	}
	return -1
}

// readyOrigin returns the ready origin with the lowest id, or nil if there is none.
func (c *Controller) readyOrigin() *endpoint {
	for _, e := range c.origins {
		if e.State == Ready {
			return e
		}
	}
	return nil
}

// rebuildOrigins rebuilds the list of origins, sorted by id.
func (c *Controller) rebuildOrigins() {
	c.origins = c.origins[:0]
	for _, e := range c.endpoints {
		if e.placement.origin {
			c.origins = append(c.origins, e)
		}
	}
}

// ---- Permission to send ----

// permitted reports whether a request may be sent to target with this source: both must be ready and within
// their slow-start budgets. A nil target means that the request goes directly to the source.
func (c *Controller) permitted(r *request, target, source *endpoint) bool {
	if target != nil {
		if target.State != Ready || !c.withinSlowStartBudget(target, c.meanTransfer[r.Class]) {
			return false
		}
	}
	if source == target {
		return true
	}
	return source.State == Ready && c.withinSlowStartBudget(source, r.transferTime.Seconds())
}

// processesInZone returns the number of gateway processes in this gateway's zone. They share the same
// caches.
func (c *Controller) processesInZone() int {
	if c.settings.Zone < len(c.settings.GatewaysByZone) {
		return max(1, c.settings.GatewaysByZone[c.settings.Zone]) * c.processes
	}
	return c.processes
}

// processesSendingTo returns the number of gateway processes that may send to an endpoint, assuming that
// every gateway has as many processes as this one.
func (c *Controller) processesSendingTo(e *endpoint) int {
	if !c.isParent(e) && e.Zone < len(c.settings.GatewaysByZone) {
		return max(1, c.settings.GatewaysByZone[e.Zone]) * c.processes
	}
	return max(1, c.settings.Gateways) * c.processes
}
