package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

// newPipelineTest returns a transport with a time-out, and the address of a voter for it.
func newPipelineTest(t *testing.T, timeout time.Duration) (*raftTransport, raft.ServerAddress) {
	c := newThreeVoters(t)
	transport := newRaftTransport(&raft.NetworkTransportConfig{
		Stream: c.stores[0].transport, MaxPool: 1, Timeout: timeout, Logger: hclog.NewNullLogger(),
	})
	return transport, raft.ServerAddress(c.members[1].Addr)
}

// fillPipeline opens a pipeline and sends entries until that fails. Nobody takes the responses, so it blocks when the pipeline is
// full. The error arrives on the channel.
func fillPipeline(t *testing.T, transport *raftTransport, target raft.ServerAddress) <-chan error {
	t.Helper()
	pipeline, err := transport.AppendEntriesPipeline("voter-1", target)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		for {
			// Of an old term, so that the voter rejects it.
			if _, err := pipeline.AppendEntries(&raft.AppendEntriesRequest{}, &raft.AppendEntriesResponse{}); err != nil {
				ended <- err
				return
			}
		}
	}()
	return ended
}

// expectPipelineClosed waits for the error of a closed pipeline.
func expectPipelineClosed(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if !errors.Is(err, raft.ErrPipelineShutdown) {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the replication is still blocked")
	}
}

// A pipeline whose responses nobody takes blocks once it is full. Closing the pipelines, as at a member's shutdown, must end that.
func TestClosedPipelineUnblocksReplication(t *testing.T) {
	transport, target := newPipelineTest(t, 10*time.Second)
	ended := fillPipeline(t, transport, target)
	select {
	case err := <-ended:
		t.Fatalf("it ended before: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	transport.closePipelines()
	expectPipelineClosed(t, ended)
	if _, err := transport.AppendEntriesPipeline("voter-1", target); !errors.Is(err, raft.ErrPipelineShutdown) {
		t.Errorf("a new pipeline was opened: %v", err)
	}
}

// Guards against a goroutine and a connection that a member keeps until its shutdown for each lead that it loses while a pipeline
// is full.
func TestFullPipelineIsClosedAfterTimeout(t *testing.T) {
	transport, target := newPipelineTest(t, 200*time.Millisecond)
	expectPipelineClosed(t, fillPipeline(t, transport, target))
	transport.mu.Lock()
	defer transport.mu.Unlock()
	if open := len(transport.open); open != 0 {
		t.Errorf("%d pipelines are open", open)
	}
}
