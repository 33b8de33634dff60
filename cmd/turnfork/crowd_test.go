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

// discovery is a change log that names one store and can be down.
type discovery struct {
	t     *testing.T
	addr  string
	frame []byte

	mu    sync.Mutex
	l     net.Listener
	conns []net.Conn
	asked atomic.Int64 // connections on which the gateway has asked
}

func newDiscovery(t *testing.T, store string) *discovery {
	at, err := net.ResolveTCPAddr("tcp", store)
	if err != nil {
		t.Fatal(err)
	}
	entry := append([]byte{0, 0, 0, 7}, at.IP.To4()...)
	entry = binary.BigEndian.AppendUint16(entry, uint16(at.Port))
	entry = append(entry, 0, 1, 0, 0, 0, 0, 0, 0x27, 0x10, 0, 0, 0, 0, 0, 0, 0, 0)
	d := &discovery{t: t, addr: "127.0.0.1:0", frame: append([]byte{0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 1, 1}, entry...)}
	d.up()
	t.Cleanup(d.down)
	return d
}

func (d *discovery) up() {
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

func (d *discovery) serve(c net.Conn) {
	var held [8]byte
	if _, err := io.ReadFull(c, held[:]); err != nil {
		return
	}
	d.asked.Add(1)
	if binary.BigEndian.Uint64(held[:]) == 0 {
		c.Write(d.frame)
	}
	for { // nothing new, each second or sooner
		if _, err := c.Write([]byte{0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0}); err != nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (d *discovery) down() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.l.Close()
	for _, c := range d.conns {
		c.Close()
	}
	d.conns = nil
}

// within waits for what must come.
func within(t *testing.T, p *program, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("never: %s\n%s", what, p.lines())
		}
	}
}

// healthz words the platform's question whether a gateway is well.
func healthz(id uint16) []byte {
	b := append(rec(1, id, []byte{0, 1, 1, 0, 0, 0, 0, 0}), rec(4, id, fields("SCRIPT_NAME", "/healthz"))...)
	return append(append(b, rec(4, id, nil)...), rec(5, id, nil)...)
}

// healthy asks a front on a new connection, which it leaves open.
func healthy(t *testing.T, p *program, addr string, signed bool) {
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
			t.Errorf("%q, error %v\n%s", text, err, p.lines())
		}
		return
	}
	c.Write(healthz(1))
	if _, text := answer(t, r); !strings.HasPrefix(text, "Status: 200") {
		t.Errorf("%q\n%s", text, p.lines())
	}
}

// descriptors counts those that a process has open.
func (p *program) descriptors(t *testing.T) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(open)
}

// Clients that stay without a request fill their places several times over while the change log is down. The gateway
// answers /healthz on new connections and its operators all the same, dials the change log anew and reaches its store; and
// it never runs out of descriptors, of which it has no more than it was told of.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	const sockets, crowd = 128, 300 // five times the places
	bin := build(t)
	for _, way := range []string{"asked once", "silent", "half a request"} {
		t.Run(way, func(t *testing.T) {
			s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Call) (string, string, []byte, bool) {
				return "ACK", "tag=00000000000000aa,why=local,minted=1", []byte("hello"), true
			})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			d := newDiscovery(t, s.Addr())
			conf := filepath.Join(t.TempDir(), "config.json")
			text := strings.Replace(fmt.Sprintf(settings, d.addr), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
			os.WriteFile(conf, []byte(text), 0o600)
			p := launch(t, "/bin/sh", []string{"NODE_CONFIG=" + conf, "NODE_LISTEN=127.0.0.1:0", "NODE_NAME=n1", "NODE_CONSOLE=127.0.0.1:0"},
				"-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, bin))
			until(t, 200, p.console(t), "GET", "/ready", "") // it has caught up with the change log
			d.down()
			for range crowd {
				switch way {
				case "asked once":
					healthy(t, p, p.addr, false)
					continue
				}
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				if way == "half a request" {
					c.Write(healthz(1)[:20])
				}
			}
			healthy(t, p, p.addr, false)
			if n := p.descriptors(t); n > sockets-4 {
				t.Errorf("%d descriptors are open of %d", n, sockets)
			}
			if got := call(t, p.console(t), "GET", "/ready", ""); got != 200 {
				t.Errorf("the operators are told %d", got)
			}
			asked := d.asked.Load()
			d.up()
			within(t, p, "the change log is asked again", func() bool { return d.asked.Load() > asked })
			c, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(20 * time.Second))
			c.Write(get("firmware", 1))
			if _, text := answer(t, bufio.NewReader(c)); !strings.HasPrefix(text, "Status: 200") {
				t.Errorf("from the store: %q", text)
			}
			if log := p.lines(); strings.Contains(log, "too many open files") || strings.Contains(log, "accept failed") {
				t.Error(log)
			}
		})
	}
}

// bothFronts is an operator's file with both fronts, less the addresses of its stores and the number of descriptors.
const bothFronts = `name = "n1"
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

// The same with both fronts, whose crowds come at once.
func TestIdleClientsOnBothFrontsLeaveDescriptors(t *testing.T) {
	const sockets, crowd = 160, 160
	bin := build(t)
	s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Call) (string, string, []byte, bool) {
		return "ACK", "tag=00000000000000aa,why=local,minted=1", []byte("hello"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	file := filepath.Join(t.TempDir(), "operator.toml")
	os.WriteFile(file, fmt.Appendf(nil, bothFronts, s.Addr(), sockets), 0o600)
	p := launch(t, "/bin/sh", nil, "-c", fmt.Sprintf("ulimit -n %d; exec %s -config %s", sockets, bin, file))
	var fronts []string // the platform's comes first
	within(t, p, "both fronts listen", func() bool {
		fronts = nil
		for _, text := range strings.Split(p.lines(), "\n") {
			var line struct{ Listen, Message string }
			if json.Unmarshal([]byte(text), &line) == nil && line.Message == "serving" {
				fronts = append(fronts, line.Listen)
			}
		}
		return len(fronts) == 2
	})
	for range crowd {
		healthy(t, p, fronts[0], false)
		healthy(t, p, fronts[1], true)
	}
	if n := p.descriptors(t); n > sockets-4 {
		t.Errorf("%d descriptors are open of %d", n, sockets)
	}
	if got := call(t, p.console(t), "GET", "/ready", ""); got != 200 {
		t.Errorf("the operators are told %d", got)
	}
	c, err := net.Dial("tcp", fronts[0])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	c.Write(get("firmware", 1))
	if _, text := answer(t, bufio.NewReader(c)); !strings.HasPrefix(text, "Status: 200") {
		t.Errorf("from the store: %q", text)
	}
	if log := p.lines(); strings.Contains(log, "too many open files") || strings.Contains(log, "accept failed") {
		t.Error(log)
	}
}

// A gateway that is killed and started anew answers /healthz at once, whatever its change log and its stores do.
func TestReadyWhileDiscoveryIsDown(t *testing.T) {
	const limit = 6 * time.Second // for nine in ten; alone each one has to
	bin := build(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts in the machine, and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	for what, addr := range map[string]string{"silent": silent.Addr().String(), "refused": refusing.Addr().String(), "unreached": unreached(t)} {
		t.Run(what, func(t *testing.T) {
			conf := filepath.Join(t.TempDir(), "config.json")
			text := strings.Replace(fmt.Sprintf(settings, addr), `"results":[]`, fmt.Sprintf(`"results":[{"seq":1,"fleet":{"version":1,"full":true,
"servers":[{"id":"s-00000007","addr":%q,"zone":"edge","kind":"box","cell":0,"state":"Ready","weight":100,"started_ms":0}]}}]`, addr), 1)
			os.WriteFile(conf, []byte(text), 0o600)
			for range 3 {
				begun := time.Now()
				p := launch(t, bin, []string{"NODE_CONFIG=" + conf, "NODE_LISTEN=127.0.0.1:0", "NODE_NAME=n1"})
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				c.Write(get("firmware", 1)) // which no store answers
				healthy(t, p, p.addr, false)
				took := time.Since(begun)
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
