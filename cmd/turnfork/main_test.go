package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"turnfork.dev/turnfork/internal/fakestore"
)

// program is the gateway as it is built and started.
type program struct {
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  *bytes.Buffer
	addr string
	done chan error
}

// linked is the program under test, linked into the tests though they start it as a process of its own. Guards against a result from the
// test cache, which knows of no files that the build below reads.
var linked = main

func build(t *testing.T) string {
	t.Helper()
	if linked == nil {
		t.Fatal("the program is not linked")
	}
	bin := filepath.Join(t.TempDir(), "turnfork")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

// launch starts the program and waits for the line that says where it listens.
func launch(t *testing.T, bin string, env []string, args ...string) *program {
	t.Helper()
	return launchWith(t, bin, env, nil, args...)
}

// launchWith starts it with files from descriptor 3 on.
func launchWith(t *testing.T, bin string, env []string, files []*os.File, args ...string) *program {
	t.Helper()
	p := &program{cmd: exec.Command(bin, args...), log: &bytes.Buffer{}, done: make(chan error, 1)}
	p.cmd.Env, p.cmd.ExtraFiles = append(append(os.Environ(), "TMPDIR="+t.TempDir()), env...), files
	errs, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	addr := make(chan string, 1)
	go func() {
		sc := bufio.NewScanner(errs)
		for sc.Scan() {
			p.mu.Lock()
			p.log.WriteString(sc.Text() + "\n")
			p.mu.Unlock()
			var line struct{ Listen, Message string }
			if json.Unmarshal(sc.Bytes(), &line) == nil && line.Message == "serving" {
				select {
				case addr <- line.Listen:
				default:
				}
			}
		}
		p.done <- p.cmd.Wait()
	}()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	select {
	case p.addr = <-addr:
	case err := <-p.done:
		t.Fatalf("ended: %v\n%s", err, p.lines())
	case <-time.After(30 * time.Second):
		t.Fatal("never listened")
	}
	return p
}

// await waits for a line in the log.
func (p *program) await(t *testing.T, text string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !strings.Contains(p.lines(), text); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never logged: %s\n%s", text, p.lines())
		}
	}
}

func (p *program) lines() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func fields(pairs ...string) (b []byte) {
	for i := 0; i < len(pairs); i += 2 {
		b = append(b, byte(len(pairs[i])), byte(len(pairs[i+1])))
		b = append(append(b, pairs[i]...), pairs[i+1]...)
	}
	return b
}

func rec(kind byte, id uint16, data []byte) []byte {
	b := []byte{1, kind, byte(id >> 8), byte(id), 0, 0, 0, 0}
	binary.BigEndian.PutUint16(b[4:], uint16(len(data)))
	return append(b, data...)
}

func get(class string, id uint16) []byte {
	b := rec(1, id, []byte{0, 1, 1, 0, 0, 0, 0, 0})
	b = append(b, rec(4, id, fields("SCRIPT_NAME", "/v1/"+class, "HTTP_X_TXN", fmt.Sprintf("%016x", id), "HTTP_X_TTL_MS", "5000",
		"HTTP_X_ROW", "7f3a9c21e0b4d655", "HTTP_X_BLOCK", "0", "HTTP_X_FAMILY", "1", "HTTP_X_WORKING_SET_KB", "40"))...)
	return append(append(b, rec(4, id, nil)...), rec(5, id, nil)...)
}

// answer reads records up to a request's end and gives its stream.
func answer(t *testing.T, r *bufio.Reader) (id uint16, text string) {
	t.Helper()
	for {
		var h [8]byte
		if _, err := io.ReadFull(r, h[:]); err != nil {
			t.Fatal(err)
		}
		data := make([]byte, int(binary.BigEndian.Uint16(h[4:]))+int(h[6]))
		if _, err := io.ReadFull(r, data); err != nil {
			t.Fatal(err)
		}
		if h[1] == 3 {
			return binary.BigEndian.Uint16(h[2:]), text
		}
		text += string(data)
	}
}

// console gives the address of the admin API.
func (p *program) console(t *testing.T) string {
	t.Helper()
	p.await(t, "admin API serving")
	for _, text := range strings.Split(p.lines(), "\n") {
		var line struct{ Addr, Message string }
		if json.Unmarshal([]byte(text), &line) == nil && line.Message == "admin API serving" && line.Addr != "" {
			return line.Addr
		}
	}
	t.Fatal("the log names no address of the admin API")
	return ""
}

// call makes an operator's call and gives the status.
func call(t *testing.T, addr, method, path, body string) int {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// until makes a call again and again until it gives a status.
func until(t *testing.T, want int, addr, method, path, body string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); call(t, addr, method, path, body) != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s never gave %d", path, want)
		}
	}
}

// settings is a configuration, less the address of the change log.
const settings = `{"name":"n1","listen":"127.0.0.1:0","seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"changelog":%q,"known":{"seq":0,"results":[]},"settings":{"az":1,"balancers":1,"zones":["hub","edge"],"kinds":["box","parent","origin"],
"quantum":0.002,"classes":[{"name":"firmware","aim":0.6,"deadline":5,"repeat":"free","worth":1},
{"name":"app-assets","aim":0.6,"deadline":5,"repeat":"free","worth":1}],"allowed":{"max-attempts":8,"cancel":true,"dial-timeout":0.4,
"idle-close":15,"max-open":1000,"probes":true},"family-info":{"origin-kind":2,"shield-kind":1,"client-kb-per-s":3400,
"seats-by-zone":[0,1],"zone-hub":[0,0],"says":"all","straight":true}}}`

// The platform's way: NODE_CONFIG, FastCGI, a change log that names the store, and SIGTERM, after which
// what is taken is still answered and the program ends by itself.
func TestPlatform(t *testing.T) {
	bin := build(t)
	release := make(chan struct{})
	s, err := fakestore.Listen("127.0.0.1:0", func(c fakestore.Call) (string, string, []byte, bool) {
		if c.Fields["lane"] == "app-assets" {
			<-release
		}
		return "ACK", "tag=00000000000000aa,why=local,minted=1", []byte("hello"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	_, port, _ := net.SplitHostPort(s.Addr())
	feed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer feed.Close()
	moved, err := net.Listen("tcp", "127.0.0.1:0") // where the change log goes later
	if err != nil {
		t.Fatal(err)
	}
	defer moved.Close()
	go func() { // the list comes by the change log alone
		for {
			c, err := feed.Accept()
			if err != nil {
				return
			}
			io.ReadFull(c, make([]byte, 8))
			var n int
			fmt.Sscan(port, &n)
			entry := []byte{0, 0, 0, 7, 127, 0, 0, 1, byte(n >> 8), byte(n), 0, 1, 0, 0, 0, 0, 0, 0x27, 0x10, 0, 0, 0, 0, 0, 0, 0, 0}
			c.Write(append([]byte{0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 1, 1}, entry...))
			c.Write([]byte{0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0}) // nothing new
		}
	}()
	conf := filepath.Join(t.TempDir(), "config.json")
	os.WriteFile(conf, fmt.Appendf(nil, settings, feed.Addr()), 0o600)
	p := launch(t, bin, []string{"NODE_CONFIG=" + conf, "NODE_LISTEN=127.0.0.1:0", "NODE_NAME=n1", "NODE_CONSOLE=127.0.0.1:0"})
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(30 * time.Second))
	r := bufio.NewReader(c)
	text := ""
	for id := uint16(1); id < 2000 && !strings.HasPrefix(text, "Status: 200"); id++ { // until the list has come
		c.Write(get("firmware", id))
		_, text = answer(t, r)
	}
	if !strings.HasSuffix(text, "\r\n\r\nhello") {
		t.Fatalf("%q\n%s", text, p.lines())
	}
	// Operators: the store is taken out and put back, and the gateway is drained and not.
	desk := p.console(t)
	until(t, 200, desk, "GET", "/ready", "")
	if got := call(t, desk, "PUT", "/stores/disable", `{"id":"s-00000008"}`); got != 404 {
		t.Errorf("a store that no list named: %d", got)
	}
	if got := call(t, desk, "PUT", "/stores/disable", `{"id":"s-00000007"}`); got != 200 {
		t.Errorf("disable: %d", got)
	}
	before := len(s.Calls("GET"))
	c.Write(get("firmware", 2001))
	if _, text = answer(t, r); strings.HasPrefix(text, "Status: 200") || len(s.Calls("GET")) != before {
		t.Errorf("a store that was taken out got work: %q", text)
	}
	if got := call(t, desk, "PUT", "/stores/enable", `{"id":"s-00000007"}`); got != 200 {
		t.Errorf("enable: %d", got)
	}
	text = ""
	for id := uint16(2002); id < 3999 && !strings.HasPrefix(text, "Status: 200"); id++ {
		c.Write(get("firmware", id))
		_, text = answer(t, r)
	}
	if !strings.HasPrefix(text, "Status: 200") {
		t.Errorf("after enable: %q", text)
	}
	if got := call(t, desk, "PUT", "/drain", ""); got != 200 || call(t, desk, "GET", "/ready", "") != 503 {
		t.Errorf("drain: %d", got)
	}
	if _, err := r.ReadByte(); err != io.EOF { // idle, so it is closed
		t.Errorf("a drained gateway keeps an idle connection: %v", err)
	}
	c.Close()
	if got := call(t, desk, "PUT", "/undrain", ""); got != 200 || call(t, desk, "GET", "/ready", "") != 200 {
		t.Errorf("undrain: %d", got)
	}
	if c, err = net.Dial("tcp", p.addr); err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(30 * time.Second))
	r = bufio.NewReader(c)
	// SIGHUP: a file that can't be read changes nothing; the next one moves the change log, which is asked
	// for what follows the last event held.
	os.WriteFile(conf, []byte("{"), 0o600)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.await(t, "configuration reload failed; keeping the previous configuration")
	os.WriteFile(conf, fmt.Appendf(nil, settings, moved.Addr()), 0o600)
	p.cmd.Process.Signal(syscall.SIGHUP)
	late, err := moved.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	var seq [8]byte
	if io.ReadFull(late, seq[:]); seq[7] != 1 {
		t.Errorf("the new change log was asked from %v", seq)
	}
	c.Write(get("app-assets", 4000))
	for held := false; !held; time.Sleep(time.Millisecond) {
		for _, call := range s.Calls("GET") {
			held = held || call.Fields["lane"] == "app-assets"
		}
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	c.Write(get("firmware", 4001)) // still taken
	if id, text := answer(t, r); id != 4001 || !strings.HasPrefix(text, "Status: 200") {
		t.Errorf("after SIGTERM: %d %q", id, text)
	}
	close(release)
	if id, text := answer(t, r); id != 4000 || !strings.HasPrefix(text, "Status: 200") {
		t.Errorf("what was under way: %d %q", id, text)
	}
	if err := <-p.done; err != nil {
		t.Errorf("exit: %v\n%s", err, p.lines())
	}
}

// A second process takes over from the first, on the socket that both inherit: it holds what operators ordered before
// and meanwhile, at either process; the first answers what it took, accepts nothing more and ends by itself.
func TestReplace(t *testing.T) {
	bin := build(t)
	release := make(chan struct{})
	s, err := fakestore.Listen("127.0.0.1:0", func(c fakestore.Call) (string, string, []byte, bool) {
		if c.Fields["lane"] == "app-assets" {
			<-release
		}
		return "ACK", "tag=00000000000000aa,why=local,minted=1", []byte("hello"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	dir := t.TempDir()
	conf := filepath.Join(dir, "config.json")
	text := strings.Replace(fmt.Sprintf(settings, ""), `"results":[]`, fmt.Sprintf(`"results":[{"seq":1,"fleet":{"full":true,"servers":[
{"id":"s-00000007","addr":%q,"zone":"edge","kind":"box","state":"Ready","weight":10},
{"id":"s-00000008","addr":"127.0.0.1:1","zone":"edge","kind":"box","state":"Ready","weight":10}]}}]`, s.Addr()), 1)
	os.WriteFile(conf, []byte(text), 0o600)
	start := func() *program {
		return launchWith(t, bin, []string{"NODE_CONFIG=" + conf, "NODE_CONSOLE=127.0.0.1:0", "NODE_SOCKET_FD=3", "TMPDIR=" + dir}, []*os.File{socket})
	}
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(30 * time.Second))
		return c, bufio.NewReader(c)
	}
	first := start()
	if got := call(t, first.console(t), "PUT", "/stores/disable", `{"id":"s-00000008"}`); got != 200 {
		t.Fatalf("disable: %d", got)
	}
	c, r := dial()
	c.Write(get("app-assets", 1))
	for len(s.Calls("GET")) == 0 {
		time.Sleep(time.Millisecond)
	}
	second := start()
	until(t, 200, second.console(t), "GET", "/ready", "")
	for _, p := range []*program{first, second} {
		if got := state(t, p.console(t)); len(got.Disabled) != 1 || got.Disabled[0] != "s-00000008" {
			t.Errorf("%+v", got)
		}
	}
	// Ordered at one, it holds at the other.
	if got := call(t, second.console(t), "PUT", "/stores/enable", `{"id":"s-00000008"}`); got != 200 {
		t.Errorf("enable: %d", got)
	}
	for end := time.Now().Add(30 * time.Second); len(state(t, first.console(t)).Disabled) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the first process never heard of the order at the second")
		}
	}
	first.cmd.Process.Signal(syscall.SIGTERM)
	first.await(t, "handover started")
	for id := uint16(2); id < 12; id++ { // accepted by the second one alone
		c, r := dial()
		c.Write(get("firmware", id))
		if _, text := answer(t, r); !strings.HasPrefix(text, "Status: 200") {
			t.Errorf("beside a process that leaves: %q", text)
		}
		c.Close()
	}
	close(release)
	if id, text := answer(t, r); id != 1 || !strings.HasSuffix(text, "hello") {
		t.Errorf("what the first process took: %d %q", id, text)
	}
	if err := <-first.done; err != nil {
		t.Errorf("exit: %v\n%s", err, first.lines())
	}
	if got := state(t, second.console(t)); !got.Ready {
		t.Errorf("%+v", got)
	}
}

// state asks a console for what it tells of the gateway.
func state(t *testing.T, addr string) (s struct {
	Ready    bool
	Disabled []string
}) {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		t.Fatal(err)
	}
	return s
}

// The operator's way: a file, signed URLs from the subcommand, and pcap files written and read again.
func TestOperatorAndPcap(t *testing.T) {
	bin, dir := build(t), t.TempDir()
	s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Call) (string, string, []byte, bool) {
		return "ACK", "tag=00000000000000aa,why=local,minted=1", []byte("hello"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	secret, err := exec.Command(bin, "token", "key").Output()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "op.toml")
	os.WriteFile(file, fmt.Appendf(nil, "listen = \"127.0.0.1:0\"\n[[class]]\nname = \"firmware\"\ndeadline_ms = 5000\n"+
		"[[store]]\nid = 1\nkind = \"cache\"\naddr = %q\n[[key]]\nid = \"k\"\nkind = \"hmac\"\nsecret = %q\n",
		s.Addr(), strings.TrimSpace(string(secret))), 0o600)
	pcap := filepath.Join(dir, "out.pcap")
	p := launch(t, bin, nil, "pcap", "write", "-config", file, pcap)
	out, err := exec.Command(bin, "token", "issue", "-config", file, "-uri", "/v1/firmware/7f3a9c21e0b4d655/0").Output()
	if err != nil {
		t.Fatal(err)
	}
	var issued struct{ URL string }
	json.Unmarshal(out, &issued)
	resp, err := http.Get("http://" + p.addr + issued.URL)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != 200 || string(body) != "hello" {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	http.DefaultClient.CloseIdleConnections()
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := <-p.done; err != nil {
		t.Fatalf("exit: %v\n%s", err, p.lines())
	}
	read, err := exec.Command(bin, "pcap", "read", "-config", file, pcap).Output()
	var rep struct{ Fed, Conversations, BytesIn, BytesTo int }
	if json.Unmarshal(read, &rep); err != nil || rep.Fed != 1 || rep.Conversations != 1 || rep.BytesTo == 0 {
		t.Errorf("%s %v", read, err)
	}
	if b, _ := os.ReadFile(pcap); bytes.Contains(b, []byte(strings.SplitN(issued.URL, "signature=", 2)[1])) {
		t.Error("the signature is in the file")
	}
	os.WriteFile(pcap, []byte("nonsense"), 0o600)
	if err := exec.Command(bin, "pcap", "read", "-config", file, pcap).Run(); err == nil {
		t.Error("nonsense was read without an error")
	}
	os.WriteFile(file, []byte("listen = \"here\"\n"), 0o600)
	if out, err := exec.Command(bin, "-config", file).CombinedOutput(); err == nil || !strings.Contains(string(out), "listen") {
		t.Errorf("a bad configuration: %v %s", err, out)
	}
}

// A gateway started alone, at an address of its own and with $TMPDIR, keeps its orders there but opens no Unix socket:
// the fleet's bench refuses them, and no other process could take its connections over without the socket.
func TestAloneOpensNoUnixSocket(t *testing.T) {
	bin := build(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	dir := t.TempDir()
	conf := filepath.Join(dir, "config.json")
	os.WriteFile(conf, []byte(strings.Replace(fmt.Sprintf(settings, ""), `"results":[]`, `"results":[{"seq":1,"fleet":{"full":true,
"servers":[{"id":"s-00000008","addr":"127.0.0.1:1","zone":"edge","kind":"box","state":"Ready","weight":10}]}}]`, 1)), 0o600)
	p := launch(t, bin, []string{"NODE_CONFIG=" + conf, "NODE_LISTEN=" + addr, "NODE_NAME=n1", "NODE_CONSOLE=127.0.0.1:0", "TMPDIR=" + dir})
	if got := call(t, p.console(t), "PUT", "/stores/disable", `{"id":"s-00000008"}`); got != 200 {
		t.Fatalf("disable: %d", got)
	}
	var files, sockets []string
	filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			files = append(files, d.Name())
			if d.Type()&os.ModeSocket != 0 {
				sockets = append(sockets, path)
			}
		}
		return nil
	})
	if len(sockets) > 0 || !slices.Contains(files, "orders.json") {
		t.Errorf("sockets %v; files %v", sockets, files)
	}
}
