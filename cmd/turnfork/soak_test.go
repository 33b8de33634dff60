package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"iter"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"turnfork.dev/turnfork/front"
	"turnfork.dev/turnfork/internal/soaktest"
)

// crowdNames returns the kinds of misbehaving clients: crowds, and floods on one connection.
func crowdNames() iter.Seq[string] {
	names := map[string]bool{}
	for name := range crowdBehaviors {
		names[name] = true
	}
	for name := range floods {
		names["flood: "+name] = true
	}
	return maps.Keys(names)
}

// TestSoak runs a gateway under everything at once: endpoints that fail in all ways and drain, clients that hold their connections to
// the end, leave or abort, crowds and floods, and signals in series. Each request of a sound client must get one final answer in its
// time; no request may be at two endpoints at once, run twice if it must not, or be sent after its client has gone; the memory must
// stay within its limit, and the process must end by signals only.
func TestSoak(t *testing.T) {
	const seeds, parallelSoaks, shownFaults = 8, 3, 10
	bin := build(t)
	soaktest.Run(t, seeds, parallelSoaks, func(t *testing.T, seed uint64) {
		s := newSoak(t, bin, seed)
		s.run()
		t.Logf("%d MB, crowd %q: %v", s.memoryMB, s.crowd, s.counts)
		for i, fault := range s.faults {
			if i == shownFaults {
				t.Errorf("and %d faults more", len(s.faults)-i)
				break
			}
			t.Error(fault)
		}
	})
}

// run plays the run.
func (s *soak) run() {
	s.start()
	end := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { s.stalls.watch(end) })
	for i := range 6 {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))
		clients.Go(func() { s.client(random, end) })
	}
	drains := rand.New(rand.NewPCG(s.random.Uint64(), 99))
	clients.Go(func() { s.drainEndpoints(drains, end) })
	s.misbehave(&clients, end)
	s.pause(600, 900)
	for range 1 + s.random.IntN(4) {
		s.signal(syscall.SIGHUP)
		s.pause(5, 60)
	}
	s.pause(200, 500)
	s.checkMemory()
	s.terminate()
	s.start()
	s.pause(500, 900)
	if s.random.IntN(2) == 0 {
		s.kill()
		s.start()
		s.pause(300, 600)
	}
	s.terminate()
	close(end)
	clients.Wait()
	s.checkGets()
}

// pause waits for a random time between two bounds in ms.
func (s *soak) pause(from, to int) {
	time.Sleep(time.Duration(from+s.random.IntN(to-from)) * time.Millisecond)
}

// misbehave starts the misbehaving clients of the run, which come back after each restart.
func (s *soak) misbehave(clients *sync.WaitGroup, end <-chan struct{}) {
	name, isFlood := strings.CutPrefix(s.crowd, "flood: ")
	repeat := func(act func(until time.Time)) {
		for !isClosed(end) {
			act(time.Now().Add(time.Second))
			time.Sleep(100 * time.Millisecond)
		}
	}
	switch {
	case s.crowd == "":
	case isFlood:
		clients.Go(func() { repeat(func(until time.Time) { flood(s.addr, until, floods[name]) }) })
	default:
		const crowd = 300
		for n := range crowd {
			clients.Go(func() {
				repeat(func(until time.Time) {
					c, err := net.DialTimeout("tcp", s.addr, time.Second)
					if err != nil {
						return
					}
					defer c.Close()
					c.SetDeadline(until)
					crowdBehaviors[name](pacedConn{c}, n)
					time.Sleep(time.Until(until))
				})
			})
		}
	}
}

// pacedConn writes at a limited rate, so that a crowd takes the gateway's core and not the whole machine, with the endpoints on it.
type pacedConn struct{ net.Conn }

const crowdBytesPerSecond = 300_000 // of each client

func (c pacedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	time.Sleep(time.Duration(n) * time.Second / crowdBytesPerSecond)
	return n, err
}

// drainEndpoints has the endpoints drain and come back, one at a time, and checks that they get nothing new beyond the grace time.
func (s *soak) drainEndpoints(random *rand.Rand, end <-chan struct{}) {
	for !isClosed(end) {
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
		endpoint := random.IntN(3)
		addr := s.endpoints.Addrs[endpoint]
		s.log.add(2, s.log.record(s.T, endpoint, addr, 1))
		told := time.Now()
		time.Sleep(drainGrace + time.Duration(100+random.IntN(400))*time.Millisecond)
		back := time.Now()
		s.mu.Lock()
		for i := len(s.gets) - 1; i >= 0; i-- {
			// A process that was started since learns of the drain with its first list.
			if get := s.gets[i]; get.address == addr && get.at.Sub(told) > drainGrace && get.at.Before(back) && !s.startedBetween(told, get.at) {
				s.faults = append(s.faults, fmt.Sprintf("%s was sent to a draining endpoint %v after it was told", get.id, get.at.Sub(told)))
			}
		}
		s.mu.Unlock()
		s.log.add(2, s.log.record(s.T, endpoint, addr, 0))
	}
}

// startedBetween reports whether a process of the gateway was started between two times. The caller holds mu.
func (s *soak) startedBetween(from, to time.Time) bool {
	return slices.ContainsFunc(s.processStarts, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// soakRequest is a request of a sound client.
type soakRequest struct {
	id       string
	frames   []byte // with the number on the connection replaced by resend
	sentAt   time.Time
	deadline time.Time
	again    bool // it was sent a second time, as it crossed the close of its connection
}

// soakConn is a connection of a sound client.
type soakConn struct {
	soak *soak
	net  net.Conn

	mu     sync.Mutex
	open   map[uint16]*soakRequest
	ending bool // the client closes it
	ended  chan struct{}
}

// client sends requests until the end of the run, on one connection after the other.
func (s *soak) client(random *rand.Rand, end <-chan struct{}) {
	var crossing []*soakRequest
	for !isClosed(end) || len(crossing) > 0 {
		c, err := net.DialTimeout("tcp", s.addr, time.Second)
		if err != nil { // the gateway is down; what crossed its end is answered by nobody
			for _, r := range crossing {
				if time.Now().Before(r.deadline) {
					s.count("no gateway for a second try")
				}
			}
			crossing = nil
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conn := &soakConn{soak: s, net: c, open: map[uint16]*soakRequest{}, ended: make(chan struct{})}
		go conn.read()
		crossing = conn.use(random, end, crossing)
	}
}

// use sends requests on a connection until it ends or the client closes it. It returns those that crossed its close.
func (c *soakConn) use(random *rand.Rand, end <-chan struct{}, resend []*soakRequest) (crossed []*soakRequest) {
	number := uint16(0)
	leaveAt := time.Now().Add(time.Duration(300+random.IntN(3000)) * time.Millisecond)
	for !isClosed(c.ended) {
		c.checkOverdue()
		switch {
		case isClosed(end) && c.openCount() == 0:
			c.close()
		case isClosed(end): // waits for what is open
		case len(resend) > 0:
			r := resend[0]
			resend = resend[1:]
			r.again = true
			c.send(number%8+1, r)
			number++
		case time.Now().After(leaveAt) && random.IntN(3) > 0:
			c.leave()
		case c.openCount() < 4:
			number++
			if id := number%8 + 1; !c.isOpen(id) {
				c.send(id, c.soak.newRequest(random))
				if random.IntN(25) == 0 {
					c.abort(id)
				}
			}
		}
		time.Sleep(time.Duration(1+random.IntN(12)) * time.Millisecond)
	}
	return append(resend, c.lost()...)
}

// newRequest returns a request of a random class.
func (s *soak) newRequest(random *rand.Rand) *soakRequest {
	class := []string{"firmware", "firmware", "firmware", "ride-end", "mark"}[random.IntN(5)]
	wait := time.Duration(500+random.IntN(700)) * time.Millisecond
	r := &soakRequest{id: fmt.Sprintf("%016x", random.Uint64()), deadline: time.Now().Add(wait)}
	params := []string{
		"SCRIPT_NAME", "/v1/" + class, "HTTP_X_TXN", r.id, "HTTP_X_TTL_MS", strconv.Itoa(int(wait.Milliseconds())), "HTTP_X_ROW", fmt.Sprintf("%016x", random.IntN(40)+1),
		"HTTP_X_BLOCK", "0", "HTTP_X_FAMILY", "1", "HTTP_X_WORKING_SET_KB", "40",
	}
	if class == "mark" {
		params = append(params, "HTTP_X_TXN_KEY", r.id+r.id)
	}
	r.frames = beginRequest(1)
	r.frames = append(r.frames, encodeRecord(recordParams, 1, encodeParams(params...))...)
	r.frames = append(r.frames, encodeRecord(recordParams, 1, nil)...)
	if class != "firmware" {
		r.frames = append(r.frames, encodeRecord(recordStdin, 1, make([]byte, random.IntN(20000)+1))...)
	}
	r.frames = append(r.frames, encodeRecord(recordStdin, 1, nil)...)
	return r
}

// send sends a request under a number.
func (c *soakConn) send(id uint16, r *soakRequest) {
	frames := append([]byte(nil), r.frames...)
	for at := 0; at < len(frames); at += 8 + int(binary.BigEndian.Uint16(frames[at+4:])) {
		binary.BigEndian.PutUint16(frames[at+2:], id)
	}
	c.mu.Lock()
	c.open[id] = r
	c.mu.Unlock()
	if front.PeerClosed(c.net) { // the reader will see it: nothing is sent on a connection that has been closed
		c.mu.Lock()
		delete(c.open, id)
		c.mu.Unlock()
		return
	}
	c.net.SetWriteDeadline(time.Now().Add(2 * time.Second))
	c.net.Write(frames) // after an error the reader ends
	c.mu.Lock()
	r.sentAt = time.Now()
	c.mu.Unlock()
}

func (c *soakConn) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

func (c *soakConn) isOpen(id uint16) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[id] != nil
}

// abort withdraws a request. Its END_REQUEST may cross it.
func (c *soakConn) abort(id uint16) {
	c.mu.Lock()
	r := c.open[id]
	c.mu.Unlock()
	if r == nil {
		return
	}
	c.net.Write(encodeRecord(recordAbort, id, nil))
	c.soak.left(r)
}

// left records that the client of a request has gone.
func (s *soak) left(r *soakRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone[r.id] = time.Now()
}

// leave closes the connection with its requests open.
func (c *soakConn) leave() {
	c.mu.Lock()
	c.ending = true
	left := c.open
	c.open = map[uint16]*soakRequest{}
	c.mu.Unlock()
	c.net.Close()
	for _, r := range left {
		c.soak.left(r)
	}
}

// close closes the connection, on which nothing is open.
func (c *soakConn) close() {
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	c.net.Close()
}

// maxSoakOutput is the number of bytes of a record that is kept; the endpoints' bodies have two.
const maxSoakOutput = 1 << 10

// isCompleteOutput reports whether the output of a served request has the body that every endpoint sends. The clients hold no
// copies, so that none may be confirmed.
func isCompleteOutput(output []byte) bool {
	head, body, _ := strings.Cut(string(output), "\r\n\r\n")
	return body == "ok" && !strings.Contains(head, "X-Keep")
}

// read reads the responses.
func (c *soakConn) read() {
	defer close(c.ended)
	r := bufio.NewReader(c.net)
	for {
		id, output, err := readOutput(r, maxSoakOutput)
		if err != nil {
			if err != io.EOF {
				c.net.Close()
			}
			return
		}
		c.mu.Lock()
		request, ending := c.open[id], c.ending
		delete(c.open, id)
		c.mu.Unlock()
		if ending {
			continue // the client has gone
		}
		text, _, _ := strings.Cut(strings.TrimPrefix(string(output), "Status: "), " ")
		switch {
		case request == nil:
			c.soak.fault("a second response, or one to no request: %q", output)
		case text == "200" && !isCompleteOutput(output):
			c.soak.fault("%s was answered with what no endpoint made for it: %q", request.id, output)
		case time.Now().After(request.deadline.Add(answerSlack + c.soak.stalls.within(request.deadline, time.Now()))):
			c.soak.fault("%s was answered %v late with %s", request.id, time.Since(request.deadline), text)
		default:
			c.soak.count(text)
		}
	}
}

// checkOverdue reports the requests that got no answer in their time.
func (c *soakConn) checkOverdue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.open {
		if time.Now().After(r.deadline.Add(answerSlack + c.soak.stalls.within(r.deadline, time.Now()))) {
			delete(c.open, id)
			c.soak.fault("%s got no answer; sent at %.3f", r.id, r.sentAt.Sub(c.soak.started).Seconds())
		}
	}
}

// lost decides on the requests that were open when the connection ended: some crossed its end and are sent again, those that a
// SIGKILL found in the midst are excused, and any other is lost.
func (c *soakConn) lost() (crossed []*soakRequest) {
	s := c.soak
	now := time.Now()
	c.mu.Lock()
	open := c.open
	c.open = map[uint16]*soakRequest{}
	c.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range open {
		_, left := s.gone[r.id]
		switch {
		case left || c.ending:
		case s.killedSince(r.sentAt, now):
			s.counts["unanswered at SIGKILL"]++
		case now.Sub(r.sentAt) <= crossingTime+s.stalls.within(r.sentAt, now) && !r.again:
			s.counts["crossed a close"]++
			crossed = append(crossed, r)
		default:
			s.faults = append(s.faults, fmt.Sprintf("%.3f %s was lost: sent at %.3f, its connection ended %v later", now.Sub(s.started).Seconds(), r.id,
				r.sentAt.Sub(s.started).Seconds(), now.Sub(r.sentAt)))
		}
	}
	return crossed
}

// killedSince reports whether a request was unanswered at a SIGKILL that excuses it. The caller holds mu.
func (s *soak) killedSince(sentAt, now time.Time) bool {
	for _, at := range s.killed {
		if at.After(sentAt.Add(-crossingTime)) && !at.After(now) {
			return s.terminated.IsZero() || sentAt.Sub(s.terminated) <= lateRequest
		}
	}
	return false
}
