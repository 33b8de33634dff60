package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// processStopTimeout bounds the orderly end of a child, before it is killed.
const processStopTimeout = 10 * time.Second

// ErrProcessEnded tells that a child process ended under a call.
var ErrProcessEnded = errors.New("scale: the child process has ended")

// Process is a child process of the rig.
type Process struct {
	Role    Role
	command *exec.Cmd
	stdin   io.WriteCloser
	exited  chan struct{} // closed once the process has ended

	writing sync.Mutex
	encoder *json.Encoder

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan response
}

// StartProcess starts this program as a child in a role. What it says on standard error goes to log.
func StartProcess(role Role, log io.Writer) (*Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("scale: own program: %w", err)
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), roleVariable+"="+string(role))
	command.Stderr = log
	stdin, err := command.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("scale: child: %w", err)
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("scale: child: %w", err)
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("scale: child %s: %w", role, err)
	}
	p := &Process{
		Role: role, command: command, stdin: stdin, exited: make(chan struct{}), encoder: json.NewEncoder(stdin),
		pending: map[uint64]chan response{},
	}
	go p.dispatchResponses(stdout)
	return p, nil
}

// receive hands answers to their callers until the process ends.
func (p *Process) dispatchResponses(stdout io.Reader) {
	decoder := json.NewDecoder(stdout)
	for {
		var resp response
		if decoder.Decode(&resp) != nil {
			break
		}
		p.mu.Lock()
		caller := p.pending[resp.ID]
		delete(p.pending, resp.ID)
		p.mu.Unlock()
		if caller != nil {
			caller <- resp // has room for it
		}
	}
	p.command.Wait() // how it ended shows in the calls
	close(p.exited)
}

// PID is the process's number.
func (p *Process) PID() int { return p.command.Process.Pid }

// Call has the process carry out a method. Result may be nil.
func (p *Process) Call(ctx context.Context, method string, body, result any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("scale: %s: %w", method, err)
	}
	reply := make(chan response, 1)
	p.mu.Lock()
	p.lastID++
	id := p.lastID
	p.pending[id] = reply
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, id)
		p.mu.Unlock()
	}()
	if err := p.write(request{ID: id, Method: method, Body: content}); err != nil {
		return fmt.Errorf("scale: %s: %w", method, errors.Join(ErrProcessEnded, err))
	}
	select {
	case resp := <-reply:
		return decodeResponse(method, resp, result)
	case <-p.exited:
		return fmt.Errorf("scale: %s: %w", method, ErrProcessEnded)
	case <-ctx.Done():
		return fmt.Errorf("scale: %s: %w", method, ctx.Err())
	}
}

func (p *Process) write(req request) error {
	p.writing.Lock()
	defer p.writing.Unlock()
	return p.encoder.Encode(req)
}

func decodeResponse(method string, resp response, result any) error {
	if resp.Error != "" {
		return fmt.Errorf("scale: %s: %s", method, resp.Error)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body, result); err != nil {
		return fmt.Errorf("scale: %s: %w", method, err)
	}
	return nil
}

// Kill ends the process at once, as a crash does.
func (p *Process) Kill() {
	p.command.Process.Signal(syscall.SIGKILL) // it may have ended already
	<-p.exited
}

// Pause stops the process where it is, and Resume has it go on.
func (p *Process) Pause() error { return p.command.Process.Signal(syscall.SIGSTOP) }

// Resume has a paused process go on.
func (p *Process) Resume() error { return p.command.Process.Signal(syscall.SIGCONT) }

// Stop ends the process in good order, or kills it after a while.
func (p *Process) Stop() {
	p.command.Process.Signal(syscall.SIGCONT) // where it is paused
	p.stdin.Close()
	select {
	case <-p.exited:
	case <-time.After(processStopTimeout):
		p.Kill()
	}
}
