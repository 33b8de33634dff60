package scale

import (
	"context"
	"time"
)

const (
	leaseSampleInterval = 100 * time.Millisecond
	statusIntervalTicks = 10              // lease samples per sample of a gateway's full status, which costs more
	stallThreshold      = 2 * time.Second // time between samples from which the process, with its gateways, counts as suspended
)

// sampleLeases samples the leases and statuses of all gateways until ctx is canceled.
func (w *gatewayWorker) sampleLeases(ctx context.Context) {
	ticker := time.NewTicker(leaseSampleInterval)
	defer ticker.Stop()
	previous := time.Now()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for index, running := range w.gateways {
			if now.Sub(previous) > stallThreshold {
				running.history.observeLease(false, previous)
			}
			w.sampleLease(running)
			if index%statusIntervalTicks == tick%statusIntervalTicks {
				w.sampleStatus(running)
			}
		}
		previous = now
	}
}

// sampleLease records whether a gateway holds a lease.
func (w *gatewayWorker) sampleLease(running *runningGateway) {
	running.mu.Lock()
	defer running.mu.Unlock()
	if running.subscriber == nil {
		return
	}
	catchUp, first := running.history.observeLease(running.subscriber.Fresh(), time.Now())
	if !first {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	recordDuration(w.catchUp, catchUp)
}

// sampleStatus records a gateway's claim of freshness and the age of the state that it knows to be complete. The claim
// counts from when the core has handled all changes received before it.
func (w *gatewayWorker) sampleStatus(running *runningGateway) {
	running.mu.Lock()
	defer running.mu.Unlock()
	if running.subscriber == nil {
		return
	}
	running.lastStatus = running.subscriber.Status()
	if running.lastStatus.CompleteAt.IsZero() {
		return
	}
	w.mu.Lock()
	recordDuration(w.staleness, running.lastStatus.CompleteAge)
	w.mu.Unlock()
	completeAt := running.lastStatus.CompleteAt
	running.gateway.Checkpoint(func(at time.Time) { running.history.addClaim(at, completeAt) })
}
