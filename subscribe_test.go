package turnfork

import (
	"context"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/adminapi"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/replica"
	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/ring"
)

// sharingText is the operator's file of a gateway that shares the replicated state of a trio, but for its part in that.
func replicatedGatewayConfig(store string) string {
	return anyPortConfig + `
console = "127.0.0.1:0"
operator_secret = "a secret for this test alone"
` + classConfig("app-assets", "deadline_ms = 2500", "fresh_s = 3") + classConfig("firmware", "deadline_ms = 5000") +
		classConfig("ride-end", "deadline_ms = 3000", "write = true") + endpointsConfig(store) + hmacKeyConfig("url", urlSecret) + `
[replica]
ca_file = "ca.pem"
cert_file = "cert.pem"
key_file = "key.pem"
`
}

// shortLease are time limits that keep the test short, and are long enough for a loaded machine to renew the lease many
// times over; the purge deadline stays as it is.
var shortLease = distribution.Timing{
	HeartbeatInterval: 100 * time.Millisecond, LeaseTTL: 3 * time.Second, SilenceTimeout: time.Second,
	BatchDelay: 20 * time.Millisecond,
}

// sharing is a gateway that shares the replicated state of a trio.
type replicatedGateway struct {
	*gatewayGroup
	store *fakestore.Store
	addrs Addrs
}

// newSubscribed starts a gateway that subscribes to a trio's voters.
func newSubscribingGateway(t *testing.T) *replicatedGateway {
	return newReplicatedGateway(t, newGatewayGroup(t, 3000), "id = \"phones-9\"\nsubscribe = true\n")
}

// newVoting starts a gateway that is itself a trio's last member.
func newVotingGateway(t *testing.T) *replicatedGateway { return newVotingGatewayWithLog(t, nil) }

// newVotingOn starts one whose file of the log is opened in a way of its own.
func newVotingGatewayWithLog(t *testing.T, openLogs func(path string) (replica.LogDatabase, error)) *replicatedGateway {
	c := newGatewayGroup(t, 3000)
	c.openLogs = openLogs
	const member = 2
	if err := c.stores[member].Close(); err != nil {
		t.Fatal(err)
	}
	m := c.members[member]
	return newReplicatedGateway(t, c, fmt.Sprintf("id = %q\nlisten = %q\ndir = %q\n", m.ID, m.Addr, c.dirs[member]))
}

func newReplicatedGateway(t *testing.T, c *gatewayGroup, part string) *replicatedGateway {
	s := &replicatedGateway{gatewayGroup: c}
	var err error
	s.store, err = fakestore.Listen("127.0.0.1:0", func(fakestore.Call) (string, string, []byte, bool) {
		return "ACK", "tag=0a,why=local,minted=1", []byte("piece"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.store.Close() })
	dir := t.TempDir()
	s.writeCertificates(dir)
	file := replicatedGatewayConfig(s.store.Addr()) + part
	for _, m := range s.members {
		file += fmt.Sprintf("[[replica.member]]\nid = %q\naddr = %q\n", m.ID, m.Addr)
	}
	operator, err := config.ParseOperator(file, dir)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ready, ended := make(chan Addrs, 1), make(chan error, 1)
	go func() {
		ended <- Run(ctx, Config{
			Node: operator.Node(1), Operator: operator, Log: zerolog.Nop(), Clock: s.clock, Distribution: shortLease,
			Ready: func(a Addrs) { ready <- a }, openLogs: c.openLogs,
		})
	}()
	t.Cleanup(func() { stop(); <-ended })
	select {
	case s.addrs = <-ready:
	case err := <-ended:
		t.Fatal(err)
	}
	return s
}

// writeCertificates writes a member's certificate and its authority's as the operator's file names them.
func (s *replicatedGateway) writeCertificates(dir string) {
	conf, err := s.cert()
	if err != nil {
		s.Fatal(err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(conf.Certificates[0].PrivateKey)
	if err != nil {
		s.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: conf.Certificates[0].Certificate[0]},
		"key.pem":  {Type: "PRIVATE KEY", Bytes: key},
		"ca.pem":   {Type: "CERTIFICATE", Bytes: conf.Certificates[0].Certificate[1]},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			s.Fatal(err)
		}
	}
}

func (s *replicatedGateway) subscription() *adminapi.Subscription {
	s.Helper()
	state := s.state()
	if state.Subscription == nil {
		s.Fatalf("the console tells of no subscription: %+v", state)
	}
	return state.Subscription
}

func (s *replicatedGateway) state() (state adminapi.State) {
	s.Helper()
	resp, err := http.Get("http://" + s.addrs.Admin.String() + "/ready")
	if err != nil {
		s.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		s.Fatal(err)
	}
	return state
}

func (s *replicatedGateway) await(what string, ok func() bool) {
	s.Helper()
	for limit := time.Now().Add(30 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			s.Fatalf("never: %s; %+v", what, s.subscription())
		}
	}
}

// get asks for an object with a key, and gives the status and the age in ms that the store was asked for (-1: none).
func (s *replicatedGateway) get(keys *ring.Ring, key, class string, object uint64) (status, fresh int) {
	s.Helper()
	path := fmt.Sprintf("/v1/%s/%016x/0", class, object)
	issued, err := keys.Issue(key, token.Terms{URI: path, Until: s.clock.Unix()/1000 + 600, ID: fmt.Sprint("n", object)})
	if err != nil {
		s.Fatal(err)
	}
	before := len(s.store.Calls("GET"))
	resp, err := http.Get("http://" + s.addrs.Signed.String() + issued.URL)
	if err != nil {
		s.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	calls := s.store.Calls("GET")
	if len(calls) == before {
		return resp.StatusCode, -1
	}
	text, asked := calls[len(calls)-1].Fields["fresh"]
	if !asked {
		return resp.StatusCode, -1
	}
	fresh, err = strconv.Atoi(text)
	if err != nil {
		s.Fatal(err)
	}
	return resp.StatusCode, fresh
}

// end ends a ride, and gives the status.
func (s *replicatedGateway) postRideEnd(nonce string) int {
	s.Helper()
	resp, err := http.Post("http://"+s.addrs.Signed.String()+s.url(nonce), "", nil)
	if err != nil {
		s.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// A gateway that does not vote serves by what the voters tell it: keys and purges come into force, and its claims are agreed
// on. Without voters it knows that it is stale: it serves on, asks for no copy that a missing purge could make void, and
// begins no single-use work. It becomes fresh once they are back, with the change that was made meanwhile.
func TestSubscribingGateway(t *testing.T) {
	s := newSubscribingGateway(t)
	s.await("fresh", func() bool { return s.subscription().Fresh })
	if status, fresh := s.get(s.keys, "url", "firmware", 1); status != http.StatusOK || fresh != -1 {
		t.Errorf("fresh: status %d, copies of %d ms", status, fresh)
	}
	if status := s.postRideEnd("fresh"); status != http.StatusOK {
		t.Errorf("fresh: a ride's end has %d", status)
	}

	purgeCtx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	voter := s.stores[s.leader()]
	called := s.clock.Unix() // the purge is dated and comes into force at some time from here on
	if err := voter.Purge(purgeCtx, 2, 0); err != nil {
		t.Fatal(err)
	}
	s.await("the purge", func() bool { _, fresh := s.get(s.keys, "url", "firmware", 2); return fresh > 0 })
	if _, fresh := s.get(s.keys, "url", "firmware", 2); float64(fresh) > s.clock.Unix()-called {
		t.Errorf("a copy of %d ms will do, %v ms after the call for a purge", fresh, s.clock.Unix()-called)
	}
	secret := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("n", 32)))
	next := []token.Key{{ID: "next", Kind: token.HMAC, Secret: secret}, {ID: "url", Kind: token.HMAC, Secret: urlSecret}}
	keys, err := ring.New(next)
	if err != nil {
		t.Fatal(err)
	}
	if err := voter.Put(purgeCtx, signed.ConfigKeys, next); err != nil {
		t.Fatal(err)
	}
	s.await("the new key", func() bool { status, _ := s.get(keys, "next", "firmware", 3); return status == http.StatusOK })

	for _, store := range s.stores {
		store.Close()
	}
	s.await("stale", func() bool { return !s.subscription().Fresh })
	bound := int(distribution.Timing{}.StaleCopyAge().Milliseconds())
	if got := s.subscription(); int(got.MaxCopyAgeMS) != bound || got.AgeMS < 0 {
		t.Errorf("stale: %+v", got)
	}
	if status, fresh := s.get(keys, "next", "firmware", 4); status != http.StatusOK || fresh != bound {
		t.Errorf("stale: status %d, copies of %d ms", status, fresh)
	}
	if status, fresh := s.get(keys, "next", "app-assets", 5); status != http.StatusOK || fresh != 3000 {
		t.Errorf("stale, of a class that is fresh for 3 s: status %d, copies of %d ms", status, fresh)
	}
	ends := len(s.store.Calls("GET"))
	if status := s.postRideEnd("stale"); status != http.StatusServiceUnavailable || len(s.store.Calls("GET")) != ends {
		t.Errorf("stale: a ride's end has %d, or was sent on", status)
	}

	for i := range s.stores {
		s.openMember(i, nil, 3000)
	}
	s.await("fresh again", func() bool { return s.subscription().Fresh })
	if status, fresh := s.get(keys, "next", "firmware", 6); status != http.StatusOK || fresh != -1 {
		t.Errorf("fresh again: status %d, copies of %d ms", status, fresh)
	}
	if status := s.postRideEnd("again"); status != http.StatusOK {
		t.Errorf("fresh again: a ride's end has %d", status)
	}
}

// operate calls an operator's endpoint, and gives the status and the body.
func (s *replicatedGateway) callOperatorAPI(path, body string) (int, string) {
	s.Helper()
	req, err := http.NewRequest("POST", "http://"+s.addrs.Signed.String()+path, strings.NewReader(body))
	if err != nil {
		s.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer a secret for this test alone")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		s.Fatal(err)
	}
	return resp.StatusCode, string(answer)
}

// An operator has a lost voter replaced by way of a gateway that does not vote. The group then bears the loss of another one,
// and the gateway stays fresh by the voters that are left.
func TestOperatorReplacesMember(t *testing.T) {
	s := newSubscribingGateway(t)
	s.await("fresh", func() bool { return s.subscription().Fresh })
	const lostMember = 2
	s.stores[lostMember].Close()
	host, _, err := net.SplitHostPort(s.members[lostMember].Addr)
	if err != nil {
		t.Fatal(err)
	}
	listener := s.listen(host + ":0")
	joining := replica.Member{ID: "new", Addr: listener.Addr().String()}
	conf, err := s.cert()
	if err != nil {
		t.Fatal(err)
	}
	joined, err := replica.Open(replica.Options{
		ID: joining.ID, Members: append(slices.Clone(s.members), joining), Listener: listener, TLS: conf, Dir: t.TempDir(),
		Clock: s.clock, Log: zerolog.Nop(), HeartbeatTimeout: 200 * time.Millisecond, Join: true, OwnLease: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { joined.Close() })
	if code, text := s.callOperatorAPI("/-/members", fmt.Sprintf(`{"lost":"nobody","joining":{"id":"new","addr":%q}}`, joining.Addr)); code != 400 {
		t.Errorf("a name that nobody has: %d %s", code, text)
	}
	var text string
	s.await("replaced", func() bool {
		var code int
		code, text = s.callOperatorAPI("/-/members", fmt.Sprintf(`{"lost":%q,"joining":{"id":"new","addr":%q}}`, s.members[lostMember].ID, joining.Addr))
		return code == http.StatusOK
	})
	if !strings.Contains(text, joining.Addr) || strings.Contains(text, s.members[lostMember].Addr) {
		t.Errorf("the voters are %s", text)
	}
	s.await("the new voter complete", joined.Fresh)
	s.stores[1].Close()
	if code, text := s.callOperatorAPI("/-/policy", `{"leeway_ms":2000}`); code != http.StatusOK {
		t.Errorf("with one former voter and the new one: %d %s", code, text)
	}
	s.await("fresh by those that are left", func() bool { got := s.subscription(); return got.Fresh && got.AgeMS < 2000 })
}

// A gateway that votes itself holds to the same lease: without a majority it knows that it is stale. It serves on, asks for no
// copy that a missing purge could make void, and begins no single-use work. It is fresh again with the purge that was made
// while it was cut off.
func TestVotingGateway(t *testing.T) {
	s := newVotingGateway(t)
	s.await("fresh", func() bool { return s.subscription().Fresh })
	if got := s.subscription(); !got.Votes || got.AgeMS < 0 || got.MaxCopyAgeMS != 0 {
		t.Errorf("fresh: %+v", got)
	}
	if status, fresh := s.get(s.keys, "url", "firmware", 1); status != http.StatusOK || fresh != -1 {
		t.Errorf("fresh: status %d, copies of %d ms", status, fresh)
	}
	if status := s.postRideEnd("fresh"); status != http.StatusOK {
		t.Errorf("fresh: a ride's end has %d", status)
	}

	for _, other := range []int{0, 1} {
		s.stores[other].Close()
	}
	s.await("stale", func() bool { return !s.subscription().Fresh })
	bound := int(distribution.Timing{}.StaleCopyAge().Milliseconds())
	if got := s.subscription(); int(got.MaxCopyAgeMS) != bound {
		t.Errorf("stale: %+v", got)
	}
	if status, fresh := s.get(s.keys, "url", "firmware", 2); status != http.StatusOK || fresh != bound {
		t.Errorf("stale: status %d, copies of %d ms", status, fresh)
	}
	sent := len(s.store.Calls("GET"))
	if status := s.postRideEnd("stale"); status != http.StatusServiceUnavailable || len(s.store.Calls("GET")) != sent {
		t.Errorf("stale: a ride's end has %d, or was sent on", status)
	}

	for _, other := range []int{0, 1} {
		s.openMember(other, nil, 3000)
	}
	s.await("fresh again", func() bool { return s.subscription().Fresh })
	if status, fresh := s.get(s.keys, "url", "firmware", 3); status != http.StatusOK || fresh != -1 {
		t.Errorf("fresh again: status %d, copies of %d ms", status, fresh)
	}
	if status := s.postRideEnd("again"); status != http.StatusOK {
		t.Errorf("fresh again: a ride's end has %d", status)
	}
}
