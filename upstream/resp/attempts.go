package resp

import (
	"slices"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// attempt is a GET, or a probe: a health check (LOAD) or a PING.
type attempt struct {
	core.AttemptRequest
	wireID          string // its ID on the wire
	endpoint        uint32
	probe           bool
	confirms        []core.AttemptKey // of a PING: the attempts whose cancellations its response confirms
	conn            *conn             // nil while it waits for a connection
	mayBeSent       bool              // the writer has taken it, so bytes of it may have been sent
	writtenAt       float64           // when the writer took it
	cancelRequested bool
	cancelOutcome   control.Outcome // the result of a canceled attempt
	ended           bool            // its result has been reported
	answered        bool            // it ended with a response of the endpoint
	probeCommand    []byte          // the command of a probe; a GET is encoded when it is written
}

// Send makes an attempt.
func (p *Pool) Send(s core.AttemptRequest) {
	a := &attempt{AttemptRequest: s, wireID: s.Txn, endpoint: s.Endpoint}
	p.mu.Lock()
	q := p.peers[s.Endpoint]
	if p.attempts[s.AttemptKey] != nil || !p.maySend(a) {
		p.mu.Unlock()
		p.postAsync(core.AttemptResult{AttemptKey: s.AttemptKey, Outcome: control.NotSent})
		return
	}
	p.attempts[s.AttemptKey] = a
	ended := p.assign(q, a)
	p.mu.Unlock()
	for _, ev := range ended {
		p.postAsync(ev)
	}
}

// maySend is the last check before an attempt is written, however long it was queued: its target and fill source accept
// new work, the client has not canceled the request and has time left, and the endpoints still remember its idempotency key.
func (p *Pool) maySend(a *attempt) bool {
	acceptsWork := func(id uint32) bool {
		_, excluded := p.excluded[id]
		q := p.peers[id]
		return q != nil && q.ready && !excluded
	}
	return acceptsWork(a.endpoint) && (!a.Fill || acceptsWork(a.Source)) && (a.Canceled == nil || !a.Canceled.Load()) &&
		(a.SendDeadline <= 0 || p.now() < a.SendDeadline) && (a.Deadline <= 0 || a.Deadline-p.now() >= minTTL)
}

// LimitCopyAge makes an attempt that is not yet sent ask for no copy older than maxAge.
func (p *Pool) LimitCopyAge(k core.AttemptKey, maxAge float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.attempts[k]; a != nil { // no effect on an attempt that is already encoded
		a.MaxAge = maxAge
	}
}

// CancelUnsent ends an attempt that is not sent yet, with the outcome NotSent.
func (p *Pool) CancelUnsent(k core.AttemptKey) {
	p.mu.Lock()
	var ended core.Event
	if a := p.attempts[k]; a != nil && !a.mayBeSent {
		ended = p.endCanceled(a, control.NotSent)
	}
	p.mu.Unlock()
	if ended != nil {
		p.postAsync(ended)
	}
}

// Cancel cancels an attempt, which ends with the given outcome if its endpoint may have received it.
func (p *Pool) Cancel(k core.AttemptKey, outcome control.Outcome) {
	p.mu.Lock()
	a := p.attempts[k]
	p.mu.Unlock()
	if a != nil {
		if ev := p.cancelAttempt(a, outcome); ev != nil {
			p.postAsync(ev)
		}
	}
}

func (p *Pool) cancelAndPost(a *attempt, outcome control.Outcome) {
	if ev := p.cancelAttempt(a, outcome); ev != nil {
		p.post(ev)
	}
}

// cancelAttempt cancels an attempt. One that is not yet sent ends immediately, and certainly has not run. For any other a DROP
// is queued, and the attempt ends once that is written.
func (p *Pool) cancelAttempt(a *attempt, outcome control.Outcome) core.Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endCanceled(a, outcome)
}

// endCanceled is cancelAttempt for callers that hold the lock.
func (p *Pool) endCanceled(a *attempt, outcome control.Outcome) core.Event {
	if a.ended || a.cancelRequested {
		return nil
	}
	switch {
	case a.conn == nil: // waiting for a connection
		if q := p.peers[a.endpoint]; q != nil {
			q.waiting = slices.DeleteFunc(q.waiting, func(waiting *attempt) bool { return waiting == a })
		}
		if a.probe {
			return p.endAttempt(a, control.ConnectFailed)
		}
		return p.endAttempt(a, control.NotSent)
	case !a.mayBeSent:
		a.conn.removeQueued(a)
		if a.probe {
			return p.endAttempt(a, outcome)
		}
		return p.endAttempt(a, control.NotSent)
	case a.probe || p.opt.DisableCancel:
		if a.conn.markIfUnresponsive(a); !a.probe { // its response may still arrive
			a.conn.retireID(a.wireID)
		}
		return p.endAttempt(a, outcome)
	}
	a.cancelRequested, a.cancelOutcome = true, outcome
	a.conn.markIfUnresponsive(a)
	command := appendCommand(nil, "DROP", a.wireID)
	a.conn.enqueue(chunk{attempt: a, bytes: command, queuedSize: len(command), isDrop: true})
	return nil
}

// endAttempt ends an attempt and returns its event, which the caller posts after releasing the lock. It returns nil if the
// attempt has already ended.
func (p *Pool) endAttempt(a *attempt, outcome control.Outcome) core.Event {
	if a.ended {
		return nil
	}
	a.ended = true
	a.probeCommand = nil
	if c := a.conn; c != nil {
		if c.open[a.wireID] == a {
			delete(c.open, a.wireID)
		}
		c.lastUse = p.now()
		c.closeIfDone()
	}
	if a.confirms != nil {
		return core.BarrierResult{Keys: a.confirms, NoResponse: outcome != control.OK}
	}
	if a.probe {
		return core.HealthCheckResult{Endpoint: a.endpoint, Outcome: outcome}
	}
	delete(p.attempts, a.AttemptKey)
	return core.AttemptResult{AttemptKey: a.AttemptKey, Outcome: outcome, Unconfirmed: a.mayBeSent && !a.answered}
}
