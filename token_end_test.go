package turnfork

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against a request that can't be sent any more, as its token has ended while it waits for a connection, and that is answered
// only when it gets one. All connections to the origin are in use for requests that it never answers.
func TestRequestWaitingAtEndOfTokenIsAnsweredAtOnce(t *testing.T) {
	const (
		lasting, ending = 3 * connsPerHTTPEndpoint, 8 // requests by the life of their tokens
		lead            = 500 * time.Millisecond      // less than the time after which the gateway gives up an attempt
		slack           = 300 * time.Millisecond
	)
	silent := func() (httpBehavior, time.Duration) { return httpSilent, 0 }
	s := newHTTPStoreGateway(t, map[int]behaviorChooser{firstHTTPCache: silent, secondHTTPCache: silent, httpOrigin: silent})
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	var tasks sync.WaitGroup
	send := func(number int, lifetime time.Duration) *soakRequest {
		request := &soakRequest{class: "ride-end"}
		tasks.Go(func() { s.send(transport, request, http.MethodPost, fmt.Sprintf("%016x", number), lifetime) })
		return request
	}
	end := time.Now().Add(lead).Truncate(time.Second).Add(time.Second) // a token ends with a whole second
	time.Sleep(time.Until(end.Add(-lead)))
	for number := range lasting {
		send(number, time.Minute)
	}
	time.Sleep(lead / 5)
	var waiting []*soakRequest
	for number := range ending {
		waiting = append(waiting, send(lasting+number, time.Until(end)+time.Millisecond))
	}
	tasks.Wait()
	for _, r := range waiting {
		if late := r.answeredAt.Sub(end); r.status != http.StatusForbidden || late < 0 || late > slack {
			t.Errorf("answered %d, %v after the end of its token", r.status, late)
		}
	}
}
