package control

import (
	"testing"
	"time"
)

// retryHarness is a gateway that allows a request a single attempt.
type retryHarness struct{ *harness }

func newRetryHarness(t *testing.T, change func(*Settings)) *retryHarness {
	set := testSettings()
	set.MaxAttempts, set.CanHedge = 1, false
	set.CanRetryAfter, set.MaxRetryAfter = true, 500*ms
	change(&set)
	return &retryHarness{newHarness(t, set, testEndpoints())}
}

// failLocally ends the latest attempt of request 1 with a local failure, and returns the time until the next one is
// sent; 0: none is sent.
func (b *retryHarness) failLocally() time.Duration {
	n := len(b.attempts[1])
	b.endAttempt(1, n-1, LocalFailure, NoNote)
	if len(b.attempts[1]) != n {
		b.t.Fatal("the next attempt was sent at once")
	}
	at := b.now
	for !b.answered[1] && len(b.attempts[1]) == n {
		b.advance(b.settings.BatchInterval)
	}
	if b.answered[1] {
		return 0
	}
	return b.now - at
}

// A local failure does not change the health of an endpoint, whatever it was before, nor its budgets.
func TestLocalFailureIsNotCountedAgainstEndpoint(t *testing.T) {
	for name, prepare := range map[string]func(c *Controller, e *endpoint){
		"healthy": func(*Controller, *endpoint) {},
		"one failure before an ejection": func(_ *Controller, e *endpoint) {
			e.consecutiveErrors = maxConsecutiveErrors - 1
		},
		"on probation": func(_ *Controller, e *endpoint) { e.probation, e.ejections = true, 2 },
		"in slow start": func(c *Controller, e *endpoint) {
			e.StartedAt, e.slowStartBudget, e.budgetUpdatedAt = c.now-5*time.Second, 0.5, c.now
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRetryHarness(t, func(*Settings) {})
			for _, e := range b.controller.endpoints {
				if e.ID != originID {
					prepare(b.controller, e)
				}
			}
			before := map[EndpointID]endpoint{}
			for _, e := range b.controller.endpoints {
				before[e.ID] = *e
			}
			b.request(Request{ID: 1, Object: 5, SizeKB: 10, Remaining: time.Second})
			if len(b.attempts[1]) != 1 {
				t.Fatalf("%d attempts", len(b.attempts[1]))
			}
			b.endAttempt(1, 0, LocalFailure, NoNote)
			for _, e := range b.controller.endpoints {
				was := before[e.ID]
				if e.consecutiveErrors != was.consecutiveErrors || e.ejections != was.ejections || e.probation != was.probation || e.ejectedUntil != was.ejectedUntil ||
					e.lastConnectionLossAt != was.lastConnectionLossAt || e.lastResponseAt != was.lastResponseAt || e.lossRate != was.lossRate || e.latencyRatio != was.latencyRatio {
					t.Errorf("endpoint %d was %+v and is %+v", e.ID, was, *e)
				}
				if d := e.slowStartBudget - was.slowStartBudget; d > 1e-9 || d < -1e-9 {
					t.Errorf("endpoint %d: the budget changed by %v", e.ID, d)
				}
				if len(e.inFlight) != 0 {
					t.Errorf("endpoint %d keeps the attempt", e.ID)
				}
			}
			if b.controller.window.inFlight != 0 || len(b.controller.fillsInFlight) != 0 {
				t.Errorf("%d slots, %d fills", b.controller.window.inFlight, len(b.controller.fillsInFlight))
			}
		})
	}
}

// A health check that failed locally neither ejects an endpoint nor ends its ejection.
func TestLocallyFailedHealthCheckIsNotCountedAgainstEndpoint(t *testing.T) {
	for result, ejects := range map[Outcome]bool{LocalFailure: false, NotSent: false, Canceled: false, ConnectFailed: true, TimedOut: true} {
		b := newRetryHarness(t, func(*Settings) {})
		e := b.controller.endpoints[0]
		b.handle(HealthCheckResult{Endpoint: e.ID, Outcome: result})
		if got := !e.available(b.controller.now); got != ejects || e.probation != ejects {
			t.Errorf("%v: ejected %t, on probation %t, want %t", result, got, e.probation, ejects)
		}
	}
}

// Local failures do not count against the maximum number of attempts. Each delay is longer than the one before, with
// jitter, and a request that succeeds in the end was sent once.
func TestLocalFailureIsRetriedWithBackoff(t *testing.T) {
	b := newRetryHarness(t, func(*Settings) {})
	b.request(Request{ID: 1, Class: 2, Object: 5, SizeKB: 10, Remaining: 2 * time.Second})
	for n := range 5 {
		span := initialLocalBackoff << n
		if wait := b.failLocally(); wait < span/2 || wait > span+2*b.settings.BatchInterval {
			t.Errorf("after failure %d the delay was %v, want %v to %v", n+1, wait, span/2, span)
		}
	}
	b.endAttempt(1, 5, OK, Hit)
	if b.attemptsSent(1) != 1 || !b.answered[1] || len(b.controller.requests) != 0 {
		t.Errorf("%d attempts were sent, answered %t, %d requests not finished", b.attemptsSent(1), b.answered[1], len(b.controller.requests))
	}
}

// The same seed gives the same delays, and another seed gives others.
func TestJitterDependsOnSeed(t *testing.T) {
	waits := func(seed uint64) (sum time.Duration) {
		c, err := New(testSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		for n := range 8 {
			sum += c.localBackoff(n + 1)
		}
		return sum
	}
	first, again, other := waits(1), waits(1), waits(2)
	if first != again || first == other {
		t.Errorf("delays %v and %v of seed 1, %v of seed 2", first, again, other)
	}
}

// If the client has no time left for another attempt, the request is rejected at once with a Retry-After, even if it
// must not run twice, because nothing was sent.
func TestLocalFailureWithoutTimeIsRejectedAtOnce(t *testing.T) {
	for class := range testSettings().Classes {
		c, err := New(func() Settings {
			set := testSettings()
			set.CanRetryAfter, set.MaxRetryAfter, set.ClientsMarkRetries = true, 500*ms, true
			return set
		}(), 1)
		if err != nil {
			t.Fatal(err)
		}
		c.Handle(time.Second, EndpointList{Snapshot: true, Endpoints: testEndpoints()}, nil)
		c.Handle(time.Second, Request{ID: 1, Class: class, Object: 5, Remaining: 100 * ms, ClientHasCopy: true}, nil)
		r := c.requests[1]
		if r == nil || len(r.attempts) != 1 {
			t.Fatalf("class %d: the request was not sent", class)
		}
		to := r.attempts[0].target.ID
		actions := c.Handle(time.Second+92*ms, AttemptResult{ID: 1, Endpoint: to, Outcome: LocalFailure}, nil)
		answered := false
		for _, a := range actions {
			if reject, ok := a.(Reject); ok {
				answered = reject.RetryAfter > 0
			}
		}
		if !answered || c.requests[1] != nil {
			t.Errorf("class %d: %+v", class, actions)
		}
	}
}

// If local failures persist, each request ends within its time and after a bounded number of attempts.
func TestLocalFailuresAreBounded(t *testing.T) {
	b := newRetryHarness(t, func(set *Settings) { set.Classes[0].Deadline = time.Hour })
	b.request(Request{ID: 1, Object: 5, SizeKB: 10, Remaining: time.Hour})
	for b.failLocally() > 0 {
	}
	if n := len(b.attempts[1]); !b.answered[1] || n != maxLocalFailures || b.attemptsSent(1) != 0 {
		t.Errorf("answered %t after %d attempts, %d sent", b.answered[1], n, b.attemptsSent(1))
	}
}

// If the budget was reset while the attempt was in flight, its charge is not refunded to the new budget.
func TestRefundDoesNotIncreaseResetBudget(t *testing.T) {
	b := newRetryHarness(t, func(*Settings) {})
	b.request(Request{ID: 1, Object: 5, SizeKB: 10, Remaining: time.Second})
	to := b.controller.endpoint(b.attempts[1][0].To)
	entry := to.Endpoint
	entry.StartedAt = b.now
	b.advance(10 * ms)
	b.updateList(false, entry)
	fresh := to.slowStartBudget
	b.endAttempt(1, 0, LocalFailure, NoNote)
	if to.slowStartBudget != fresh {
		t.Errorf("the budget after a restart changed from %v to %v", fresh, to.slowStartBudget)
	}
}

// The next attempt goes to another cache, which may have an open connection, or to the same one if there is no
// other. A request with an idempotency key stays with its caches.
func TestRetryAfterLocalFailureAvoidsTheCache(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		caches int
		moves  bool
	}{{"several caches", 0, 4, true}, {"one cache", 0, 1, false}, {"idempotency key", 3, 4, false}} {
		t.Run(c.name, func(t *testing.T) {
			b := newRetryHarness(t, func(*Settings) {})
			b.updateList(true, testEndpoints()[:3+c.caches]...)
			b.request(Request{ID: 1, Class: c.class, Object: 5, SizeKB: 10, Remaining: 2 * time.Second})
			if b.failLocally() == 0 {
				t.Fatal("the request was not retried")
			}
			if moved := b.attempts[1][1].To != b.attempts[1][0].To; moved != c.moves {
				t.Errorf("retried at another cache: %t, want %t", moved, c.moves)
			}
		})
	}
}

// A request whose client disconnects or whose time runs out is not retried after its backoff.
func TestFinishedRequestIsNotRetried(t *testing.T) {
	for name, event := range map[string]Event{"client gone": ClientGone{ID: 1}, "time up": DeadlineReached(1)} {
		b := newRetryHarness(t, func(*Settings) {})
		b.request(Request{ID: 1, Object: 5, SizeKB: 10, Remaining: time.Second})
		b.endAttempt(1, 0, LocalFailure, NoNote)
		if name == "client gone" {
			b.answered[1] = true
		}
		b.handle(event)
		b.advance(time.Second)
		if len(b.attempts[1]) != 1 || !b.answered[1] || len(b.controller.requests) != 0 {
			t.Errorf("%s: %d attempts, answered %t, %d requests not finished", name, len(b.attempts[1]), b.answered[1], len(b.controller.requests))
		}
	}
}
