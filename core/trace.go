package core

import (
	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// Tracing: every stage writes a log line for each step of a request, all with the client's X-Txn as request_id, so that
// one request can be traced through all gateways that handled it. The lines are written at level debug, and for the
// sampled share of requests (Options.TraceShare) at level info; for other requests only the log level and the sampled flag
// are checked. docs/fleet.md ("Following a request") lists the lines.

// tracesAll reports whether all requests are traced.
func (c *Core) tracesAll() bool { return c.opt.Log.GetLevel() <= zerolog.DebugLevel }

// traceEvent returns the log event for a request, or nil if the request is not traced.
func (c *Core) traceEvent(r *request) *zerolog.Event {
	switch {
	case c.tracesAll():
		return c.opt.Log.Debug().Str("request_id", r.Txn)
	case r.sampled:
		return c.opt.Log.Info().Str("request_id", r.Txn)
	}
	return nil
}

// traceEndpoints logs the start times that a list contains. They show when an endpoint is in slow start, during which the
// total load that all gateways send to it is limited.
func (c *Core) traceEndpoints(list EndpointList) {
	if !c.tracesAll() {
		return
	}
	for _, endpoint := range list.Endpoints {
		info := endpoint.Info
		if info.StartedAt <= 0 {
			continue
		}
		c.opt.Log.Debug().
			Uint32("endpoint", uint32(info.ID)).
			Int("kind", info.Kind).
			Int("zone", info.Zone).
			Int("state", int(info.State)).
			Float64("weight", info.Weight).
			Float64("started_ago_ms", c.now()-clock.Ms(info.StartedAt)).
			Msg("endpoint started")
	}
}

// traceHealthCheck logs the result of a health check and how long it took, in ms.
func (c *Core) traceHealthCheck(result HealthCheckResult, duration float64) {
	if !c.tracesAll() {
		return
	}
	c.opt.Log.Debug().
		Uint32("endpoint", result.Endpoint).
		Stringer("outcome", result.Outcome).
		Float64("duration_ms", duration).
		Msg("health check ended")
}

// traceReceived logs that a request was accepted.
func (c *Core) traceReceived(r *request) {
	e := c.traceEvent(r)
	if e == nil {
		return
	}
	e.Str("class", r.Class).
		Str("object", r.ObjectName).
		Uint32("part", r.Part).
		Float64("remaining_ms", r.Remaining).
		Float64("size_kb", r.SizeKB).
		Bool("retry", r.Retry).
		Str("idempotency_key", r.IdempotencyKey).
		Msg("request received")
}

// traceDuplicate logs a request that was not accepted because its ID is in use.
func (c *Core) traceDuplicate(req Request, answer Answer) {
	if c.tracesAll() {
		c.opt.Log.Debug().Str("request_id", req.Txn).Str("class", req.Class).Stringer("verdict", answer.Verdict).Msg("duplicate request")
	}
}

// traceAttemptStarted logs the start of an attempt, and whether it is deferred until the previous one's cancellation is
// confirmed.
func (c *Core) traceAttemptStarted(r *request, a *attempt, action control.Attempt) {
	e := c.traceEvent(r)
	if e == nil {
		return
	}
	e.Int("attempt", a.key.Number).
		Uint32("endpoint", a.endpoint).
		Uint32("source", uint32(action.Source)).
		Uint8("cache_rank", action.CacheRank).
		Bool("join_fill", action.JoinFill).
		Bool("cached_only", action.CachedOnly).
		Dur("timeout_ms", action.Timeout).
		Bool("deferred", a.deferred != nil).
		Msg("attempt started")
}

// traceAttemptEnded logs the result of an attempt.
func (c *Core) traceAttemptEnded(r *request, a *attempt, result AttemptResult) {
	e := c.traceEvent(r)
	if e == nil {
		return
	}
	e.Int("attempt", result.Number).
		Uint32("endpoint", a.endpoint).
		Stringer("outcome", result.Outcome).
		Stringer("note", result.Note).
		Float64("duration_ms", c.now()-a.startedAt).
		Bool("unconfirmed", result.Unconfirmed).
		Msg("attempt ended")
}

// traceCancelConfirmed logs how long an attempt's end was unconfirmed, and whether the grace period had expired instead of
// the endpoint acknowledging it.
func (c *Core) traceCancelConfirmed(r *request, key AttemptKey) {
	e := c.traceEvent(r)
	if e == nil {
		return
	}
	e.Int("attempt", key.Number).
		Float64("duration_ms", c.now()-r.unconfirmedCancel.endedAt).
		Bool("grace_expired", r.unconfirmedCancel.graceUntil <= c.now()).
		Msg("cancellation resolved")
}

// traceBarrier logs whether the endpoint of a canceled attempt answered the barrier ping.
func (c *Core) traceBarrier(r *request, key AttemptKey, silent bool) {
	e := c.traceEvent(r)
	if e == nil {
		return
	}
	e.Int("attempt", key.Number).
		Bool("silent", silent).
		Msg("barrier ended")
}

// traceResponse logs the final answer, and for a request that was shed before any attempt the controller state that led to
// the decision.
func (c *Core) traceResponse(r *request, answer Answer) {
	if answer.Verdict == Rejected && answer.Reason == Shed && len(r.attempts) == 0 {
		if e := c.traceEvent(r); e != nil {
			e.Str("controller", c.controller.Explain(control.ObjectID(r.Object), r.Part)).
				Msg("request shed")
		}
	}
	e := c.traceEvent(r)
	if e == nil {
		return
	}
	e.Stringer("verdict", answer.Verdict).
		Stringer("reason", answer.Reason).
		Float64("retry_after_ms", answer.RetryAfter).
		Int("attempts", len(r.attempts)).
		Float64("duration_ms", c.now()-r.ReceivedAt).
		Msg("response sent")
}

// traceClientGone logs that a request's client has disconnected, how long the request had been open by then, and whether an
// attempt may have reached an endpoint. No "attempt started" of the same request may follow.
func (c *Core) traceClientGone(r *request) {
	e := c.traceEvent(r)
	if e == nil {
		return
	}
	e.Int("attempts", len(r.attempts)).
		Bool("may_have_run", r.mayHaveRun()).
		Float64("duration_ms", c.now()-r.ReceivedAt).
		Msg("client gone")
}
