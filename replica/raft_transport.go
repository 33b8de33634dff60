package replica

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// handOffTimeouts is how many I/O time-outs an entry may take until its pipeline has accepted it: one for the write, and one for
// the response to the entry before it, which a full pipeline waits for.
const handOffTimeouts = 2

// raftTransport carries Raft's messages. It closes the library's pipelines of entries that nobody reads any more: the goroutine
// that replicates to a follower blocks in one that is full if the lead is lost in the meantime, and Raft then never ends its
// shutdown.
type raftTransport struct {
	*raft.NetworkTransport
	handOffTimeout time.Duration

	mu     sync.Mutex
	open   map[*trackedPipeline]struct{}
	closed bool // closePipelines has been called
}

// trackedPipeline is a pipeline that its transport can close.
type trackedPipeline struct {
	raft.AppendPipeline
	transport *raftTransport
}

func newRaftTransport(config *raft.NetworkTransportConfig) *raftTransport {
	return &raftTransport{
		NetworkTransport: raft.NewNetworkTransportWithConfig(config), handOffTimeout: handOffTimeouts * config.Timeout,
		open: map[*trackedPipeline]struct{}{},
	}
}

// AppendEntriesPipeline implements raft.Transport.
func (t *raftTransport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	pipeline, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	tracked := &trackedPipeline{AppendPipeline: pipeline, transport: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		pipeline.Close()
		return nil, raft.ErrPipelineShutdown
	}
	t.open[tracked] = struct{}{}
	return tracked, nil
}

// AppendEntries implements raft.AppendPipeline. A pipeline that does not accept the entries in time is closed.
func (p *trackedPipeline) AppendEntries(args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) (raft.AppendFuture, error) {
	timeout := time.AfterFunc(p.transport.handOffTimeout, func() { p.Close() })
	defer timeout.Stop()
	return p.AppendPipeline.AppendEntries(args, resp)
}

// Close implements raft.AppendPipeline.
func (p *trackedPipeline) Close() error {
	p.transport.mu.Lock()
	delete(p.transport.open, p)
	p.transport.mu.Unlock()
	return p.AppendPipeline.Close()
}

// closePipelines closes all pipelines, and lets no new one open. A replication goroutine that is blocked in one goes on.
func (t *raftTransport) closePipelines() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for p := range t.open {
		p.AppendPipeline.Close()
	}
	clear(t.open)
}
