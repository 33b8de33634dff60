package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"turnfork.dev/turnfork/internal/fakestore"
)

// oneEndpointConfig is a configuration with one endpoint and no change log. Clients wait ten times as long as the deadline of
// their class, from which the platform derives the time that a process has for its shutdown. Attempts cannot be canceled, so
// those sent to an endpoint that hangs stay open.
const oneEndpointConfig = `{"name":"n1","listen":"127.0.0.1:0","seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"known":{"seq":1,"results":[{"seq":1,"fleet":{"version":1,"full":true,"servers":[{"id":"s-00000007","addr":%q,"zone":"edge",
"kind":"box","cell":0,"state":"Ready","weight":100,"started_ms":0}]}}]},"settings":{"az":1,"balancers":1,"zones":["hub","edge"],
"kinds":["box","parent","origin"],"quantum":0.002,"classes":[{"name":"firmware","aim":0.4,"deadline":0.5,"repeat":"free","worth":1},
{"name":"ride-end","aim":0.4,"deadline":0.5,"repeat":"never","worth":1}],
"allowed":{"max-attempts":8,"cancel":false,"dial-timeout":0.4,"idle-close":15,"max-open":1000},
"family-info":{"origin-kind":2,"shield-kind":1,"seats-by-zone":[0,1],"zone-hub":[0,0],"says":"all"}}}`

// unreachableAddr returns an address where connections are neither established nor rejected: the listen queue is full and no
// process accepts.
func unreachableAddr(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	for range 8 {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the listen queue is not full after 8 connections")
	return ""
}

// Requests that are open at SIGTERM are answered, and the process exits.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	bin := build(t)
	type session struct {
		p *program
		c net.Conn
		s *fakestore.SlowServer
	}
	awaitAttempts := func(t *testing.T, s *fakestore.SlowServer, id uint16, n int) {
		for limit := time.Now().Add(20 * time.Second); s.GetCount(fmt.Sprintf("%016x", id)) < n; time.Sleep(time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatal("the endpoint received no attempt within 20 s")
			}
		}
	}
	hang := func(fakestore.Command, int) fakestore.Behavior { return fakestore.NoResponse }
	good := func(fakestore.Command, int) fakestore.Behavior { return fakestore.Succeed }
	term := func(s session) { s.p.cmd.Process.Signal(syscall.SIGTERM) }
	for _, c := range []struct {
		name     string
		behavior func(fakestore.Command, int) fakestore.Behavior // nil: connections to the endpoint are never established
		run      func(t *testing.T, s session) net.Conn          // sends request 1 and SIGTERM; returns the connection of the response
		want     string
	}{
		{"attempt open at an endpoint that hangs", hang, func(t *testing.T, s session) net.Conn {
			s.c.Write(encodeRequest("firmware", 1))
			awaitAttempts(t, s.s, 1, 1)
			term(s)
			return s.c
		}, "503"},
		{"non-idempotent attempt open", hang, func(t *testing.T, s session) net.Conn {
			s.c.Write(encodeRequest("ride-end", 1))
			awaitAttempts(t, s.s, 1, 1)
			term(s)
			return s.c
		}, "50"}, // 502 or 504, but not 503: the request may have run
		{"attempt after one whose connection was reset", func(_ fakestore.Command, n int) fakestore.Behavior {
			if n == 0 {
				return fakestore.ResetAfterRequest
			}
			return fakestore.NoResponse
		}, func(t *testing.T, s session) net.Conn {
			s.c.Write(encodeRequest("firmware", 1))
			awaitAttempts(t, s.s, 1, 1)
			term(s) // the next attempt is queued or sent by now
			return s.c
		}, "503"},
		{"connection to the endpoint pending", nil, func(t *testing.T, s session) net.Conn {
			s.c.Write(encodeRequest("ride-end", 1))
			s.p.awaitLog(t, `"attempt started"`)
			term(s)
			return s.c
		}, "503"}, // nothing ran, so 503 for a non-idempotent class too
		{"incomplete request read", good, func(t *testing.T, s session) net.Conn {
			request := encodeRequest("firmware", 1)
			s.c.Write(request[:len(request)/2])
			term(s)
			s.p.awaitLog(t, "shutdown started")
			s.c.Write(request[len(request)/2:])
			return s.c
		}, "200"},
		{"connection accepted, nothing read", good, func(t *testing.T, s session) net.Conn {
			term(s)
			s.p.awaitLog(t, "shutdown started")
			s.c.Write(encodeRequest("firmware", 1))
			return s.c
		}, "200"},
		{"new connection after SIGTERM", good, func(t *testing.T, s session) net.Conn {
			term(s)
			s.p.awaitLog(t, "shutdown started")
			c, err := net.Dial("tcp", s.p.addr)
			if err != nil {
				t.Fatal(err)
			}
			c.Write(encodeRequest("firmware", 1))
			return c
		}, "200"},
		{"SIGTERM twice", hang, func(t *testing.T, s session) net.Conn {
			s.c.Write(encodeRequest("firmware", 1))
			awaitAttempts(t, s.s, 1, 1)
			term(s)
			s.p.awaitLog(t, "shutdown started")
			term(s)
			return s.c
		}, "503"},
		{"SIGHUP before and after SIGTERM", hang, func(t *testing.T, s session) net.Conn {
			s.c.Write(encodeRequest("firmware", 1))
			awaitAttempts(t, s.s, 1, 1)
			s.p.cmd.Process.Signal(syscall.SIGHUP)
			term(s)
			s.p.cmd.Process.Signal(syscall.SIGHUP)
			return s.c
		}, "503"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			endpoint, err := fakestore.NewSlowServer(1, c.behavior)
			if err != nil {
				t.Fatal(err)
			}
			defer endpoint.Close()
			addr := endpoint.Addrs[0]
			if c.behavior == nil {
				addr = unreachableAddr(t)
			}
			conf := filepath.Join(t.TempDir(), "config.json")
			os.WriteFile(conf, fmt.Appendf(nil, oneEndpointConfig, addr), 0o600)
			p := launch(t, bin, []string{"NODE_CONFIG=" + conf, "NODE_LISTEN=127.0.0.1:0", "NODE_NAME=n1", "TURNFORK_LOG=debug"})
			nc, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			responseConn := c.run(t, session{p, nc, endpoint})
			responseConn.SetDeadline(time.Now().Add(20 * time.Second))
			id, text := readResponse(t, bufio.NewReader(responseConn))
			if id != 1 || !strings.HasPrefix(text, "Status: "+c.want) || c.want == "50" && strings.HasPrefix(text, "Status: 503") {
				t.Errorf("%d %q, want %s\n%s", id, text, c.want, p.logs())
			}
			if err := <-p.done; err != nil {
				t.Errorf("exit: %v\n%s", err, p.logs())
			}
		})
	}
}
