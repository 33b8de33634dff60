package control

// Retries: which requests may be retried, until when, and after which delay.
//
// A request that may have run is repeated only if it is idempotent, or if it has an idempotency key by which
// the caches drop its repeats, within their dedup window and scope.
//
// A local failure is a failed system call on the gateway's own host, such as a connect that fails for lack
// of file descriptors or ports. Nothing was sent, so it uses none of the allowed attempts of the request,
// and it carries no information about the endpoint: no failure is counted and no budget is spent. The
// request is retried after an exponential backoff with jitter, because such a shortage ends by itself and
// retrying every request at once would prolong it.

import (
	"slices"
	"time"
)

const (
	initialLocalBackoff = 10 * time.Millisecond  // a connect within a location takes no longer than this
	maxLocalBackoff     = 500 * time.Millisecond // several of these fit into the time of a client
	maxLocalFailures    = 10                     // per request; bounds its list of attempts

	retryBackoffStep = tickInterval // delay added with each further retry after an error
)

// jitterStream selects the random stream for retry jitter, apart from other uses of the same seed.
const jitterStream = 0x72657472

// provesNotRun reports whether an outcome proves that the request did not run.
func (o Outcome) provesNotRun() bool {
	switch o {
	case Miss, Overloaded, ConnectFailed, NotSent, LocalFailure:
		return true
	default:
		return false
	}
}

// attemptsUsed returns the number of attempts that count against the allowed maximum.
func (r *request) attemptsUsed() int { return len(r.attempts) - r.localFailures }

// mayHaveExecuted reports whether any attempt of the request has run, may have run or may still run.
func (r *request) mayHaveExecuted() bool {
	return slices.ContainsFunc(r.attempts, (*attempt).mayExecute)
}

// retry continues a request whose last attempt has failed.
func (c *Controller) retry(r *request, last *attempt) {
	if last.outcome == LocalFailure {
		c.retryAfterBackoff(r)
		return
	}
	if r.attemptsUsed() >= c.settings.MaxAttempts || c.now >= r.deadline-r.transferTime || !c.mayAttempt(r) {
		c.rejectOrFail(r)
		return
	}
	if last.outcome == Overloaded || last.outcome == ServerError {
		r.notBefore = c.now + retryBackoffStep*time.Duration(r.attemptsUsed()-1)
	}
	c.sendOrQueue(r)
}

// retryAfterBackoff schedules the retry of a request after a local failure, or ends the request at once if
// its deadline is before the retry.
func (c *Controller) retryAfterBackoff(r *request) {
	retryAt := c.now + c.localBackoff(r.localFailures)
	outOfTime := retryAt >= r.deadline-r.transferTime || retryAt >= c.sendDeadline(r)
	if r.localFailures >= maxLocalFailures || outOfTime {
		c.rejectOrFail(r)
		return
	}
	r.retryAt = retryAt
	c.setTimer(retryAt, r.ID, timerRetry)
}

// resumeAfterBackoff retries a request after its backoff.
func (c *Controller) resumeAfterBackoff(r *request) {
	r.retryAt = 0
	c.sendOrQueue(r)
}

// localBackoff returns the delay after the given number of local failures of a request. It is chosen at
// random between half of a span and the full span, which doubles with each failure, so that requests that
// failed together are not all retried together.
func (c *Controller) localBackoff(failures int) time.Duration {
	span := min(initialLocalBackoff<<max(0, failures-1), maxLocalBackoff)
	return span/2 + time.Duration(c.random.Int64N(int64(span/2)+1))
}

// withoutLocalFailure removes the cache at which the request's last attempt failed locally, if there is
// another one: that one may have an open connection, or be reachable through other ports. A request with an
// idempotency key stays with its caches.
func (r *request) withoutLocalFailure(caches []*endpoint) []*endpoint {
	if len(caches) < 2 || len(r.attempts) == 0 || r.class.Idempotency == IdempotentByKey {
		return caches
	}
	last := r.attempts[len(r.attempts)-1]
	if last.outcome != LocalFailure {
		return caches
	}
	return slices.DeleteFunc(caches, func(e *endpoint) bool { return e == last.target })
}

// recordLocalFailure counts an attempt of which nothing was sent, and refunds its charges to slow-start
// budgets.
func (r *request) recordLocalFailure(a *attempt) {
	r.localFailures++
	for _, charge := range a.budgetCharges {
		charge.refund()
	}
}

// mayAttempt reports whether a further attempt is allowed now: none in parallel to one in flight unless
// hedging is allowed, and none after the send deadline.
func (c *Controller) mayAttempt(r *request) bool {
	if r.inFlight > 0 && !c.settings.CanHedge {
		return false
	}
	return c.now < c.sendDeadline(r)
}

// sendDeadline returns the time until which an attempt of a request may be sent. The dedup window of an
// idempotency key begins with the first attempt that may have run.
func (c *Controller) sendDeadline(r *request) time.Duration {
	if r.class.Idempotency == Idempotent {
		return r.sendDeadline
	}
	first := slices.IndexFunc(r.attempts, (*attempt).mayExecute)
	if first < 0 {
		return r.sendDeadline
	}
	return min(r.sendDeadline, r.attempts[first].sentAt+r.dedupWindow)
}

// withinDedupScope reports whether a request may be sent to a cache. Once it may have run, a request with an
// idempotency key must stay with the caches that drop its repeats.
func (c *Controller) withinDedupScope(r *request, target *endpoint) bool {
	if r.class.Idempotency != IdempotentByKey || r.class.DedupScope == DedupScopeAll {
		return true
	}
	for _, a := range r.attempts {
		if !a.mayExecute() {
			continue
		}
		otherZone := a.target.Zone != target.Zone
		otherCell := r.class.DedupScope == DedupScopeCell && a.target.Cell != target.Cell
		if otherZone || otherCell {
			return false
		}
	}
	return true
}

// mayReject reports whether a request may be rejected with the promise that a retry by the client is safe.
func (c *Controller) mayReject(r *request) bool {
	if r.class.Idempotency == Idempotent || !r.mayHaveExecuted() {
		return true
	}
	// Every cache drops the client's repeat of a request that has run.
	repeatsDropped := r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupScopeAll
	return repeatsDropped && c.now < c.sendDeadline(r)
}
