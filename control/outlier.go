package control

// Outlier ejection: when an endpoint receives no requests for a while, and how it returns to service.
//
// An endpoint is ejected after several consecutive failures (errors, overload, timeouts, lost connections),
// and at once after a failed connect or a failed health check. The ejection time doubles until the endpoint
// responds again. After an ejection the endpoint is on probation: it gets one attempt at a time, and its
// first failure ejects it again. Slow or lossy endpoints are not ejected: the weight of a cache in the
// ranking is reduced by the factor by which its hits have slowed down.
//
// Health checks are sent actively. Their number is proportional to the requests of the whole zone, so that a
// large fleet does not send more of them.

import (
	"math"
	"time"
)

const (
	healthCheckInterval    = 250 * time.Millisecond // minimum interval between checks of an endpoint
	healthChecksPerRequest = 0.2                    // sent by all gateways of the zone together
	maxHealthCheckBudget   = 2                      // upper limit of the health check budget

	initialEjection      = 1 * time.Second
	maxEjection          = 8 * time.Second
	maxEjectionDoublings = 8 // bounds the shift
	maxConsecutiveErrors = 3 // failures that cause an ejection; a single one may be chance

	latencyRatioGain = 1.0 / 8  // weight of a new sample in an endpoint's latency ratio
	lossRateGain     = 1.0 / 64 // weight of a new sample in an endpoint's loss rate
	highLossRate     = 0.03     // above this rate fills may be presumed lost as well
)

// available reports whether the state and health of the endpoint allow new requests.
func (e *endpoint) available(now time.Duration) bool {
	return e.State == Ready && now >= e.ejectedUntil && (!e.probation || len(e.inFlight) == 0)
}

// recordSuccess records a response, which ends an ejection and the probation after it.
func (e *endpoint) recordSuccess(now time.Duration) {
	e.lastResponseAt = now
	e.consecutiveErrors = 0
	e.ejections = 0
	e.probation = false
	e.ejectedUntil = 0
}

// recordFailure counts an error, an overload response or a timeout, and ejects the endpoint after several in
// a row, or after the first one on probation.
func (e *endpoint) recordFailure(now time.Duration) {
	e.consecutiveErrors++
	if e.consecutiveErrors >= maxConsecutiveErrors || e.probation {
		e.consecutiveErrors = 0
		e.eject(now)
	}
}

// eject blocks new requests to the endpoint for a time that doubles until it responds again.
func (e *endpoint) eject(now time.Duration) {
	if now < e.ejectedUntil {
		return
	}
	e.ejectedUntil = now + min(initialEjection<<min(e.ejections, maxEjectionDoublings), maxEjection)
	e.ejections++
	e.probation = true
}

// recordAnswer records that the endpoint has answered an attempt, so that attempts sent before it may be
// presumed lost.
func (e *endpoint) recordAnswer(a *attempt) {
	e.lastAnsweredSendAt = max(e.lastAnsweredSendAt, a.sentAt)
	e.lossRate -= lossRateGain * e.lossRate
}

// observeLatency updates the ratio of a hit's latency to its transfer time at an endpoint. The ranking
// weight of an endpoint is halved for each factor of two, so that it keeps the load that it can still serve
// instead of failing altogether.
func (c *Controller) observeLatency(e *endpoint, ratio float64) {
	e.latencyRatio += latencyRatioGain * (ratio - e.latencyRatio)
	level := max(0, math.Floor(math.Log2(max(e.latencyRatio, 1))))
	if level != e.slowdownLevel {
		e.slowdownLevel = level
		c.updatePlacement(e)
	}
}

// accrueHealthCheckBudget increases the health check budget for one request.
func (c *Controller) accrueHealthCheckBudget() {
	earned := healthChecksPerRequest / float64(c.processesInZone())
	c.healthCheckBudget = min(c.healthCheckBudget+earned, maxHealthCheckBudget)
}

// checkHealth sends the health checks that the budget allows.
func (c *Controller) checkHealth() {
	for c.settings.CanCheckHealth && c.healthCheckBudget >= 1 {
		next := c.nextHealthCheck()
		if next == nil {
			return
		}
		c.healthCheckBudget--
		next.lastCheckedAt = c.now
		c.emit(HealthCheck{To: next.ID})
	}
}

// nextHealthCheck returns the endpoint to check next, or nil if none is due. Endpoints on probation come
// first, then the one whose last check is oldest.
func (c *Controller) nextHealthCheck() *endpoint {
	var next *endpoint
	for _, e := range c.endpoints {
		if !c.healthCheckDue(e) {
			continue
		}
		switch {
		case next == nil, e.probation && !next.probation:
			next = e
		case e.probation == next.probation && e.lastCheckedAt < next.lastCheckedAt:
			next = e
		}
	}
	return next
}

// healthCheckDue reports whether a health check is due for an endpoint that requests of this gateway may
// use.
func (c *Controller) healthCheckDue(e *endpoint) bool {
	if e.State != Ready || c.now < e.lastCheckedAt+healthCheckInterval {
		return false
	}
	return c.isCache(e) || c.isParent(e) && e.Zone == c.hubOf(c.settings.Zone)
}

// healthCheckEnded handles the result of a health check. A success does not end an ejection: endpoints
// answer health checks separately from requests, so one that leaves requests unanswered may still pass them.
func (c *Controller) healthCheckEnded(ev HealthCheckResult) {
	e := c.endpoint(ev.Endpoint)
	if e == nil {
		return
	}
	switch ev.Outcome {
	case OK:
		c.recordReport(e, ev.Load)
		c.dispatch()
	case ConnectFailed, TimedOut, ConnectionLost:
		e.eject(c.now)
	}
}
