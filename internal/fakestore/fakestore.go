// Package fakestore implements fake endpoints for tests and the example. They speak the RESP protocol of real endpoints and
// store no objects.
package fakestore

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
)

// Call is one received command.
type Call struct {
	Verb, ID string
	Fields   map[string]string
	Body     []byte
	At       string // the address that received it, for a SlowStore
}

// Store is a fake endpoint that responds to GETs with the result of Handle.
type Store struct {
	// Handle returns the response to a GET; no response is sent if ok is false. It may block: each GET has its own
	// goroutine.
	Handle     func(c Call) (status, fields string, body []byte, ok bool)
	beforeRead func(r *bufio.Reader)

	server // Close waits for all calls of Handle to return
	mu     sync.Mutex
	calls  []Call
}

// Listen starts a fake endpoint on an address.
func Listen(addr string, handle func(Call) (string, string, []byte, bool)) (*Store, error) {
	return ListenLate(addr, nil, handle)
}

// ListenLate starts a fake endpoint that calls beforeRead with each new connection before it reads the first command from it.
// beforeRead may block, and may be nil.
func ListenLate(addr string, beforeRead func(*bufio.Reader), handle func(Call) (string, string, []byte, bool)) (*Store, error) {
	s := &Store{Handle: handle, beforeRead: beforeRead}
	_, err := s.listen(addr, s.serve)
	return s, err
}

// Addr returns the address that the endpoint listens on.
func (s *Store) Addr() string { return s.listeners[0].Addr().String() }

// Calls returns the received commands that have this verb, in order of arrival.
func (s *Store) Calls(verb string) (out []Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		if c.Verb == verb {
			out = append(out, c)
		}
	}
	return out
}

func (s *Store) serve(c net.Conn) {
	r := bufio.NewReader(c)
	if s.beforeRead != nil {
		s.beforeRead(r)
	}
	var writeMu sync.Mutex
	for {
		args, err := readCommand(r)
		if err != nil || len(args) < 2 {
			return
		}
		call := parseCall(args)
		s.mu.Lock()
		s.calls = append(s.calls, call)
		s.mu.Unlock()
		respond := func(status, fields string, body []byte) {
			writeMu.Lock()
			defer writeMu.Unlock()
			fmt.Fprintf(c, "*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
				len(call.ID), call.ID, len(status), status, len(fields), fields, len(body), body)
		}
		switch call.Verb {
		case "PING", "LOAD":
			respond("READY", "rep=inflight:0;util:0.1", nil)
		case "GET":
			s.wg.Add(1)
			go func() {
				defer s.wg.Done()
				if status, fields, body, ok := s.Handle(call); ok {
					respond(status, fields, body)
				}
			}()
		}
	}
}

// parseCall parses the arguments of a command, of which there must be at least two.
func parseCall(args [][]byte) Call {
	call := Call{Verb: string(args[0]), ID: string(args[1]), Fields: map[string]string{}}
	if len(args) > 3 {
		call.Body = args[3]
	}
	if len(args) > 2 {
		for _, f := range strings.Split(string(args[2]), ",") {
			if k, v, ok := strings.Cut(f, "="); ok {
				call.Fields[k] = v
			}
		}
	}
	return call
}

// readCommand reads a command, a RESP array of bulk strings.
func readCommand(r *bufio.Reader) (args [][]byte, err error) {
	length := func(kind byte) (int, error) {
		line, err := r.ReadString('\n')
		if err != nil || len(line) < 4 || line[0] != kind {
			return 0, io.ErrUnexpectedEOF
		}
		n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
		if err != nil || n < 0 || n > 1<<20 {
			return 0, io.ErrUnexpectedEOF
		}
		return n, nil
	}
	n, err := length('*')
	if err != nil {
		return nil, err
	}
	for range n {
		size, err := length('$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		args = append(args, b[:size])
	}
	return args, nil
}
