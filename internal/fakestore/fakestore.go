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
	"time"
)

// Command is one received command.
type Command struct {
	Verb, ID string
	Fields   map[string]string
	Body     []byte
	Address  string // the address that received it, for a SlowServer

	// ArrivedBy is the time at which the last bytes that were read with the command had arrived at this machine, for a
	// SlowServer. It does not depend on how late the endpoint reads them.
	ArrivedBy time.Time
}

// Endpoint is a fake endpoint that responds to GETs with the result of HandleGet.
type Endpoint struct {
	// HandleGet returns the response to a GET; no response is sent if ok is false. It may block: each GET has its own
	// goroutine.
	HandleGet  func(c Command) (status, fields string, body []byte, ok bool)
	beforeRead func(r *bufio.Reader)

	server   // Close waits for all calls of HandleGet to return
	mu       sync.Mutex
	commands []Command
}

// Listen starts a fake endpoint on an address.
func Listen(addr string, handle func(Command) (string, string, []byte, bool)) (*Endpoint, error) {
	return ListenWithHook(addr, nil, handle)
}

// ListenWithHook starts a fake endpoint that calls beforeRead with each new connection before it reads the first command from
// it. beforeRead may block, and may be nil.
func ListenWithHook(addr string, beforeRead func(*bufio.Reader), handle func(Command) (string, string, []byte, bool)) (*Endpoint, error) {
	s := &Endpoint{HandleGet: handle, beforeRead: beforeRead}
	_, err := s.listen(addr, s.serve)
	return s, err
}

// Addr returns the address that the endpoint listens on.
func (s *Endpoint) Addr() string { return s.listeners[0].Addr().String() }

// Commands returns the received commands that have this verb, in order of arrival.
func (s *Endpoint) Commands(verb string) (out []Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.commands {
		if c.Verb == verb {
			out = append(out, c)
		}
	}
	return out
}

func (s *Endpoint) serve(c net.Conn) {
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
		cmd := parseCommand(args)
		s.mu.Lock()
		s.commands = append(s.commands, cmd)
		s.mu.Unlock()
		respond := func(status, fields string, body []byte) {
			writeMu.Lock()
			defer writeMu.Unlock()
			fmt.Fprintf(c, "*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
				len(cmd.ID), cmd.ID, len(status), status, len(fields), fields, len(body), body)
		}
		switch cmd.Verb {
		case "PING", "LOAD":
			respond("READY", "rep=inflight:0;util:0.1", nil)
		case "GET":
			s.wg.Add(1)
			go func() {
				defer s.wg.Done()
				if status, fields, body, ok := s.HandleGet(cmd); ok {
					respond(status, fields, body)
				}
			}()
		}
	}
}

// parseCall parses the arguments of a command, of which there must be at least two.
func parseCommand(args [][]byte) Command {
	cmd := Command{Verb: string(args[0]), ID: string(args[1]), Fields: map[string]string{}}
	if len(args) > 3 {
		cmd.Body = args[3]
	}
	if len(args) > 2 {
		for _, f := range strings.Split(string(args[2]), ",") {
			if k, v, ok := strings.Cut(f, "="); ok {
				cmd.Fields[k] = v
			}
		}
	}
	return cmd
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
