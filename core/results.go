package core

import (
	"time"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// Results: Handle calls handleAttemptResult and handleHealthCheckResult when the upstream reports the result of an attempt
// or a health check. The result is recorded and reported to the controller, which decides on a retry; the first successful attempt
// provides the response to its request.

// handleAttemptResult records the result of an attempt. A second result of the same attempt is ignored.
func (c *Core) handleAttemptResult(result AttemptResult) {
	r := c.requests[result.ID]
	if r == nil || result.Number < 0 || result.Number >= len(r.attempts) || r.attempts[result.Number].ended {
		return
	}
	a := r.attempts[result.Number]
	a.ended = true
	a.neverSent = provesNeverSent(result.Outcome)
	r.openAttempts--
	c.traceAttemptEnded(r, a, result)
	if result.Unconfirmed {
		c.recordUnconfirmedCancel(r, a, result.Outcome)
	}
	if result.Outcome == control.OK && !r.answered {
		c.respond(r, servedAnswer(result))
	}
	c.removeIfDone(r)
	c.notifyController(control.AttemptResult{
		ID:            result.ID,
		Attempt:       result.Number,
		Endpoint:      control.EndpointID(a.endpoint),
		Outcome:       result.Outcome,
		Note:          result.Note,
		Latency:       clock.Duration(max(0, c.now()-a.startedAt)),
		FirstByte:     clock.Duration(result.QueueDelay),
		RequestClosed: r.answered,
		Load:          result.Load,
		TransferTime:  c.transferTime(result),
	})
}

// provesNeverSent reports whether an outcome proves that nothing of the attempt reached an endpoint.
func provesNeverSent(outcome control.Outcome) bool {
	return outcome == control.NotSent || outcome == control.ConnectFailed || outcome == control.LocalFailure
}

// servedAnswer returns the final answer for the result of a successful attempt.
func servedAnswer(result AttemptResult) Answer {
	answer := Answer{Verdict: Served, Body: result.Body, ETag: result.ETag, CreatedAt: result.CreatedAt, Note: result.Note}
	if result.NotModified {
		answer.Verdict = NotModified
		answer.Body = nil
	}
	return answer
}

// transferTime returns how long a client takes to receive a result's body, or 0 if that is unknown.
func (c *Core) transferTime(result AttemptResult) time.Duration {
	if c.opt.ClientBytesPerSecond <= 0 || result.NotModified {
		return 0
	}
	return time.Duration(float64(len(result.Body)) / c.opt.ClientBytesPerSecond * float64(time.Second))
}

// handleHealthCheckResult reports the result of a pending health check to the controller.
func (c *Core) handleHealthCheckResult(result HealthCheckResult) {
	sentAt, ok := c.healthChecks[result.Endpoint]
	if !ok {
		return
	}
	delete(c.healthChecks, result.Endpoint)
	latency := c.now() - sentAt
	c.traceHealthCheck(result, latency)
	c.notifyController(control.HealthCheckResult{
		Endpoint: control.EndpointID(result.Endpoint),
		Outcome:  result.Outcome,
		Latency:  clock.Duration(latency),
		Load:     result.Load,
	})
}
