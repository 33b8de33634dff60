package core

import (
	"container/heap"
	"slices"
	"time"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
)

// Timers: a heap ordered by due time; the loop in core.go calls Tick to fire those that are due. When one fires, its handler
// checks whether it still applies. Timers of requests that have ended are removed whenever the heap has doubled: it would
// otherwise grow with the rate of requests times the longest deadline, and hold all of them in memory.

// minCompactTimers is the number of timers up to which none is removed before it is due.
const minCompactTimers = 1024

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	controllerTimer   timerKind = iota // requested by the controller, with a token
	attemptTimer                       // an attempt's time-out
	sendDeadlineTimer                  // an attempt must not be sent from now on
	cancelGraceTimer                   // the grace period of an unconfirmed cancellation ends
)

// timer fires at a time in ms.
type timer struct {
	at      float64
	kind    timerKind
	token   uint64   // of a controllerTimer
	attempt *attempt // of the other kinds
}

// schedule adds a timer.
func (c *Core) schedule(t timer) {
	if len(c.timers) >= max(minCompactTimers, 2*c.compactedTimers) {
		c.compactTimers()
	}
	heap.Push(&c.timers, t)
}

// compactTimers removes the timers that no longer apply.
func (c *Core) compactTimers() {
	c.timers = slices.DeleteFunc(c.timers, c.isObsolete)
	heap.Init(&c.timers)
	c.compactedTimers = len(c.timers)
}

// isObsolete reports whether a timer has no effect any more when it fires.
func (c *Core) isObsolete(t timer) bool {
	switch t.kind {
	case controllerTimer:
		id, ofRequest := control.RequestOfTimer(t.token)
		return ofRequest && c.requests[id] == nil
	case cancelGraceTimer:
		return c.requests[t.attempt.key.ID] == nil
	default:
		return t.attempt.ended
	}
}

// untilNextTimer returns the time until the next timer is due, or maxTimerWait if there is none.
func (c *Core) untilNextTimer() time.Duration {
	if len(c.timers) == 0 {
		return maxTimerWait
	}
	return max(0, clock.Duration(c.timers[0].at-c.now()))
}

// Tick fires the timers that are due. Only the goroutine that owns the core may call it.
func (c *Core) Tick() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now() {
		c.fire(heap.Pop(&c.timers).(timer))
	}
}

// fire runs one timer.
func (c *Core) fire(t timer) {
	switch t.kind {
	case controllerTimer:
		c.notifyController(control.TimerFired{Token: t.token})
	case cancelGraceTimer:
		c.handleGraceExpired(t.attempt.request, t.attempt.key)
	case attemptTimer:
		if !t.attempt.ended {
			c.timeOutAttempt(t.attempt)
		}
	case sendDeadlineTimer:
		c.endUnsent(t.attempt)
	}
}

// timerHeap implements heap.Interface, the earliest timer first.
type timerHeap []timer

// Len returns the number of timers.
func (h timerHeap) Len() int { return len(h) }

// Less orders timers by time.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap swaps two timers.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes and returns the last timer.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}
