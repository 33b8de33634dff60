package turnfork

import "slices"

// notReadyReason is a reason why a gateway is not ready, as the admin API reports it.
type notReadyReason string

const (
	notListening      notReadyReason = "does not listen yet"
	endpointsUnsynced notReadyReason = "the change log is not caught up"
)

const (
	drainingReason     = "drained by an operator"
	shuttingDownReason = "the process ends"
)

// readiness holds the reasons why the gateway is not ready yet, and whether it is shutting down. adminState.mu guards it.
type readiness struct {
	notReady     map[notReadyReason]struct{}
	shuttingDown bool
}

func newReadiness() readiness {
	return readiness{notReady: map[notReadyReason]struct{}{notListening: {}}}
}

// reasons lists why the gateway is not ready, for the admin API. The list is empty if it is ready.
func (r readiness) reasons(draining bool) (texts []string) {
	for reason := range r.notReady {
		texts = append(texts, string(reason))
	}
	slices.Sort(texts)
	if draining {
		texts = append(texts, drainingReason)
	}
	if r.shuttingDown {
		texts = append(texts, shuttingDownReason)
	}
	return texts
}

// readyToListen reports whether the gateway is ready except that it does not listen yet.
func (r readiness) readyToListen() bool {
	left := len(r.notReady)
	if _, found := r.notReady[notListening]; found {
		left--
	}
	return left == 0
}

// markNotReady adds a reason why the gateway is not ready.
func (a *adminState) markNotReady(reason notReadyReason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readiness.notReady[reason] = struct{}{}
}

// markReady removes a reason why the gateway was not ready.
func (a *adminState) markReady(reason notReadyReason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.readiness.notReady, reason)
}

// readyToListen reports whether the gateway is ready except that it does not listen yet.
func (a *adminState) readyToListen() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readiness.readyToListen()
}

// beginShutdown marks this process as shutting down, announces that to its siblings, and reports whether a sibling serves in its
// place.
func (a *adminState) beginShutdown() (replaced bool) {
	if err := a.registry.StopServing(); err != nil {
		a.log.Error().Err(err).Msg("shutdown not announced")
	}
	siblings, _ := a.registry.Siblings()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readiness.shuttingDown = true
	return siblings.Serving > 0
}
