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

// authority returns a maker of certificates that a test's own authority issues.
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

// newTrio starts three voters.
func newTrio(t *testing.T) *cluster {
	t.Helper()
	return newCluster(t, 3, distribution.Limits{}, func(_ int, opt *Options) { opt.HeartbeatTimeout = 200 * time.Millisecond })
}

// patient returns a context whose deadline only a hanging test reaches.
func patient(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// mustClaim holds a use and begins to send it, and checks whether that is granted.
func mustClaim(t *testing.T, s *Store, name, owner string, want bool) {
	t.Helper()
	// With a leader that was just lost a proposal's outcome may be unknown; the tests ask for the claim with another owner
	// afterwards, so only an answer without an error counts here.
	_, got, err := s.Step(patient(t), name, claims.Step{Op: claims.Hold, Owner: owner, Until: s.opt.Clock.Unix() + 60000})
	if got && err == nil { // about to send: from here on it is taken
		_, got, err = s.Step(patient(t), name, claims.Step{Op: claims.Send, Owner: owner})
	}
	if err != nil || got != want {
		t.Errorf("claim of %s by %s: %v, %v; want %v", name, owner, got, err, want)
	}
}

func TestClaimsAcrossMembers(t *testing.T) {
	c := newTrio(t)
	at := c.leader()
	mustClaim(t, c.stores[at], "k/1", "a", true)
	mustClaim(t, c.stores[(at+1)%3], "k/1", "b", false) // forwarded to the leader
	mustClaim(t, c.stores[(at+2)%3], "k/2", "c", true)
	if _, ok, err := c.stores[at].Step(patient(t), "k/2", claims.Step{Op: claims.Release, Owner: "b"}); ok || err != nil {
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
		t.Errorf("a minority answered a claim with %v, %v", ok, err)
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
	c := newTrio(t)
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
	mustClaim(t, s, "k/1", "a", false) // even its own owner can't take it twice
	if err := s.Revoke(patient(t), "k/9", 2e12); err != nil || !s.Revoked("k/9") || s.Revoked("k/1") {
		t.Error("revocation:", err)
	}
	mustClaim(t, s, "k/9", "a", false)
	if err := s.Put(patient(t), "policy", []int{4}); err != nil {
		t.Fatal(err)
	}
	var got []int
	if ok, err := s.Get("policy", &got); !ok || err != nil || len(got) != 1 || got[0] != 4 {
		t.Errorf("configuration %v %v %v", got, ok, err)
	}
}

// A claim is kept well beyond its end, whatever the clock of a later proposer says, and dropped in the end.
func TestExpiredClaimIsDropped(t *testing.T) {
	s := newStateMachine()
	if !s.applyLocked(command{Op: opClaim, Name: "a", Owner: "x", At: 1000, Until: 5000}).OK {
		t.Fatal("no claim")
	}
	if s.applyLocked(command{Op: opClaim, Name: "a", Owner: "y", At: 5000 + expiredRetention, Until: 1e9}).OK {
		t.Error("dropped while it may be needed")
	}
	s.applyLocked(command{Op: opRevoke, Name: "z", At: 6000 + 2*expiredRetention, Until: 1e9})
	if _, ok := s.Claims["a"]; ok {
		t.Error("never dropped")
	}
}
