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
	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/internal/hollow"
	"turnfork.dev/turnfork/replica"
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

// runningGateway is a hollow gateway with the history of all its incarnations. A restart begins a new incarnation.
type runningGateway struct {
	spec    gatewaySpec
	history leaseHistory

	mu              sync.Mutex
	gateway         *hollow.Gateway
	subscriber      *replica.Subscriber
	lastStatus      replica.SubscriberStatus // most recent sample
	previousTraffic Traffic                  // of earlier incarnations
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
		req, err := decodeBody[restartRequest](body)
		if err != nil {
			return nil, err
		}
		return empty{}, w.restart(req.Gateways)
	case methodStats:
		stats, err := readProcessStats()
		stats.Traffic = w.traffic()
		return stats, err
	case methodStates:
		return w.states(), nil
	case methodResults:
		req, err := decodeBody[resultsRequest](body)
		if err != nil {
			return nil, err
		}
		return w.results(req.Acked), nil
	}
	return nil, fmt.Errorf("%w: %s", errUnknownMethod, method)
}

func (w *gatewayWorker) start(setup gatewaysSetup) error {
	if len(setup.Gateways) == 0 {
		return errors.New("scale: no gateways")
	}
	if err := setup.Identity.writeFiles(setup.Dir); err != nil {
		return err
	}
	first := setup.Gateways[0]
	text := hollow.OperatorText(setup.Endpoints) + hollow.SubscriptionText(first.Name, first.Voters)
	operator, err := config.ParseOperator(text, setup.Dir)
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
		if err := w.openGateway(i, running); err != nil {
			return err
		}
		w.gateways = append(w.gateways, running)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.sampler.Go(func() { w.sampleLeases(ctx) })
	return nil
}

// openGateway starts a new incarnation of a gateway.
func (w *gatewayWorker) openGateway(index int, running *runningGateway) error {
	running.history.started(time.Now())
	gateway, err := hollow.New(hollow.Options{
		Operator: hollow.DeriveOperator(w.operator, running.spec.Name, running.spec.Voters), Seed: w.setup.Seed + uint64(index),
		Clock: w.clock, Log: zerolog.Nop(), Observer: gatewayObserver{w.recorder, index},
	})
	if err != nil {
		return fmt.Errorf("scale: gateway %s: %w", running.spec.Name, err)
	}
	running.mu.Lock()
	defer running.mu.Unlock()
	running.gateway, running.subscriber, running.lastStatus = gateway, gateway.Subscriber(), replica.SubscriberStatus{}
	return nil
}

// restart closes the given gateways and starts new incarnations concurrently, as if their processes had been restarted.
func (w *gatewayWorker) restart(indices []int) error {
	var group errgroup.Group
	for _, index := range indices {
		if index < 0 || index >= len(w.gateways) {
			return errors.Join(fmt.Errorf("scale: no gateway %d", index), group.Wait())
		}
		running := w.gateways[index]
		group.Go(func() error { return errors.Join(running.stop(), w.openGateway(index, running)) })
	}
	return group.Wait()
}

// stop ends the current incarnation.
func (r *runningGateway) stop() error {
	r.history.stopped(time.Now())
	r.mu.Lock()
	gateway, subscriber := r.gateway, r.subscriber
	if subscriber != nil {
		r.previousTraffic.add(trafficOf(subscriber.Status()))
	}
	r.gateway, r.subscriber, r.lastStatus = nil, nil, replica.SubscriberStatus{}
	r.mu.Unlock()
	if gateway == nil {
		return nil
	}
	return gateway.Close()
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

// traffic returns the total traffic of all gateways.
func (w *gatewayWorker) traffic() (sum Traffic) {
	for _, running := range w.gateways {
		running.mu.Lock()
		sum.add(running.previousTraffic)
		sum.add(trafficOf(running.lastStatus))
		running.mu.Unlock()
	}
	return sum
}

func trafficOf(status replica.SubscriberStatus) Traffic {
	return Traffic{
		BytesIn: int64(status.BytesIn), BytesOut: int64(status.BytesOut), MessagesIn: int64(status.MessagesIn),
		MessagesOut: int64(status.MessagesOut), Reconnects: int64(status.Reconnects), Snapshots: int64(status.Snapshots),
	}
}

func (w *gatewayWorker) states() []State {
	var out []State
	for _, running := range w.gateways {
		running.mu.Lock()
		if running.subscriber != nil {
			status := running.subscriber.Status()
			out = append(out, State{
				Name: running.spec.Name, Position: status.Position, Digest: status.Digest, Fresh: status.Fresh,
			})
		}
		running.mu.Unlock()
	}
	return out
}
