package turnfork

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/replica"
	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/ring"
)

// gatewayGroup is a group of three gateways, each with its own member of the replicated store on disk, connected by mutual TLS.
type gatewayGroup struct {
	*testing.T
	members   []replica.Member
	dirs      []string
	stores    [3]*replica.Store
	frontends [3]*signed.Frontend
	clock     *clock.Clock
	keys      *ring.Ring
	cert      func() (*tls.Config, error)
	runs      atomic.Int64
	fault     atomic.Pointer[leaderFault]
	killed    chan struct{}
	victim    int // the killed member, valid once killed is closed

	openLogs func(path string) (replica.LogDatabase, error) // opens the log of a gateway that is a member; nil: the default

	// observe returns a function that is called with each configuration value that a member applies from its start on; nil: none is.
	observe func() func(name string, value json.RawMessage)
}

// leaderFault kills the leader at one step of a claim: before the step is proposed, or after it is committed, in which case the
// response to the step is lost too.
type leaderFault struct {
	op    claims.Op
	after bool
}

// faultyMember is a member that triggers the group's fault.
type faultyMember struct {
	*replica.Store
	group *gatewayGroup
}

func (f faultyMember) Step(ctx context.Context, name string, s claims.Step) (claims.Record, bool, error) {
	fault := f.group.fault.Load()
	if fault == nil || fault.op != s.Op || !f.group.fault.CompareAndSwap(fault, nil) {
		return f.Store.Step(ctx, name, s)
	}
	if !fault.after {
		f.group.kill(f.group.leader())
		return f.Store.Step(ctx, name, s)
	}
	f.Store.Step(ctx, name, s)
	f.group.kill(f.group.leader())
	return claims.Record{}, false, errors.New("leader killed")
}

func (c *gatewayGroup) leader() int {
	for {
		for i, s := range c.stores {
			if s.Leads() {
				return i
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *gatewayGroup) kill(i int) {
	c.stores[i].Close()
	c.victim = i
	close(c.killed)
}

// awaitKill waits until the fault is triggered, and returns the killed member.
func (c *gatewayGroup) awaitKill() (victim int) {
	c.Helper()
	select {
	case <-c.killed:
	case <-time.After(40 * time.Second):
		c.Fatal("no member was killed")
	}
	return c.victim
}

// isDead reports whether a member was killed.
func (c *gatewayGroup) isDead(member int) bool {
	select {
	case <-c.killed:
		return c.victim == member
	default:
		return false
	}
}

// groupCount counts the groups of this process.
var groupCount atomic.Int32

// newGatewayGroup starts three members. deadline is that of the class ride-end, in ms.
func newGatewayGroup(t *testing.T, deadline float64) *gatewayGroup {
	c := &gatewayGroup{T: t, clock: clock.System(), killed: make(chan struct{}), dirs: []string{t.TempDir(), t.TempDir(), t.TempDir()}}
	var err error
	if c.keys, err = ring.New([]token.Key{{ID: "url", Kind: token.HMAC, Secret: urlSecret}}); err != nil {
		t.Fatal(err)
	}
	// Each member has its own address, so that no outgoing connection from 127.0.0.1 takes its port while it is down.
	n := byte(groupCount.Add(1))
	at := func(i int) net.IP { return net.IPv4(127, 77, n, byte(i+1)) }
	if c.cert, err = fakestore.NewAuthority(at(0), at(1), at(2)); err != nil {
		t.Fatal(err)
	}
	listeners := make([]net.Listener, 3)
	for i := range listeners {
		listeners[i] = c.listen(at(i).String() + ":0")
		c.members = append(c.members, replica.Member{ID: fmt.Sprint("m", i), Addr: listeners[i].Addr().String()})
	}
	for i, l := range listeners {
		c.openMember(i, l, deadline)
	}
	t.Cleanup(func() {
		for _, s := range c.stores {
			s.Close()
		}
	})
	return c
}

func (c *gatewayGroup) listen(addr string) net.Listener {
	c.Helper()
	// Another connection of this machine may use the port of a stopped member for a while.
	l, err := net.Listen("tcp", addr)
	for limit := time.Now().Add(20 * time.Second); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(limit); {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp", addr)
	}
	if err != nil {
		c.Fatal(err)
	}
	return l
}

// openMember starts a member and its gateway, on a listener or, if l is nil, on the member's former address.
func (c *gatewayGroup) openMember(i int, l net.Listener, deadline float64) {
	c.Helper()
	if l == nil {
		l = c.listen(c.members[i].Addr)
	}
	conf, err := c.cert()
	if err != nil {
		c.Fatal(err)
	}
	var changed func(name string, value json.RawMessage)
	if c.observe != nil {
		changed = c.observe()
	}
	if c.stores[i], err = replica.Open(replica.Options{
		ID: c.members[i].ID, Members: c.members, Listener: l, TLS: conf, Dir: c.dirs[i], Clock: c.clock, Log: zerolog.Nop(),
		HeartbeatTimeout: 200 * time.Millisecond,
		Changed:          changed,
		MinRevocation:    func() time.Duration { return c.frontends[i].MinRevocation() },
	}); err != nil {
		c.Fatal(err)
	}
	c.frontends[i] = c.newFrontend(faultyMember{c.stores[i], c}, deadline, 20000)
}

// newFrontend returns a frontend that claims tokens at a member. A claim may take up to claimTimeout ms.
func (c *gatewayGroup) newFrontend(member signed.Claims, deadline, claimTimeout float64) *signed.Frontend {
	return signed.New(signed.Options{
		Post: answeringCore(&c.runs), Clock: c.clock, Log: zerolog.Nop(), Ring: c.keys, Claims: member, MaxClockSkew: 10000,
		OperatorSecret: operatorSecret,
		Classes:        []signed.Class{{Name: "ride-end", Deadline: deadline, Write: true}}, ClaimTimeout: claimTimeout,
	})
}

// url returns a signed URL of a ride-end request.
func (c *gatewayGroup) url(nonce string) string {
	c.Helper()
	u, err := c.keys.Issue("url", token.Terms{URI: rideEnd, Expires: c.clock.Unix()/1000 + 600, ID: nonce})
	if err != nil {
		c.Fatal(err)
	}
	return u.URL
}

// endRide sends a ride-end request to a frontend over a pipe, and returns the status and the reported state of the claim.
func (c *gatewayGroup) endRide(f *signed.Frontend, url string) (int, string) {
	c.Helper()
	client, server := net.Pipe()
	go f.Handle(server)
	defer client.Close()
	fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", url)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		c.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get("X-Claim")
}

// The leader is killed at each step of a claim, before and after the step is committed, while a client retries at the members in
// turn. The client must get one correct final response, the request must run at most once, and all members must report the same
// state once the killed member is back.
func TestLeaderKilledAtEachStep(t *testing.T) {
	for _, op := range []claims.Op{claims.Hold, claims.Send, claims.Finish} {
		for _, after := range []bool{false, true} {
			for _, atLeader := range []bool{false, true} { // at the leader's own gateway, or at another
				t.Run(fmt.Sprintf("%s after=%v own=%v", op, after, atLeader), func(t *testing.T) {
					t.Parallel()
					const deadline = 1000
					c := newGatewayGroup(t, deadline)
					leader := c.leader()
					url := c.url("n")
					c.fault.Store(&leaderFault{op, after})
					first := leader
					if !atLeader {
						first = (leader + 1) % 3
					}
					code, claim := c.endRide(c.frontends[first], url)
					for at, limit := first, time.Now().Add(40*time.Second); code == 503 && time.Now().Before(limit); {
						if at = (at + 1) % 3; !c.isDead(at) {
							code, claim = c.endRide(c.frontends[at], url)
						}
						time.Sleep(20 * time.Millisecond)
					}
					victim := c.awaitKill() // the outcome may be recorded after the response
					// The killed member is the leader at the step, which may differ from the leader at the start of the test.
					ownMemberKilled := victim == first
					// A gateway whose own member dies at the Send step can't record that the request was not sent.
					sendOutcomeLost := ownMemberKilled && op == claims.Send && after
					if !sendOutcomeLost && (code != 200 || c.runs.Load() != 1) || sendOutcomeLost && (code != 403 || claim != "sent" || c.runs.Load() != 0) {
						t.Fatalf("%d %q, ran %d times", code, claim, c.runs.Load())
					}
					c.openMember(victim, nil, deadline)
					c.leader()
					claimCounts := map[string]int{}
					for waitUntil := time.Now().Add(20 * time.Second); len(claimCounts) != 1 || claimCounts["sent"] > 0; {
						clear(claimCounts)
						for i := range 3 {
							code, claim := c.endRide(c.frontends[i], url)
							if code == 503 {
								continue
							}
							if claimCounts[claim]++; code != 403 {
								t.Fatalf("replay at %d: %d", i, code)
							}
						}
						// If the gateway's own member died before the outcome was committed, the claim stays in the state "sent".
						if (sendOutcomeLost || ownMemberKilled && op == claims.Finish && !after) && claimCounts["sent"] == 3 || time.Now().After(waitUntil) {
							break
						}
					}
					if c.runs.Load() > 1 || len(claimCounts) != 1 {
						t.Errorf("ran %d times, members report %v", c.runs.Load(), claimCounts)
					}
				})
			}
		}
	}
}
