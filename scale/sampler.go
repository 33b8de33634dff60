package scale

import (
	"context"
	"time"
)

const (
	leaseSampleInterval = 100 * time.Millisecond
	statusTicks         = 10              // of leaseSampleInterval between two looks at a gateway's whole status, which costs more
	standstill          = 2 * time.Second // without a sample: the process stood still, and so did its gateways
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
		for place, running := range w.gateways {
			if now.Sub(previous) > standstill {
				running.history.observe(false, previous)
			}
			w.sampleLease(running)
			if place%statusTicks == tick%statusTicks {
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
	catchUp, first := running.history.observe(running.subscriber.Fresh(), time.Now())
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
	running.status = running.subscriber.Status()
	if running.status.CompleteAt.IsZero() {
		return
	}
	w.mu.Lock()
	recordDuration(w.staleness, running.status.CompleteAge)
	w.mu.Unlock()
	completeAt := running.status.CompleteAt
	running.gateway.Checkpoint(func(at time.Time) { running.history.claim(at, completeAt) })
}
