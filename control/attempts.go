package control

// Attempts: sending them, handling their results, and detecting timeouts.
//
// Every attempt is sent through send, which enforces the rules of the settings. The timeout of an attempt
// follows RFC 6298: the mean lateness plus a multiple of its mean deviation, with a backoff while fills time
// out. A result updates the state of the endpoints, the link and the copies; then the request is finished or
// retried (retry.go).

import (
	"slices"
	"time"
)

const (
	minTimeoutSlack   = 100 * time.Millisecond // minimum time after the expected response in a timeout
	timeoutDeviations = 4.0                    // mean deviations of lateness in a timeout: K of RFC 6298
	fullLinkSlowdown  = 1.5                    // mean duration of a fill on a full link, in transfer times
	fillBackoffDecay  = 8                      // a completed fill reduces the backoff by one part in this many
	maxLossRetries    = 4                      // from this many attempts of a request on, none is presumed lost

	// Connections to an endpoint that are lost within this interval have one cause and count as one failure.
	connectionLossWindow = tickInterval
)

// request is a client's request that is not finished yet.
type request struct {
	Request
	class         *Class
	arrivedAt     time.Duration
	deadline      time.Duration // the final response is given before this time
	sendBy        time.Duration // a fill that starts later misses the latency objective
	dedupWindow   time.Duration // how long after a first attempt the caches drop repeats; 0: never
	sendDeadline  time.Duration // no attempt starts later, as an earlier try of the client may have run
	transferTime  time.Duration // expected transfer time of the response at a client's pace
	attempts      []*attempt    // every attempt so far, by number
	inFlight      int           // attempts without a result
	answered      bool          // the final response was given
	streaming     bool          // the response has begun: no other attempt may serve it
	queued        bool          // it waits in the fair queue
	missConfirmed bool          // its cache has reported a miss
	notBefore     time.Duration // no attempt starts earlier
	retryAt       time.Duration // when it is retried after a local failure; 0: no such retry is pending
	localFailures int           // attempts that ended in a local failure
}

// latencyObjective returns the time within which a response earns the full priority weight.
func (r *request) latencyObjective() time.Duration {
	return r.class.LatencyObjective + time.Duration(r.class.ObjectiveStretch*float64(r.transferTime))
}

// openAttempt returns the attempt with this number if it has no result yet, and nil otherwise.
func (r *request) openAttempt(number int) *attempt {
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return nil
	}
	return r.attempts[number]
}

// failedAt reports whether the request has failed at an endpoint. A single lost connection does not count,
// as the endpoint may be up and still hold the object.
func (r *request) failedAt(e *endpoint) bool {
	lostConnections := 0
	for _, a := range r.attempts {
		if a.target != e {
			continue
		}
		if a.outcome == ConnectionLost {
			lostConnections++
			if lostConnections > 1 {
				return true
			}
			continue
		}
		unresponsive := a.suspected && e.lastResponseAt < a.sentAt
		failed := unresponsive || a.ended && a.outcome != Canceled
		if failed && a.outcome != Miss && a.outcome != LocalFailure {
			return true
		}
	}
	return false
}

// attempt is one try of a request at an endpoint.
type attempt struct {
	request        *request
	target, source *endpoint // the endpoint it was sent to, and the source of a fill; equal: no fill
	sentAt         time.Duration
	lastCheckedAt  time.Duration   // when its timer last fired with both endpoints responsive
	holdsSlot      bool            // it occupies a slot of the fill window
	sourceCost     float64         // charged to the source's slow-start budget, refunded on a hit
	budgetCharges  [2]budgetCharge // to the slow-start budgets of target and source
	ended          bool            // its result was received
	outcome        Outcome
	mayHaveRun     bool // its result does not prove that the request did not run
	suspected      bool // it has timed out
}

// mayExecute reports whether the attempt has run, may have run or may still run.
func (a *attempt) mayExecute() bool { return a.mayHaveRun || !a.ended }

// ---- Sending ----

// attemptMode is the use that an attempt makes of the location's link for fills.
type attemptMode uint8

const (
	modeDirect attemptMode = iota // the target is expected to answer without a fill
	modeFill                      // the response passes through the link: it takes a slot of the fill window
	modeLookup                    // target and source answer only from their caches
)

// send starts an attempt if the rules allow it, and reports whether it did.
func (c *Controller) send(r *request, target, source *endpoint, mode attemptMode) bool {
	if !c.maySend(r, target, source) {
		return false
	}
	a := &attempt{request: r, target: target, source: source, sentAt: c.now, holdsSlot: mode == modeFill}
	a.chargeBudgets(c.meanTransfer[r.Class])
	if a.holdsSlot {
		c.fillsInFlight = append(c.fillsInFlight, a)
		c.window.inFlight++
	}
	action := c.attemptAction(r, target, source, mode)
	number := len(r.attempts)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	target.inFlight = append(target.inFlight, a)
	c.emit(action)
	c.setTimer(c.now+c.attemptTimeout(r, a), r.ID, uint64(number))
	return true
}

// maySend reports whether a further attempt at these endpoints is allowed. It is not allowed after the final
// response or beyond the maximum number of attempts, for a request that may have run and must not run again,
// or at endpoints that accept no requests.
func (c *Controller) maySend(r *request, target, source *endpoint) bool {
	if r.answered || r.streaming || r.attemptsUsed() >= c.settings.MaxAttempts || c.now >= r.deadline {
		return false
	}
	return c.mayAttempt(r) && c.withinDedupScope(r, target) && c.permitted(r, target, source)
}

// attemptAction returns the action that starts the next attempt of a request.
func (c *Controller) attemptAction(r *request, target, source *endpoint, mode attemptMode) Attempt {
	if c.isParent(target) { // a parent fills from the origin
		source = c.readyOrigin()
		if source == nil {
			source = target
		}
	}
	fills := source != target
	return Attempt{
		ID:           r.ID,
		To:           target.ID,
		Source:       source.ID,
		CacheRank:    c.cacheRank(r),
		Timeout:      r.deadline - c.now,
		MaxAge:       c.maxCopyAge(r),
		CachedOnly:   fills && mode == modeLookup,
		SendDeadline: c.sendDeadline(r),
		JoinFill:     c.settings.CanJoinFills && fills && !r.mayHaveExecuted(),
	}
}

// cacheRank returns the rank at which the response is to be cached: 2 for an object that was requested
// before, 1 for others, and 0 for a write, which is never cached.
func (c *Controller) cacheRank(r *request) uint8 {
	switch {
	case r.Write:
		return 0
	case c.objectEntry(r.copyKey()).requestCount > 1:
		return 2
	default:
		return 1
	}
}

// ---- Results ----

// attemptEnded handles the result of an attempt, and finishes or retries its request.
func (c *Controller) attemptEnded(ev AttemptResult) {
	c.recordResultReport(ev)
	r := c.requests[ev.ID]
	a := r.openAttempt(ev.Attempt)
	if a == nil {
		return
	}
	a.end(ev.Outcome)
	filled := ev.Outcome == OK && c.usedLink(a, ev.Note)
	c.observe(r, a, ev, filled)
	if a.holdsSlot {
		c.fillEnded(r, a, ev, filled)
	}
	switch {
	case ev.Outcome == OK || ev.RequestClosed || r.answered && r.inFlight == 0:
		c.finish(r)
	case !r.answered && r.inFlight == 0:
		c.retry(r, a)
	}
	c.dispatch()
}

// recordResultReport stores the load report that came with a result. The report of a cache also contains the
// utilization of the location's link.
func (c *Controller) recordResultReport(ev AttemptResult) {
	e := c.endpoint(ev.Endpoint)
	if e == nil || !c.recordReport(e, ev.Load) {
		return
	}
	if c.isCache(e) && ev.Load.LinkUtilization >= 0 {
		c.link.reported = true
		c.link.utilization = ev.Load.LinkUtilization
	}
}

// end records the outcome of an attempt, which is no longer in flight.
func (a *attempt) end(outcome Outcome) {
	a.ended = true
	a.outcome = outcome
	a.mayHaveRun = !outcome.provesNotRun()
	a.request.inFlight--
	a.target.inFlight = slices.DeleteFunc(a.target.inFlight, func(other *attempt) bool { return other == a })
}

// usedLink reports whether a response with this note passed through the location's link for fills.
func (c *Controller) usedLink(a *attempt, note Note) bool {
	fromCache := note == Hit || note == StaleCopy
	bypassedCaches := a.holdsSlot && !c.isCache(a.target)
	return !fromCache && a.source != a.target || bypassedCaches
}

// observe updates the statistics of the endpoints, the link and the object from a result.
func (c *Controller) observe(r *request, a *attempt, ev AttemptResult, filled bool) {
	o := c.objectEntry(r.copyKey())
	switch ev.Outcome {
	case LocalFailure:
		r.recordLocalFailure(a)
	case OK:
		c.observeResponse(r, a, o, ev, filled)
	case Miss:
		c.observeMiss(r, a, o)
	case ServerError, Overloaded:
		c.observeError(a, ev)
	case ConnectionLost:
		c.observeLostConnection(a.target)
	case ConnectFailed:
		a.target.eject(c.now)
	}
}

// observeResponse updates the statistics from a successful response.
func (c *Controller) observeResponse(r *request, a *attempt, o *object, ev AttemptResult, filled bool) {
	transferTime := r.answerTransferTime(ev)
	o.observeTransferTime(transferTime)
	a.target.recordSuccess(c.now)
	a.target.recordAnswer(a)
	if ev.Note == FilledByOrigin {
		c.observeOrigin(ev.Latency > r.latencyObjective())
	}
	if filled {
		c.observeFillTime(r, ev)
	}
	if !filled && ev.Note != Joined && c.meanTransfer[r.Class] > 0 {
		c.observeLatency(a.target, ev.Latency.Seconds()/r.transferTime.Seconds())
	}
	if r.SizeKB <= 0 && ev.Note == Hit {
		c.meanTransfer[r.Class] += meanGain * (transferTime.Seconds() - c.meanTransfer[r.Class])
	}
	c.lateness[r.Class].observe(max(0, ev.Latency-r.transferTime).Seconds())
	o.holder = a.target.ID
	o.heldAt = a.sentAt
	if filled {
		c.creditFill(r, a, o, ev)
	} else if a.sourceCost > 0 { // a hit caused no work at the source
		a.source.slowStartBudget += a.sourceCost
	}
}

// observeFillTime records how long a completed fill waited for its source and took on the link.
func (c *Controller) observeFillTime(r *request, ev AttemptResult) {
	c.meanSourceWait += meanGain * (ev.FirstByte.Seconds() - c.meanSourceWait)
	c.link.fillTimes.observe(r.transferTime.Seconds(), ev.Latency.Seconds())
	c.fillBackoff -= c.fillBackoff / fillBackoffDecay
	c.fillLateness[r.Class].observe(max(0, ev.Latency-r.transferTime).Seconds())
}

// creditFill records the new copy, charges the fill to its class and counts it as a success of its source.
func (c *Controller) creditFill(r *request, a *attempt, o *object, ev AttemptResult) {
	o.copiedAt = c.now - ev.Latency
	size := max(r.SizeKB, r.transferTime.Seconds()*c.settings.ClientKBps, 1)
	// Weights are priorities per transfer time, so a class of small requests earns more with each byte.
	c.queue.charge(r.Class, size*c.meanTransfer[r.Class])
	a.source.recordSuccess(c.now)
	a.source.lastAnsweredSendAt = max(a.source.lastAnsweredSendAt, a.sentAt)
}

// observeMiss records that a cache lacks the object. The fill must fit into the remaining time of the
// request.
func (c *Controller) observeMiss(r *request, a *attempt, o *object) {
	a.target.lastResponseAt = c.now
	a.target.consecutiveErrors = 0
	a.target.recordAnswer(a)
	o.heldAt = -1
	r.missConfirmed = true
	wait := c.fillLateness[r.Class].upperBound(fillWaitDeviations)
	r.sendBy = min(r.sendBy, r.arrivedAt+r.latencyObjective()-r.transferTime-wait)
}

// observeError attributes an error to the target or to the source behind it.
func (c *Controller) observeError(a *attempt, ev AttemptResult) {
	a.target.lastResponseAt = c.now
	sourceFailed := ev.Note == OriginFailed || ev.Note == SourceOverloaded
	if sourceFailed {
		c.observeOrigin(true)
	}
	// Without detailed notes, overload is attributed to the source: caches are sent no more than they have
	// capacity for.
	unexplained := !c.settings.ResultsDetailed && ev.Outcome == Overloaded
	failed := a.target
	if unexplained || sourceFailed || ev.Note == SourceLost {
		failed = a.source
	}
	if ev.Note != NoSpace {
		failed.recordFailure(c.now)
	}
}

// observeLostConnection counts one failure for a lost connection, whatever the number of attempts that were
// on it. The endpoint is not ejected: if it is down, it refuses the next connection.
func (c *Controller) observeLostConnection(e *endpoint) {
	if c.now >= e.lastConnectionLossAt+connectionLossWindow {
		e.lastConnectionLossAt = c.now
		e.recordFailure(c.now)
	}
}

// ---- Timeouts ----

// attemptTimeout returns the time within which an attempt normally has its response. Where hedging is
// allowed, the size is known and the cache has capacity, the timeout is short enough to ask again within the
// latency objective, as the response is more likely lost than slow.
func (c *Controller) attemptTimeout(r *request, a *attempt) time.Duration {
	lateness := c.lateness[r.Class].upperBound(timeoutDeviations)
	if a.source != a.target {
		lateness = max(lateness, c.fillLatenessBound(r))
	}
	slack := lateness + minTimeoutSlack
	if c.settings.CanHedge && r.SizeKB > 0 && c.reportsCapacity(a.target) {
		timeToHedge := r.latencyObjective() - 2*r.transferTime - minTimeoutSlack
		slack = min(slack, max(minTimeoutSlack, timeToHedge))
	}
	return r.transferTime + slack
}

// fillLatenessBound returns how much longer than its transfer time a fill may take. The bound is that of
// fills on a full link, because a gateway with little traffic receives no other responses from the endpoint
// in the meantime.
func (c *Controller) fillLatenessBound(r *request) time.Duration {
	slowdown := time.Duration((fullLinkSlowdown - 1) * float64(r.transferTime))
	learned := c.fillLateness[r.Class].upperBound(timeoutDeviations) + slowdown
	longestBackoff := lostFillObjectives*r.latencyObjective() - r.transferTime - minTimeoutSlack
	return max(learned, min(c.fillBackoff, longestBackoff))
}

// attemptTimedOut handles an attempt whose response is overdue. An endpoint that has not responded since the
// attempt was sent is charged with one failure and ejected only after several: one response may be lost
// while the request runs. If both endpoints are responsive, another copy of the request would only add load,
// so the attempt stays in flight, unless it is presumed lost or may be hedged.
func (c *Controller) attemptTimedOut(r *request, number int) {
	a := r.openAttempt(number)
	if a == nil || a.suspected {
		return
	}
	since := max(a.sentAt, a.lastCheckedAt) // the endpoint must have responded since the last check
	a.lastCheckedAt = c.now
	switch {
	case a.target.lastResponseAt < since:
		a.target.recordFailure(c.now)
		c.releaseSlot(a)
	case since == a.sentAt && c.sourceUnresponsive(a):
		a.source.recordFailure(c.now)
	case !c.presumeLost(r, a) && !c.mayHedge(r, number):
		// The endpoint may have stopped responding after its last response, so the attempt is checked again.
		c.setTimer(c.now+c.attemptTimeout(r, a), r.ID, uint64(number))
		return
	}
	a.suspected = true
	c.backOffFills(r, a)
	c.replaceAttempt(r, number)
}

// sourceUnresponsive reports whether the source of a fill, other than the origin, has not responded since the
// attempt was sent.
func (c *Controller) sourceUnresponsive(a *attempt) bool {
	return a.source != a.target && a.source.lastResponseAt < a.sentAt && !c.isOrigin(a.source)
}

// mayHedge reports whether a slow attempt at a responsive endpoint may be hedged with a second one: once,
// and only while that can meet the latency objective. The cache should hold the object by then.
func (c *Controller) mayHedge(r *request, number int) bool {
	return c.settings.CanHedge && number == 0 && !c.missesObjective(r)
}

// backOffFills lengthens the timeout of fills after one has timed out. Fills that timed out are in no mean,
// so the timer backs off instead (RFC 6298, 5.5).
func (c *Controller) backOffFills(r *request, a *attempt) {
	if a.source != a.target {
		c.fillBackoff = max(c.fillBackoff, 2*(c.now-a.sentAt-r.transferTime))
	}
}

// replaceAttempt starts another attempt in parallel to one that has timed out, or cancels the timed-out one,
// whose result then triggers a retry.
func (c *Controller) replaceAttempt(r *request, number int) {
	if c.settings.CanHedge && c.mayAttempt(r) {
		c.trySend(r)
	} else if c.settings.CanCancel {
		c.emit(Cancel{ID: r.ID, Attempt: number})
	}
}

// presumeLost reports whether a timed-out attempt at a responsive endpoint is presumed lost and may be
// retried in time, because the endpoint has answered an attempt that was sent later. It also updates the
// loss rate. A fill may just be slower than others, so it is presumed lost only at an endpoint with a high
// loss rate.
func (c *Controller) presumeLost(r *request, a *attempt) bool {
	if !c.settings.CanCancel || a.target.lastAnsweredSendAt <= a.sentAt {
		return false
	}
	if a.holdsSlot && (a.target.lossRate < highLossRate || a.source.lastAnsweredSendAt <= a.sentAt) {
		return false
	}
	if !a.holdsSlot {
		a.target.lossRate += lossRateGain * (1 - a.target.lossRate)
	}
	return r.class.Idempotency == Idempotent && r.attemptsUsed() < maxLossRetries && !c.missesObjective(r)
}

// missesObjective reports whether even a hit sent now would miss the request's latency objective.
func (c *Controller) missesObjective(r *request) bool {
	return c.now+r.transferTime > r.arrivedAt+r.latencyObjective()
}
