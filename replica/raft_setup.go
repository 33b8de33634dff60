package replica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
)

const (
	memberHeartbeatTimeout     = 500 * time.Millisecond
	standaloneHeartbeatTimeout = 50 * time.Millisecond

	snapshotThreshold = 4096 // log entries since the last snapshot
	retainedSnapshots = 2
	trailingLogs      = 1024 // log entries kept behind a snapshot

	maxPooledRaftConns = 3 // to each member
	raftIOTimeout      = 2 * time.Second

	standaloneID = "alone" // of a standalone member without a configured one
)

// raftParts are the arguments of raft.NewRaft.
type raftParts struct {
	conf      *raft.Config
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
	transport raft.Transport
	servers   []raft.Server
}

// newRaftParts returns the parts of a standalone member, which is in memory, or of a member of a group, which has files and
// connections.
func (s *Store) newRaftParts() (*raftParts, error) {
	if len(s.opt.Members) == 0 {
		return s.newStandaloneParts(), nil
	}
	return s.newMemberParts()
}

func (s *Store) newStandaloneParts() *raftParts {
	conf := raftConfig(s.opt, standaloneHeartbeatTimeout)
	if s.opt.ID == "" {
		conf.LocalID = standaloneID
	}
	memory := raft.NewInmemStore()
	addr, memoryTransport := raft.NewInmemTransport("")
	return &raftParts{
		conf:      conf,
		logs:      memory,
		stable:    memory,
		snapshots: raft.NewInmemSnapshotStore(),
		transport: memoryTransport,
		servers:   []raft.Server{{ID: conf.LocalID, Address: addr}},
	}
}

func (s *Store) newMemberParts() (*raftParts, error) {
	servers, err := s.raftServers()
	if err != nil {
		return nil, err
	}
	parts := &raftParts{conf: raftConfig(s.opt, memberHeartbeatTimeout), servers: servers}
	if err := s.openLogAndSnapshots(parts); err != nil {
		return nil, fmt.Errorf("dir: %w", err)
	}
	s.transport = newTransport(s.opt, s, s.newWatchServer())
	s.leaderConns = &leaderConns{dialer: s.transport.dialer}
	s.raftTransport = newRaftTransport(&raft.NetworkTransportConfig{
		Stream: s.transport, MaxPool: maxPooledRaftConns, Timeout: raftIOTimeout, Logger: parts.conf.Logger,
	})
	parts.transport = s.raftTransport
	return parts, nil
}

// newWatchServer returns the server of watches, and creates the feed, the confirmer and the member's own lease. None of them runs
// until there is a subscriber or the lease is started.
func (s *Store) newWatchServer() *watchServer {
	timing := s.opt.Timing.WithDefaults()
	s.feed = newFeed(s.opt.Limits, timing)
	s.state.feed = s.feed
	s.verifications = make(chan struct{}, maxVerifications)
	if s.opt.OwnLease {
		s.lease = newMemberLease(timing, s.opt.Now, s.opt.FreshnessChanged)
		s.state.onApplied = s.lease.setApplied
	}
	s.confirmer = newConfirmer(s, s.feed, s.lease, timing.HeartbeatInterval)
	w := &watchServer{
		feed: s.feed, confirmer: s.confirmer, snapshots: &snapshotCache{state: s.state, feed: s.feed}, timing: timing,
	}
	for _, m := range s.opt.Members {
		if m.ID != s.opt.ID {
			w.otherVoters = append(w.otherVoters, m.Addr)
		}
	}
	return w
}

// raftServers checks the options of a member and returns the members in Raft's form.
func (s *Store) raftServers() ([]raft.Server, error) {
	if s.opt.TLS == nil || s.opt.Listener == nil {
		return nil, errors.New("members: connections between members need a listener and certificates")
	}
	var servers []raft.Server
	found := false
	for _, m := range s.opt.Members {
		servers = append(servers, raft.Server{ID: raft.ServerID(m.ID), Address: raft.ServerAddress(m.Addr)})
		found = found || m.ID == s.opt.ID
	}
	if !found {
		return nil, fmt.Errorf("id: %q is not among the members", s.opt.ID)
	}
	return servers, nil
}

// openLogAndSnapshots opens the log and the snapshots, and checks that together they hold the complete state.
func (s *Store) openLogAndSnapshots(parts *raftParts) error {
	if err := os.MkdirAll(s.opt.Dir, 0o700); err != nil {
		return err
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(s.opt.Dir, retainedSnapshots, parts.conf.Logger)
	if err != nil {
		return err
	}
	if err := s.createMemberLog(parts, snapshots); err != nil {
		return err
	}
	storage, err := openStorage(s.opt.Dir, s.opt.OpenLogs, s.opt.Log)
	if err != nil {
		return err
	}
	s.storage = storage
	parts.logs, parts.stable = storage, storage
	if s.opt.wrapLogs != nil {
		parts.logs = s.opt.wrapLogs(storage)
	}
	parts.snapshots = snapshots
	return verifySnapshots(s.opt.Dir, storage, s.opt.Log)
}

// createMemberLog creates the log of a member that starts for the first time, and bootstraps the group in it unless the
// member joins one.
func (s *Store) createMemberLog(parts *raftParts, snapshots raft.SnapshotStore) error {
	newestIndex, damaged, err := readSnapshots(filepath.Join(s.opt.Dir, snapshotsDir))
	if err != nil {
		return err
	}
	return createLog(s.opt.Dir, s.opt.OpenLogs, func(database LogDatabase) error {
		if newestIndex > 0 || len(damaged) > 0 {
			return errors.New("snapshots exist, but the log is missing: the term and the vote are lost")
		}
		if s.opt.Join {
			return nil
		}
		founders := raft.Configuration{Servers: parts.servers}
		return raft.BootstrapCluster(parts.conf, checksummingLogs{database}, database, snapshots, nil, founders)
	})
}

// startRaft starts Raft, and bootstraps the group if there is no state yet.
func (s *Store) startRaft(p *raftParts) error {
	hasState, err := raft.HasExistingState(p.logs, p.stable, p.snapshots)
	if err != nil {
		return err
	}
	if !hasState && !s.opt.Join {
		founders := raft.Configuration{Servers: p.servers}
		if err := raft.BootstrapCluster(p.conf, p.logs, p.stable, p.snapshots, p.transport, founders); err != nil {
			return err
		}
	}
	s.raft, err = raft.NewRaft(p.conf, s.state, p.logs, p.stable, p.snapshots, p.transport)
	return err
}

// raftConfig returns Raft's settings. heartbeatTimeout applies if the options set none.
func raftConfig(opt Options, heartbeatTimeout time.Duration) *raft.Config {
	if opt.HeartbeatTimeout != 0 {
		heartbeatTimeout = opt.HeartbeatTimeout
	}
	conf := raft.DefaultConfig()
	conf.HeartbeatTimeout = heartbeatTimeout
	conf.ElectionTimeout = heartbeatTimeout
	conf.LeaderLeaseTimeout = heartbeatTimeout / 2
	conf.CommitTimeout = min(conf.CommitTimeout, heartbeatTimeout/4)
	conf.SnapshotThreshold = snapshotThreshold
	conf.TrailingLogs = trailingLogs
	conf.Logger = hclog.New(&hclog.LoggerOptions{Output: logWriter{opt.Log}, Level: hclog.Warn, DisableTime: true})
	conf.LocalID = raft.ServerID(opt.ID)
	return conf
}

// logWriter writes the lines of Raft's logger to the process's log.
type logWriter struct{ log zerolog.Logger }

// Write logs a line at the level debug. It never fails.
func (w logWriter) Write(b []byte) (int, error) {
	w.log.Debug().Str("raft", string(b)).Msg("raft")
	return len(b), nil
}
