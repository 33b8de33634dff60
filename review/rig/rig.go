// Package rig starts the project's gateways and small stand-ins for one case of the review. It uses the standard library only.
package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNoRun  = 2
)

// Case is one run of a case: its folders, its record, and the processes that it has started.
type Case struct {
	Root    string // the repository
	Temp    string
	Trouble bool
	Quiet   bool // the stand-ins record nothing

	began  time.Time
	mu     sync.Mutex
	record *os.File
	ends   []func()
}

// Run runs a case and exits with its code. body returns whether the rule was broken.
func Run(body func(c *Case) (broken bool, err error)) {
	os.Exit(run(body))
}

func run(body func(c *Case) (broken bool, err error)) (code int) {
	c := &Case{Root: os.Getenv("REVIEW_ROOT"), Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if c.record, err = os.Create(filepath.Join(os.Getenv("REVIEW_CASE"), "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNoRun
	}
	defer c.record.Close()
	if c.Temp, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNoRun
	}
	defer os.RemoveAll(c.Temp)
	defer c.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := body(c)
		done <- outcome{broken, err}
	}()
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			c.Logf("the case could not run: %v", got.err)
			return ExitNoRun
		case got.broken:
			c.Logf("verdict: the rule was broken")
			return ExitBroken
		}
		c.Logf("verdict: the rule held")
		return ExitHeld
	case <-interrupted:
		c.Logf("the case could not run: interrupted")
	case <-time.After(110 * time.Second):
		c.Logf("the case could not run: it took too long")
	}
	return ExitNoRun
}

// Logf writes a line to the record and to standard output, with the time since the start of the case.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(c.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	c.record.WriteString(line)
	os.Stdout.WriteString(line)
}

// Seconds is the time since the start of the case.
func (c *Case) Seconds() float64 { return time.Since(c.began).Seconds() }

// AtEnd has a function called at the end of the case.
func (c *Case) AtEnd(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, f)
}

func (c *Case) end() {
	c.mu.Lock()
	ends := c.ends
	c.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
}

// FreeAddr returns a free loopback address of a host.
func FreeAddr(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Gateway is one gateway: its operator's file and its process.
type Gateway struct {
	Name, File      string
	Signed, Console string // addresses
	Trace           bool   // log at level debug

	c       *Case
	process *exec.Cmd
	waited  chan struct{}
}

// runCommand returns the command of the deploy file that starts a gateway.
func (c *Case) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command, nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no run")
}

// Start starts the gateway's process.
func (g *Gateway) Start() error {
	command, err := g.c.runCommand()
	if err != nil {
		return err
	}
	temp := filepath.Join(g.c.Temp, g.Name+"-tmp")
	if err := os.MkdirAll(temp, 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.c.Temp, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.process = exec.Command("/bin/sh", "-c", command+" -config "+g.File)
	g.process.Dir, g.process.Stdout, g.process.Stderr = g.c.Root, log, log
	g.process.Env = append(os.Environ(), "TMPDIR="+temp)
	if g.Trace {
		g.process.Env = append(g.process.Env, "TURNFORK_LOG=debug")
	}
	if err := g.process.Start(); err != nil {
		return err
	}
	g.waited = make(chan struct{})
	process, waited := g.process, g.waited
	go func() { process.Wait(); close(waited) }()
	g.c.AtEnd(func() { process.Process.Kill(); <-waited })
	g.c.Logf("%s: started, process %d", g.Name, process.Process.Pid)
	return nil
}

// Kill kills the gateway's process with SIGKILL.
func (g *Gateway) Kill() {
	g.process.Process.Kill()
	<-g.waited
	g.c.Logf("%s: killed (SIGKILL)", g.Name)
}

// Signal sends the gateway's process a signal.
func (g *Gateway) Signal(signal os.Signal) {
	g.process.Process.Signal(signal)
	g.c.Logf("%s: signal %v", g.Name, signal)
}

// Tail returns the last lines of the gateway's log.
func (g *Gateway) Tail(lines int) string {
	text, _ := os.ReadFile(filepath.Join(g.c.Temp, g.Name+".log"))
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// Logged reports whether the gateway's log has a line with a text.
func (g *Gateway) Logged(text string) bool {
	log, _ := os.ReadFile(filepath.Join(g.c.Temp, g.Name+".log"))
	return strings.Contains(string(log), text)
}

// Ready asks the console. fresh is the field subscription.fresh.
func (g *Gateway) Ready() (ready, fresh bool) {
	answer := Do("GET", "http://"+g.Console+"/ready", nil, "", time.Second)
	var state struct {
		Subscription struct{ Fresh bool }
	}
	json.Unmarshal(answer.Body, &state)
	return answer.Status == 200, state.Subscription.Fresh
}

// AwaitReady waits until the gateway says that it is ready, and with fresh also that its replicated state is.
func (g *Gateway) AwaitReady(fresh bool, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ready, isFresh := g.Ready(); ready && (isFresh || !fresh) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v:\n%s", g.Name, within, g.Tail(5))
}

// Response is the answer to a call. Status 0: there was none.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Code returns the field "error" of an answer.
func (r Response) Code() string {
	var body struct{ Error string }
	json.Unmarshal(r.Body, &body)
	return body.Error
}

// String describes the answer in a word or two.
func (r Response) String() string {
	if r.Status == 0 {
		return "no answer"
	}
	text := fmt.Sprint(r.Status)
	if code := r.Code(); code != "" {
		text += " " + code
	}
	if claim := r.Header.Get("X-Claim"); claim != "" {
		text += " X-Claim=" + claim
	}
	return text
}

// Do makes one call on a connection of its own, and closes it after the given time.
func Do(method, url string, body []byte, bearer string, within time.Duration) Response {
	request, err := http.NewRequest(method, url, strings.NewReader(string(body)))
	if err != nil {
		return Response{Err: err}
	}
	if bearer != "" {
		request.Header.Set("Authorization", "Bearer "+bearer)
	}
	client := &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return Response{Err: err}
	}
	return Response{Status: answer.StatusCode, Header: answer.Header, Body: text}
}
