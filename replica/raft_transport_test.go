package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

// A pipeline whose responses nobody takes blocks once it is full. Closing the pipelines, as at a member's shutdown, must end that.
func TestClosedPipelineUnblocksReplication(t *testing.T) {
	c := newThreeVoters(t)
	transport := newRaftTransport(&raft.NetworkTransportConfig{
		Stream: c.stores[0].transport, MaxPool: 1, Timeout: 10 * time.Second, Logger: hclog.NewNullLogger(),
	})
	target := raft.ServerAddress(c.members[1].Addr)
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
	select {
	case err := <-ended:
		t.Fatalf("it ended before: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	transport.closePipelines()
	select {
	case err := <-ended:
		if !errors.Is(err, raft.ErrPipelineShutdown) {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the replication is still blocked")
	}
	if _, err := transport.AppendEntriesPipeline("voter-1", target); !errors.Is(err, raft.ErrPipelineShutdown) {
		t.Errorf("a new pipeline was opened: %v", err)
	}
}
