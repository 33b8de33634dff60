package replica

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/distribution"
)

// goroutineRuns reports whether any goroutine is in a function whose name contains part.
func goroutineRuns(part string) bool {
	stacks := make([]byte, 1<<20)
	for {
		n := runtime.Stack(stacks, true)
		if n < len(stacks) {
			return strings.Contains(string(stacks[:n]), part)
		}
		stacks = make([]byte, 2*len(stacks))
	}
}

// countSockets returns the number of the process's open sockets.
func countSockets(t *testing.T) (count int) {
	t.Helper()
	const descriptors = "/proc/self/fd"
	entries, err := os.ReadDir(descriptors)
	if err != nil {
		t.Fatal("can't list descriptors:", err)
	}
	for _, entry := range entries {
		if target, err := os.Readlink(descriptors + "/" + entry.Name()); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// A standalone member does not serve subscribers: it has no goroutine, socket or timer for them.
func TestStandaloneServesNoSubscribers(t *testing.T) {
	before := countSockets(t)
	s, err := Open(Options{Clock: clock.System(), Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Put(testContext(t), "policy", 1); err != nil {
		t.Fatal(err)
	}
	if err := s.Purge(testContext(t), 1, 1); err != nil {
		t.Fatal(err)
	}
	if s.feed != nil || s.confirmer != nil || s.transport != nil || s.state.feed != nil {
		t.Error("it has parts that serve subscribers")
	}
	for _, part := range []string{"(*confirmer)", "(*transport)", "(*watch"} {
		if goroutineRuns("replica." + part) {
			t.Error("a goroutine runs", part)
		}
	}
	if after := countSockets(t); after > before {
		t.Errorf("%d sockets, %d before", after, before)
	}
	if !s.Fresh() || s.MaxCopyAge() != 0 {
		t.Error("a standalone member is stale")
	}
}

// A voter without subscribers runs no confirmation rounds and sets no timer, both before the first and after the last one.
func TestVoterIdleWithoutSubscribers(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, nil)
	idle := func() bool {
		for _, store := range c.stores {
			store.feed.mu.Lock()
			armed := store.feed.timer != nil
			store.feed.mu.Unlock()
			if armed {
				return false
			}
		}
		return !goroutineRuns("replica.(*confirmer)") && !goroutineRuns("replica.(*confirmConn)") && !goroutineRuns("replica.(*watch")
	}
	c.put("policy", 1)
	if !idle() {
		t.Error("something runs without a subscriber")
	}
	s := c.subscriber("gateway", c.members, nil)
	s.awaitFresh()
	if !goroutineRuns("replica.(*confirmer).run") {
		t.Error("no confirmer runs with a subscriber: this test searches for the wrong function name")
	}
	s.Close()
	eventually(t, "the voters to be idle again", idle)
	c.put("policy", 2)
	if !idle() {
		t.Error("something runs after the last subscriber")
	}
}

// Subscribers beyond the limit are rejected, by the publisher or for lack of a connection slot, without taking slots from
// Raft's connections and proposals. A rejected subscriber is admitted once there is capacity.
func TestSubscriberLimitLeavesOtherSlots(t *testing.T) {
	const capacity = 2
	c := newCluster(t, 3, distribution.Limits{Subscribers: capacity}, nil)
	voter := c.follower()
	only := c.members[voter : voter+1]
	var admitted []*testSubscriber
	for i := range capacity {
		s := c.subscriber(fmt.Sprint("admitted-", i), only, nil)
		s.awaitFresh()
		admitted = append(admitted, s)
	}
	rejected := c.subscriber("rejected", only, nil)
	eventually(t, "the subscriber beyond the limit to be rejected", func() bool { return rejected.Status().MessagesIn > 0 })
	if rejected.Fresh() {
		t.Error("fresh though rejected")
	}

	watchSlots := c.stores[voter].transport.slots[connWatch]
	for watchSlots.tryAcquire() { // occupies all slots, as connections would
	}
	message := rawWatch(t, c, voter, subscribeRequest{Name: "raw", Heartbeat: 1})
	if message.Rejection == nil || message.Rejection.Reason != distribution.RejectFull || message.Rejection.RetryAfterMS <= 0 {
		t.Errorf("the response is %+v", message)
	}
	if len(message.Rejection.Voters) != 2 {
		t.Errorf("other voters: %v", message.Rejection.Voters)
	}
	hold := claims.Step{Op: claims.Hold, Owner: "a", Until: 1e15}
	if _, ok, err := admitted[0].Step(testContext(t), "k", hold); !ok || err != nil {
		t.Errorf("hold: %v, %v", ok, err)
	}

	// Raft opens new connections.
	c.betweenVoters(voter, (*relay).cut)
	c.betweenVoters(voter, (*relay).heal)
	c.put("policy", "after")
	c.awaitVoter(voter)
}

// rawWatch opens a watch without a Subscriber and returns the first message of the voter.
func rawWatch(t *testing.T, c *cluster, voter int, request subscribeRequest) (message voterMessage) {
	t.Helper()
	conn, err := newDialer(c.client, nil).dial(testContext(t), c.members[voter].Addr, connWatch)
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(conn)
	conn.SetDeadline(time.Now().Add(eventuallyTimeout))
	block, err := encodeBlock(request)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(block); err != nil {
		t.Fatal(err)
	}
	return receiveMessage(t, conn)
}

// Invalid input closes the connection over which it arrived, and does not disturb other connections.
func TestBadInputClosesOnlyItsConnection(t *testing.T) {
	c := newCluster(t, 3, distribution.Limits{}, relaxedTimeouts.voter)
	voter := c.leader()
	good := c.subscriber("good", c.members[voter:voter+1], relaxedTimeouts.subscriber)
	good.awaitFresh()
	opened, err := encodeBlock(subscribeRequest{Name: "bad", Heartbeat: 1})
	if err != nil {
		t.Fatal(err)
	}
	block := func(contents string) string {
		b := append(make([]byte, blockHeaderSize), contents...)
		putBlockHeader(b)
		return string(b)
	}
	for name, test := range map[string]struct {
		kind connKind
		sent string
	}{
		"unknown kind":         {'x', block("{}")},
		"watch: no JSON":       {connWatch, block("watch me")},
		"watch: too long":      {connWatch, "\xff\xff\xff\xff"},
		"watch: no heartbeat":  {connWatch, block(`{"name":"a"}`)},
		"watch: negative":      {connWatch, block(`{"name":"a","heartbeat":-1}`)},
		"watch: long name":     {connWatch, block(`{"name":"` + strings.Repeat("a", maxGatewayName+1) + `","heartbeat":1}`)},
		"watch: then no JSON":  {connWatch, string(opened) + block("heartbeat")},
		"watch: then too long": {connWatch, string(opened) + "\x7f\xff\xff\xff"},
		"confirm: no JSON":     {connConfirm, block("lead")},
		"confirm: too long":    {connConfirm, "\x00\x10\x00\x00"},
		"forward: too long":    {connForward, "\x7f\x00\x00\x00"},
		"watch: string number": {connWatch, block(`{"heartbeat":"1"}`)},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := newDialer(c.client, nil).dial(testContext(t), c.members[voter].Addr, test.kind)
			if err != nil {
				t.Fatal(err)
			}
			defer closeNow(conn)
			if _, err := conn.Write([]byte(test.sent)); err != nil {
				return
			}
			conn.SetReadDeadline(time.Now().Add(eventuallyTimeout))
			buffer := make([]byte, 4<<10)
			for {
				if _, err := conn.Read(buffer); err != nil {
					if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
						t.Error("the connection stays open")
					}
					return
				}
			}
		})
	}
	if !good.Fresh() || len(good.freshnessChanges()) != 1 {
		t.Errorf("another subscriber was disturbed: its freshness changed to %v", good.freshnessChanges())
	}
}
