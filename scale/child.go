package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// roleVariable is the environment variable that holds the role of a child process.
const roleVariable = "TURNFORK_SCALE_ROLE"

// childExitTimeout limits how long a child may take to shut down once its standard input is closed.
const childExitTimeout = 8 * time.Second

var errUnknownMethod = errors.New("scale: unknown method")

// worker handles the requests to a child process of one role.
type worker interface {
	// handle executes one request. Calls may be concurrent, but methodStart completes before later requests are read.
	handle(ctx context.Context, method string, body json.RawMessage) (any, error)
	// close stops everything that the worker has started.
	close() error
}

// ChildMain runs the process as a child if a parent started it as one, and then exits. Otherwise it returns at once. A
// program that uses the rig must call it first in main.
func ChildMain() {
	role := Role(os.Getenv(roleVariable))
	if role == "" {
		return
	}
	if err := serveChild(role, os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "scale: child %s: %v\n", role, err)
		os.Exit(1)
	}
	os.Exit(0)
}

func newWorker(role Role) (worker, error) {
	switch role {
	case RoleVoters:
		return &voterWorker{}, nil
	case RoleGateways:
		return &gatewayWorker{}, nil
	case RoleRelay:
		return &relayWorker{}, nil
	}
	return nil, fmt.Errorf("scale: unknown role %q", role)
}

// serveChild handles requests until in is closed, and then closes the worker.
func serveChild(role Role, in io.Reader, out io.Writer) error {
	worker, err := newWorker(role)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var (
		running sync.WaitGroup
		writing sync.Mutex
		encoder = json.NewEncoder(out)
		decoder = json.NewDecoder(in)
	)
	for {
		var req request
		if decoder.Decode(&req) != nil { // the parent has closed the pipe or exited
			break
		}
		respond := func() {
			resp := handleRequest(ctx, worker, req)
			writing.Lock()
			defer writing.Unlock()
			encoder.Encode(resp) // fails only if the parent has exited
		}
		if req.Method == methodStart { // handled synchronously, as later requests depend on it
			respond()
			continue
		}
		running.Go(respond)
	}
	// Forces the exit if a request or the worker hangs, so that no child outlives its parent.
	time.AfterFunc(childExitTimeout, func() { os.Exit(1) })
	cancel()
	running.Wait()
	return worker.close()
}

func handleRequest(ctx context.Context, worker worker, req request) response {
	resp := response{ID: req.ID}
	result, err := worker.handle(ctx, req.Method, req.Body)
	if err == nil {
		resp.Body, err = json.Marshal(result)
	}
	if err != nil {
		resp.Error = err.Error()
	}
	return resp
}

// decodeBody decodes the JSON body of a request.
func decodeBody[T any](body json.RawMessage) (value T, err error) {
	if err = json.Unmarshal(body, &value); err != nil {
		err = fmt.Errorf("scale: request: %w", err)
	}
	return value, err
}
