package replica

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/distribution"
)

// silentVoter is a voter that receives proposals and closes their connections, without a response or with a fixed one.
type silentVoter struct {
	listener net.Listener
	response []byte // nil: none
	mu       sync.Mutex
	commands []string
}

func newSilentVoter(t *testing.T, conf *tls.Config, response []byte) *silentVoter {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", serverConfig(conf))
	if err != nil {
		t.Fatal(err)
	}
	m := &silentVoter{listener: listener, response: response}
	go m.accept()
	t.Cleanup(func() { listener.Close() })
	return m
}

func (m *silentVoter) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.receiveCommand(conn)
	}
}

func (m *silentVoter) receiveCommand(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(eventuallyTimeout))
	var kind [1]byte
	if _, err := io.ReadFull(conn, kind[:]); err != nil || connKind(kind[0]) != connForward {
		return
	}
	block, err := readBlock(conn, maxProposalSize)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(block))
	if m.response != nil {
		writeBlock(conn, m.response)
	}
}

func (m *silentVoter) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.commands)
}

// newSilentGroup starts a subscriber of a group whose only voter is silent.
func newSilentGroup(t *testing.T, response []byte) (*silentVoter, *Subscriber) {
	t.Helper()
	certs := authority(t)
	voter := newSilentVoter(t, certs(), response)
	s, err := OpenSubscriber(SubscriberOptions{
		Name: "gateway", Voters: []Member{{ID: "silent", Addr: voter.listener.Addr().String()}}, TLS: certs(),
		Clock: clock.System(), Log: zerolog.Nop(), Timing: testTiming,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return voter, s
}

// A response without a result acknowledges nothing. That of a leader of a version without merges is an error at once.
func TestResponseWithoutResultAcknowledgesNothing(t *testing.T) {
	for _, response := range []string{`{}`, `{"sure":true}`, `{"result":{},"sure":true}`, `{"result":{"err":"unknown operation"},"sure":true}`} {
		voter, s := newSilentGroup(t, []byte(response))
		for i, do := range []func() error{
			func() error { return s.Put(testContext(t), "policy", 1) },
			func() error { return s.Merge(testContext(t), "policy", settings{}, settings{}) },
			func() error { return s.Revoke(testContext(t), "use", 1) },
			func() error { return s.Purge(testContext(t), 1, 1) },
		} {
			if err := do(); err == nil {
				t.Errorf("%s: change %d counts as acknowledged", response, i)
			}
			if got := voter.count(); got != i+1 {
				t.Errorf("%s: change %d: %d commands sent", response, i, got)
			}
		}
	}
}

// A command whose outcome is unknown is not proposed again, as it could be applied twice. Steps of a claim are: their owner may
// repeat them.
func TestSubscriberRetriesOnlyClaimSteps(t *testing.T) {
	voter, s := newSilentGroup(t, nil)
	for i, do := range []func() error{
		func() error { return s.Put(testContext(t), "policy", 1) },
		func() error { return s.Revoke(testContext(t), "use", 1) },
		func() error { return s.Purge(testContext(t), 1, 1) },
	} {
		if err := do(); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("%d: %v", i, err)
		}
		if got := voter.count(); got != i+1 {
			t.Errorf("%d: %d commands sent", i, got)
		}
	}
	before := voter.count()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() {
		_, _, err := s.Step(ctx, "k", claims.Step{Op: claims.Release, Owner: "a"})
		done <- err
	}()
	eventually(t, "the step to be repeated", func() bool { return voter.count() >= before+2 })
	cancel()
	if err := <-done; !errors.Is(err, ErrNoQuorum) {
		t.Error(err)
	}
}

// A subscriber that does not know the leader learns its address from any voter, and skips voters that can't be reached.
func TestCommandFindsLeader(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, nil)
	leader := c.leader()
	s := c.subscriber("gateway", c.members, nil)
	for i := range s.voters {
		s.setLeader("")
		s.nextVoter.Store(uint32(i))
		if err := s.Put(testContext(t), "policy", i); err != nil {
			t.Errorf("through voter %d: %v", i, err)
		}
		if got := s.proposalAddr(); got != c.members[c.leader()].Addr {
			t.Errorf("through voter %d: commands are sent to %s", i, got)
		}
	}
	unreachable := (leader + 1) % 3
	s.relay(unreachable).cut()
	s.setLeader("")
	s.nextVoter.Store(uint32(slices.Index(s.voters, c.members[unreachable].Addr)))
	if err := s.Put(testContext(t), "policy", "last"); err != nil {
		t.Error(err)
	}
}
