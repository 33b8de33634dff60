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

// roleVariable is the environment variable that makes this program a child in a role.
const roleVariable = "TURNFORK_SCALE_ROLE"

// childExitTimeout bounds the end of a child whose standard input has ended.
const childExitTimeout = 8 * time.Second

var errUnknownMethod = errors.New("scale: unknown method")

// worker carries out the requests of one role.
type worker interface {
	// handle carries out one request; but for the start, several run at once.
	handle(ctx context.Context, method string, body json.RawMessage) (any, error)
	// close ends all that was started.
	close() error
}

// ChildMain serves as a child where a parent started this program as one, and ends the process then. Otherwise it
// returns at once. A program that uses the rig calls it first.
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

// serveChild carries out requests until in ends, and then ends all that they started.
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
		if decoder.Decode(&req) != nil { // the parent is done, or gone
			break
		}
		respond := func() {
			resp := handleRequest(ctx, worker, req)
			writing.Lock()
			defer writing.Unlock()
			encoder.Encode(resp) // fails only where the parent is gone
		}
		if req.Method == methodStart { // what it sets up is there for all that follow
			respond()
			continue
		}
		running.Go(respond)
	}
	// Guards against a child that outlives its parent.
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

// decodeBody reads a request's body.
func decodeBody[T any](body json.RawMessage) (value T, err error) {
	if err = json.Unmarshal(body, &value); err != nil {
		err = fmt.Errorf("scale: request: %w", err)
	}
	return value, err
}
