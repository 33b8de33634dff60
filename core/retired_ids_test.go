package core

import (
	"testing"

	"turnfork.dev/turnfork/control"
)

// Guards against an ID that runs twice when it comes again after its client has left: the gateway forgot it 40 ms after the
// attempt's end, though the endpoint had not confirmed that it had read the cancellation.
func TestIDOfUnconfirmedAttemptIsNotSentAgain(t *testing.T) {
	c, h, clk := newCore(t)
	first := newRequest(h, 1, "tile", clk.Now())
	key := endByClient(c, h, first)
	sent := len(h.sent)
	for tag := uint64(2); tag < 10; tag++ {
		clk.Advance(100)
		c.Tick()
		c.Handle(again(first, tag, clk.Now()))
		if a := h.answers[tag]; len(h.sent) > sent || len(a) != 1 || a[0].Verdict != Rejected || a[0].Reason != DuplicateID {
			t.Fatalf("%d ms after the attempt's end: %d attempts more, answers %+v", (tag-1)*100, len(h.sent)-sent, a)
		}
	}
	h.confirm(c, CancelConfirmed{key})
	c.Handle(again(first, 10, clk.Now()))
	if len(h.sent) != sent+1 || len(h.answers[10]) != 0 {
		t.Errorf("confirmed: %d attempts more, answers %+v", len(h.sent)-sent, h.answers[10])
	}
}

// After the attempt's deadline, which the endpoint was told, the ID is free even without a confirmation.
func TestIDIsFreeAfterDeadline(t *testing.T) {
	c, h, clk := newCore(t)
	first := newRequest(h, 1, "tile", clk.Now())
	endByClient(c, h, first)
	sent := len(h.sent)
	clk.Advance(2600)
	c.Tick()
	c.Handle(again(first, 2, clk.Now()))
	if len(h.sent) != sent+1 {
		t.Errorf("%d attempts more, answers %+v", len(h.sent)-sent, h.answers[2])
	}
}

// Guards against a request that must not run twice and comes again after it was answered or its client has left.
func TestIDOfUnsafeRequestIsNotSentAgain(t *testing.T) {
	for _, class := range []string{"ride-end", "mark"} {
		for name, x := range map[string]struct {
			end  func(c *Core, h *harness, req Request)
			free bool // nothing ran, so the ID may be used again
		}{
			"served": {func(c *Core, h *harness, req Request) {
				c.Handle(req)
				h.endAttempt(c, AttemptResult{AttemptKey: h.sent[len(h.sent)-1].AttemptKey, Outcome: control.OK})
			}, false},
			"failed": {func(c *Core, h *harness, req Request) {
				c.Handle(req)
				h.endAttempt(c, AttemptResult{AttemptKey: h.sent[len(h.sent)-1].AttemptKey, Outcome: control.ServerError})
			}, false},
			"client gone": {func(c *Core, h *harness, req Request) { endByClient(c, h, req) }, false},
			"client gone, confirmed": {func(c *Core, h *harness, req Request) {
				h.confirm(c, CancelConfirmed{endByClient(c, h, req)})
			}, false},
			"client gone, never sent": {func(c *Core, h *harness, req Request) {
				c.Handle(req)
				c.Handle(CancelRequest{Frontend: h, RequestTag: req.RequestTag})
				h.endAttempt(c, AttemptResult{AttemptKey: h.sent[len(h.sent)-1].AttemptKey, Outcome: control.NotSent})
			}, true},
		} {
			t.Run(class+", "+name, func(t *testing.T) {
				c, h, clk := newCore(t)
				req := newRequest(h, 1, class, clk.Now())
				req.IdempotencyKey = "k"
				x.end(c, h, req)
				for clk.Advance(3100); len(c.requests) > 0; clk.Advance(100) { // attempts of a keyed request may follow
					c.Tick()
					for id, open := range h.open {
						for number := range open {
							h.endAttempt(c, AttemptResult{AttemptKey: AttemptKey{id, number}, Outcome: control.ServerError})
						}
					}
				}
				sent := len(h.sent)
				c.Handle(again(req, 2, clk.Now()))
				a := h.answers[2]
				refused := len(h.sent) == sent && len(a) == 1 && a[0].Verdict == Failed && a[0].Reason == DuplicateID && a[0].MayHaveRun
				if x.free && len(h.sent) == sent || !x.free && !refused {
					t.Errorf("%d attempts more, answers %+v", len(h.sent)-sent, a)
				}
				clk.Advance(unsafeIDTTLMs)
				c.Tick()
				c.Handle(again(req, 3, clk.Now()))
				if a := h.answers[3]; len(a) > 0 && a[0].Reason == DuplicateID && !x.free {
					t.Errorf("after %v ms: %+v", unsafeIDTTLMs, a)
				}
			})
		}
	}
}

// sharedTable is the table of two processes, as maps.
type sharedTable struct {
	held map[uint64]*Core
	full bool
}

// sharedIDs is the table as one of the processes sees it.
type sharedIDs struct {
	table *sharedTable
	core  *Core
}

func (s *sharedIDs) Claim(id uint64, _ float64) IDClaim {
	if s.table.full {
		return IDTableFull
	}
	if holder := s.table.held[id]; holder != nil && holder != s.core {
		return IDHeldByProcess
	}
	s.table.held[id] = s.core
	return IDClaimed
}

func (s *sharedIDs) Extend(uint64, float64) {}

func (s *sharedIDs) Release(id uint64) { delete(s.table.held, id) }

// Guards against an ID that runs twice because it comes at the other process of an upgrade.
func TestIDAtOtherProcessIsNotSentAgain(t *testing.T) {
	table := &sharedTable{held: map[uint64]*Core{}}
	old, oldHarness, clk := newCore(t)
	next, nextHarness, _ := newCore(t)
	old.opt.SharedIDs, next.opt.SharedIDs = &sharedIDs{table, old}, &sharedIDs{table, next}
	for tag, class := range map[uint64]string{1: "tile", 2: "ride-end"} {
		first := newRequest(oldHarness, tag, class, clk.Now())
		old.Handle(first)
		second := again(first, tag, clk.Now())
		second.Frontend = nextHarness
		next.Handle(second)
		want := Rejected
		if class == "ride-end" {
			want = Failed
		}
		if a := nextHarness.answers[tag]; len(nextHarness.sent) > 0 || len(a) != 1 || a[0].Verdict != want || a[0].Reason != DuplicateID {
			t.Errorf("%s: %d attempts, answers %+v", class, len(nextHarness.sent), a)
		}
		oldHarness.endAttempt(old, AttemptResult{AttemptKey: oldHarness.sent[len(oldHarness.sent)-1].AttemptKey, Outcome: control.OK})
	}
	if len(table.held) != 1 {
		t.Errorf("%d IDs are held after the ends, want that of the ride", len(table.held))
	}
	table.full = true
	third := newRequest(nextHarness, 3, "ride-end", clk.Now())
	next.Handle(third)
	if a := nextHarness.answers[3]; len(a) != 1 || a[0].Verdict != Rejected || a[0].Reason != Overloaded {
		t.Errorf("full table: %+v", a)
	}
}

// The table of retired IDs is bounded. While it is full, no request is accepted that must not run twice.
func TestRetiredIDsAreBounded(t *testing.T) {
	c, h, clk := newCore(t)
	for hash := range uint64(maxRetiredIDs + 100) {
		c.retired.add(hash, &retiredID{request: control.RequestID(1e6 + hash), until: clk.Now() + 1000, mayHaveRun: true}, clk.Now())
	}
	if n := len(c.retired.byHash); n != maxRetiredIDs || len(c.retired.byRequest) != n {
		t.Errorf("%d and %d entries", n, len(c.retired.byRequest))
	}
	c.Handle(newRequest(h, 1, "ride-end", clk.Now()))
	if a := h.answers[1]; len(a) != 1 || a[0].Verdict != Rejected || a[0].Reason != Overloaded {
		t.Errorf("unsafe request: %+v", a)
	}
	c.Handle(newRequest(h, 2, "tile", clk.Now()))
	if len(h.sent) != 1 {
		t.Errorf("safe request: %+v", h.answers[2])
	}
	clk.Advance(1001)
	c.retired.add(1, &retiredID{request: 1, until: clk.Now() + 1000}, clk.Now())
	if n := len(c.retired.byHash); n != 1 || len(c.retired.byRequest) != 1 {
		t.Errorf("%d entries after the others have expired", n)
	}
}

// Guards against a crash and a leak: an ID that was used again after its expiry, before the expired entry was swept, left that entry's
// request behind, and a late confirmation for it found no ID.
func TestExpiredIDIsReplacedWhole(t *testing.T) {
	table := newRetiredIDs()
	first, second := &retiredID{request: 1, until: 100, unconfirmed: []int{0}}, &retiredID{request: 2, until: 300, unconfirmed: []int{0}}
	table.add(7, first, 0)
	table.add(7, second, 200)
	if _, free := table.confirm(AttemptKey{ID: 1}); free || len(second.unconfirmed) != 1 {
		t.Errorf("a confirmation for the former request: free %t, unconfirmed %v", free, second.unconfirmed)
	}
	if _, free := table.confirm(AttemptKey{ID: 2}); !free {
		t.Error("the ID is not free after the confirmation for its request")
	}
	table.confirm(AttemptKey{ID: 1})
	if len(table.byHash)+len(table.byRequest) > 0 {
		t.Errorf("%d and %d entries are left", len(table.byHash), len(table.byRequest))
	}
}
