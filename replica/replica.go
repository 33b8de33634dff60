// Package replica is the gateway's small replicated store, over Raft: operator configuration,
// revocations and the claims of single-use tokens. Every change is agreed on by a majority; a member
// that has lost it changes nothing.
package replica

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
)

// ErrNoQuorum tells that no majority could be reached in time: nothing is known to have changed.
var ErrNoQuorum = errors.New("replica: no quorum")

// Member is one member as the operator's file names it.
type Member struct {
	ID   string `toml:"id"`
	Addr string `toml:"addr"`
}

// Options are what a member is made of.
type Options struct {
	ID       string
	Members  []Member     // none: this one alone, in memory, with no socket and no disk
	Listener net.Listener // for links from the others
	TLS      *tls.Config  // both ways, with the certificates of the members' own authority
	Dir      string       // of the log and the snapshots
	Clock    *clock.Clock
	Log      zerolog.Logger
	Changed  func(name string, value json.RawMessage) // told of operator configuration; must not block
	Pace     time.Duration                            // heartbeat time-out; 0: 500 ms, alone 50 ms
}

const (
	snapshotsKept = 2
	trailingLogs  = 1024
	linksMost     = 32
)

// Store is one member.
type Store struct {
	opt   Options
	raft  *raft.Raft
	state *state
	links *links
	disk  io.Closer
}

// Open starts a member.
func Open(opt Options) (*Store, error) {
	s := &Store{opt: opt, state: newState()}
	s.state.changed = opt.Changed
	alone := len(opt.Members) == 0
	conf := raft.DefaultConfig()
	pace := opt.Pace
	if pace == 0 {
		pace = 500 * time.Millisecond
		if alone {
			pace = 50 * time.Millisecond
		}
	}
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = pace, pace, pace/2
	conf.CommitTimeout = min(conf.CommitTimeout, pace/4)
	conf.SnapshotThreshold, conf.TrailingLogs = 4096, trailingLogs
	conf.Logger = hclog.New(&hclog.LoggerOptions{Output: logWriter{opt.Log}, Level: hclog.Warn, DisableTime: true})
	conf.LocalID = raft.ServerID(opt.ID)
	var (
		logs   raft.LogStore
		stable raft.StableStore
		snaps  raft.SnapshotStore
		trans  raft.Transport
		peers  []raft.Server
	)
	if alone {
		if opt.ID == "" {
			conf.LocalID = "alone"
		}
		mem := raft.NewInmemStore()
		logs, stable, snaps = mem, mem, raft.NewInmemSnapshotStore()
		addr, t := raft.NewInmemTransport("")
		trans, peers = t, []raft.Server{{ID: conf.LocalID, Address: addr}}
	} else {
		if opt.TLS == nil || opt.Listener == nil {
			return nil, errors.New("replica: members: links need a listener and certificates")
		}
		if err := os.MkdirAll(opt.Dir, 0o700); err != nil {
			return nil, fmt.Errorf("replica: dir: %w", err)
		}
		db, err := boltdb.NewBoltStore(filepath.Join(opt.Dir, "raft.db"))
		if err != nil {
			return nil, fmt.Errorf("replica: dir: %w", err)
		}
		s.disk = db
		logs, stable = db, db
		if snaps, err = raft.NewFileSnapshotStoreWithLogger(opt.Dir, snapshotsKept, conf.Logger); err != nil {
			db.Close()
			return nil, fmt.Errorf("replica: dir: %w", err)
		}
		found := false
		for _, m := range opt.Members {
			peers = append(peers, raft.Server{ID: raft.ServerID(m.ID), Address: raft.ServerAddress(m.Addr)})
			found = found || m.ID == opt.ID
		}
		if !found {
			db.Close()
			return nil, fmt.Errorf("replica: id: %q is not among the members", opt.ID)
		}
		s.links = newLinks(opt, s)
		trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
			Stream: s.links, MaxPool: 3, Timeout: 2 * time.Second, Logger: conf.Logger,
		})
	}
	known, err := raft.HasExistingState(logs, stable, snaps)
	if err == nil && !known {
		err = raft.BootstrapCluster(conf, logs, stable, snaps, trans, raft.Configuration{Servers: peers})
	}
	if err == nil {
		s.raft, err = raft.NewRaft(conf, s.state, logs, stable, snaps, trans)
	}
	if err != nil {
		if s.links != nil {
			s.links.Close()
		}
		if s.disk != nil {
			s.disk.Close()
		}
		return nil, fmt.Errorf("replica: %w", err)
	}
	if s.links != nil {
		s.links.start()
	}
	return s, nil
}

// Close ends the member.
func (s *Store) Close() error {
	err := s.raft.Shutdown().Error()
	if s.links != nil {
		s.links.Close()
	}
	if s.disk != nil {
		if e := s.disk.Close(); err == nil {
			err = e
		}
	}
	return err
}

// Step makes a step of a name's claim. ok tells whether it was granted, and the record how the claim stands; with an
// error its fate is not known. It goes on trying until ctx ends, as an owner may make a step again.
func (s *Store) Step(ctx context.Context, name string, step claims.Step) (r claims.Record, ok bool, err error) {
	res, err := s.propose(ctx, command{
		Op: string(step.Op), Name: name, Owner: step.Owner, Until: step.Until, To: step.To, Outcome: step.Outcome,
	})
	return res.Record, res.OK, err
}

// Revoke refuses a token's use from now on, until a time in Unix ms.
func (s *Store) Revoke(ctx context.Context, name string, until float64) error {
	_, err := s.propose(ctx, command{Op: opRevoke, Name: name, Until: until})
	return err
}

// Put sets a piece of the operator's configuration.
func (s *Store) Put(ctx context.Context, name string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("replica: %s: %w", name, err)
	}
	_, err = s.propose(ctx, command{Op: opPut, Name: name, Value: b})
	return err
}

// Get reads a piece of the operator's configuration as this member knows it.
func (s *Store) Get(name string, into any) (ok bool, err error) {
	b, ok := s.state.config(name)
	if !ok {
		return false, nil
	}
	return true, json.Unmarshal(b, into)
}

// Revoked tells whether this member knows a token's use as revoked.
func (s *Store) Revoked(name string) bool { return s.state.revoked(name) }

// Leads tells whether this member leads at present.
func (s *Store) Leads() bool { return s.raft.State() == raft.Leader }

// Snapshot has the state written to disk now.
func (s *Store) Snapshot() error { return s.raft.Snapshot().Error() }

const retryPause = 20 * time.Millisecond

// propose has a majority agree on a command, by way of the leader. It goes on looking for one until
// ctx ends, but a command whose fate is unknown is not proposed again.
func (s *Store) propose(ctx context.Context, c command) (out result, err error) {
	if len(c.Name) == 0 || len(c.Name) > nameMost || len(c.Value) > valueMost {
		return out, fmt.Errorf("replica: name: 1 to %d bytes", nameMost)
	}
	c.At = s.opt.Clock.Unix()
	b, err := json.Marshal(c)
	if err != nil {
		return out, err
	}
	for {
		res, sure, err := s.once(ctx, b)
		if err == nil {
			if res.Err != "" {
				return out, errors.New("replica: " + res.Err)
			}
			return res, nil
		}
		// Guards against doing a thing twice, where the first proposal may still be agreed on. A claim's owner may
		// make its step again.
		if !sure && !c.steps() || errors.Is(err, raft.ErrRaftShutdown) {
			return out, fmt.Errorf("%w: %v", ErrNoQuorum, err)
		}
		if s.raft.State() == raft.Shutdown {
			return out, fmt.Errorf("%w: %v", ErrNoQuorum, err)
		}
		select {
		case <-ctx.Done():
			return out, fmt.Errorf("%w: %v", ErrNoQuorum, err)
		case <-time.After(retryPause):
		}
	}
}

// once proposes a command; sure tells that after an error it was not proposed.
func (s *Store) once(ctx context.Context, b []byte) (res result, sure bool, err error) {
	if s.Leads() {
		return s.lead(ctx, b)
	}
	addr, _ := s.raft.LeaderWithID()
	if addr == "" || s.links == nil {
		return res, true, errors.New("no leader")
	}
	return s.links.forward(ctx, string(addr), b)
}

// lead proposes a command on the leader itself.
func (s *Store) lead(ctx context.Context, b []byte) (res result, sure bool, err error) {
	wait := 2 * time.Second
	if at, ok := ctx.Deadline(); ok {
		wait = max(time.Until(at), time.Millisecond)
	}
	f := s.raft.Apply(b, wait)
	done := make(chan error, 1)
	go func() { done <- f.Error() }()
	select {
	case err = <-done:
	case <-ctx.Done():
		return res, false, ctx.Err()
	}
	if err != nil {
		return res, errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrEnqueueTimeout), err
	}
	res, ok := f.Response().(result)
	if !ok {
		return res, false, errors.New("no result")
	}
	return res, true, nil
}

type logWriter struct{ log zerolog.Logger }

func (w logWriter) Write(b []byte) (int, error) {
	w.log.Debug().Str("raft", string(b)).Msg("raft")
	return len(b), nil
}
