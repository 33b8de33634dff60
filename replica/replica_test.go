package replica

import (
	"context"
	"crypto/tls"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/internal/fakestore"
)

// authority returns a function that creates TLS settings with a certificate issued by the test's own authority.
func authority(t testing.TB) func() *tls.Config {
	t.Helper()
	make, err := fakestore.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return func() *tls.Config {
		conf, err := make()
		if err != nil {
			t.Fatal(err)
		}
		return conf
	}
}

// newThreeVoters starts a cluster of three voters.
func newThreeVoters(t *testing.T) *cluster {
	t.Helper()
	return newCluster(t, 3, distribution.Limits{}, func(_ int, opt *Options) { opt.HeartbeatTimeout = 200 * time.Millisecond })
}

// testContext returns a context whose deadline is reached only if the test hangs.
func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// mustClaim makes the steps hold and send of a claim, and checks whether they are granted.
func mustClaim(t *testing.T, s *Store, name, owner string, want bool) {
	t.Helper()
	// With a leader that was just lost a proposal's outcome may be unknown. The tests try the claim with another owner
	// afterwards, so only a result without an error counts here.
	_, got, err := s.Step(testContext(t), name, claims.Step{Op: claims.Hold, Owner: owner, Until: s.opt.Clock.Unix() + 60000})
	if got && err == nil { // once it is sent, no other owner can hold it
		_, got, err = s.Step(testContext(t), name, claims.Step{Op: claims.Send, Owner: owner})
	}
	if err != nil || got != want {
		t.Errorf("claim of %s by %s: %v, %v; want %v", name, owner, got, err, want)
	}
}

// A claim that was granted through one member is rejected through all others, also after the leader was stopped and after a
// restart of all members. A minority grants no claim.
func TestClaimsAcrossMembers(t *testing.T) {
	c := newThreeVoters(t)
	at := c.leader()
	mustClaim(t, c.stores[at], "k/1", "a", true)
	mustClaim(t, c.stores[(at+1)%3], "k/1", "b", false) // forwarded to the leader
	mustClaim(t, c.stores[(at+2)%3], "k/2", "c", true)
	if _, ok, err := c.stores[at].Step(testContext(t), "k/2", claims.Step{Op: claims.Release, Owner: "b"}); ok || err != nil {
		t.Errorf("another owner's claim was released: %v, %v", ok, err)
	}

	// The leader is stopped: the other two continue and have its claims.
	c.stop(at)
	next := c.leader()
	mustClaim(t, c.stores[next], "k/1", "d", false)
	mustClaim(t, c.stores[next], "k/3", "d", true)

	// A minority rejects writes.
	other := 3 - at - next
	c.stop(other)
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	if _, ok, err := c.stores[next].Step(ctx, "k/4", claims.Step{Op: claims.Hold, Owner: "e", Until: 1e15}); ok || !errors.Is(err, ErrNoQuorum) {
		t.Errorf("a claim through a minority: granted %v, error %v", ok, err)
	}

	// All restart: the claims are still there.
	c.stop(next)
	for i := range 3 {
		c.start(i, nil)
	}
	at = c.leader()
	mustClaim(t, c.stores[at], "k/1", "f", false)
	mustClaim(t, c.stores[at], "k/3", "f", false)
	if err := c.stores[at].Snapshot(); err != nil {
		t.Error(err)
	}
	mustClaim(t, c.stores[at], "k/5", "f", true)
}

// A connection without a certificate of the members' authority is not served.
func TestConnectionNeedsMembersCertificate(t *testing.T) {
	c := newThreeVoters(t)
	c.leader()
	for name, conf := range map[string]*tls.Config{
		"no certificate":    {InsecureSkipVerify: true},
		"another authority": authority(t)(),
	} {
		conf.InsecureSkipVerify = true
		conn, err := tls.Dial("tcp", c.members[0].Addr, conf)
		if err == nil {
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			conn.Write([]byte{byte(connForward)})
			writeBlock(conn, []byte(`{"op":"claim","name":"x"}`))
			var b [1]byte
			_, err = conn.Read(b[:])
			conn.Close()
		}
		if err == nil {
			t.Errorf("%s: the connection was served", name)
		}
	}
}

// A standalone member keeps claims, revocations and configuration.
func TestStandalone(t *testing.T) {
	s, err := Open(Options{Clock: clock.Manual(1e12), Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	mustClaim(t, s, "k/1", "a", true)
	mustClaim(t, s, "k/1", "a", false) // even its owner can't use it twice
	if err := s.Revoke(testContext(t), "k/9", 2e12); err != nil || !s.Revoked("k/9") || s.Revoked("k/1") {
		t.Error("revocation:", err)
	}
	mustClaim(t, s, "k/9", "a", false)
	if err := s.Put(testContext(t), "policy", []int{4}); err != nil {
		t.Fatal(err)
	}
	var got []int
	if ok, err := s.Get("policy", &got); !ok || err != nil || len(got) != 1 || got[0] != 4 {
		t.Errorf("configuration %v %v %v", got, ok, err)
	}
}

// A claim is kept for expiredRetention after its end, and dropped by a later command.
func TestExpiredClaimIsDropped(t *testing.T) {
	s := newStateMachine()
	if !s.applyLocked(command{Op: opClaim, Name: "a", Owner: "x", At: 1000, Until: 5000}).OK {
		t.Fatal("the claim was rejected")
	}
	if s.applyLocked(command{Op: opClaim, Name: "a", Owner: "y", At: 5000 + expiredRetention, Until: 1e9}).OK {
		t.Error("the claim was dropped within expiredRetention")
	}
	s.applyLocked(command{Op: opRevoke, Name: "z", At: 6000 + 2*expiredRetention, Until: 1e9})
	if _, ok := s.Claims["a"]; ok {
		t.Error("the claim was not dropped")
	}
}
