package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"turnfork.dev/turnfork/internal/fakestore"
)

// changeLog is a discovery service that announces one endpoint and can be stopped and restarted.
type changeLog struct {
	t     *testing.T
	addr  string
	frame []byte

	mu    sync.Mutex
	l     net.Listener
	conns []net.Conn
	polls atomic.Int64 // connections on which the gateway sent a poll
}

func newChangeLog(t *testing.T, store string) *changeLog {
	at, err := net.ResolveTCPAddr("tcp", store)
	if err != nil {
		t.Fatal(err)
	}
	entry := append([]byte{0, 0, 0, 7}, at.IP.To4()...)
	entry = binary.BigEndian.AppendUint16(entry, uint16(at.Port))
	entry = append(entry, 0, 1, 0, 0, 0, 0, 0, 0x27, 0x10, 0, 0, 0, 0, 0, 0, 0, 0)
	d := &changeLog{t: t, addr: "127.0.0.1:0", frame: append([]byte{0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 1, 1}, entry...)}
	d.start()
	t.Cleanup(d.stop)
	return d
}

func (d *changeLog) start() {
	l, err := net.Listen("tcp", d.addr)
	if err != nil {
		d.t.Fatal(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.l, d.addr = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns = append(d.conns, c)
			d.mu.Unlock()
			go d.serve(c)
		}
	}()
}

func (d *changeLog) serve(c net.Conn) {
	var held [8]byte
	if _, err := io.ReadFull(c, held[:]); err != nil {
		return
	}
	d.polls.Add(1)
	if binary.BigEndian.Uint64(held[:]) == 0 {
		c.Write(d.frame)
	}
	for { // no changes; the gateway expects a message at least every second
		if _, err := c.Write([]byte{0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0}); err != nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (d *changeLog) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.l.Close()
	for _, c := range d.conns {
		c.Close()
	}
	d.conns = nil
}

// eventually waits until a condition holds, at most 20 s.
func eventually(t *testing.T, p *program, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not within 20 s: %s\n%s", what, p.logs())
		}
	}
}

// encodeHealthz encodes the platform's health check of a gateway as a FastCGI request.
func encodeHealthz(id uint16) []byte {
	b := append(encodeRecord(1, id, []byte{0, 1, 1, 0, 0, 0, 0, 0}), encodeRecord(4, id, encodeParams("SCRIPT_NAME", "/healthz"))...)
	return append(append(b, encodeRecord(4, id, nil)...), encodeRecord(5, id, nil)...)
}

// checkHealthz sends a health check to a frontend on a new connection, which it leaves open.
func checkHealthz(t *testing.T, p *program, addr string, signed bool) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	r := bufio.NewReader(c)
	if signed {
		fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
		if text, err := r.ReadString('\n'); !strings.HasPrefix(text, "HTTP/1.1 200") {
			t.Errorf("%q, error %v\n%s", text, err, p.logs())
		}
		return
	}
	c.Write(encodeHealthz(1))
	if _, text := readResponse(t, r); !strings.HasPrefix(text, "Status: 200") {
		t.Errorf("%q\n%s", text, p.logs())
	}
}

// openDescriptors returns the number of file descriptors that the process has open.
func (p *program) openDescriptors(t *testing.T) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(open)
}

// Idle client connections exceed the connection limit several times while the change log is down. The gateway still answers
// /healthz on new connections and the admin API, reconnects to the change log and sends requests to its endpoint. It never runs
// out of descriptors, although the limit of the process equals the configured number of sockets.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	const sockets, idleClients = 128, 300 // five times the connection limit
	bin := build(t)
	for _, behavior := range []string{"one request", "no request", "incomplete request"} {
		t.Run(behavior, func(t *testing.T) {
			s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
				return "ACK", "tag=00000000000000aa,why=local,minted=1", []byte("hello"), true
			})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			d := newChangeLog(t, s.Addr())
			conf := filepath.Join(t.TempDir(), "config.json")
			text := strings.Replace(fmt.Sprintf(platformConfig, d.addr), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
			os.WriteFile(conf, []byte(text), 0o600)
			p := launch(t, "/bin/sh", []string{"NODE_CONFIG=" + conf, "NODE_LISTEN=127.0.0.1:0", "NODE_NAME=n1", "NODE_CONSOLE=127.0.0.1:0"},
				"-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, bin))
			awaitStatus(t, 200, p.awaitAdminAddr(t), "GET", "/ready", "") // it has received the endpoint list from the change log
			d.stop()
			for range idleClients {
				switch behavior {
				case "one request":
					checkHealthz(t, p, p.addr, false)
					continue
				}
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				if behavior == "incomplete request" {
					c.Write(encodeHealthz(1)[:20])
				}
			}
			checkHealthz(t, p, p.addr, false)
			if n := p.openDescriptors(t); n > sockets-4 {
				t.Errorf("%d of %d descriptors are open", n, sockets)
			}
			if got := callAdmin(t, p.awaitAdminAddr(t), "GET", "/ready", ""); got != 200 {
				t.Errorf("GET /ready at the admin API: %d", got)
			}
			pollsBefore := d.polls.Load()
			d.start()
			eventually(t, p, "the change log is polled again", func() bool { return d.polls.Load() > pollsBefore })
			c, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(20 * time.Second))
			c.Write(encodeRequest("firmware", 1))
			if _, text := readResponse(t, bufio.NewReader(c)); !strings.HasPrefix(text, "Status: 200") {
				t.Errorf("response from the endpoint: %q", text)
			}
			if log := p.logs(); strings.Contains(log, "too many open files") || strings.Contains(log, "accept failed") {
				t.Error(log)
			}
		})
	}
}

// bothFrontendsFile is an operator's file with both frontends; the address of the endpoints and the number of sockets have to
// be inserted.
const bothFrontendsFile = `name = "n1"
listen = "127.0.0.1:0"
fastcgi = "127.0.0.1:0"
console = "127.0.0.1:0"
operator_secret = "a secret for this test alone"
[limits]
cores = 1
memory_mb = 192
sockets = %[2]d
[module]
flow_kb_per_s = 3400
[[class]]
name = "firmware"
deadline_ms = 5000
[[store]]
id = 1
kind = "cache"
addr = %[1]q
[[store]]
id = 2
kind = "origin"
addr = %[1]q
`

// The same with idle clients on both frontends at the same time.
func TestIdleClientsOnBothFrontendsLeaveDescriptors(t *testing.T) {
	const sockets, idleClients = 160, 160
	bin := build(t)
	s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
		return "ACK", "tag=00000000000000aa,why=local,minted=1", []byte("hello"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	file := filepath.Join(t.TempDir(), "operator.toml")
	os.WriteFile(file, fmt.Appendf(nil, bothFrontendsFile, s.Addr(), sockets), 0o600)
	p := launch(t, "/bin/sh", nil, "-c", fmt.Sprintf("ulimit -n %d; exec %s -config %s", sockets, bin, file))
	var frontends []string // the platform's is first
	eventually(t, p, "both frontends listen", func() bool {
		frontends = nil
		for _, text := range strings.Split(p.logs(), "\n") {
			var line struct{ Listen, Message string }
			if json.Unmarshal([]byte(text), &line) == nil && line.Message == "serving" {
				frontends = append(frontends, line.Listen)
			}
		}
		return len(frontends) == 2
	})
	for range idleClients {
		checkHealthz(t, p, frontends[0], false)
		checkHealthz(t, p, frontends[1], true)
	}
	if n := p.openDescriptors(t); n > sockets-4 {
		t.Errorf("%d of %d descriptors are open", n, sockets)
	}
	if got := callAdmin(t, p.awaitAdminAddr(t), "GET", "/ready", ""); got != 200 {
		t.Errorf("GET /ready at the admin API: %d", got)
	}
	c, err := net.Dial("tcp", frontends[0])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	c.Write(encodeRequest("firmware", 1))
	if _, text := readResponse(t, bufio.NewReader(c)); !strings.HasPrefix(text, "Status: 200") {
		t.Errorf("response from the endpoint: %q", text)
	}
	if log := p.logs(); strings.Contains(log, "too many open files") || strings.Contains(log, "accept failed") {
		t.Error(log)
	}
}

// A gateway that is killed and restarted answers /healthz in time, although its change log and its endpoints do not respond,
// reject connections or cannot be reached.
func TestReadyWhileDiscoveryIsDown(t *testing.T) {
	const limit = 6 * time.Second // required of 90 % of the restarts; here of each one
	bin := build(t)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // connections are established by the kernel, but never answered
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	for what, addr := range map[string]string{"not responding": unresponsive.Addr().String(), "connection refused": closed.Addr().String(), "unreachable": unreachableAddr(t)} {
		t.Run(what, func(t *testing.T) {
			conf := filepath.Join(t.TempDir(), "config.json")
			text := strings.Replace(fmt.Sprintf(platformConfig, addr), `"results":[]`, fmt.Sprintf(`"results":[{"seq":1,"fleet":{"version":1,"full":true,
"servers":[{"id":"s-00000007","addr":%q,"zone":"edge","kind":"box","cell":0,"state":"Ready","weight":100,"started_ms":0}]}}]`, addr), 1)
			os.WriteFile(conf, []byte(text), 0o600)
			for range 3 {
				started := time.Now()
				p := launch(t, bin, []string{"NODE_CONFIG=" + conf, "NODE_LISTEN=127.0.0.1:0", "NODE_NAME=n1"})
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				c.Write(encodeRequest("firmware", 1)) // gets no response: no endpoint is available
				checkHealthz(t, p, p.addr, false)
				took := time.Since(started)
				if took > limit {
					t.Errorf("ready after %v", took)
				}
				t.Logf("ready after %v", took)
				p.cmd.Process.Signal(syscall.SIGKILL)
				<-p.done
			}
		})
	}
}
