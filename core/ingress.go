package core

import (
	"sync/atomic"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// Ingress, the first stage: Handle calls receive for each Request that a frontend posts, and cancelRequest when its client
// has disconnected. A request that passes the checks is added to the table and passed to the controller, which queues it,
// forwards it or sheds it; any other is answered here.

// The RetryAfter, in ms, of requests that are rejected here.
const (
	overloadedRetryAfterMs = 50.0
	duplicateRetryAfterMs  = 100.0 // the open request of the same ID should have ended by then
	shutdownRetryAfterMs   = 100.0
)

// receive adds a new request to the table, or answers it at once.
func (c *Core) receive(req Request) {
	c.stats.Received++
	if req.Canceled == nil {
		req.Canceled = new(atomic.Bool)
	}
	if req.Canceled.Load() {
		c.endCanceledRequest(req)
		return
	}
	tag := frontendTag{req.Frontend, req.RequestTag}
	if c.byTag[tag] != nil {
		// A bug of the frontend; the first request is not affected.
		c.opt.Log.Error().Uint64("request_tag", req.RequestTag).Msg("duplicate request tag")
		return
	}
	// Endpoints identify requests by ID: a second one with the same ID would be a concurrent attempt of the first, and
	// canceling either may cancel both.
	if other := c.byTxn[req.Txn]; other != nil {
		c.respondDuplicate(req, other)
		return
	}
	if id := c.retired.get(hashID(req.Txn), c.now()); id != nil {
		c.answerDuplicate(req, id.mayHaveRun)
		return
	}
	if answer, ok := c.validate(req); !ok {
		c.answerUnaccepted(req, answer)
		return
	}
	if !c.claimSharedID(req) {
		return
	}
	r := c.register(req, tag)
	c.traceReceived(r)
	c.admit(r)
}

// endCanceledRequest ends a request whose client disconnected while the request was in the event queue.
func (c *Core) endCanceledRequest(req Request) {
	c.stats.ClientGone++
	if req.ReportAfterCancel {
		req.Frontend.Answer(req.RequestTag, Answer{Verdict: Failed, Reason: ClientGone})
	}
}

// validate reports whether a request can be accepted; if not, it returns the answer to it.
func (c *Core) validate(req Request) (Answer, bool) {
	if c.shuttingDown {
		return Answer{Verdict: Rejected, Reason: ShuttingDown, RetryAfter: shutdownRetryAfterMs}, false
	}
	class, ok := c.classes[req.Class]
	if !ok {
		return Answer{Verdict: Failed, Reason: UnknownClass}, false
	}
	unsafe := c.opt.Settings.Classes[class].Idempotency != control.Idempotent
	if len(c.requests) >= c.opt.MaxOpen || unsafe && c.retired.full() {
		return Answer{Verdict: Rejected, Reason: Overloaded, RetryAfter: overloadedRetryAfterMs}, false
	}
	// Without a key, endpoints could not distinguish a retry of the request from a new request.
	if c.opt.Settings.Classes[class].Idempotency == control.IdempotentByKey && req.IdempotencyKey == "" {
		return Answer{Verdict: Failed, Reason: MissingIdempotencyKey}, false
	}
	return Answer{}, true
}

// register adds a valid request to the table.
func (c *Core) register(req Request, tag frontendTag) *request {
	class := &c.opt.Settings.Classes[c.classes[req.Class]]
	c.lastID++
	r := &request{
		Request:         req,
		id:              c.lastID,
		isWrite:         class.Write,
		nonIdempotent:   class.Idempotency != control.Idempotent,
		idempotentByKey: class.Idempotency == control.IdempotentByKey,
	}
	if !r.idempotentByKey {
		r.IdempotencyKey = ""
	}
	if class.Deadline > 0 { // no client of the class waits longer, so a longer time is a client's fault
		r.Remaining = min(r.Remaining, clock.Ms(class.Deadline))
	}
	c.requests[r.id] = r
	c.byTag[tag] = r
	c.byTxn[r.Txn] = r
	r.sampled = c.sampler.sample(r.Txn, c.now)
	return r
}

// admit passes the request to the controller. The time it has spent in the event queue is deducted from its remaining time.
func (c *Core) admit(r *request) {
	waited := c.now() - r.ReceivedAt
	c.notifyController(control.Request{
		ID:            r.id,
		Class:         c.classes[r.Class],
		Object:        control.ObjectID(r.Object),
		Part:          r.Part,
		ObjectGroup:   r.Group,
		SizeKB:        r.SizeKB,
		ClientHasCopy: r.ClientETag != "",
		Remaining:     clock.Duration(max(0, r.Remaining-waited)),
		Retry:         r.Retry,
	})
}

// respondDuplicate answers a request that has the same ID as an open one.
func (c *Core) respondDuplicate(req Request, open *request) {
	c.answerDuplicate(req, open.nonIdempotent && !open.idempotentByKey && open.mayHaveRun())
}

// answerDuplicate answers a request whose ID is in use. A rejection guarantees that a retry is harmless, which is not the case if
// the earlier request may have run and must not run twice: then the answer is a failure.
func (c *Core) answerDuplicate(req Request, mayHaveRun bool) {
	answer := Answer{Verdict: Rejected, Reason: DuplicateID, RetryAfter: duplicateRetryAfterMs}
	if mayHaveRun {
		answer = Answer{Verdict: Failed, Reason: DuplicateID, MayHaveRun: true}
	}
	c.traceDuplicate(req, answer)
	c.answerUnaccepted(req, answer)
}

// answerUnaccepted answers a request that is not added to the table.
func (c *Core) answerUnaccepted(req Request, answer Answer) {
	c.countVerdict(answer.Verdict)
	req.Frontend.Answer(req.RequestTag, answer)
}

// cancelRequest handles a client that has disconnected: it gets no answer, and its request is not forwarded any more. If
// the frontend set ReportAfterCancel, an attempt in flight continues and its outcome is reported.
func (c *Core) cancelRequest(ev CancelRequest) {
	r := c.byTag[frontendTag{ev.Frontend, ev.RequestTag}]
	if r == nil {
		return // already answered
	}
	r.Canceled.Store(true)
	if r.ReportAfterCancel && r.mayHaveRun() {
		c.traceClientGone(r)
		return
	}
	c.handleClientGone(r)
}

// handleClientGone ends a request whose client has disconnected.
func (c *Core) handleClientGone(r *request) {
	c.stats.ClientGone++
	c.traceClientGone(r)
	if r.ReportAfterCancel {
		c.respond(r, Answer{Verdict: Failed, Reason: ClientGone})
	} else {
		c.markAnswered(r)
	}
	c.notifyController(control.ClientGone{ID: r.id})
}
