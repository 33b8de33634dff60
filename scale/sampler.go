package scale

import (
	"context"
	"time"
)

const (
	leaseSampleInterval = 100 * time.Millisecond
	statusIntervalTicks = 10              // of leaseSampleInterval between two looks at a gateway's whole status, which costs more
	stallThreshold      = 2 * time.Second // without a sample: the process stood still, and so did its gateways
)

// sampleLeases follows the leases of all gateways until ctx ends.
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

// sampleLease enters whether a gateway's lease holds.
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

// sampleStatus enters a gateway's claim of freshness, and the age of what it knows to be complete. The claim counts from
// when the core has handled all that came before it.
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
