package core

import "turnfork.dev/turnfork/control"

// settleMost is how long, in ms, a store may take to notice that an attempt was given up, unless Options say.
// DROP and the close of a connection reach a store in the order of that connection alone: one that reads several may
// take up what was written to another a moment later first, and then it has the same request twice. So the end of an
// attempt is in doubt until a word from the store, written behind the DROP, proves that it was read, or until this
// time has passed. The module hears of the end and decides at once; only the send of a further attempt waits, so
// neither a refusal nor a failure is held back by it.
const settleMost = 40.0

// doubt is an attempt's end of which its store may not know yet.
type doubt struct {
	key   Key
	until float64 // 0: none
}

// leaveOrHold has an attempt leave once the one before it has settled.
func (c *Core) leaveOrHold(t *attempt, s Send) {
	if t.of.doubt.until <= c.now() {
		c.up.Send(s)
		return
	}
	c.stats.Held++
	t.held = &s
}

// settled takes a store's word that it knows of an attempt's end.
func (c *Core) settled(s Settled) {
	r := c.requests[s.ID]
	if r == nil {
		return
	}
	if last := r.attempts[len(r.attempts)-1]; last.held != nil && r.doubt.key == s.Key {
		c.stats.Settled++
	}
	c.settle(r, s.Key)
}

// settle ends the doubt in an attempt's end, by a store's word or by time.
func (c *Core) settle(r *request, k Key) {
	if r.doubt.until == 0 || r.doubt.key != k {
		return
	}
	c.traceSettle(r, k)
	r.doubt = doubt{}
	c.release(r.attempts[len(r.attempts)-1])
}

// release lets a held attempt leave, or tells that it never did where the request needs it no more.
func (c *Core) release(t *attempt) {
	switch {
	case t.held == nil:
		c.forget(t.of)
	case t.of.answered:
		c.unsent(t)
	case t.of.expired(c.opt.Clock.Unix()):
		c.answer(t.of, Answer{Verdict: Failed, Reason: Expired})
		c.unsent(t)
	default:
		s := *t.held
		t.held = nil
		if s.Timeout > 0 { // what the store is told to stay within has gone on meanwhile
			s.Timeout = max(1, s.Timeout-(c.now()-t.sent))
		}
		c.up.Send(s)
	}
}

// unsent ends a held attempt.
func (c *Core) unsent(t *attempt) {
	t.held = nil
	c.book(Ended{Key: t.key, Result: control.Unsent})
}
