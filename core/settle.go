package core

import (
	"container/heap"

	"turnfork.dev/turnfork/control"
)

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
	from  float64
	until float64 // 0: none
	word  bool    // time does not let the next attempt leave, only the store's word does
}

// doubt notes that an end is in doubt. Time ends that but for what was given up of a keyed request: a store that has
// stopped may run it whenever it goes on, which no time of a key bounds, so only its word does. An end that the store
// itself made by closing the connection has given up all that was open there, and there time is for the way.
func (c *Core) doubt(r *request, t *attempt, e Ended) {
	word := r.keyed && e.Result != control.Broken
	r.doubt = doubt{key: e.Key, from: c.now(), until: c.now() + c.opt.Settle, word: word}
	heap.Push(&c.timers, timer{at: r.doubt.until, of: t, free: true})
}

// leaveOrHold has an attempt leave once the one before it has settled.
func (c *Core) leaveOrHold(t *attempt, s Send) {
	if d := t.of.doubt; d.until <= c.now() && !d.word {
		c.up.Send(s)
		return
	}
	c.stats.Held++
	t.held = &s
	if t.of.keyed {
		heap.Push(&c.timers, timer{at: s.NotAfter, of: t, held: true})
	}
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

// late ends the doubt in an attempt's end by time, where that is enough.
func (c *Core) late(r *request, k Key) {
	if r.doubt.key == k && r.doubt.word {
		c.forget(r)
		return
	}
	c.settle(r, k)
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
	case t.of.Over.Load() || t.of.expired(c.opt.Clock.Unix()):
		c.endUnsent(t.of)
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
