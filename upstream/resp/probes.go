package resp

import (
	"slices"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// CheckHealth asks an endpoint for its load report.
func (p *Pool) CheckHealth(endpoint uint32) {
	p.mu.Lock()
	q := p.peers[endpoint]
	if q == nil {
		p.mu.Unlock()
		p.postAsync(core.HealthCheckResult{Endpoint: endpoint, Outcome: control.ConnectFailed})
		return
	}
	p.lastProbeID++
	a := &attempt{wireID: probeID(p.lastProbeID), endpoint: endpoint, probe: true}
	a.probeCommand = appendCommand(nil, "LOAD", a.wireID)
	ended := p.assign(q, a)
	p.mu.Unlock()
	p.watchProbe(a, ended)
}

// watchProbe posts the events that resulted from assigning a probe to a connection, and starts the probe's timeout.
func (p *Pool) watchProbe(a *attempt, ended []core.Event) {
	for _, ev := range ended {
		p.postAsync(ev)
	}
	p.after(p.opt.HealthCheckTimeout, func() { p.cancelAndPost(a, control.TimedOut) })
}

// ConfirmCancel has an endpoint confirm that it reads what is written to it now: with the PING behind the attempt's DROP if
// that is in flight, else with a separate PING. Calls made before that PING is written share it.
func (p *Pool) ConfirmCancel(k core.AttemptKey, endpoint uint32) bool {
	if p.opt.DisableHealthChecks {
		return false
	}
	p.mu.Lock()
	q := p.peers[endpoint]
	if q == nil {
		p.mu.Unlock()
		p.postAsync(core.BarrierResult{Keys: []core.AttemptKey{k}, NoResponse: true})
		return true
	}
	if q.barrierInFlight(k) {
		p.mu.Unlock()
		return true
	}
	if a := q.barrier; a != nil && !a.ended && !a.mayBeSent {
		a.confirms = append(a.confirms, k)
		p.mu.Unlock()
		return true
	}
	p.lastProbeID++
	a := &attempt{wireID: probeID(p.lastProbeID), endpoint: endpoint, probe: true, confirms: []core.AttemptKey{k}}
	a.probeCommand = appendCommand(nil, "PING", a.wireID)
	q.barrier = a
	ended := p.assign(q, a)
	p.mu.Unlock()
	p.watchProbe(a, ended)
	return true
}

// barrierInFlight reports whether the PING behind an attempt's DROP is in flight.
func (q *peer) barrierInFlight(k core.AttemptKey) bool {
	for _, c := range q.conns {
		for _, keys := range c.barriers {
			if slices.Contains(keys, k) {
				return true
			}
		}
	}
	return false
}
