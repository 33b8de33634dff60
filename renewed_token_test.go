package turnfork

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/cat"
	"turnfork.dev/turnfork/token/jws"
)

// newAgingGateway starts a gateway whose clock the test advances by more than the idle timeout of connections. Its clients use a
// connection for each request: a request on an idle connection would cross the gateway's close of it and stay unanswered.
func newAgingGateway(t *testing.T) *signedGateway {
	s := newSignedGateway(t, nil)
	s.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return s
}

// renewingClient is a client with a token in a cookie, which it replaces by each successor that the gateway sends.
type renewingClient struct {
	gateway *signedGateway
	cookie  string // name of the cookie
	token   string
	renewed int // number of successors that it received
}

// do sends a request, and returns the status, the error code and the stage of the claim in the response.
func (c *renewingClient) do(method, path string) (status int, code, claim string) {
	c.gateway.t.Helper()
	req, err := http.NewRequest(method, "http://"+c.gateway.addr+path, strings.NewReader(""))
	if err != nil {
		c.gateway.t.Fatal(err)
	}
	req.AddCookie(&http.Cookie{Name: c.cookie, Value: c.token})
	resp, err := c.gateway.client.Do(req)
	if err != nil {
		c.gateway.t.Fatal(err)
	}
	defer resp.Body.Close()
	for _, cookie := range resp.Cookies() {
		if cookie.Name == c.cookie {
			c.token = cookie.Value
			c.renewed++
		}
	}
	var body struct{ Error string }
	json.NewDecoder(resp.Body).Decode(&body)
	return resp.StatusCode, body.Error, resp.Header.Get("X-Claim")
}

// renew has the token renewed by a read, after a pause that gives the successor other dates.
func (c *renewingClient) renew() {
	c.gateway.t.Helper()
	c.gateway.clock.Advance(1500)
	renewed := c.renewed
	if status, code, _ := c.do("GET", tile); status != 200 || c.renewed != renewed+1 {
		c.gateway.t.Fatalf("a read that renews the token: %d %q, %d successors", status, code, c.renewed-renewed)
	}
}

// expectReplayed expects a ride-end request to be rejected because its token is used, with a stage of the claim. Until the outcome
// of the first use is recorded, the response is 503.
func (c *renewingClient) expectReplayed(what, stage string) {
	c.gateway.t.Helper()
	status, code, claim := 503, "", ""
	for limit := time.Now().Add(20 * time.Second); status == 503 && time.Now().Before(limit); time.Sleep(time.Millisecond) {
		status, code, claim = c.do("POST", rideEnd)
	}
	if status != 403 || code != "replayed" || claim != stage {
		c.gateway.t.Errorf("%s: %d %q, X-Claim %q; want 403 replayed, %q", what, status, code, claim, stage)
	}
}

// issueCovering issues a token for all objects that is renewed by cookie. id is its id, or "" for a token without one.
func (s *signedGateway) issueCovering(key, id string) token.Issued {
	s.t.Helper()
	now := s.clock.Unix() / 1000
	terms := token.Terms{ID: id, Now: now, Expires: now + 600, Renew: 3600}
	if key == "pack" {
		terms.SingleUse = id != "" // else a package gets no jti
		terms.URI, terms.Patterns = "http://"+s.addr+tile, "http://[^/]+/v1/.*"
	} else {
		terms.Patterns = "/v1/"
	}
	issued, err := s.ring.Issue(key, terms)
	if err != nil {
		s.t.Fatal(err)
	}
	return issued
}

// revoke revokes a token by its id.
func (s *signedGateway) revoke(key, id string) {
	s.t.Helper()
	s.revokeUntil(key, id, 0)
}

// revokeUntil revokes a token by its id until a time in Unix seconds.
func (s *signedGateway) revokeUntil(key, id string, until float64) {
	s.t.Helper()
	call, err := json.Marshal(map[string]any{"key": key, "id": id, "until": until})
	if err != nil {
		s.t.Fatal(err)
	}
	if status, _, text := s.do("POST", "/-/revocations", string(call), "Authorization", "Bearer "+operatorSecret); status != 200 {
		s.t.Fatalf("revocation of %s: %d %s", call, status, text)
	}
}

// cookieOf returns the cookie that carries tokens of a key of newSignedGateway.
func cookieOf(key string) string {
	if key == "pack" {
		return jws.Param
	}
	return cat.Param
}

// Guards against a renewed token that counts as another token: a ride whose answer was lost ended a second time by a successor,
// and the revocation of the id told at issue ended none of the successors.
func TestRenewedTokenKeepsItsClaimAndRevocation(t *testing.T) {
	for _, x := range []struct{ name, key, id string }{
		{"cat without cti", "access", ""}, {"jws with jti", "pack", "j"},
	} {
		t.Run(x.name, func(t *testing.T) {
			var s *signedGateway
			var lost atomic.Int32
			s = newSignedGateway(t, func(c fakestore.Command) (string, string, []byte, bool) {
				if c.Fields["lane"] == "ride-end" {
					lost.Add(1)
					s.endpoint.ResetConnections()
					return "", "", nil, false
				}
				return "ACK", "tag=0a,minted=1,why=local", []byte("a piece"), true
			})
			issued := s.issueCovering(x.key, x.id)
			client := &renewingClient{gateway: s, cookie: cookieOf(x.key), token: issued.Token}
			client.renew()
			if status, code, _ := client.do("POST", rideEnd); status != 502 || code != "upstream_failed" {
				t.Fatalf("a ride whose answer is lost: %d %q", status, code)
			}
			first := *client
			for i := range 3 {
				client.renew()
				client.expectReplayed(fmt.Sprintf("successor %d", i+1), "doubt")
			}
			first.expectReplayed("the token of the first use", "doubt")
			if lost.Load() != 1 {
				t.Errorf("the ride ran %d times", lost.Load())
			}
			s.revoke(x.key, issued.ID)
			for what, c := range map[string]*renewingClient{"the last successor": client, "an earlier one": &first} {
				if status, code, _ := c.do("GET", tile); status != 403 || code != "revoked" {
					t.Errorf("%s after the revocation: %d %q", what, status, code)
				}
			}
		})
	}
}

// issueByCall has the gateway issue a token for all objects that is renewed by cookie.
func (s *signedGateway) issueByCall(kind string) signed.Issued {
	s.t.Helper()
	call := fmt.Sprintf(`{"kind":%q,"uri":"http://%s%s","regex":"http://[^/]+/v1/.*","seconds":600,"renew":3600}`, kind, s.addr, tile)
	status, _, body := s.do("POST", "/-/tokens", call, "Authorization", "Bearer "+operatorSecret)
	var issued signed.Issued
	if err := json.Unmarshal([]byte(body), &issued); err != nil || status != 200 {
		s.t.Fatal(status, body, err)
	}
	return issued
}

// Guards against a package without jti that has no name: no id was told at issue, so that neither the package nor those renewed from
// it could be revoked. The name must not permit a write, for which a package needs a jti.
func TestPackageWithoutIDCanBeRevoked(t *testing.T) {
	s := newSignedGateway(t, nil)
	issued := s.issueByCall("jws")
	client := &renewingClient{gateway: s, cookie: jws.Param, token: issued.Token}
	first := *client
	for i := range 3 {
		client.renew()
		if status, code, _ := client.do("POST", rideEnd); status != 403 || code != "bad_claim" {
			t.Errorf("a write with successor %d: %d %q", i+1, status, code)
		}
	}
	s.revoke(issued.Key, issued.ID)
	for what, c := range map[string]*renewingClient{"the package": &first, "its last successor": client} {
		if status, code, _ := c.do("GET", tile); status != 403 || code != "revoked" {
			t.Errorf("%s after the revocation: %d %q", what, status, code)
		}
	}
	if s.runs.Load() != 0 {
		t.Errorf("%d rides ran", s.runs.Load())
	}
}

// Guards against a limit for each token that starts anew with each renewal.
func TestRenewedTokenKeepsItsLimit(t *testing.T) {
	for _, key := range []string{"access", "pack"} {
		s := newSignedGatewayWith(t, "[limit.grant]\nper_second = 0.01\nburst = 3\n", nil)
		client := &renewingClient{gateway: s, cookie: cookieOf(key), token: s.issueCovering(key, "").Token}
		for range 3 {
			client.renew()
		}
		if status, code, _ := client.do("GET", tile); status != 429 || code != "limited" {
			t.Errorf("%s: a successor after 3 of 3 requests: %d %q", key, status, code)
		}
	}
}

// passTime advances the clock, and has a claim agreed on, after which the replicated store forgets what has expired.
func (s *signedGateway) passTime(seconds float64) {
	s.t.Helper()
	s.clock.Advance(seconds * 1000)
	other := strings.Replace(rideEnd, "e1", "e2", 1)
	if status, code, text := s.do("POST", s.url(other, 60, fmt.Sprint("at ", s.clock.Unix())), ""); status != 200 {
		s.t.Fatalf("a ride of another client: %d %q %s", status, code, text)
	}
}

// Guards against a claim that is forgotten while a token that was renewed from the claimed one is still valid: the ride ended a
// second time by that token.
func TestClaimOutlivesRenewedTokens(t *testing.T) {
	for _, x := range []struct{ name, key, id string }{
		{"cat without cti", "access", ""}, {"cat with cti", "access", "c"}, {"jws with jti", "pack", "j"},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newAgingGateway(t)
			client := &renewingClient{gateway: s, cookie: cookieOf(x.key), token: s.issueCovering(x.key, x.id).Token}
			if status, code, _ := client.do("POST", rideEnd); status != 200 {
				t.Fatalf("the ride: %d %q", status, code)
			}
			others := 0
			for hours := 1; hours <= 30; hours++ { // each successor is valid for one hour
				client.renew()
				s.passTime(3540)
				others++
				status, code, claim := client.do("POST", rideEnd)
				replayed := code == "replayed" && claim == "ran"
				expired := code == "expired" && hours > 24
				if status != 403 || !replayed && !expired {
					t.Errorf("a successor after %d h: %d %q, X-Claim %q", hours, status, code, claim)
				}
			}
			if runs := s.runs.Load() - int64(others); runs != 1 {
				t.Errorf("the ride ran %d times", runs)
			}
		})
	}
}

// A renewed token can be used once until a day after the first token's end, as claims are kept until then. Reads go on.
func TestSingleUseOfRenewedTokenEnds(t *testing.T) {
	s := newAgingGateway(t)
	early := &renewingClient{gateway: s, cookie: cat.Param, token: s.issueCovering("access", "early").Token}
	late := &renewingClient{gateway: s, cookie: cat.Param, token: s.issueCovering("access", "late").Token}
	for range 24 {
		early.renew()
		late.renew()
		s.clock.Advance(3500 * 1000)
	}
	if status, code, _ := early.do("POST", rideEnd); status != 200 {
		t.Errorf("the first use after 24 h: %d %q", status, code)
	}
	late.renew()
	s.clock.Advance(3500 * 1000)
	if status, code, _ := late.do("POST", rideEnd); status != 403 || code != "expired" {
		t.Errorf("the first use later: %d %q", status, code)
	}
	late.renew()
}

// Guards against a revocation that ends before the tokens that were renewed from the revoked one: a call with the expiry that was
// told at issue ended none of those.
func TestRevocationOutlivesRenewedTokens(t *testing.T) {
	for _, key := range []string{"access", "pack"} {
		s := newAgingGateway(t)
		issued := s.issueCovering(key, "n")
		client := &renewingClient{gateway: s, cookie: cookieOf(key), token: issued.Token}
		s.clock.Advance(590 * 1000)
		client.renew()
		s.revokeUntil(key, issued.ID, start/1000+600)
		for range 5 { // the successor is valid for an hour
			s.passTime(600)
			if status, code, _ := client.do("GET", tile); status != 403 || code != "revoked" {
				t.Errorf("%s: a successor after %.0f s: %d %q", key, (s.clock.Unix()-start)/1000, status, code)
			}
		}
	}
}
