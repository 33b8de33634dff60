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

// adminState is the state behind the admin API: whether this process is ready, the operators' overrides that are in force, and
// what it shares with the sibling processes of the same gateway.
//
// Its parts: readiness.go (ready or not, and why), overrides.go (the overrides in force), override_writer.go (writing them to
// disk), siblings.go (the sibling processes and the overrides given to them).
type adminState struct {
	core            *core.Core
	frontends       []frontend
	openRequests    func() int
	registry        *handover.Registry // nil: this process stands alone and writes nothing
	setProcessCount func(processes int)
	log             zerolog.Logger

	applyLock      chan struct{} // see lock: one override is applied at a time
	writeRequested chan struct{} // has room for one: there are overrides to be written

	mu        sync.Mutex // of all below
	readiness readiness
	overrides handover.Overrides // in force here
	siblings  handover.SiblingCount

	lastFileError string          // the last error of the shared folder, logged once
	pendingWrite  overrideChanges // in force, not on disk yet
	writeErr      error           // of the last attempt to write pendingWrite; nil: it has not failed
	waiter        writeWaiter     // of the newest override

	subscription   func() *adminapi.Subscription // the state of the configuration subscription; nil: not reported
	replicaStorage func() error                  // what is wrong with the disk of the replicated state; nil: not reported
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

// State returns what the admin API reports of the gateway.
func (a *adminState) State() adminapi.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	reasons := a.readiness.reasons(a.overrides.Draining)
	s := adminapi.State{
		Ready:     len(reasons) == 0,
		Why:       reasons,
		Draining:  a.overrides.Draining,
		Disabled:  []string{},
		Open:      a.openRequests(),
		Processes: a.processCount(),
		Durable:   a.durable(),
		Storage:   a.storageErrors(),
	}
	for _, id := range a.overrides.Disabled {
		s.Disabled = append(s.Disabled, fmt.Sprintf("s-%08x", id))
	}
	if a.subscription != nil {
		s.Subscription = a.subscription()
	}
	return s
}

// storageErrors lists what is wrong with the disks that the gateway writes to; mu is held.
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

// Drain starts the drain of the gateway, or ends it.
func (a *adminState) Drain(ctx context.Context, on bool) error {
	return a.apply(ctx, drainOverride{on: on})
}

// Disable takes an endpoint out of service, or lets it serve again.
func (a *adminState) Disable(ctx context.Context, id uint32, on bool) error {
	return a.apply(ctx, disableOverride{endpoint: id, on: on})
}
