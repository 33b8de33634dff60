package fakestore

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
)

// Behavior is how a fake endpoint ends an attempt.
type Behavior int

// The behaviors. With Cut, ResetReading, ResetWriting, Stall and Hang the attempt stays open until the endpoint processes its
// DROP or the end of its connection.
const (
	Good         Behavior = iota
	Missing               // NOENT
	Busy                  // AGAIN
	Failing               // EIO
	Spoilt                // a malformed response
	Cut                   // the connection is closed in the middle of the response
	ResetReading          // the connection is reset after the request is read
	ResetWriting          // the connection is reset in the middle of the response
	Stall                 // the response stops in the middle; the connection stays open
	Hang                  // no response
)

// SlowStore is a process with several endpoints that processes cancellations late: GETs are processed at once, but DROPs and
// ends of connections only while it is not paused by Hold or Stop. It counts GETs for a request that has another open attempt.
type SlowStore struct {
	Addrs []string

	server
	behaviorOf             func(c Call, n int) Behavior
	mu                     sync.Mutex
	cond                   *sync.Cond
	paused                 bool
	pingsPaused            bool              // PINGs wait as well, until all pending ends are processed
	pendingEnds            int               // DROPs and ends of connections that are received but not yet processed
	open                   map[string]int    // open attempts, by ID
	received               map[string]int    // number of GETs, by ID
	calls                  []Call            // all GETs, in order of arrival
	epoch                  int               // input from connections that were opened in an earlier epoch is discarded
	duplicates             int               // GETs for a request that had another open attempt
	sameEndpointDuplicates int               // duplicates at the endpoint that had the other open attempt
	openAt                 map[[2]string]int // open attempts, by address and ID
}

// NewSlowStore starts the given number of endpoints. behaviorOf returns the behavior for GET number n (from 0) of an ID.
func NewSlowStore(endpoints int, behaviorOf func(c Call, n int) Behavior) (*SlowStore, error) {
	s := &SlowStore{behaviorOf: behaviorOf, open: map[string]int{}, received: map[string]int{}, openAt: map[[2]string]int{}}
	s.cond = sync.NewCond(&s.mu)
	for range endpoints {
		l, err := s.listen("127.0.0.1:0", s.serve)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.Addrs = append(s.Addrs, l.Addr().String())
	}
	return s, nil
}

// Hold pauses the processing of DROPs and ends of connections until Notice.
func (s *SlowStore) Hold() { s.setPaused(true) }

// Stop does the same as Hold and also delays the responses to PINGs until Notice, as endpoints do that don't respond to a
// health check. Commands that follow a DROP or a PING on the same connection are still processed.
func (s *SlowStore) Stop() {
	s.mu.Lock()
	s.pingsPaused = true
	s.mu.Unlock()
	s.Hold()
}

// Notice ends the pause of Hold and Stop.
func (s *SlowStore) Notice() { s.setPaused(false) }

func (s *SlowStore) setPaused(paused bool) {
	s.mu.Lock()
	s.paused = paused
	s.mu.Unlock()
	s.cond.Broadcast()
}

// Forget makes the endpoints silently discard all further input on their present connections, as happens behind a middlebox
// that has removed its entry for an idle connection. New connections are served.
func (s *SlowStore) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
}

// Unnoticed returns the number of received DROPs and ends of connections that are not processed yet.
func (s *SlowStore) Unnoticed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingEnds
}

// Twice returns the number of GETs received for a request that had another open attempt.
func (s *SlowStore) Twice() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.duplicates
}

// TwiceAtOne returns how many of those were received by the endpoint that had the other open attempt.
func (s *SlowStore) TwiceAtOne() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sameEndpointDuplicates
}

// Out returns the number of open attempts of an ID.
func (s *SlowStore) Out(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[id]
}

// Gets returns the number of GETs received for an ID.
func (s *SlowStore) Gets(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id]
}

// Calls returns all received GETs, in order of arrival.
func (s *SlowStore) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Close ends the pause and closes the endpoints.
func (s *SlowStore) Close() {
	s.Notice()
	s.server.Close()
}

func (s *SlowStore) serve(c net.Conn) {
	openHere := map[string]int{} // open attempts of this connection, by ID
	openAtKey := func(id string) [2]string { return [2]string{c.LocalAddr().String(), id} }
	endAttempt := func(id string) {
		if openHere[id] > 0 {
			openHere[id]--
			s.open[id]--
			s.openAt[openAtKey(id)]--
		}
	}
	defer func() { // the end of the connection, processed after the pause
		s.mu.Lock()
		s.waitWhilePaused()
		for id := range openHere {
			for openHere[id] > 0 {
				endAttempt(id)
			}
		}
		s.mu.Unlock()
	}()
	s.mu.Lock()
	epoch := s.epoch
	s.mu.Unlock()
	r := bufio.NewReader(c)
	for {
		args, err := readCommand(r)
		if err != nil || len(args) < 2 {
			return
		}
		call := parseCall(args)
		call.At = c.LocalAddr().String()
		s.mu.Lock()
		if s.epoch != epoch {
			s.mu.Unlock()
			continue
		}
		switch call.Verb {
		case "DROP":
			if !s.pingsPaused {
				s.waitWhilePaused()
				endAttempt(call.ID)
				break
			}
			s.wg.Go(func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.waitWhilePaused()
				endAttempt(call.ID)
			})
		case "GET":
			if s.open[call.ID] > 0 {
				s.duplicates++
			}
			if s.openAt[openAtKey(call.ID)] > 0 {
				s.sameEndpointDuplicates++
			}
			s.open[call.ID]++
			s.openAt[openAtKey(call.ID)]++
			openHere[call.ID]++
			behavior := s.behaviorOf(call, s.received[call.ID])
			s.received[call.ID]++
			s.calls = append(s.calls, call)
			if behavior <= Spoilt { // the complete response is written below
				endAttempt(call.ID)
			}
			s.mu.Unlock()
			respond(c, call.ID, behavior)
			s.mu.Lock()
		default:
			pingsPaused := s.pingsPaused
			s.mu.Unlock()
			if pingsPaused {
				s.wg.Go(func() { s.waitUntilEndsProcessed(); writeResponse(c, call.ID, "READY") })
			} else {
				writeResponse(c, call.ID, "READY")
			}
			s.mu.Lock()
		}
		s.mu.Unlock()
	}
}

// waitWhilePaused counts a pending end and blocks until the pause is over. The caller must hold mu.
func (s *SlowStore) waitWhilePaused() {
	s.pendingEnds++
	for s.paused {
		s.cond.Wait()
	}
	s.pendingEnds--
	s.cond.Broadcast()
}

// waitUntilEndsProcessed blocks until the pause is over and no received end is pending.
func (s *SlowStore) waitUntilEndsProcessed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.paused || s.pendingEnds > 0 {
		s.cond.Wait()
	}
}

// writeResponse writes a complete response with fixed fields and the body "ok".
func writeResponse(c net.Conn, id, status string) {
	fields := "tag=0a,minted=1,why=local"
	fmt.Fprintf(c, "*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$2\r\nok\r\n", len(id), id, len(status), status, len(fields), fields)
}

// respond writes a response, a part of one or nothing, and closes or resets the connection, as behavior says.
func respond(c net.Conn, id string, behavior Behavior) {
	if behavior == Cut || behavior == ResetWriting || behavior == Stall {
		fmt.Fprintf(c, "*4\r\n$%d\r\n%s\r\n$3\r\nAC", len(id), id)
	}
	switch behavior {
	case Good:
		writeResponse(c, id, "ACK")
	case Missing:
		writeResponse(c, id, "NOENT")
	case Busy:
		writeResponse(c, id, "AGAIN")
	case Failing:
		writeResponse(c, id, "EIO")
	case Spoilt:
		fmt.Fprint(c, "*4\r\n$70000\r\n")
	case Cut:
		c.Close()
	case ResetReading, ResetWriting:
		resetConn(c)
	}
}
