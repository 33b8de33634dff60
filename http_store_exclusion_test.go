package turnfork

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// A cache that was taken out while it had a request, and then resets the connection, must not get the request again. Another store
// answers it.
func TestExcludedHTTPStoreDoesNotGetItsRequestAgain(t *testing.T) {
	var held atomic.Bool
	const heldFor = drainGrace + 100*time.Millisecond // less than the time after which the gateway gives up the attempt
	serve := func() (httpBehavior, time.Duration) { return httpServe, 0 }
	hold := func() (httpBehavior, time.Duration) {
		if held.Load() {
			return httpReset, heldFor
		}
		return httpServe, 0
	}
	s := newHTTPStoreGateway(t, map[int]behaviorChooser{firstHTTPCache: hold, secondHTTPCache: hold, httpOrigin: serve})
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	const warmUps = 16
	for i := range warmUps { // leaves a connection to each cache
		s.send(transport, &soakRequest{class: "firmware"}, http.MethodGet, fmt.Sprintf("%016x", i+1), time.Minute)
	}
	for _, id := range []int{firstHTTPCache, secondHTTPCache} {
		if len(s.stores[id].recorded()) == 0 {
			t.Fatalf("the %s cache was not used", s.stores[id].name)
		}
	}
	held.Store(true)
	const object = "00000000000000aa"
	answered := make(chan struct{})
	request := &soakRequest{class: "firmware", timeToAnswer: 3 * time.Second}
	go func() {
		s.send(transport, request, http.MethodGet, object, time.Minute)
		close(answered)
	}()
	holder := s.awaitHolder(object)
	s.adminCall("/stores/disable", holder)
	out := outage{store: s.stores[holder].name, from: time.Now().Add(drainGrace), to: time.Now().Add(time.Minute), why: "taken out by an operator"}
	s.addOutage(out)
	held.Store(false)
	<-answered
	for _, a := range s.stores[holder].recorded() {
		s.checkOutages(a)
	}
	if s.checkAnswer(object, request); request.status != http.StatusOK {
		t.Errorf("it was answered %d", request.status)
	}
}

// awaitHolder returns the ID of the cache that has a request for an object.
func (s *httpSoak) awaitHolder(object string) int {
	for limit := time.Now().Add(5 * time.Second); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		for _, id := range []int{firstHTTPCache, secondHTTPCache} {
			for _, a := range s.stores[id].recorded() {
				if objectOf(a.path) == object {
					return id
				}
			}
		}
	}
	s.Fatal("no cache has the request")
	return 0
}
