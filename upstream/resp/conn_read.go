package resp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"slices"
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/neterr"
	"turnfork.dev/turnfork/limits"
)

// responseReader reads a connection with time limits on each response, so that a truncated one does not block all others on the
// connection. From a response's first byte on, each read is limited to responseReadTimeout and the response as a whole to the
// time in deadline. An idle connection has no limit.
type responseReader struct {
	net      net.Conn
	pool     *Pool
	deadline time.Time // zero: no response has begun
}

// reserve reserves the bytes of a body, and waits while the budget is exhausted. The endpoint is not charged for that wait: the
// time limit of the response starts again after it.
func (p *responseReader) reserve(bytes int) (*limits.Reservation, error) {
	budget := p.pool.opt.ResponseBudget
	if budget == nil || bytes == 0 {
		return nil, nil
	}
	if !budget.TryReserve(bytes) {
		ctx, cancel := context.WithTimeoutCause(p.pool.ctx, responseTimeout, errResponseBudget)
		defer cancel()
		if err := budget.Reserve(ctx, bytes); err != nil {
			return nil, err
		}
		p.deadline = time.Now().Add(responseTimeout)
	}
	return limits.NewReservation(budget, bytes), nil
}

// Read reads the available bytes. Within a response it fails with a timeout if the next bytes do not arrive in time.
func (p *responseReader) Read(b []byte) (int, error) {
	deadline := p.deadline
	if next := time.Now().Add(responseReadTimeout); !deadline.IsZero() && next.Before(deadline) {
		deadline = next
	}
	p.net.SetReadDeadline(deadline)
	n, err := p.net.Read(b)
	if n == len(b) { // an endpoint that sends without a pause must not keep the processor from the others' responses
		runtime.Gosched()
	}
	return n, err
}

// readLoop is the reader goroutine. When the connection has ended, it ends all attempts on it.
func (c *conn) readLoop() {
	defer c.pool.wg.Done()
	err := c.readResponses()
	c.net.Close()
	c.end(err)
}

// readResponses reads and handles responses until the connection ends, or one is malformed.
func (c *conn) readResponses() error {
	in := &responseReader{net: c.net, pool: c.pool}
	r := bufio.NewReaderSize(in, readBufferSize)
	for {
		in.deadline = time.Time{}
		if _, err := r.Peek(1); err != nil {
			return err
		}
		in.deadline = time.Now().Add(responseTimeout)
		a, err := readResponse(r, in.reserve)
		if err != nil {
			return err
		}
		ev, confirmed, err := c.handleResponse(a)
		if result, ok := ev.(core.AttemptResult); !ok || result.BodyReservation == nil {
			a.reservation.Release() // the body is not passed on
		}
		if ev != nil {
			c.pool.post(ev)
		}
		for _, k := range confirmed {
			c.pool.post(core.CancelConfirmed{AttemptKey: k})
		}
		if err != nil {
			return err
		}
	}
}

// end removes a connection that has ended, with the error of its reader, and ends the attempts on it.
func (c *conn) end(err error) {
	p := c.pool
	p.mu.Lock()
	c.broken = true
	c.forgetIDs()
	p.conns--
	if i := slices.Index(c.peer.conns, c); i >= 0 {
		c.peer.conns = slices.Delete(c.peer.conns, i, i+1)
	}
	lost := len(c.open)
	ended := append(c.endAttempts(err), c.failBarriers()...)
	expected := c.draining || p.ctx.Err() != nil
	close(c.wake)
	c.wake = nil
	p.mu.Unlock()
	if !expected || lost > 0 {
		p.opt.Log.Info().Err(err).Str("store", fmt.Sprintf("s-%08x", c.peer.id)).Int("lost", lost).Msg("connection ended")
	}
	for _, ev := range ended {
		p.post(ev)
	}
}

// endAttempts ends the attempts on a connection that has ended with the given read error.
func (c *conn) endAttempts(readErr error) (ended []core.Event) {
	notSent, mayHaveRun := c.closeOutcomes(readErr)
	for _, a := range c.open {
		res := mayHaveRun
		switch {
		case !a.mayBeSent: // no byte of it was sent
			res = notSent
		case a.cancelRequested: // the close of the connection cancels it at the endpoint
			res = a.cancelOutcome
		}
		if ev := c.pool.endAttempt(a, res); ev != nil {
			ended = append(ended, ev)
		}
	}
	return ended
}

// closeOutcomes returns the outcomes of the attempts on a connection that has ended with the given read error: of those that
// were not sent, and of those that may have run. A failure local to this host, or a client's cancellation in the middle of
// writing its request, is not counted against the endpoint.
func (c *conn) closeOutcomes(readErr error) (notSent, mayHaveRun control.Outcome) {
	if neterr.IsLocal(readErr) || errors.Is(readErr, errResponseBudget) || neterr.IsLocal(c.writeErr) || errors.Is(c.writeErr, errClientCanceled) {
		return control.LocalFailure, control.Canceled
	}
	return control.ConnectFailed, control.ConnectionLost
}

// handleResponse processes one response. It returns the event of the attempt or probe that ended with it, or the attempts whose
// DROPs it confirms.
func (c *conn) handleResponse(a response) (_ core.Event, confirmed []core.AttemptKey, _ error) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	// This response does not update the time of the last response: an endpoint that reads but does not respond to attempts
	// still counts as unresponsive.
	if confirmed = c.barriers[a.id]; confirmed != nil {
		delete(c.barriers, a.id)
		c.closeIfDone()
		return nil, confirmed, nil
	}
	c.lastResponse, c.unresponsiveSince = p.now(), 0
	t := c.open[a.id]
	if t == nil {
		// A complete response to a canceled attempt, a duplicate, or a response with an unknown ID. It is ignored, so that
		// it does not end all other attempts on the connection.
		return nil, nil, nil
	}
	if t.confirms != nil {
		return p.endAttempt(t, control.OK), nil, nil
	}
	if t.probe {
		ev, err := c.handleProbeResponse(t, a)
		return ev, nil, err
	}
	res, err := a.outcome(t.ClientETag)
	if err != nil {
		return nil, nil, err // the end of the connection ends the attempt
	}
	t.answered = true
	if res != control.OK { // the request may be retried with the same ID
		c.retireID(a.id)
	}
	ev, _ := p.endAttempt(t, res).(core.AttemptResult)
	ev.Note, ev.QueueDelay, ev.Load = notes[a.fields.get("why")], a.fields.number("lag"), a.fields.load()
	ev.ETag, ev.CreatedAt, ev.Body, ev.NotModified = a.fields.get("tag"), a.fields.number("minted"), a.body, a.isNotModified()
	ev.BodyReservation = a.reservation
	return ev, nil, nil
}

// handleProbeResponse processes the response to a health check.
func (c *conn) handleProbeResponse(probe *attempt, a response) (core.Event, error) {
	result, ok := c.pool.endAttempt(probe, control.ServerError).(core.HealthCheckResult)
	if !ok {
		return nil, nil // it has ended already
	}
	switch a.status {
	case "READY":
		result.Outcome = control.OK
	case "AILING":
	default:
		return result, fmt.Errorf("%w: status %.20q in response to a probe", errMalformed, a.status)
	}
	result.Load = a.fields.load()
	return result, nil
}
