package turnfork

import (
	"context"
	"fmt"
	"sync"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/adminapi"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/handover"
)

// adminState is the state behind the admin API: the readiness of this process, the operators' overrides in force, and the state
// shared with the sibling processes of the same gateway.
//
// Its parts: readiness.go (readiness and its reasons), overrides.go (the overrides in force), override_writer.go (writing them
// to disk), siblings.go (the sibling processes and the overrides that they received).
type adminState struct {
	core            *core.Core
	frontends       []frontend
	openRequests    func() int
	registry        *handover.Registry // nil: no shared folder, so no siblings and nothing is written
	setProcessCount func(processes int)
	log             zerolog.Logger

	applyLock      chan struct{} // serializes the application of overrides, see lock
	writeRequested chan struct{} // capacity 1: wakes runWriter

	mu        sync.Mutex // guards the fields below
	readiness readiness
	overrides handover.Overrides // in force here
	siblings  handover.SiblingCount

	lastFileError string          // last error of the shared folder, to log each error once
	pendingWrite  overrideChanges // in force, but not on disk yet
	writeErr      error           // of the last attempt to write pendingWrite; nil: it did not fail
	waiter        writeWaiter     // of the newest override

	subscription   func() *adminapi.Subscription // state of the configuration subscription; nil: not reported
	replicaStorage func() error                  // storage error of the replicated state; nil: not reported
}

var _ adminapi.Gateway = (*adminState)(nil)

func newAdminState(c *core.Core, registry *handover.Registry, log zerolog.Logger) *adminState {
	return &adminState{
		core:            c,
		registry:        registry,
		setProcessCount: func(int) {},
		log:             log,
		applyLock:       make(chan struct{}, 1),
		writeRequested:  make(chan struct{}, 1),
		readiness:       newReadiness(),
	}
}

// State returns the state that the admin API reports.
func (a *adminState) State() adminapi.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	notReady := a.readiness.reasons(a.overrides.Draining)
	s := adminapi.State{
		Ready:           len(notReady) == 0,
		NotReadyReasons: notReady,
		Draining:        a.overrides.Draining,
		Disabled:        []string{},
		OpenRequests:    a.openRequests(),
		Processes:       a.processCount(),
		Durable:         a.durable(),
		Storage:         a.storageErrors(),
	}
	for _, id := range a.overrides.Disabled {
		s.Disabled = append(s.Disabled, fmt.Sprintf("s-%08x", id))
	}
	if a.subscription != nil {
		s.Subscription = a.subscription()
	}
	return s
}

// storageErrors lists the errors of the disks that the gateway writes to. The caller holds mu.
func (a *adminState) storageErrors() (errs []string) {
	if a.writeErr != nil {
		errs = append(errs, "orders: "+a.writeErr.Error())
	}
	if a.replicaStorage == nil {
		return errs
	}
	if err := a.replicaStorage(); err != nil {
		errs = append(errs, "replica: "+err.Error())
	}
	return errs
}

// SetDraining starts the drain of the gateway if on is true, and ends it otherwise.
func (a *adminState) SetDraining(ctx context.Context, on bool) error {
	return a.apply(ctx, drainOverride{on: on})
}

// SetDisabled excludes an endpoint if on is true, and readmits it otherwise.
func (a *adminState) SetDisabled(ctx context.Context, id uint32, on bool) error {
	return a.apply(ctx, disableOverride{endpoint: id, on: on})
}
