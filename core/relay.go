package core

import "turnfork.dev/turnfork/control"

// relay gives a request the module's final answer, at once.
func (c *Core) relay(id control.RequestID, a Answer) {
	r := c.requests[id]
	if r == nil || r.answered {
		return // at most one final answer
	}
	if a.Reason == GivenUp {
		switch {
		case c.now() >= r.At+r.Left-20:
			a.Reason = Deadline
		case len(r.attempts) > 0 && r.open == 0:
			a.Reason = NoStore
		}
	}
	c.answer(r, a)
}

// answer is the one place from which final answers leave.
func (c *Core) answer(r *request, a Answer) {
	a.Ran = r.sent()
	switch a.Verdict {
	case Served:
		c.stats.Served++
	case Same:
		c.stats.Same++
	case Refused:
		c.stats.Refused++
	case Failed:
		c.stats.Failed++
	}
	c.traceAnswer(r, a)
	r.From.Answer(r.Tag, a)
	c.finish(r)
}
