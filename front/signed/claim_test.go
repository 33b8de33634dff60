package signed

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/ring"
)

// claimStore is a replicated store that loses messages: a step may fail before or after it is applied.
type claimStore struct {
	mu      sync.Mutex
	records map[string]claims.Record
	faults  map[claims.Op]string // "before" or "after" the step is applied; each occurs once
	faultAt string               // name to whose steps the faults occur; "": any
	// takeover is a name whose hold passes to another token's request before the first step to sent.
	takeover string
}

func (b *claimStore) Step(_ context.Context, name string, s claims.Step) (claims.Record, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fault := ""
	if b.faultAt == "" || b.faultAt == name {
		fault = b.faults[s.Op]
		delete(b.faults, s.Op)
	}
	if fault == "before" {
		return claims.Record{}, false, errors.New("no leader")
	}
	if b.takeover == name && s.Op == claims.Send {
		b.takeover = ""
		b.records[name] = claims.Record{Owner: encodedIDOwner + "another token", Until: 2e12, Stage: claims.Held}
	}
	old, exists := b.records[name]
	s.At = 1e12
	next, keep, ok := claims.Apply(old, exists, s)
	if delete(b.records, name); keep {
		b.records[name] = next
	}
	if fault == "after" {
		return claims.Record{}, false, errors.New("lost the leader")
	}
	return next, ok, nil
}

func (b *claimStore) stage(name string) claims.Stage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.records[name].Stage
}

func (b *claimStore) Revoke(context.Context, string, float64) error { return nil }
func (b *claimStore) Revoked(string) bool                           { return false }
func (b *claimStore) Put(context.Context, string, any) error        { return nil }
func (b *claimStore) Merge(context.Context, string, any, any) error { return nil }

// gatewayPair has two gateways with one claim store, and a core that answers requests as the test prescribes.
type gatewayPair struct {
	*testing.T
	store     *claimStore
	clock     *clock.Clock
	frontends []*Frontend
	addrs     []string
	url       string
	claimName string
	mu        sync.Mutex
	runs      int
	answer    func() core.Answer // returns the core's next answer
	submitted chan core.Request
}

// binaryID is an id that is not text, and binaryIDName and earlierBinaryIDName are the names of its token for claims.
const (
	binaryID            = "id \x80"
	binaryIDName        = "k/base64:aWQggA"
	earlierBinaryIDName = "k/id \ufffd"
)

func newGatewayPair(t *testing.T) *gatewayPair { return newGatewayPairWithID(t, "n", "k/n") }

// newGatewayPairWithID starts the gateways. The token of the request has an id, and a name for claims.
func newGatewayPairWithID(t *testing.T, id, claimName string) *gatewayPair {
	keys, err := ring.New([]token.Key{{ID: "k", Kind: token.HMAC, Secret: base64.StdEncoding.EncodeToString([]byte(strings.Repeat("s", 32)))}})
	if err != nil {
		t.Fatal(err)
	}
	clk := clock.Manual(1e12)
	d := &gatewayPair{T: t, clock: clk, store: &claimStore{records: map[string]claims.Record{}, faults: map[claims.Op]string{}}, claimName: claimName, submitted: make(chan core.Request, 16)}
	got, err := keys.Issue("k", token.Terms{URI: "/v1/ride-end/00000000000000e1/0", Expires: 1e9 + 600, ID: id})
	if err != nil {
		t.Fatal(err)
	}
	d.url = got.URL
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 2 {
		f := New(Options{
			Post: d.submit, Clock: clk, Log: zerolog.Nop(), Ring: keys, Claims: d.store, Classes: []Class{{Name: "ride-end", Deadline: 3000, Write: true}},
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { f.Serve(ctx, l) })
		d.frontends, d.addrs = append(d.frontends, f), append(d.addrs, l.Addr().String())
	}
	t.Cleanup(func() { stop(); wg.Wait() })
	return d
}

// submit acts as the core: each request that it does not reject runs once.
func (d *gatewayPair) submit(ev core.Event) {
	a, ok := ev.(core.Request)
	if !ok {
		return
	}
	d.mu.Lock()
	answer := d.answer()
	if answer.Verdict != core.Rejected {
		d.runs++
	}
	d.mu.Unlock()
	d.submitted <- a
	go a.Frontend.Answer(a.RequestTag, answer)
}

// call sends the request to a gateway and returns the status, X-Claim and the body of the response.
func (d *gatewayPair) call(at int) (int, string, string) {
	d.Helper()
	resp, err := http.Post("http://"+d.addrs[at]+d.url, "text/plain", strings.NewReader("ride"))
	if err != nil {
		d.Fatal(err)
	}
	defer resp.Body.Close()
	b := make([]byte, 256)
	n, _ := resp.Body.Read(b)
	return resp.StatusCode, resp.Header.Get("X-Claim"), string(b[:n])
}

// waitIdle waits until the gateways have no open request and no pending step of a claim.
func (d *gatewayPair) waitIdle() {
	for limit := time.Now().Add(20 * time.Second); d.frontends[0].OpenRequests()+d.frontends[1].OpenRequests() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			d.Fatal("requests or claim steps are still pending after 20 s")
		}
	}
}

var (
	served   = core.Answer{Verdict: core.Served, Body: []byte("ok"), MayHaveRun: true}
	rejected = core.Answer{Verdict: core.Rejected, RetryAfter: 50}
	failed   = core.Answer{Verdict: core.Failed, Reason: core.UpstreamFailed, MayHaveRun: true}
	timedOut = core.Answer{Verdict: core.Failed, Reason: core.DeadlineExceeded, MayHaveRun: true}
)

// Whichever message of the claim store is lost, and however the request ends, a client that retries at either gateway gets its
// request run at most once, and learns how it ended.
func TestClaimRetriesRunAtMostOnce(t *testing.T) {
	testClaimRetries(t, []claims.Op{"", claims.Hold, claims.Send, claims.Finish, claims.Release}, newGatewayPair)
}

// The same holds for an id that is not text, which has an earlier name that is claimed too.
func TestClaimRetriesOfBinaryIDRunAtMostOnce(t *testing.T) {
	testClaimRetries(t, []claims.Op{"", claims.Hold, claims.Send, claims.Finish, claims.Release}, func(t *testing.T) *gatewayPair {
		return newGatewayPairWithID(t, binaryID, binaryIDName)
	})
	testClaimRetries(t, []claims.Op{claims.Hold, claims.Send}, func(t *testing.T) *gatewayPair {
		d := newGatewayPairWithID(t, binaryID, binaryIDName)
		d.store.faultAt = earlierBinaryIDName
		return d
	})
}

// testClaimRetries loses each of the steps ops before and after it is applied, for each way in which a request may end.
func testClaimRetries(t *testing.T, ops []claims.Op, newPair func(t *testing.T) *gatewayPair) {
	cases := 0
	for _, op := range ops {
		for _, when := range []string{"before", "after"} {
			for name, answers := range map[string][]core.Answer{
				"served": {served}, "rejected, then served": {rejected, served}, "failed": {failed}, "late": {timedOut}, "rejected twice": {rejected, rejected, served},
			} {
				cases++
				t.Run(fmt.Sprint(op, " lost ", when, ", ", name), func(t *testing.T) {
					d := newPair(t)
					at := 0
					d.answer = func() core.Answer { a := answers[min(at, len(answers)-1)]; at++; return a }
					if op != "" {
						d.store.faults[op] = when
					}
					code, claim, text := 0, "", ""
					for attempt := 0; attempt < 8 && (code == 0 || code == 503); attempt++ {
						code, claim, text = d.call(attempt % 2)
						d.waitIdle()
						if claim == "sent" {
							d.clock.Advance(6000) // past the time in which the outcome may still be recorded
						}
					}
					want := map[string]int{"failed": 502, "late": 504}[name]
					if want == 0 {
						want = 200
					}
					// The release is never applied, as if its gateway had crashed.
					lostRelease := op == claims.Release && strings.HasPrefix(name, "rejected")
					if lostRelease && when == "before" {
						if code != 403 || claim != "sent" || d.runs != 0 {
							t.Errorf("%d %s %s, %d runs", code, claim, text, d.runs)
						}
						return
					}
					if code != want || d.runs != 1 {
						t.Fatalf("%d %s %s, %d runs", code, claim, text, d.runs)
					}
					d.clock.Advance(6000)
					code, claim, text = d.call(1) // a client that lost its response retries
					stage := map[int]string{200: "ran", 502: "doubt", 504: "doubt"}[want]
					if op == claims.Finish && when == "before" {
						stage = "sent" // the outcome was never recorded, as if the gateway had crashed
					}
					if code != 403 || claim != stage || !strings.Contains(text, "replayed") || d.runs != 1 {
						t.Errorf("replay: %d %q %s, %d runs", code, claim, text, d.runs)
					}
				})
			}
		}
	}
	t.Logf("%d cases", cases)
}

// A gateway that crashed leaves its claim in its last stage. Another request may take the token over only if the crashed gateway
// had not sent its own.
func TestClaimOfCrashedGateway(t *testing.T) {
	for stage, want := range map[claims.Stage]int{claims.Held: 200, claims.Sent: 403, claims.Ran: 403, claims.Unconfirmed: 403, "": 403} {
		d := newGatewayPair(t)
		d.answer = func() core.Answer { return served }
		d.store.records[d.claimName] = claims.Record{Owner: "dead", Until: 2e12, Stage: stage}
		code, claim, text := d.call(0)
		if code != want || want == 403 && (claim != string(stage) && stage != "" || d.runs != 0) {
			t.Errorf("%q: %d %q %s, %d runs", stage, code, claim, text, d.runs)
		}
	}
}

// A claimed request runs to its end when its client disconnects: its outcome is recorded, and the client's next call
// learns it.
func TestClaimOutlivesClientConnection(t *testing.T) {
	d := newGatewayPair(t)
	respond := make(chan struct{})
	d.answer = func() core.Answer { return served }
	submit := d.frontends[0].opt.Post
	d.frontends[0].opt.Post = func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			d.submitted <- a
			go func() { <-respond; a.Frontend.Answer(a.RequestTag, served) }()
			return
		}
		submit(ev)
	}
	c, err := net.Dial("tcp", d.addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", d.url)
	<-d.submitted
	c.Close()
	for d.frontends[0].Conns() > 0 {
		time.Sleep(time.Millisecond)
	}
	if code, claim, _ := d.call(1); code != 503 || claim != "sent" {
		t.Errorf("while the request runs: %d %s", code, claim)
	}
	d.clock.Advance(6000)
	if code, claim, _ := d.call(1); code != 403 || claim != "sent" {
		t.Errorf("after its deadline: %d %s", code, claim)
	}
	close(respond)
	for d.store.stage(d.claimName) != claims.Ran {
		time.Sleep(time.Millisecond)
	}
	if code, claim, text := d.call(1); code != 403 || claim != "ran" || !strings.Contains(text, "served 2 bytes") {
		t.Errorf("after its end: %d %s %s", code, claim, text)
	}
}

// A version that did not encode ids claimed a token with a binary id by a name that other tokens may share. Its claim holds after an
// upgrade, and a claim of this version holds at a gateway of that version. Claims of this version by other tokens of the
// earlier name reject nothing.
func TestClaimOfEarlierVersionHolds(t *testing.T) {
	for _, stage := range []claims.Stage{claims.Sent, claims.Ran, claims.Unconfirmed} {
		d := newGatewayPairWithID(t, binaryID, binaryIDName)
		d.answer = func() core.Answer { return served }
		d.store.records[earlierBinaryIDName] = claims.Record{Owner: "EARLIERVERSION", Until: 2e12, Stage: stage}
		code, claim, text := d.call(0)
		d.waitIdle()
		if code != 403 || claim != string(stage) || d.runs != 0 {
			t.Errorf("%q: %d %q %s, %d runs", stage, code, claim, text, d.runs)
		}
		if got := d.store.stage(binaryIDName); got != "" {
			t.Errorf("%q: the rejected request left a claim in stage %q", stage, got)
		}
	}

	d := newGatewayPairWithID(t, binaryID, binaryIDName)
	d.answer = func() core.Answer { return served }
	d.store.records[earlierBinaryIDName] = claims.Record{Owner: encodedIDOwner + "another token", Until: 2e12, Stage: claims.Sent}
	if code, claim, text := d.call(0); code != 200 || d.runs != 1 {
		t.Errorf("beside another token's claim: %d %q %s, %d runs", code, claim, text, d.runs)
	}

	d = newGatewayPairWithID(t, binaryID, binaryIDName)
	d.answer = func() core.Answer { return served }
	d.store.takeover = earlierBinaryIDName
	if code, claim, text := d.call(0); code != 503 || d.runs != 0 {
		t.Errorf("another token takes the earlier name over before it is sent: %d %q %s, %d runs", code, claim, text, d.runs)
	}
	d.waitIdle()
	if code, _, text := d.call(1); code != 200 || d.runs != 1 {
		t.Errorf("the client's next try: %d %s, %d runs", code, text, d.runs)
	}

	d = newGatewayPairWithID(t, binaryID, binaryIDName)
	d.answer = func() core.Answer { return served }
	if code, _, text := d.call(0); code != 200 {
		t.Fatalf("%d %s", code, text)
	}
	for _, op := range []claims.Op{claims.Hold, claims.Send} {
		if _, granted, _ := d.store.Step(t.Context(), earlierBinaryIDName, claims.Step{Op: op, Owner: "EARLIERVERSION"}); granted {
			t.Errorf("an earlier version was granted %s after this one had claimed the token", op)
		}
	}
}
