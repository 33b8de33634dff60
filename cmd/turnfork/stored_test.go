package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/replica"
)

// storedFolder was written by a gateway of commit e47e21a, as its README describes.
const storedFolder = "testdata/stored-e47e21a"

// Ports in the stored folder.
const (
	storedFrontendPort = "7841"
	storedAdminPort    = "7842"
	storedCachePort    = "7843"
	storedOriginPort   = "7844"
	storedReplicaPort  = "7845"
)

const (
	storedOperatorSecret = "throwaway-operator-secret"
	storedTokenSeconds   = 900 // maximum lifetime in the stored policy
	storedLeewayMS       = 7000
)

// issuedToken is the output of the token subcommand.
type issuedToken struct {
	Key, ID, URL string
	Expires      float64
}

// claimID returns the key of a token in the replicated state.
func (i issuedToken) claimID() string { return i.Key + "/" + i.ID }

// storedToken reads a token of the stored folder.
func storedToken(t *testing.T, name string) (issued issuedToken) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(storedFolder, "issued", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &issued); err != nil {
		t.Fatal(err)
	}
	return issued
}

// copyStored copies the stored folder and replaces ports in it.
func copyStored(t *testing.T, ports map[string]string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(storedFolder)); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "gateway.toml")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for old, port := range ports {
		text = []byte(strings.ReplaceAll(string(text), "127.0.0.1:"+old, "127.0.0.1:"+port))
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if port, ok := ports[storedFrontendPort]; ok { // the folder of the overrides is named after the address
		shared := filepath.Join(dir, "shared", "turnfork_stored__127.0.0.1_")
		if err := os.Rename(shared+storedFrontendPort, shared+port); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// freePorts returns ports that are not in use.
func freePorts(t *testing.T, count int) (ports []string) {
	t.Helper()
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close() // kept open until all are chosen, so that they differ
		ports = append(ports, portOf(t, l.Addr().String()))
	}
	return ports
}

func portOf(t *testing.T, addr string) string {
	t.Helper()
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// storedGateway is a gateway of the current version on a copy of the stored folder.
type storedGateway struct {
	*testing.T
	*program
	adminAddr string
}

func startStored(t *testing.T) *storedGateway {
	endpoint, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
		return "ACK", "tag=0a,why=local,minted=1", []byte("piece"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { endpoint.Close() })
	storePort, ports := portOf(t, endpoint.Addr()), freePorts(t, 3)
	dir := copyStored(t, map[string]string{
		storedFrontendPort: ports[0], storedAdminPort: ports[1], storedReplicaPort: ports[2],
		storedCachePort: storePort, storedOriginPort: storePort,
	})
	p := launch(t, build(t), []string{"TMPDIR=" + filepath.Join(dir, "shared")}, "-config", filepath.Join(dir, "gateway.toml"))
	g := &storedGateway{t, p, "127.0.0.1:" + ports[1]}
	g.awaitFresh()
	return g
}

// awaitFresh waits until the gateway has the complete replicated state.
func (g *storedGateway) awaitFresh() {
	g.Helper()
	fresh := func() bool {
		resp, err := http.Get("http://" + g.adminAddr + "/ready")
		if err != nil { // not listening yet
			return false
		}
		defer resp.Body.Close()
		var state struct{ Subscription struct{ Fresh bool } }
		if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
			g.Fatal(err)
		}
		return state.Subscription.Fresh
	}
	for limit := time.Now().Add(30 * time.Second); !fresh(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			g.Fatalf("the replicated state is not complete within 30 s\n%s", g.logs())
		}
	}
}

// request sends a request to the signed frontend and returns the status, the X-Claim header and the body.
func (g *storedGateway) request(method, path, body string) (status int, claim, responseBody string) {
	g.Helper()
	req, err := http.NewRequest(method, "http://"+g.addr+path, strings.NewReader(body))
	if err != nil {
		g.Fatal(err)
	}
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+storedOperatorSecret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		g.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		g.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get("X-Claim"), string(text)
}

// A gateway of the current version uses the data that e47e21a stored: keys, policy, revocations, claims, and the disabled
// endpoint.
func TestStoredDataServes(t *testing.T) {
	g := startStored(t)
	issue := func(seconds int) (status int, body string) {
		status, _, body = g.request("POST", "/-/tokens",
			fmt.Sprintf(`{"kind":"hmac","key":"url-2","uri":"/v1/firmware/00000000000000a7/0","seconds":%d}`, seconds))
		return status, body
	}
	status, body := issue(storedTokenSeconds)
	if status != 200 {
		t.Fatalf("the stored key url-2 does not sign: %d %s", status, body)
	}
	var issued issuedToken
	if err := json.Unmarshal([]byte(body), &issued); err != nil {
		t.Fatal(err)
	}
	if status, _, body := g.request("GET", issued.URL, ""); status != 200 || body != "piece" {
		t.Errorf("URL signed with the stored key url-2: %d %s", status, body)
	}
	if status, body := issue(storedTokenSeconds + 1); status != 400 {
		t.Errorf("token with a longer lifetime than the stored policy allows: %d %s", status, body)
	}
	for _, name := range []string{"revoked-1", "revoked-2"} {
		if status, _, body := g.request("GET", storedToken(t, name).URL, ""); status != 403 || !strings.Contains(body, "revoked") {
			t.Errorf("%s: %d %s", name, status, body)
		}
	}
	for _, name := range []string{"claimed-1", "claimed-2"} {
		if status, claim, body := g.request("POST", storedToken(t, name).URL, ""); status != 403 || claim != "ran" {
			t.Errorf("%s: %d %q %s", name, status, claim, body)
		}
	}
	if disabled := readGatewayState(t, g.adminAddr).Disabled; !slices.Equal(disabled, []string{"s-00000002"}) {
		t.Errorf("disabled endpoints: %v", disabled)
	}
	if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-g.done; err != nil {
		t.Errorf("%v\n%s", err, g.logs())
	}
}

// storedMember is a member of the replicated store on a copy of the stored folder. It records the purges that it reports.
type storedMember struct {
	*replica.Store
	dir string

	mu     sync.Mutex
	purges []distribution.Change
}

func openStored(t *testing.T, dir string) *storedMember {
	t.Helper()
	operator, err := config.LoadOperator(filepath.Join(dir, "gateway.toml"))
	if err != nil {
		t.Fatal(err)
	}
	certificates, err := operator.TLS()
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", operator.Replica.Listen)
	if err != nil {
		t.Fatal(err)
	}
	m := &storedMember{dir: dir}
	m.Store, err = replica.Open(replica.Options{
		ID: operator.Replica.ID, Members: operator.Replica.Members, Listener: listener, TLS: certificates,
		Dir: operator.Path(operator.Replica.Dir), Clock: clock.System(), Log: zerolog.Nop(), Purged: m.purged,
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func (m *storedMember) purged(c distribution.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.purges = append(m.purges, c)
}

// storedPurge is a purge of the stored folder.
type storedPurge struct {
	object uint64
	group  uint16
	at     int64 // Unix ms
}

// purgesReceived returns the purges that the member has reported since it was opened.
func (m *storedMember) purgesReceived() (received []storedPurge) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.purges {
		received = append(received, storedPurge{c.Object, c.Group, c.At})
	}
	return received
}

// All entries that e47e21a stored in its snapshot and its log are found, and again after a snapshot by the current version.
func TestStoredDataIsComplete(t *testing.T) {
	dir := copyStored(t, map[string]string{storedReplicaPort: freePorts(t, 1)[0]})
	purges := []storedPurge{
		{object: 0x7f3a9c21e0b4d655, at: 1796206964063}, {group: 11, at: 1796206964069},
		{object: 0xa7, at: 1796206969628}, {group: 12, at: 1796206969646},
	}
	m := openStored(t, dir)
	// A new change is committed after all entries of the log, so these have been applied when Put returns.
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := m.Put(ctx, "reopened", true); err != nil {
		t.Fatal(err)
	}
	if received := m.purgesReceived(); !slices.Equal(received, purges) {
		t.Errorf("purges %v, want the stored %v", received, purges)
	}
	m.checkContents(t, ctx)
	if err := m.Snapshot(); err != nil {
		t.Fatal(err)
	}
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	m = openStored(t, dir)
	defer m.Close()
	if err := m.Put(ctx, "reopened", true); err != nil {
		t.Fatal(err)
	}
	m.checkContents(t, ctx)
}

// checkContents checks all entries of the stored state except the purges, which are kept only for a short time.
func (m *storedMember) checkContents(t *testing.T, ctx context.Context) {
	t.Helper()
	var keys []struct{ ID, Kind, Secret string }
	if ok, err := m.Get("keys", &keys); !ok || err != nil || len(keys) != 2 ||
		keys[0].ID != "url-1" || keys[0].Secret != "dGhyb3dhd2F5LXRocm93YXdheS10aHJvd2F3YXkhISE=" ||
		keys[1].ID != "url-2" || keys[1].Secret != "YW5vdGhlci10aHJvd2F3YXktYW5vdGhlci10aHJvd2E=" {
		t.Errorf("keys: %v %v %+v", ok, err, keys)
	}
	var policy map[string]float64
	if ok, err := m.Get("policy", &policy); !ok || err != nil || len(policy) != 2 ||
		policy["leeway_ms"] != storedLeewayMS || policy["token_seconds"] != storedTokenSeconds {
		t.Errorf("policy: %v %v %v", ok, err, policy)
	}
	for _, name := range []string{"revoked-1", "revoked-2"} {
		if !m.Revoked(storedToken(t, name).claimID()) {
			t.Errorf("%s is not revoked", name)
		}
	}
	var lags []float64
	for _, c := range []struct {
		name string
		want claims.Record
	}{
		{"claimed-1", claims.Record{
			Owner: "OSLRHE4ZJDHWT6T6FTR2SXFFGL", Until: 4796207038000, Stage: claims.Ran, Outcome: "served 34 bytes", At: 1796206964048.8433,
		}},
		{"claimed-2", claims.Record{
			Owner: "X4ZISPCGDICRHPZP67YF765IQM", Until: 4796207043000, Stage: claims.Ran, Outcome: "served 34 bytes", At: 1796206969593.7053,
		}},
	} {
		record, granted, err := m.Step(ctx, storedToken(t, c.name).claimID(), claims.Step{Op: claims.Hold, Owner: "another", Until: c.want.Until})
		// The time of a record is converted to the local clock: it is later than the stored one by the lag of the group's agreed
		// time behind the local clock.
		lags = append(lags, record.At-c.want.At)
		record.At = c.want.At
		if err != nil || granted || record != c.want {
			t.Errorf("%s: granted %v, %+v, %v; want the stored %+v", c.name, granted, record, err, c.want)
		}
	}
	sinceStored := clock.System().Unix() - storedAt
	if lags[0] < 0 || lags[0] > sinceStored || math.Abs(lags[1]-lags[0]) > maxLagDrift {
		t.Errorf("the claims' times differ from the stored ones by %v ms, want equal values from 0 to %v", lags, sinceStored)
	}
}

const (
	storedAt    = 1796206964048.0 // Unix ms of the first stored claim
	maxLagDrift = 1000.0          // ms by which the agreed time may advance on the local clock between two reads
)
