package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/internal/hollow"
)

const (
	leaseSampleInterval = 100 * time.Millisecond
	standstill          = 2 * time.Second // without a sample: the process stood still, and so did its gateways
)

// gatewayWorker runs the hollow gateways of one process.
type gatewayWorker struct {
	setup    gatewaysSetup
	operator *config.Operator
	recorder *recorder
	clock    *clock.Clock

	cancel  context.CancelFunc
	sampler sync.WaitGroup

	mu        sync.Mutex
	gateways  []*runningGateway
	staleness *hdrhistogram.Histogram
	catchUp   *hdrhistogram.Histogram
}

var _ worker = (*gatewayWorker)(nil)

// runningGateway is one hollow gateway with its history across restarts.
type runningGateway struct {
	spec    gatewaySpec
	history leaseHistory

	mu           sync.Mutex
	gateway      *hollow.Gateway
	subscription subscription
	claimedAt    time.Time // the last completeness that was entered as a claim
}

func (w *gatewayWorker) handle(ctx context.Context, method string, body json.RawMessage) (any, error) {
	switch method {
	case methodStart:
		setup, err := decodeBody[gatewaysSetup](body)
		if err != nil {
			return nil, err
		}
		return empty{}, w.start(setup)
	case methodRestart:
		asked, err := decodeBody[restartRequest](body)
		if err != nil {
			return nil, err
		}
		return empty{}, w.restart(asked.Gateways)
	case methodStats:
		return ownStats()
	case methodStates:
		return w.states(), nil
	case methodResults:
		asked, err := decodeBody[resultsRequest](body)
		if err != nil {
			return nil, err
		}
		return w.results(asked.Acked), nil
	}
	return nil, fmt.Errorf("%w: %s", errUnknownMethod, method)
}

func (w *gatewayWorker) start(setup gatewaysSetup) error {
	operator, err := config.ParseOperator(hollow.OperatorText(setup.Stores), "")
	if err != nil {
		return fmt.Errorf("scale: operator's file: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setup, w.operator, w.clock = setup, operator, clock.System()
	w.recorder = newRecorder(len(setup.Gateways))
	w.staleness, w.catchUp = newHistogram(), newHistogram()
	for i, spec := range setup.Gateways {
		running := &runningGateway{spec: spec}
		if err := w.open(i, running); err != nil {
			return err
		}
		w.gateways = append(w.gateways, running)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.sampler.Go(func() { w.sampleLeases(ctx, w.gateways) })
	return nil
}

// open starts an incarnation of a gateway.
func (w *gatewayWorker) open(place int, running *runningGateway) error {
	running.history.started(time.Now())
	gateway, err := hollow.New(hollow.Options{
		Operator: w.operator, Seed: w.setup.Seed + uint64(place), Clock: w.clock, Log: zerolog.Nop(),
		Observer: gatewayObserver{w.recorder, place},
	})
	if err != nil {
		return err
	}
	subscription, err := subscribe(running.spec, w.setup.Identity, w.clock, gateway)
	if err != nil {
		gateway.Close()
		return fmt.Errorf("scale: gateway %s: %w", running.spec.Name, err)
	}
	running.mu.Lock()
	defer running.mu.Unlock()
	running.gateway, running.subscription, running.claimedAt = gateway, subscription, time.Time{}
	return nil
}

// restart closes gateways and starts them anew, as after the end of their processes.
func (w *gatewayWorker) restart(places []int) error {
	var failed []error
	for _, place := range places {
		if place < 0 || place >= len(w.gateways) {
			return fmt.Errorf("scale: no gateway %d", place)
		}
		running := w.gateways[place]
		failed = append(failed, running.stop(), w.open(place, running))
	}
	return errors.Join(failed...)
}

// stop ends the present incarnation.
func (r *runningGateway) stop() error {
	r.history.stopped(time.Now())
	r.mu.Lock()
	gateway, subscription := r.gateway, r.subscription
	r.gateway, r.subscription = nil, nil
	r.mu.Unlock()
	if gateway == nil {
		return nil
	}
	err := subscription.Close()
	gateway.Close()
	return err
}

func (w *gatewayWorker) close() error {
	if w.cancel != nil {
		w.cancel()
	}
	w.sampler.Wait()
	var failed []error
	for _, running := range w.gateways {
		failed = append(failed, running.stop())
	}
	return errors.Join(failed...)
}

// sampleLeases follows the leases of all gateways until ctx ends.
func (w *gatewayWorker) sampleLeases(ctx context.Context, gateways []*runningGateway) {
	ticker := time.NewTicker(leaseSampleInterval)
	defer ticker.Stop()
	for previous := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for _, running := range gateways {
			if now.Sub(previous) > standstill {
				running.history.observe(false, previous)
			}
			w.sampleLease(running, now)
		}
		previous = now
	}
}

// sampleLease enters a gateway's lease, and its claim of freshness where that is a new one. The claim counts from when
// the core has handled all that came before it.
func (w *gatewayWorker) sampleLease(running *runningGateway, now time.Time) {
	running.mu.Lock()
	defer running.mu.Unlock()
	if running.subscription == nil {
		return
	}
	fresh, completeAt := running.subscription.Fresh(), running.subscription.CompleteAt()
	catchUp, first := running.history.observe(fresh, now)
	w.mu.Lock()
	if first {
		recordDuration(w.catchUp, catchUp)
	}
	if !completeAt.IsZero() {
		recordDuration(w.staleness, now.Sub(completeAt))
	}
	w.mu.Unlock()
	if fresh && completeAt.After(running.claimedAt) {
		running.claimedAt = completeAt
		running.gateway.Checkpoint(func(at time.Time) { running.history.claim(at, completeAt) })
	}
}

func (w *gatewayWorker) states() []State {
	var out []State
	for _, running := range w.gateways {
		running.mu.Lock()
		if subscription := running.subscription; subscription != nil {
			out = append(out, State{
				Name: running.spec.Name, Position: subscription.Position(), Digest: subscription.Digest(),
				Fresh: subscription.Fresh(),
			})
		}
		running.mu.Unlock()
	}
	return out
}
