package core

import (
	"cmp"
	"maps"
	"slices"

	"turnfork.dev/turnfork/control"
)

// The table of open requests and their attempts. Every stage reads and writes it, on the core's goroutine only.

// frontendTag identifies a request by its frontend and the tag that the frontend chose.
type frontendTag struct {
	frontend Frontend
	tag      uint64
}

// request is an entry of the table: the request as posted by the frontend, and its state.
type request struct {
	Request
	id              control.RequestID
	isWrite         bool // it runs at the origin and is not cached
	nonIdempotent   bool // it must not run twice; also set for keyed requests
	idempotentByKey bool // within the deduplication window, endpoints ignore a retry with the same idempotency key
	answered        bool // the final answer was given, or the client has disconnected and gets none
	rejected        bool // the final answer was that a retry is harmless
	sampled         bool // it is traced at level info
	attempts        []*attempt
	openAttempts    int // attempts without a result

	// unconfirmedCancel describes the attempt that ended last. Until it is confirmed, a further attempt to any endpoint is
	// deferred.
	unconfirmedCancel unconfirmedCancel
}

// attempt is one attempt of a request, numbered from 0.
type attempt struct {
	request   *request
	key       AttemptKey
	endpoint  uint32
	address   string          // of the endpoint at the start; "": unknown
	startedAt float64         // when the controller decided on it, in ms
	deferred  *AttemptRequest // non-nil until the previous attempt's cancellation is confirmed
	canceling bool            // the upstream was asked to cancel it
	ended     bool            // its result is recorded
	neverSent bool            // it ended, and it is certain that nothing of it reached an endpoint

	// needsBarrier is set when the attempt ended without confirmation from its endpoint, and cleared once that endpoint has
	// answered a barrier ping or acknowledged the end. Until then no further attempt is sent to that endpoint, or to another one
	// at the same address.
	needsBarrier bool

	deadline    float64 // ms; the endpoint was told that nobody waits for the attempt after it
	mayStillRun bool    // it ended without confirmation from its endpoint, which may still process it
}

// authorizationExpired reports whether the request may no longer be forwarded.
func (r *request) authorizationExpired(now float64) bool {
	return r.AuthorizedUntil > 0 && now >= r.AuthorizedUntil
}

// mayHaveRun reports whether an attempt of the request may have reached an endpoint.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverSent && a.deferred == nil })
}

// lastAttempt returns the attempt that was started last. There must be one.
func (r *request) lastAttempt() *attempt { return r.attempts[len(r.attempts)-1] }

// openRequests returns the requests in the order in which they were received, so that events are reported to the
// controller in a deterministic order.
func (c *Core) openRequests() []*request {
	return slices.SortedFunc(maps.Values(c.requests), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

// markAnswered marks a request as needing no answer any more. The entry is kept until its attempts have ended.
func (c *Core) markAnswered(r *request) {
	r.answered = true
	r.Canceled.Store(true)
	r.Body = nil
	delete(c.byTag, frontendTag{r.Frontend, r.RequestTag})
	c.removeIfDone(r)
}

// removeIfDone removes a request from the table once it is answered, its attempts have ended, and the last one's grace
// period is over.
func (c *Core) removeIfDone(r *request) {
	if !r.answered || r.openAttempts > 0 || c.requests[r.id] != r {
		return
	}
	if r.unconfirmedCancel.graceUntil > c.now() {
		return // handleGraceExpired calls removeIfDone again
	}
	delete(c.requests, r.id)
	delete(c.byTxn, r.Txn)
	c.retire(r)
}
