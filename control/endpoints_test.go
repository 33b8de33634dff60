package control

import (
	"testing"
	"time"
)

// While an endpoint is excluded nothing is sent to it, as target, source or health check, whatever its listed state.
// Commands may be repeated. After its readmission it is used again within seconds, its failures are cleared, and it
// is in slow start: it was restarted, and the list may not show this yet.
func TestExcludedEndpointIsUnusedInAnyListedState(t *testing.T) {
	set := testSettings()
	set.CanCheckHealth = true
	for _, excludedID := range []EndpointID{10, parentID} {
		h := newHarness(t, set, testEndpoints())
		id := RequestID(0)
		uses := func(d time.Duration) (n int) {
			for end := h.now + d; h.now < end; h.advance(20 * ms) {
				id++
				h.request(Request{ID: id, Object: ObjectID(id % 50), SizeKB: 300, Remaining: time.Second})
				for i, s := range h.attempts[id] {
					if s.To == excludedID || s.Source == excludedID {
						n++
					}
					if !s.ended {
						h.endAttempt(id, i, OK, Filled)
					}
				}
			}
			return n
		}
		if uses(2*time.Second) == 0 {
			t.Fatalf("endpoint %d is not used at all", excludedID)
		}
		h.handle(Excluded{Endpoint: excludedID, Excluded: true})
		h.handle(Excluded{Endpoint: excludedID, Excluded: true})
		h.notReady[excludedID] = h.now - time.Hour // makes the harness check the drain rule
		m := h.endpoints[excludedID]
		for _, state := range []State{Ready, Draining, Gone, Ready} {
			m.State = state
			if h.handle(EndpointList{Endpoints: []Endpoint{m}}); uses(300*ms) > 0 {
				t.Errorf("endpoint %d is used while it is excluded, listed as %d", excludedID, state)
			}
		}
		if !h.controller.WasListed(excludedID) || h.controller.WasListed(4242) {
			t.Error("WasListed does not match the list")
		}
		if i, ok := h.controller.search(excludedID); ok { // failures caused by its restart
			for range maxConsecutiveErrors {
				h.controller.endpoints[i].eject(h.now + time.Hour)
			}
		}
		h.handle(Excluded{Endpoint: excludedID})
		h.handle(Excluded{Endpoint: excludedID})
		delete(h.notReady, excludedID)
		m.StartedAt = h.now // the harness checks the slow-start budget from here on
		h.endpoints[excludedID] = m
		if uses(3*time.Second) == 0 {
			t.Errorf("endpoint %d is not used after its readmission", excludedID)
		}
	}
}

// The number of listed ids that are kept is bounded; those of current endpoints are always kept.
func TestKnownIDsAreBounded(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints())
	for i := range 4 * maxKnownIDs {
		h.controller.rememberID(EndpointID(1000 + i))
	}
	if n := len(h.controller.knownIDs[0]) + len(h.controller.knownIDs[1]); n > 2*maxKnownIDs+len(h.controller.endpoints) || !h.controller.WasListed(10) || !h.controller.WasListed(EndpointID(999+4*maxKnownIDs)) {
		t.Errorf("%d ids kept", n)
	}
}

// A draining endpoint is used neither as target nor as source, with immediate effect.
func TestDrainingEndpointIsNeitherTargetNorSource(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints())
	for _, id := range []EndpointID{10, 11, parentID} {
		m := h.endpoints[id]
		m.State = Draining
		h.updateList(false, m)
	}
	for id := range RequestID(40) {
		h.request(Request{ID: id + 1, Object: ObjectID(id + 1), SizeKB: 50, Remaining: time.Second})
		for _, s := range h.attempts[id+1] {
			if s.To == 10 || s.To == 11 || s.Source == parentID {
				t.Fatalf("sent to %d from %d", s.To, s.Source)
			}
		}
		if len(h.attempts[id+1]) > 0 {
			h.endAttempt(id+1, 0, OK, Filled)
		}
	}
}

// With no ready cache, parent or origin every request still gets a response, and none is sent to a wrong endpoint.
func TestMissingTiers(t *testing.T) {
	all := testEndpoints()
	for name, list := range map[string][]Endpoint{
		"nothing": nil, "caches alone": all[3:], "parents alone": all[:2], "origin alone": all[2:3],
		"odd weights": {{ID: 10, Zone: testZone, Weight: 0, State: Ready}, {ID: 11, Zone: testZone, Weight: -1, State: Ready}},
	} {
		h := newHarness(t, testSettings(), list)
		for id := range RequestID(20) {
			h.request(Request{ID: id + 1, Object: ObjectID(id), Remaining: time.Second})
		}
		h.advance(2 * time.Second)
		for id := range h.requests {
			if !h.answered[id] {
				t.Errorf("%s: request %d has no response", name, id)
			}
		}
	}
}
