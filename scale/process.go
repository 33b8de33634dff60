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

// processStopTimeout limits the graceful shutdown of a child. After it the child is killed.
const processStopTimeout = 10 * time.Second

// ErrProcessExited is returned by a call whose child process has exited.
var ErrProcessExited = errors.New("scale: child process has exited")

// Process is a child process of the rig.
type Process struct {
	Role    Role
	command *exec.Cmd
	stdin   io.WriteCloser
	exited  chan struct{} // closed once the process has exited

	writing sync.Mutex
	encoder *json.Encoder

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan response
}

// StartProcess starts this executable as a child process with a role. The child's standard error goes to log.
func StartProcess(role Role, log io.Writer) (*Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("scale: locate own executable: %w", err)
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), roleVariable+"="+string(role))
	command.Stderr = log
	stdin, err := command.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("scale: child's standard input: %w", err)
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("scale: child's standard output: %w", err)
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("scale: start child %s: %w", role, err)
	}
	p := &Process{
		Role: role, command: command, stdin: stdin, exited: make(chan struct{}), encoder: json.NewEncoder(stdin),
		pending: map[uint64]chan response{},
	}
	go p.dispatchResponses(stdout)
	return p, nil
}

// dispatchResponses forwards responses to the calls that wait for them, until the process exits.
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
			caller <- resp // doesn't block: the channel is buffered and gets one response
		}
	}
	p.command.Wait() // the exit status is not needed: pending calls fail with ErrProcessExited
	close(p.exited)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Call sends a request to the process, waits for the response and decodes it into result, which may be nil.
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
		return fmt.Errorf("scale: %s: %w", method, errors.Join(ErrProcessExited, err))
	}
	select {
	case resp := <-reply:
		return decodeResponse(method, resp, result)
	case <-p.exited:
		return fmt.Errorf("scale: %s: %w", method, ErrProcessExited)
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

// Kill kills the process, as in a crash, and waits for its exit.
func (p *Process) Kill() {
	p.command.Process.Signal(syscall.SIGKILL) // fails if it has already exited
	<-p.exited
}

// Pause suspends the process until Resume.
func (p *Process) Pause() error { return p.command.Process.Signal(syscall.SIGSTOP) }

// Resume resumes a suspended process.
func (p *Process) Resume() error { return p.command.Process.Signal(syscall.SIGCONT) }

// Stop shuts the process down gracefully, or kills it after processStopTimeout.
func (p *Process) Stop() {
	p.command.Process.Signal(syscall.SIGCONT) // it may be paused
	p.stdin.Close()
	select {
	case <-p.exited:
	case <-time.After(processStopTimeout):
		p.Kill()
	}
}
