package control

// Admission: whether a request is sent at once, queued or rejected.
//
// A request that can still be answered in time is sent as soon as the link of its cache and the fill window
// allow it. Until then it waits in the fair queue. It is rejected as soon as its latency objective can no
// longer be met, or when more is queued than the caches can transfer in time. A rejection promises that a
// retry is safe; where that does not hold, the request fails instead.

import (
	"math"
	"time"
)

const (
	retryRemainingShare = 0.9 // a request with less of the longest remaining time counts as a retry
	transferHeadroom    = 1.9 // transfer times that must be left before the latency objective to send a request
	maxQueueShare       = 0.3 // the queue may keep the caches busy for this share of the latency objective
	fillWaitDeviations  = 1.0 // mean deviations of fill lateness reserved after a confirmed miss

	answerBatches = 3 // the final response is given this many batch intervals before the client's deadline
	dedupBatches  = 2 // no repeat is sent in this many last batch intervals of the dedup window
)

// admitRequest handles a new client request: it sends, queues or rejects it.
func (c *Controller) admitRequest(ev Request) {
	if c.requests[ev.ID] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(c.settings.Classes) {
		c.emit(Reject{ID: ev.ID})
		return
	}
	r := &request{Request: ev, class: &c.settings.Classes[ev.Class], arrivedAt: c.now}
	r.Write = ev.Write || r.class.Write
	copies := c.objectEntry(r.copyKey())
	transferSeconds := c.expectedTransfer(r, copies)
	r.transferTime = time.Duration(transferSeconds * float64(time.Second))
	c.setDeadlines(r)
	c.limitRepeats(r)
	c.requests[ev.ID] = r
	c.accrueHealthCheckBudget()
	c.observeDemand(r, transferSeconds)
	copies.requestCount++
	c.setTimer(r.deadline, r.ID, timerDeadline)
	c.sendOrQueue(r)
}

// expectedTransfer returns the transfer time of the response at a client's pace, in seconds: computed from
// its size if that is known, else the shortest transfer seen for this object, else the mean of its class.
func (c *Controller) expectedTransfer(r *request, copies *object) float64 {
	mean := c.meanTransfer[r.Class]
	switch {
	case r.SizeKB > 0 && c.settings.ClientKBps > 0:
		bySize := r.SizeKB / c.settings.ClientKBps
		c.meanTransfer[r.Class] += meanGain * (bySize - mean)
		return bySize
	case copies.transferTime > 0:
		return copies.transferTime.Seconds()
	default:
		return mean
	}
}

// setDeadlines sets the time by which a request must be answered, and the time after which sending it is no
// longer useful.
//
// A client's retry has already missed its objective: it is sent if that is possible at once, but is not
// queued ahead of requests that are in time. A request counts as a retry if it is marked as one, or if it
// has clearly less time left than the longest of its class; network delays make first tries differ a little.
// Clients whose own timeouts differ by more than that are mistaken for retries.
func (c *Controller) setDeadlines(r *request) {
	r.deadline = c.now + r.Remaining - answerBatches*c.settings.BatchInterval
	headroom := time.Duration(transferHeadroom * float64(r.transferTime))
	r.sendBy = min(r.deadline, c.now+r.latencyObjective()) - headroom
	c.longestRemaining[r.Class] = max(c.longestRemaining[r.Class], r.Remaining)
	shortOfTime := float64(r.Remaining) < retryRemainingShare*float64(c.longestRemaining[r.Class])
	if r.Retry || shortOfTime {
		r.sendBy = c.now
	}
}

// limitRepeats sets the time until which a request with an idempotency key may be sent. An earlier try of
// the client may have run, through any gateway. It began at the earliest one class deadline before the
// deadline of this try.
func (c *Controller) limitRepeats(r *request) {
	r.sendDeadline = noDeadline
	if r.class.Idempotency != IdempotentByKey {
		return
	}
	r.dedupWindow = r.class.DedupWindow - dedupBatches*c.settings.BatchInterval
	shortOfTime := float64(r.Remaining) < retryRemainingShare*float64(r.class.Deadline)
	if r.Retry || !c.settings.ClientsMarkRetries && shortOfTime {
		r.sendDeadline = c.now + r.Remaining - r.class.Deadline + r.dedupWindow
		r.sendBy = min(r.sendBy, r.sendDeadline)
	}
}

// observeDemand adds a request to the demand for its object, which decays exponentially.
func (c *Controller) observeDemand(r *request, transferSeconds float64) {
	o := c.objectEntry(r.demandKey())
	o.demand = o.demand*math.Exp(-(c.now-o.demandAt).Seconds()/demandDecayTime.Seconds()) + transferSeconds
	o.demandAt = c.now
}

// sendOrQueue sends a request if it may be sent now, ends it if too little time is left to answer it, and
// queues it otherwise.
func (c *Controller) sendOrQueue(r *request) {
	if !c.mayAttempt(r) || c.missesDeadline(r) {
		c.rejectOrFail(r)
		return
	}
	if c.now >= r.notBefore && c.trySend(r) {
		return
	}
	if r.sendBy <= c.now {
		c.rejectOrFail(r)
		return
	}
	if !r.queued {
		c.queue.push(r)
		c.setTimer(r.sendBy, r.ID, timerQueue)
		c.shedLoad()
	}
}

// missesDeadline reports whether too little time is left to transfer even a hit, for a request of known
// size.
func (c *Controller) missesDeadline(r *request) bool {
	sizeKnown := r.SizeKB > 0 && c.settings.ClientKBps > 0
	return sizeKnown && !r.ClientHasCopy && c.now+r.transferTime > r.deadline
}

// trySend sends a request if its cache's link and the fill window allow, and reports whether it did.
func (c *Controller) trySend(r *request) bool {
	if r.Write && c.settings.CanBypassCaches {
		// A write is not a fill: it needs neither a slot of the fill window nor a cache.
		if origin := c.readyOrigin(); origin != nil {
			return c.send(r, origin, origin, modeDirect)
		}
	}
	cache := c.selectCache(r)
	if cache == nil {
		return c.sendDirect(r)
	}
	if !c.hasLinkCapacity(cache) {
		return false
	}
	cached := c.knownToHold(r, cache)
	source := c.selectFillSource(r, cache)
	if cached {
		return c.send(r, cache, source, modeDirect)
	}
	if !c.fillMayStart() {
		return c.sendLookup(r, cache, source)
	}
	if source == cache {
		return c.send(r, cache, cache, modeDirect)
	}
	return c.send(r, cache, source, modeFill)
}

// sendLookup asks the cache of a request whether it holds the object while no fill may start, so that hits
// never wait for a slot. If only late fills close the window, the cache may ask its parent for a copy as
// well, as that causes no request to the origin.
func (c *Controller) sendLookup(r *request, cache, source *endpoint) bool {
	if c.isOrigin(source) || !c.window.admits(c.linkUtilization()) {
		source = cache
	}
	return !r.missConfirmed && c.send(r, cache, source, modeLookup)
}

// sendDirect sends a request past the caches, if none of them can take it.
func (c *Controller) sendDirect(r *request) bool {
	if !c.settings.CanBypassCaches || !c.fillMayStart() || r.inFlight > 0 {
		return false
	}
	source := c.selectFillSource(r, nil)
	return source != nil && c.send(r, source, source, modeFill)
}

// shedLoad rejects the least valuable queued requests at once while more is queued than the caches can
// transfer in time. Otherwise they would wait first and be rejected later, together with many small
// requests.
func (c *Controller) shedLoad() {
	if !c.settings.WeightsKnown {
		return
	}
	capacity := 0.0 // concurrent transfers of the caches counted so far; counting stops when they suffice
	summed := 0
	for {
		backlog, leastValuable := c.queue.backlog(c.meanTransfer)
		if leastValuable == nil {
			return
		}
		objective := leastValuable.class.LatencyObjective.Seconds()
		backlogFits := func() bool { return capacity > 0 && backlog <= capacity*objective*maxQueueShare }
		for ; summed < len(c.endpoints) && !backlogFits(); summed++ {
			if e := c.endpoints[summed]; c.isCache(e) && e.available(c.now) {
				capacity += e.linkQuota
			}
		}
		if capacity == 0 || backlogFits() {
			return
		}
		c.rejectOrFail(leastValuable)
	}
}

// rejectOrFail ends a request at once: it is rejected if a retry by the client is safe, and fails otherwise.
func (c *Controller) rejectOrFail(r *request) {
	if r.answered {
		return
	}
	if c.mayReject(r) {
		c.emit(Reject{ID: r.ID, RetryAfter: c.retryAfter(r)})
	} else {
		c.emit(Fail{ID: r.ID})
	}
	c.finish(r)
}

// retryAfter returns the Retry-After delay for a rejected client: the time that its request has waited,
// within bounds.
func (c *Controller) retryAfter(r *request) time.Duration {
	if !c.settings.CanRetryAfter {
		return 0
	}
	return min(c.settings.MaxRetryAfter, max(tickInterval, c.now-r.arrivedAt))
}

// finish marks a request as answered and cancels its attempts in flight.
func (c *Controller) finish(r *request) {
	c.queue.remove(r)
	r.answered = true
	for number, a := range r.attempts {
		if !a.ended && c.settings.CanCancel {
			c.emit(Cancel{ID: r.ID, Attempt: number})
		}
	}
	if r.inFlight == 0 {
		delete(c.requests, r.ID)
	}
}
