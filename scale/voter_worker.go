package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/replica"
)

// revocationTTL is the lifetime of the revocations that the load proposes.
const revocationTTL = time.Hour

// voterWorker runs the voting members of one process.
type voterWorker struct {
	setup    voterSetup
	stores   map[string]*replica.Store
	recorder *recorder
	bytes    byteCounter
}

var _ worker = (*voterWorker)(nil)

func (w *voterWorker) handle(ctx context.Context, method string, body json.RawMessage) (any, error) {
	switch method {
	case methodStart:
		setup, err := decodeBody[voterSetup](body)
		if err != nil {
			return nil, err
		}
		return empty{}, w.start(setup)
	case methodPropose:
		req, err := decodeBody[proposeRequest](body)
		if err != nil {
			return nil, err
		}
		return w.propose(ctx, req)
	case methodLeads:
		return w.leads(), nil
	case methodStates:
		return w.states(), nil
	case methodStats:
		stats, err := readProcessStats()
		stats.Traffic = w.traffic()
		return stats, err
	case methodResults:
		req, err := decodeBody[resultsRequest](body)
		if err != nil {
			return nil, err
		}
		return w.results(req.Acked), nil
	}
	return nil, fmt.Errorf("%w: %s", errUnknownMethod, method)
}

func (w *voterWorker) start(setup voterSetup) error {
	w.setup, w.stores = setup, map[string]*replica.Store{}
	w.recorder = newRecorder(len(setup.LocalIDs))
	for index, id := range setup.LocalIDs {
		store, err := w.openMember(index, id)
		if err != nil {
			return fmt.Errorf("scale: member %s: %w", id, err)
		}
		w.stores[id] = store
	}
	return nil
}

func (w *voterWorker) openMember(index int, id string) (*replica.Store, error) {
	memberIndex := slices.IndexFunc(w.setup.Members, func(m replica.Member) bool { return m.ID == id })
	if memberIndex < 0 {
		return nil, errors.New("not among the members")
	}
	identity, err := w.setup.Identity.TLS()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", w.setup.Members[memberIndex].Addr)
	if err != nil {
		return nil, err
	}
	options := replica.Options{
		ID: id, Members: w.setup.Members, Listener: &countingListener{Listener: listener, bytes: &w.bytes}, TLS: identity, Dir: filepath.Join(w.setup.Dir, id),
		Clock: clock.System(), Log: zerolog.Nop(),
	}
	if w.setup.RecordConfig {
		options.Changed = func(name string, value json.RawMessage) {
			w.recorder.record(ConfigKey(name, value), index, time.Now())
		}
	}
	store, err := replica.Open(options)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return store, nil
}

// propose proposes an operation at a member, and returns when the member learned that the operation was committed.
func (w *voterWorker) propose(ctx context.Context, req proposeRequest) (acknowledgement, error) {
	store := w.stores[req.Member]
	if store == nil {
		return acknowledgement{}, fmt.Errorf("scale: no member %q here", req.Member)
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	operation := req.Operation
	var err error
	switch operation.Kind {
	case distribution.KindPut:
		err = store.Put(ctx, operation.Name, operation.Value)
	case distribution.KindRevoke:
		err = store.Revoke(ctx, operation.Name, float64(time.Now().Add(revocationTTL).UnixMilli()))
	case distribution.KindPurge:
		err = store.Purge(ctx, operation.Object, operation.Group)
	default:
		err = fmt.Errorf("scale: operation of kind %q", operation.Kind)
	}
	return acknowledgement{At: time.Now()}, err
}

// traffic returns the traffic on connections that the members accepted, and the number of their subscribers.
func (w *voterWorker) traffic() Traffic {
	out := Traffic{BytesIn: w.bytes.in.Load(), BytesOut: w.bytes.out.Load()}
	for _, store := range w.stores {
		subscribers, _ := store.Subscribers()
		out.Subscribers += int64(subscribers)
	}
	return out
}

func (w *voterWorker) leads() leadership {
	for id, store := range w.stores {
		if store.Leads() {
			return leadership{Leader: id}
		}
	}
	return leadership{}
}

// states returns the positions of the members.
func (w *voterWorker) states() (out []State) {
	for id, store := range w.stores {
		out = append(out, State{Name: id, Position: store.Position(), Fresh: true})
	}
	return out
}

// results returns the times from acknowledged to in force at the members of this process.
func (w *voterWorker) results(acked []AckedChange) Results {
	out := Results{Latencies: map[string]*Latencies{}, Reach: map[uint64]ChangeReach{}}
	tally := newLatencyTally()
	for _, change := range acked {
		var reach ChangeReach
		for _, inForceAt := range w.recorder.inForceTimes(change.Key) {
			if inForceAt.IsZero() {
				tally.missingFresh++
				reach.Missing++
				continue
			}
			latency := inForceAt.Sub(change.At)
			recordDuration(tally.fresh, latency)
			reach.Slowest = max(reach.Slowest, latency)
		}
		out.Reach[change.Key] = reach
	}
	out.Latencies[ClassChange] = tally.export()
	return out
}

func (w *voterWorker) close() error {
	var failed []error
	for _, store := range w.stores {
		failed = append(failed, store.Close())
	}
	return errors.Join(failed...)
}
