package turnfork

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"turnfork.dev/turnfork/internal/fakestore"
)

// httpBehavior is what an HTTP store does with a request. Those that end the connection without a response leave it open whether
// the request has run.
type httpBehavior int

const (
	httpServe httpBehavior = iota
	httpServeAndClose
	httpReset
	httpClose
	httpCutBody
	httpServerError
	httpOverloaded
	httpNotFound
	httpSilent
)

// mayHaveRun reports whether a request with this behavior may have run.
func (b httpBehavior) mayHaveRun() bool { return b != httpOverloaded }

// behaviorChooser chooses how a store responds to its next request, and after which time.
type behaviorChooser func() (httpBehavior, time.Duration)

// httpArrival is a request that an HTTP store has read.
type httpArrival struct {
	store    string
	method   string
	path     string
	txn      string
	behavior httpBehavior
	at       time.Time
	endedAt  time.Time // when the store began to end it; zero: the gateway ended it, or it is in progress
}

// isProbe reports whether the request is a health check.
func (a *httpArrival) isProbe() bool { return a.method == http.MethodHead }

// httpStore is a stand-in for an endpoint that speaks HTTP. It behaves at random, by a seed.
type httpStore struct {
	name, base string

	mu       sync.Mutex
	choose   behaviorChooser
	arrivals []*httpArrival
}

const httpBody = "the bytes of a part"

// newHTTPStore starts a stand-in on loopback.
func newHTTPStore(t testing.TB, name string, choose behaviorChooser) *httpStore {
	s := &httpStore{name: name, choose: choose}
	server, err := fakestore.ListenHTTP(s.handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	s.base = server.BaseURL()
	return s
}

// randomBehavior returns a function that chooses behaviors for a store: usually an answer at once, else a fault, at times late.
func randomBehavior(seed, stream uint64, faults []httpBehavior, faultShare float64, longest time.Duration) behaviorChooser {
	random := rand.New(rand.NewPCG(seed, stream))
	return func() (httpBehavior, time.Duration) {
		const lateShare = 0.1
		after := time.Duration(random.Int64N(int64(10 * time.Millisecond)))
		if random.Float64() < lateShare {
			after = time.Duration(random.Int64N(int64(longest)))
		}
		if random.Float64() >= faultShare {
			return httpServe, after
		}
		return faults[random.IntN(len(faults))], after
	}
}

// handle records a request and responds to it. It reports whether the connection can take another one.
func (s *httpStore) handle(request fakestore.HTTPRequest) (usable bool) {
	a, after := s.record(request)
	if a.behavior == httpSilent {
		request.Reader.Peek(1) // until the gateway closes it
		return false
	}
	if after > 0 && !waitUnlessClosed(request.Conn, request.Reader, after) {
		return false
	}
	s.mu.Lock()
	a.endedAt = time.Now()
	s.mu.Unlock()
	return respond(request.Conn, a)
}

// record records a request and chooses what happens to it.
func (s *httpStore) record(request fakestore.HTTPRequest) (a *httpArrival, after time.Duration) {
	a = &httpArrival{
		store: s.name, method: request.Method, path: request.URL.Path, txn: request.Header.Get("X-Txn"), at: request.ArrivedAt,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !a.isProbe() {
		a.behavior, after = s.choose()
	}
	s.arrivals = append(s.arrivals, a)
	return a, after
}

// respond responds to a request. It reports whether the connection can take another one.
func respond(conn net.Conn, a *httpArrival) (usable bool) {
	status := http.StatusOK
	switch a.behavior {
	case httpReset:
		conn.(*net.TCPConn).SetLinger(0)
		return false
	case httpClose:
		return false
	case httpCutBody:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(httpBody)+1, httpBody)
		return false
	case httpServerError:
		status = http.StatusInternalServerError
	case httpOverloaded:
		status = http.StatusServiceUnavailable
	case httpNotFound:
		status = http.StatusNotFound
	}
	body := httpBody
	if a.isProbe() {
		body = ""
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nETag: \"0a\"\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	return err == nil && a.behavior != httpServeAndClose
}

// waitUnlessClosed waits, and reports false if the connection is closed meanwhile.
func waitUnlessClosed(conn net.Conn, reader *bufio.Reader, wait time.Duration) bool {
	// A read that a loaded machine resumes after its deadline times out even if the connection was closed before; the second one
	// sees that.
	const lastLook = time.Millisecond
	defer conn.SetReadDeadline(time.Time{})
	return peekTimesOut(conn, reader, wait) && peekTimesOut(conn, reader, lastLook)
}

func peekTimesOut(conn net.Conn, reader *bufio.Reader, wait time.Duration) bool {
	conn.SetReadDeadline(time.Now().Add(wait))
	_, err := reader.Peek(1)
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// recorded returns copies of the requests read so far, in order.
func (s *httpStore) recorded() (arrivals []httpArrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		arrivals = append(arrivals, *a)
	}
	return arrivals
}

// config returns the section of the store in an operator's file.
func (s *httpStore) config(id int, kind string) string {
	return fmt.Sprintf("[[store]]\nid = %d\nkind = %q\nbase = %q\n", id, kind, s.base)
}

// objectOf returns the object in the path of an attempt.
func objectOf(path string) string {
	parts := strings.Split(path, "/")
	if len(parts) < 3 {
		return ""
	}
	return parts[2]
}
