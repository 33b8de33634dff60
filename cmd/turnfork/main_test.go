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

// program is a running gateway process with its log.
type program struct {
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  *bytes.Buffer
	addr string
	done chan error
}

// linkedMain links the program into the test binary, although the tests run it as a separate process. Otherwise go test could
// return a cached result after a change: its cache does not track the files that build reads.
var linkedMain = main

// build compiles the program and returns the path of its binary.
func build(t *testing.T) string {
	t.Helper()
	if linkedMain == nil {
		t.Fatal("the program is not linked into the test")
	}
	bin := filepath.Join(t.TempDir(), "turnfork")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

// launch starts the program and waits for the log line with its listen address.
func launch(t *testing.T, bin string, env []string, args ...string) *program {
	t.Helper()
	return launchWith(t, bin, env, nil, args...)
}

// launchWith is launch with files that the process inherits as descriptors 3 and up.
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
		t.Fatalf("process exited: %v\n%s", err, p.logs())
	case <-time.After(30 * time.Second):
		t.Fatal("no listen address logged within 30 s")
	}
	return p
}

// awaitLog waits until the log contains a text.
func (p *program) awaitLog(t *testing.T, text string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !strings.Contains(p.logs(), text); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not logged within 30 s: %s\n%s", text, p.logs())
		}
	}
}

// logs returns all that the process has logged.
func (p *program) logs() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// encodeParams encodes FastCGI name-value pairs.
func encodeParams(pairs ...string) (b []byte) {
	for i := 0; i < len(pairs); i += 2 {
		b = append(b, byte(len(pairs[i])), byte(len(pairs[i+1])))
		b = append(append(b, pairs[i]...), pairs[i+1]...)
	}
	return b
}

// encodeRecord encodes a FastCGI record.
func encodeRecord(kind byte, id uint16, data []byte) []byte {
	b := []byte{1, kind, byte(id >> 8), byte(id), 0, 0, 0, 0}
	binary.BigEndian.PutUint16(b[4:], uint16(len(data)))
	return append(b, data...)
}

// encodeRequest encodes a FastCGI request for a class with 5000 ms left.
func encodeRequest(class string, id uint16) []byte {
	b := encodeRecord(1, id, []byte{0, 1, 1, 0, 0, 0, 0, 0})
	b = append(b, encodeRecord(4, id, encodeParams("SCRIPT_NAME", "/v1/"+class, "HTTP_X_TXN", fmt.Sprintf("%016x", id), "HTTP_X_TTL_MS", "5000",
		"HTTP_X_ROW", "7f3a9c21e0b4d655", "HTTP_X_BLOCK", "0", "HTTP_X_FAMILY", "1", "HTTP_X_WORKING_SET_KB", "40"))...)
	return append(append(b, encodeRecord(4, id, nil)...), encodeRecord(5, id, nil)...)
}

// readResponse reads records up to the end of a request and returns its ID and output.
func readResponse(t *testing.T, r *bufio.Reader) (id uint16, text string) {
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

// awaitAdminAddr waits until the admin API is serving, and returns its address.
func (p *program) awaitAdminAddr(t *testing.T) string {
	t.Helper()
	p.awaitLog(t, "admin API serving")
	for _, text := range strings.Split(p.logs(), "\n") {
		var line struct{ Addr, Message string }
		if json.Unmarshal([]byte(text), &line) == nil && line.Message == "admin API serving" && line.Addr != "" {
			return line.Addr
		}
	}
	t.Fatal("the log has no address of the admin API")
	return ""
}

// callAdmin sends a request to the admin API and returns the status.
func callAdmin(t *testing.T, addr, method, path, body string) int {
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

// awaitStatus repeats a request to the admin API until it returns a status.
func awaitStatus(t *testing.T, want int, addr, method, path, body string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); callAdmin(t, addr, method, path, body) != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not return %d within 30 s", path, want)
		}
	}
}

// platformConfig is a NODE_CONFIG file; the address of the change log has to be inserted.
const platformConfig = `{"name":"n1","listen":"127.0.0.1:0","seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"changelog":%q,"known":{"seq":0,"results":[]},"settings":{"az":1,"balancers":1,"zones":["hub","edge"],"kinds":["box","parent","origin"],
"quantum":0.002,"classes":[{"name":"firmware","aim":0.6,"deadline":5,"repeat":"free","worth":1},
{"name":"app-assets","aim":0.6,"deadline":5,"repeat":"free","worth":1}],"allowed":{"max-attempts":8,"cancel":true,"dial-timeout":0.4,
"idle-close":15,"max-open":1000,"probes":true},"family-info":{"origin-kind":2,"shield-kind":1,"client-kb-per-s":3400,
"seats-by-zone":[0,1],"zone-hub":[0,0],"says":"all","straight":true}}}`

// A gateway configured by the platform: NODE_CONFIG, FastCGI, and a change log that announces the endpoint. Operators disable
// and enable the endpoint, drain the gateway, and reload the configuration. After SIGTERM open requests are still answered and
// the process exits.
func TestPlatformConfig(t *testing.T) {
	bin := build(t)
	release := make(chan struct{})
	s, err := fakestore.Listen("127.0.0.1:0", func(c fakestore.Command) (string, string, []byte, bool) {
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
	oldListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer oldListener.Close()
	newListener, err := net.Listen("tcp", "127.0.0.1:0") // the change log's address after the reload
	if err != nil {
		t.Fatal(err)
	}
	defer newListener.Close()
	go func() { // the endpoint is announced only by the change log
		for {
			c, err := oldListener.Accept()
			if err != nil {
				return
			}
			io.ReadFull(c, make([]byte, 8))
			var n int
			fmt.Sscan(port, &n)
			entry := []byte{0, 0, 0, 7, 127, 0, 0, 1, byte(n >> 8), byte(n), 0, 1, 0, 0, 0, 0, 0, 0x27, 0x10, 0, 0, 0, 0, 0, 0, 0, 0}
			c.Write(append([]byte{0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 1, 1}, entry...))
			c.Write([]byte{0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0}) // no changes
		}
	}()
	conf := filepath.Join(t.TempDir(), "config.json")
	os.WriteFile(conf, fmt.Appendf(nil, platformConfig, oldListener.Addr()), 0o600)
	p := launch(t, bin, []string{"NODE_CONFIG=" + conf, "NODE_LISTEN=127.0.0.1:0", "NODE_NAME=n1", "NODE_CONSOLE=127.0.0.1:0"})
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(30 * time.Second))
	r := bufio.NewReader(c)
	text := ""
	for id := uint16(1); id < 2000 && !strings.HasPrefix(text, "Status: 200"); id++ { // until the endpoint list has been received
		c.Write(encodeRequest("firmware", id))
		_, text = readResponse(t, r)
	}
	if !strings.HasSuffix(text, "\r\n\r\nhello") {
		t.Fatalf("%q\n%s", text, p.logs())
	}
	// Admin API: disable and enable the endpoint, drain and undrain the gateway.
	admin := p.awaitAdminAddr(t)
	awaitStatus(t, 200, admin, "GET", "/ready", "")
	if got := callAdmin(t, admin, "PUT", "/stores/disable", `{"id":"s-00000008"}`); got != 404 {
		t.Errorf("disable of an unknown endpoint: %d", got)
	}
	if got := callAdmin(t, admin, "PUT", "/stores/disable", `{"id":"s-00000007"}`); got != 200 {
		t.Errorf("disable: %d", got)
	}
	before := len(s.Commands("GET"))
	c.Write(encodeRequest("firmware", 2001))
	if _, text = readResponse(t, r); strings.HasPrefix(text, "Status: 200") || len(s.Commands("GET")) != before {
		t.Errorf("a request was sent to a disabled endpoint: %q", text)
	}
	if got := callAdmin(t, admin, "PUT", "/stores/enable", `{"id":"s-00000007"}`); got != 200 {
		t.Errorf("enable: %d", got)
	}
	text = ""
	for id := uint16(2002); id < 3999 && !strings.HasPrefix(text, "Status: 200"); id++ {
		c.Write(encodeRequest("firmware", id))
		_, text = readResponse(t, r)
	}
	if !strings.HasPrefix(text, "Status: 200") {
		t.Errorf("after enable: %q", text)
	}
	if got := callAdmin(t, admin, "PUT", "/drain", ""); got != 200 || callAdmin(t, admin, "GET", "/ready", "") != 503 {
		t.Errorf("drain: %d", got)
	}
	if _, err := r.ReadByte(); err != io.EOF { // an idle connection is closed
		t.Errorf("a drained gateway keeps an idle connection: %v", err)
	}
	c.Close()
	if got := callAdmin(t, admin, "PUT", "/undrain", ""); got != 200 || callAdmin(t, admin, "GET", "/ready", "") != 200 {
		t.Errorf("undrain: %d", got)
	}
	if c, err = net.Dial("tcp", p.addr); err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(30 * time.Second))
	r = bufio.NewReader(c)
	// SIGHUP: a malformed file changes nothing. The next file changes the address of the change log, from which only events after
	// the last known one are requested.
	os.WriteFile(conf, []byte("{"), 0o600)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.awaitLog(t, "configuration reload failed; keeping the previous configuration")
	os.WriteFile(conf, fmt.Appendf(nil, platformConfig, newListener.Addr()), 0o600)
	p.cmd.Process.Signal(syscall.SIGHUP)
	newConn, err := newListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer newConn.Close()
	var seq [8]byte
	if io.ReadFull(newConn, seq[:]); seq[7] != 1 {
		t.Errorf("the new change log was polled from sequence number %v", seq)
	}
	c.Write(encodeRequest("app-assets", 4000))
	for held := false; !held; time.Sleep(time.Millisecond) {
		for _, call := range s.Commands("GET") {
			held = held || call.Fields["lane"] == "app-assets"
		}
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	c.Write(encodeRequest("firmware", 4001)) // still accepted
	if id, text := readResponse(t, r); id != 4001 || !strings.HasPrefix(text, "Status: 200") {
		t.Errorf("after SIGTERM: %d %q", id, text)
	}
	close(release)
	if id, text := readResponse(t, r); id != 4000 || !strings.HasPrefix(text, "Status: 200") {
		t.Errorf("request open at SIGTERM: %d %q", id, text)
	}
	if err := <-p.done; err != nil {
		t.Errorf("exit: %v\n%s", err, p.logs())
	}
}

// A second process takes over from the first on a listening socket that both inherit. Both have the overrides that operators
// set before and during the handover at either process. The first process answers its open requests, accepts no new
// connections and exits.
func TestHandover(t *testing.T) {
	bin := build(t)
	release := make(chan struct{})
	s, err := fakestore.Listen("127.0.0.1:0", func(c fakestore.Command) (string, string, []byte, bool) {
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
	socket := inheritableSocket(t, l)
	dir := t.TempDir()
	conf := filepath.Join(dir, "config.json")
	text := strings.Replace(fmt.Sprintf(platformConfig, ""), `"results":[]`, fmt.Sprintf(`"results":[{"seq":1,"fleet":{"full":true,"servers":[
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
	if got := callAdmin(t, first.awaitAdminAddr(t), "PUT", "/stores/disable", `{"id":"s-00000008"}`); got != 200 {
		t.Fatalf("disable: %d", got)
	}
	c, r := dial()
	c.Write(encodeRequest("app-assets", 1))
	for len(s.Commands("GET")) == 0 {
		time.Sleep(time.Millisecond)
	}
	second := start()
	awaitStatus(t, 200, second.awaitAdminAddr(t), "GET", "/ready", "")
	for _, p := range []*program{first, second} {
		if got := readGatewayState(t, p.awaitAdminAddr(t)); len(got.Disabled) != 1 || got.Disabled[0] != "s-00000008" {
			t.Errorf("%+v", got)
		}
	}
	// An override set at one process applies at the other.
	if got := callAdmin(t, second.awaitAdminAddr(t), "PUT", "/stores/enable", `{"id":"s-00000008"}`); got != 200 {
		t.Errorf("enable: %d", got)
	}
	for end := time.Now().Add(30 * time.Second); len(readGatewayState(t, first.awaitAdminAddr(t)).Disabled) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the first process did not apply the override set at the second within 30 s")
		}
	}
	first.cmd.Process.Signal(syscall.SIGTERM)
	first.awaitLog(t, "handover started")
	for id := uint16(2); id < 12; id++ { // accepted only by the second process
		c, r := dial()
		c.Write(encodeRequest("firmware", id))
		if _, text := readResponse(t, r); !strings.HasPrefix(text, "Status: 200") {
			t.Errorf("while the first process shuts down: %q", text)
		}
		c.Close()
	}
	close(release)
	if id, text := readResponse(t, r); id != 1 || !strings.HasSuffix(text, "hello") {
		t.Errorf("request accepted by the first process: %d %q", id, text)
	}
	if err := <-first.done; err != nil {
		t.Errorf("exit: %v\n%s", err, first.logs())
	}
	if got := readGatewayState(t, second.awaitAdminAddr(t)); !got.Ready {
		t.Errorf("%+v", got)
	}
}

// readGatewayState reads the state of a gateway from its admin API.
func readGatewayState(t *testing.T, addr string) (s struct {
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

// A gateway configured by an operator's file: it serves a URL signed by the token subcommand, records the traffic to a pcap
// file without the signature, and replays this file. A malformed pcap file and an invalid configuration are rejected.
func TestOperatorAndPcap(t *testing.T) {
	bin, dir := build(t), t.TempDir()
	s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
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
		t.Fatalf("exit: %v\n%s", err, p.logs())
	}
	read, err := exec.Command(bin, "pcap", "read", "-config", file, pcap).Output()
	var rep struct{ Fed, Conversations, BytesIn, BytesTo int }
	if json.Unmarshal(read, &rep); err != nil || rep.Fed != 1 || rep.Conversations != 1 || rep.BytesTo == 0 {
		t.Errorf("%s %v", read, err)
	}
	if b, _ := os.ReadFile(pcap); bytes.Contains(b, []byte(strings.SplitN(issued.URL, "signature=", 2)[1])) {
		t.Error("the pcap file contains the signature")
	}
	os.WriteFile(pcap, []byte("nonsense"), 0o600)
	if err := exec.Command(bin, "pcap", "read", "-config", file, pcap).Run(); err == nil {
		t.Error("a malformed pcap file was accepted")
	}
	os.WriteFile(file, []byte("listen = \"here\"\n"), 0o600)
	if out, err := exec.Command(bin, "-config", file).CombinedOutput(); err == nil || !strings.Contains(string(out), "listen") {
		t.Errorf("invalid configuration: %v %s", err, out)
	}
}

// A gateway with a listen address of its own, not an inherited socket, stores its overrides in $TMPDIR but opens no Unix socket:
// the fleet's benchmark does not allow them, and another process could not take over connections without the inherited socket.
func TestStandaloneGatewayOpensNoUnixSocket(t *testing.T) {
	bin := build(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	dir := t.TempDir()
	conf := filepath.Join(dir, "config.json")
	os.WriteFile(conf, []byte(strings.Replace(fmt.Sprintf(platformConfig, ""), `"results":[]`, `"results":[{"seq":1,"fleet":{"full":true,
"servers":[{"id":"s-00000008","addr":"127.0.0.1:1","zone":"edge","kind":"box","state":"Ready","weight":10}]}}]`, 1)), 0o600)
	p := launch(t, bin, []string{"NODE_CONFIG=" + conf, "NODE_LISTEN=" + addr, "NODE_NAME=n1", "NODE_CONSOLE=127.0.0.1:0", "TMPDIR=" + dir})
	if got := callAdmin(t, p.awaitAdminAddr(t), "PUT", "/stores/disable", `{"id":"s-00000008"}`); got != 200 {
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
