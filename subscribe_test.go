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

// replicatedGatewayConfig returns the operator's file of a gateway that uses a group's replicated state, up to the settings of its
// role in the group.
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

// shortLease contains time limits that keep the tests short, and yet allow a loaded machine to renew the lease many times before
// it ends. The purge deadline keeps its default.
var shortLease = distribution.Timing{
	HeartbeatInterval: 100 * time.Millisecond, LeaseTTL: 3 * time.Second, SilenceTimeout: time.Second,
	BatchDelay: 20 * time.Millisecond,
}

// replicatedGateway is a gateway that uses the replicated state of a group.
type replicatedGateway struct {
	*gatewayGroup
	endpoint *fakestore.Endpoint
	addrs    Addrs
}

// newSubscribingGateway starts a gateway that subscribes to a group's voters.
func newSubscribingGateway(t *testing.T) *replicatedGateway {
	return newReplicatedGateway(t, newGatewayGroup(t, 3000), "id = \"phones-9\"\nsubscribe = true\n")
}

// newVotingGateway starts a gateway that is itself the last member of a group.
func newVotingGateway(t *testing.T) *replicatedGateway { return newVotingGatewayWithLog(t, nil) }

// newVotingGatewayWithLog is newVotingGateway with a custom function that opens the log.
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
	s.endpoint, err = fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
		return "ACK", "tag=0a,why=local,minted=1", []byte("piece"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.endpoint.Close() })
	dir := t.TempDir()
	s.writeCertificates(dir)
	file := replicatedGatewayConfig(s.endpoint.Addr()) + part
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

// writeCertificates writes a member's certificate and key and the authority's certificate to the files named in the operator's
// file.
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
		s.Fatalf("the admin API reports no subscription: %+v", state)
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
			s.Fatalf("not within 30 s: %s; %+v", what, s.subscription())
		}
	}
}

// get requests an object with a key, and returns the status and the maximum age of copies in ms that was requested from the
// endpoint (-1: none).
func (s *replicatedGateway) get(keys *ring.Ring, key, class string, object uint64) (status, fresh int) {
	s.Helper()
	path := fmt.Sprintf("/v1/%s/%016x/0", class, object)
	issued, err := keys.Issue(key, token.Terms{URI: path, Expires: s.clock.Unix()/1000 + 600, ID: fmt.Sprint("n", object)})
	if err != nil {
		s.Fatal(err)
	}
	before := len(s.endpoint.Commands("GET"))
	resp, err := http.Get("http://" + s.addrs.Signed.String() + issued.URL)
	if err != nil {
		s.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	calls := s.endpoint.Commands("GET")
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

// postRideEnd sends a ride-end request, and returns the status.
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

// A non-voting gateway applies the keys and purges that it receives from the voters, and claims tokens through them. Without voters
// it knows that it is stale: it keeps serving, but limits the age of copies so that no missed purge matters, and starts no
// single-use request. It becomes fresh again once the voters are back.
func TestSubscribingGateway(t *testing.T) {
	s := newSubscribingGateway(t)
	s.await("fresh", func() bool { return s.subscription().Fresh })
	if status, fresh := s.get(s.keys, "url", "firmware", 1); status != http.StatusOK || fresh != -1 {
		t.Errorf("fresh: status %d, copies of %d ms", status, fresh)
	}
	if status := s.postRideEnd("fresh"); status != http.StatusOK {
		t.Errorf("fresh: ride-end has status %d", status)
	}

	purgeCtx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	voter := s.stores[s.leader()]
	called := s.clock.Unix() // the date of the purge is not earlier
	if err := voter.Purge(purgeCtx, 2, 0); err != nil {
		t.Fatal(err)
	}
	s.await("the purge", func() bool { _, fresh := s.get(s.keys, "url", "firmware", 2); return fresh > 0 })
	if _, fresh := s.get(s.keys, "url", "firmware", 2); float64(fresh) > s.clock.Unix()-called {
		t.Errorf("copies of %d ms are accepted, %v ms after the call for a purge", fresh, s.clock.Unix()-called)
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
		t.Errorf("stale, class with a freshness of 3 s: status %d, copies of %d ms", status, fresh)
	}
	ends := len(s.endpoint.Commands("GET"))
	if status := s.postRideEnd("stale"); status != http.StatusServiceUnavailable || len(s.endpoint.Commands("GET")) != ends {
		t.Errorf("stale: ride-end has status %d, or was sent to the endpoint", status)
	}

	for i := range s.stores {
		s.openMember(i, nil, 3000)
	}
	s.await("fresh again", func() bool { return s.subscription().Fresh })
	if status, fresh := s.get(keys, "next", "firmware", 6); status != http.StatusOK || fresh != -1 {
		t.Errorf("fresh again: status %d, copies of %d ms", status, fresh)
	}
	if status := s.postRideEnd("again"); status != http.StatusOK {
		t.Errorf("fresh again: ride-end has status %d", status)
	}
}

// callOperatorAPI calls the operators' API of the signed frontend, and returns the status and the body.
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

// An operator replaces a lost voter through a non-voting gateway. The group then tolerates the loss of another voter, and the
// gateway stays fresh with the remaining voters.
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
		t.Errorf("unknown member name: %d %s", code, text)
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
		t.Errorf("with one of the former voters and the new one: %d %s", code, text)
	}
	s.await("fresh with the remaining voters", func() bool { got := s.subscription(); return got.Fresh && got.AgeMS < 2000 })
}

// The same lease applies to a voting gateway: without a majority it knows that it is stale. It keeps serving, but limits the age
// of copies so that no missed purge matters, and starts no single-use request. It becomes fresh again once the other voters are
// back.
func TestVotingGateway(t *testing.T) {
	s := newVotingGateway(t)
	s.await("fresh", func() bool { return s.subscription().Fresh })
	if got := s.subscription(); !got.IsVoter || got.AgeMS < 0 || got.MaxCopyAgeMS != 0 {
		t.Errorf("fresh: %+v", got)
	}
	if status, fresh := s.get(s.keys, "url", "firmware", 1); status != http.StatusOK || fresh != -1 {
		t.Errorf("fresh: status %d, copies of %d ms", status, fresh)
	}
	if status := s.postRideEnd("fresh"); status != http.StatusOK {
		t.Errorf("fresh: ride-end has status %d", status)
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
	sent := len(s.endpoint.Commands("GET"))
	if status := s.postRideEnd("stale"); status != http.StatusServiceUnavailable || len(s.endpoint.Commands("GET")) != sent {
		t.Errorf("stale: ride-end has status %d, or was sent to the endpoint", status)
	}

	for _, other := range []int{0, 1} {
		s.openMember(other, nil, 3000)
	}
	s.await("fresh again", func() bool { return s.subscription().Fresh })
	if status, fresh := s.get(s.keys, "url", "firmware", 3); status != http.StatusOK || fresh != -1 {
		t.Errorf("fresh again: status %d, copies of %d ms", status, fresh)
	}
	if status := s.postRideEnd("again"); status != http.StatusOK {
		t.Errorf("fresh again: ride-end has status %d", status)
	}
}
