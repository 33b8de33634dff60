// Package rig2 is what the cases of the second review share: it starts the project's programs with the command of the deploy
// file, and has small stand-ins for clients, stores, the change log and an operator. Every address is a loopback address.
package rig2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NoRun  = 2
)

// Case is one run of a case.
type Case struct {
	Dir     string // private folder, removed at the end
	Trouble bool   // false: without the disruption

	mu      sync.Mutex
	record  *os.File
	began   time.Time
	started []*Process
	closers []func()
	broken  []string
	addrs   map[string]bool // that FreeAddr returned
}

// failure ends a case that can't run.
type failure struct{ text string }

// Run runs a case and returns its exit code. folder is the case's folder, which gets record.txt.
func Run(folder string, do func(c *Case)) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NoRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NoRun
	}
	c := &Case{Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now(), addrs: map[string]bool{}}
	defer func() {
		if r := recover(); r != nil {
			f, ok := r.(failure)
			if !ok {
				c.end()
				panic(r)
			}
			c.Note("the case could not run: %s", f.text)
			code = NoRun
		}
		c.end()
	}()
	c.Note("with the disruption: %t", c.Trouble)
	go c.watch()
	do(c)
	if len(c.broken) > 0 {
		for _, text := range c.broken {
			c.Note("BROKEN: %s", text)
		}
		return Broken
	}
	c.Note("the rule held")
	return Held
}

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// watch ends a case that takes too long or is told to stop.
func (c *Case) watch() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-stop:
	case <-time.After(limit):
	}
	c.Note("the case could not run to its end")
	c.end()
	os.Exit(NoRun)
}

// end ends all processes and listeners of the case.
func (c *Case) end() {
	c.mu.Lock()
	started := c.started
	c.mu.Unlock()
	for _, p := range started {
		p.Kill()
	}
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
	os.RemoveAll(c.Dir)
}

// Closer registers a function that is called at the end.
func (c *Case) Closer(f func()) { c.closers = append(c.closers, f) }

// Note writes a line to record.txt and to standard output.
func (c *Case) Note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
	c.mu.Lock()
	defer c.mu.Unlock()
	io.WriteString(c.record, line)
	io.WriteString(os.Stdout, line)
}

// Break records that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// Fail ends a case that can't run.
func (c *Case) Fail(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

// Must ends the case if there is an error.
func (c *Case) Must(err error) {
	if err != nil {
		c.Fail("%v", err)
	}
}

// Path returns a path in the private folder.
func (c *Case) Path(name string) string { return filepath.Join(c.Dir, name) }

// Write writes a file in the private folder.
func (c *Case) Write(name, text string) string {
	path := c.Path(name)
	c.Must(os.MkdirAll(filepath.Dir(path), 0o700))
	c.Must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// FreeAddr returns a loopback address with a free port that the case has not had yet, below the ports that the system gives to
// connections.
func (c *Case) FreeAddr() string {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		if !c.addrs[addr] {
			c.addrs[addr] = true
			return addr
		}
	}
	c.Fail("no free port")
	return ""
}

// Process is a process that the case started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// Gateway starts the deploy file's run command in the repository's root.
func (c *Case) Gateway(name, args string, env []string, files ...*os.File) *Process {
	text, err := os.ReadFile("deploy/balancer.toml")
	c.Must(err)
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if found == nil {
		c.Fail("deploy/balancer.toml names no run command")
	}
	cmd := exec.Command("/bin/sh", "-c", strings.TrimSpace(string(found[1])+" "+args))
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.Dir, "TURNFORK_LOG=" + os.Getenv("TURNFORK_LOG")}, env...)
	cmd.ExtraFiles = files
	path := c.Path(name + ".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Must(err)
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	c.Must(cmd.Start())
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{}), log: path}
	go func() { cmd.Wait(); close(p.done) }()
	c.mu.Lock()
	c.started = append(c.started, p)
	c.mu.Unlock()
	c.Note("%s: started as process %d", name, cmd.Process.Pid)
	return p
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	if !p.Ended() {
		p.cmd.Process.Kill()
	}
	<-p.done
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// AwaitEnd waits for the end of the process.
func (p *Process) AwaitEnd(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Log returns what the process has logged.
func (p *Process) Log() string {
	b, _ := os.ReadFile(p.log)
	return string(b)
}

// Until calls check until it returns true, and ends the case after the limit.
func (c *Case) Until(limit time.Duration, what string, check func() bool) {
	for end := time.Now().Add(limit); !check(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			for _, p := range c.started {
				c.Note("log of %s: %s", p.Name, tail(p.Log()))
			}
			c.Fail("not within %v: %s", limit, what)
		}
	}
}

func tail(text string) string {
	if len(text) > 3000 {
		return text[len(text)-3000:]
	}
	return text
}

// Reply is the answer to an HTTP call.
type Reply struct {
	Status int
	Header http.Header
	Body   string
}

// Call makes an HTTP call on a connection of its own.
func Call(method, url, secret, body string, limit time.Duration) (Reply, error) {
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return Reply{}, err
	}
	if secret != "" {
		req.Header.Set("Authorization", "Bearer "+secret)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return Reply{resp.StatusCode, resp.Header, string(text)}, err
}

// Ready reports whether a console says that its gateway is ready.
func Ready(console string) bool {
	reply, err := Call("GET", "http://"+console+"/ready", "", "", time.Second)
	return err == nil && reply.Status == 200
}

// Issued is an issued token.
type Issued struct {
	Key, ID, URL string
}

// Issue has a gateway sign a URL that is valid for some seconds.
func (c *Case) Issue(gateway, secret, kind, uri string, seconds int) (t Issued) {
	body := fmt.Sprintf(`{"kind":%q,"uri":%q,"seconds":%d}`, kind, uri, seconds)
	reply, err := Call("POST", "http://"+gateway+"/-/tokens", secret, body, 5*time.Second)
	c.Must(err)
	if reply.Status != 200 {
		c.Fail("no token: %d %s", reply.Status, reply.Body)
	}
	c.Must(json.Unmarshal([]byte(reply.Body), &t))
	return t
}

// SharedListener returns a listening socket for processes that inherit it, and its address.
func (c *Case) SharedListener() (*os.File, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	file, err := l.(*net.TCPListener).File()
	c.Must(err)
	addr := l.Addr().String()
	l.Close()
	c.Closer(func() { file.Close() })
	return file, addr
}
