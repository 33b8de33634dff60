package fakestore

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Behavior is how a fake endpoint ends an attempt.
type Behavior int

// The behaviors. From CloseMidResponse on the attempt stays open until the endpoint processes its DROP or the end of its
// connection.
const (
	Succeed           Behavior = iota
	Missing                    // NOENT
	Busy                       // AGAIN
	Failing                    // EIO
	Malformed                  // a malformed response
	ShortArray                 // a response whose array states one element less than follow
	UnknownStatus              // a response with a status that the protocol does not have
	WrongNotModified           // NOMOD, although the request names no copy
	CloseMidResponse           // the connection is closed in the middle of the response
	ResetAfterRequest          // the connection is reset after the request is read
	ResetMidResponse           // the connection is reset in the middle of the response
	StallMidResponse           // the response stops in the middle; the connection stays open
	NoResponse                 // no response
)

// SlowServer is a process with several endpoints that processes cancellations late: GETs are processed at once, but DROPs and
// ends of connections only while it is not paused by PauseCancellations or
// PauseCancellationsAndPings. It counts GETs for a request that has another open attempt.
type SlowServer struct {
	Addrs []string

	server
	behaviorOf             func(c Command, n int) Behavior
	mu                     sync.Mutex
	cond                   *sync.Cond
	paused                 bool
	pingsPaused            bool              // PINGs wait as well, until all pending ends are processed
	pendingEnds            int               // DROPs and ends of connections that are received but not yet processed
	open                   map[string]int    // open attempts, by ID
	received               map[string]int    // number of GETs, by ID
	gets                   []Command         // all GETs, in order of arrival
	epoch                  int               // input from connections that were opened in an earlier epoch is discarded
	duplicates             int               // GETs for a request that had another open attempt
	duplicateGets          []Command         // these GETs
	sameEndpointDuplicates int               // duplicates at the endpoint that had the other open attempt
	openAt                 map[[2]string]int // open attempts, by address and ID
}

// NewSlowServer starts the given number of endpoints. behaviorOf returns the behavior for GET number n (from 0) of an ID.
func NewSlowServer(endpoints int, behaviorOf func(c Command, n int) Behavior) (*SlowServer, error) {
	s := &SlowServer{behaviorOf: behaviorOf, open: map[string]int{}, received: map[string]int{}, openAt: map[[2]string]int{}}
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

// PauseCancellations pauses the processing of DROPs and ends of connections until Resume.
func (s *SlowServer) PauseCancellations() { s.setPaused(true) }

// PauseCancellationsAndPings does the same as PauseCancellations and also delays the responses to PINGs until Resume, as
// endpoints do that don't respond to a health check. Commands that follow a DROP or a PING on the same connection are still
// processed.
func (s *SlowServer) PauseCancellationsAndPings() {
	s.mu.Lock()
	s.pingsPaused = true
	s.mu.Unlock()
	s.PauseCancellations()
}

// Resume ends the pause of PauseCancellations and PauseCancellationsAndPings.
func (s *SlowServer) Resume() { s.setPaused(false) }

func (s *SlowServer) setPaused(paused bool) {
	s.mu.Lock()
	s.paused = paused
	s.mu.Unlock()
	s.cond.Broadcast()
}

// DiscardInput makes the endpoints silently discard all further input on their present connections, as happens behind a
// middlebox that has removed its entry for an idle connection. New connections are served.
func (s *SlowServer) DiscardInput() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
}

// PendingEnds returns the number of received DROPs and ends of connections that are not processed yet.
func (s *SlowServer) PendingEnds() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingEnds
}

// DuplicateGets returns the number of GETs received for a request that had another open attempt.
func (s *SlowServer) DuplicateGets() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.duplicates
}

// AllDuplicateGets returns the GETs received for a request that had another open attempt.
func (s *SlowServer) AllDuplicateGets() []Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.duplicateGets)
}

// DuplicateGetsAtSameEndpoint returns how many of those were received by the endpoint that had the other open attempt.
func (s *SlowServer) DuplicateGetsAtSameEndpoint() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sameEndpointDuplicates
}

// OpenAttempts returns the number of open attempts of an ID.
func (s *SlowServer) OpenAttempts(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[id]
}

// GetCount returns the number of GETs received for an ID.
func (s *SlowServer) GetCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id]
}

// AllGets returns all received GETs, in order of arrival.
func (s *SlowServer) AllGets() []Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.gets)
}

// Close ends the pause and closes the endpoints.
func (s *SlowServer) Close() {
	s.Resume()
	s.server.Close()
}

func (s *SlowServer) serve(c net.Conn) {
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
	in := &arrivalReader{conn: c}
	r := bufio.NewReader(in)
	for {
		args, err := readCommand(r)
		if err != nil || len(args) < 2 {
			return
		}
		cmd := parseCommand(args)
		cmd.Address, cmd.ArrivedBy = c.LocalAddr().String(), in.arrivedBy
		s.mu.Lock()
		if s.epoch != epoch {
			s.mu.Unlock()
			continue
		}
		switch cmd.Verb {
		case "DROP":
			if !s.pingsPaused {
				s.waitWhilePaused()
				endAttempt(cmd.ID)
				break
			}
			s.wg.Go(func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.waitWhilePaused()
				endAttempt(cmd.ID)
			})
		case "GET":
			if s.open[cmd.ID] > 0 {
				s.duplicates++
				s.duplicateGets = append(s.duplicateGets, cmd)
			}
			if s.openAt[openAtKey(cmd.ID)] > 0 {
				s.sameEndpointDuplicates++
			}
			s.open[cmd.ID]++
			s.openAt[openAtKey(cmd.ID)]++
			openHere[cmd.ID]++
			behavior := s.behaviorOf(cmd, s.received[cmd.ID])
			s.received[cmd.ID]++
			s.gets = append(s.gets, cmd)
			if behavior < CloseMidResponse { // the complete response is written below
				endAttempt(cmd.ID)
			}
			s.mu.Unlock()
			respond(c, cmd.ID, behavior)
			s.mu.Lock()
		default:
			pingsPaused := s.pingsPaused
			s.mu.Unlock()
			if pingsPaused {
				s.wg.Go(func() { s.waitUntilEndsProcessed(); writeResponse(c, cmd.ID, "READY") })
			} else {
				writeResponse(c, cmd.ID, "READY")
			}
			s.mu.Lock()
		}
		s.mu.Unlock()
	}
}

// waitWhilePaused counts a pending end and blocks until the pause is over. The caller must hold mu.
func (s *SlowServer) waitWhilePaused() {
	s.pendingEnds++
	for s.paused {
		s.cond.Wait()
	}
	s.pendingEnds--
	s.cond.Broadcast()
}

// waitUntilEndsProcessed blocks until the pause is over and no received end is pending.
func (s *SlowServer) waitUntilEndsProcessed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.paused || s.pendingEnds > 0 {
		s.cond.Wait()
	}
}

// responseElements is the length of a response's array.
const responseElements = 4

// writeResponse writes a complete response with fixed fields and the body "ok".
func writeResponse(c net.Conn, id, status string) { writeArray(c, responseElements, id, status) }

// writeArray writes a response whose array states a length, which may be wrong.
func writeArray(c net.Conn, length int, id, status string) {
	fields := "tag=0a,minted=1,why=local"
	fmt.Fprintf(c, "*%d\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$2\r\nok\r\n",
		length, len(id), id, len(status), status, len(fields), fields)
}

// respond writes a response, a part of one or nothing, and closes or resets the connection, as behavior says.
func respond(c net.Conn, id string, behavior Behavior) {
	if behavior == CloseMidResponse || behavior == ResetMidResponse || behavior == StallMidResponse {
		fmt.Fprintf(c, "*4\r\n$%d\r\n%s\r\n$3\r\nAC", len(id), id)
	}
	switch behavior {
	case Succeed:
		writeResponse(c, id, "ACK")
	case Missing:
		writeResponse(c, id, "NOENT")
	case Busy:
		writeResponse(c, id, "AGAIN")
	case Failing:
		writeResponse(c, id, "EIO")
	case ShortArray:
		writeArray(c, responseElements-1, id, "ACK")
	case UnknownStatus:
		writeResponse(c, id, "READY")
	case WrongNotModified:
		writeResponse(c, id, "NOMOD")
	case Malformed:
		fmt.Fprint(c, "*4\r\n$70000\r\n")
	case CloseMidResponse:
		c.Close()
	case ResetAfterRequest, ResetMidResponse:
		resetConn(c)
	}
}

// arrivalReader reads a connection and records by when the bytes that were read last had arrived.
type arrivalReader struct {
	conn      net.Conn
	arrivedBy time.Time
}

// Read reads from the connection.
func (a *arrivalReader) Read(b []byte) (int, error) {
	n, err := a.conn.Read(b)
	a.arrivedBy = time.Now().Add(-sinceLastData(a.conn))
	return n, err
}

// sinceLastData returns how long ago data last arrived on a connection, or 0 if that is unknown.
func sinceLastData(c net.Conn) (age time.Duration) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
