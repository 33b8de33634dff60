package turnfork

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/jws"
	"turnfork.dev/turnfork/token/ring"
)

const operatorSecret = "a secret for the operator"

// signedGateway is a gateway with the signed frontend and a fake endpoint on loopback, and with a clock that the test advances.
type signedGateway struct {
	t        testing.TB
	clock    *clock.Clock
	endpoint *fakestore.Endpoint
	ring     *ring.Ring
	addr     string
	client   *http.Client
	runs     atomic.Int64 // number of ride-end requests that the endpoint received
	stop     func()
}

const start = 1.8e12 // Unix ms

// newSignedGateway starts a gateway. handle responds to the calls of the endpoint, and may block to keep a request in flight; nil:
// the endpoint responds at once.
func newSignedGateway(t testing.TB, handle func(fakestore.Command) (string, string, []byte, bool)) *signedGateway {
	t.Helper()
	return newSignedGatewayWith(t, "", handle)
}

// newSignedGatewayWith is newSignedGateway with further sections of the operator's file.
func newSignedGatewayWith(t testing.TB, sections string, handle func(fakestore.Command) (string, string, []byte, bool)) *signedGateway {
	t.Helper()
	s := &signedGateway{t: t, clock: clock.Manual(start), client: http.DefaultClient}
	var err error
	s.endpoint, err = fakestore.Listen("127.0.0.1:0", func(c fakestore.Command) (string, string, []byte, bool) {
		if c.Fields["lane"] == "ride-end" {
			s.runs.Add(1)
		}
		if handle != nil {
			return handle(c)
		}
		return "ACK", "tag=00000000000000aa,why=local,minted=1799999990000", []byte("piece " + c.Fields["piece"]), true
	})
	if err != nil {
		t.Fatal(err)
	}
	text := anyPortConfig + fmt.Sprintf(`
operator_secret = %q
[cors]
origins = ["https://app.example", "https://help.example"]
headers = ["range", "if-range"]
max_age_s = 600
`, operatorSecret) + classConfig("app-assets", "deadline_ms = 2500", "fresh_s = 12") +
		classConfig("firmware", "aim_ms = 600", "deadline_ms = 5000") + classConfig("ride-end", "deadline_ms = 3000", "write = true") +
		endpointsConfig(s.endpoint.Addr()) + hmacKeyConfig("url", urlSecret) + fmt.Sprintf(`
[[key]]
id = "KEYPAIR"
kind = "cloudfront"
private = """%s"""
[[key]]
id = "cdn"
kind = "cloudcdn"
secret = "c2l4dGVlbiBieXRlcy4uLg=="
[[key]]
id = "AKID"
kind = "presign"
secret = "a secret key as it is written"
region = "kz-1"
service = "s3"
[[key]]
id = "access"
kind = "cat"
alg = "HS256"
secret = %q
[[key]]
id = "edge"
kind = "edgeauth"
secret = "000102030405060708090a0b0c0d0e0f"
[[key]]
id = "pack"
kind = "jws"
alg = "HS256"
issuer = "dala"
audience = "gateways"
secret = %q
`, fakestore.PrivatePEM(fakestore.SharedRSAKey()), urlSecret, urlSecret) + sections
	o, err := config.ParseOperator(text, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if s.ring, err = o.Ring(); err != nil {
		t.Fatal(err)
	}
	addr, stop := runGateway(t, o, zerolog.Nop(), s.clock)
	s.addr, s.stop = addr, sync.OnceFunc(func() { stop(); s.endpoint.Close() })
	t.Cleanup(s.stop)
	return s
}

// do sends a request and returns the status, the error code and the body.
func (s *signedGateway) do(method, url string, body string, head ...string) (int, string, string) {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+s.addr+url, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	for i := 0; i+1 < len(head); i += 2 {
		req.Header.Set(head[i], head[i+1])
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error(), ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	var e struct{ Error string }
	json.Unmarshal(b, &e)
	return resp.StatusCode, e.Error, string(b)
}

func (s *signedGateway) url(path string, seconds float64, nonce string) string {
	s.t.Helper()
	u, err := s.ring.Issue("url", token.Terms{URI: path, Expires: s.clock.Unix()/1000 + seconds, ID: nonce})
	if err != nil {
		s.t.Fatal(err)
	}
	return u.URL
}

func (s *signedGateway) packageURL(path string, change func(*jws.Claims)) string {
	s.t.Helper()
	exp := s.clock.Unix()/1000 + 60
	c := jws.Claims{Expires: &exp, Container: jws.HashContainer("http://" + s.addr + path)}
	if change != nil {
		change(&c)
	}
	p, err := s.ring.SignClaims("pack", c)
	if err != nil {
		s.t.Fatal(err)
	}
	return path + "?" + jws.Param + "=" + p
}

// expectReplayed expects a write to be rejected because its token is used. Until the outcome of the first use is recorded, the
// response is 503.
func (s *signedGateway) expectReplayed(what, url string) {
	s.t.Helper()
	code, why := 503, ""
	for limit := time.Now().Add(20 * time.Second); code == 503 && time.Now().Before(limit); time.Sleep(time.Millisecond) {
		code, why, _ = s.do("POST", url, "")
	}
	if code != 403 || why != "replayed" {
		s.t.Errorf("%s: %d %q, want 403 replayed", what, code, why)
	}
}

func (s *signedGateway) expect(what string, status int, code string, method, url string, head ...string) {
	s.t.Helper()
	if got, gotCode, _ := s.do(method, url, "", head...); got != status || gotCode != code {
		s.t.Errorf("%s: %d %q, want %d %q", what, got, gotCode, status, code)
	}
}

const tile = "/v1/firmware/7f3a9c21e0b4d655/3"
const rideEnd = "/v1/ride-end/00000000000000e1/0"

func TestTokenChecks(t *testing.T) {
	s := newSignedGateway(t, nil)
	if code, _, body := s.do("GET", s.url(tile, 60, "n1"), ""); code != 200 || body != "piece 3" {
		t.Fatalf("signed URL: %d %q", code, body)
	}
	good := s.packageURL(tile, nil)
	s.expect("package", 200, "", "GET", good)
	s.expect("package used again: not single-use", 200, "", "GET", good)
	s.expect("no token", 401, "missing", "GET", tile)
	s.expect("another path", 403, "bad_signature", "GET", strings.Replace(s.url(tile, 60, "n"), "/3?", "/4?", 1))
	s.expect("another URI", 403, "wrong_uri", "GET", strings.Replace(good, "/3?", "/4?", 1))
	s.expect("truncated signature", 403, "bad_signature", "GET", strings.TrimRight(s.url(tile, 60, "n"), "=")[:len(s.url(tile, 60, "n"))-1])
	s.expect("forged package", 403, "bad_signature", "GET", good[:len(good)-6]+"AAAAAA")
	s.expect("malformed package", 400, "malformed", "GET", tile+"?"+jws.Param+"=abc")
	none := base64.RawURLEncoding.EncodeToString([]byte(`{"alg":"none","kid":"pack"}`))
	s.expect("alg none", 400, "malformed", "GET", tile+"?"+jws.Param+"="+none+".e30.")
	s.expect("two tokens", 400, "malformed", "GET", good+"&"+strings.SplitN(s.url(tile, 60, "n"), "?", 2)[1])
	s.expect("path not canonical", 400, "malformed", "GET", strings.Replace(s.url(tile, 60, "n"), "/v1/", "/v1/x/../", 1))
	s.expect("unknown class", 404, "unknown_class", "GET", s.url("/v1/helppages/7f3a9c21e0b4d655/0", 60, "n"))
	s.expect("another audience", 403, "bad_claim", "GET", s.packageURL(tile, func(c *jws.Claims) { c.Audience = []string{"x"} }))
	s.expect("unknown version", 403, "bad_claim", "GET", s.packageURL(tile, func(c *jws.Claims) { v := 2; c.Version = &v }))
	s.expect("critical claim", 403, "bad_claim", "GET", s.packageURL(tile, func(c *jws.Claims) { c.Critical = []string{"cdninew"} }))
	s.expect("regex", 200, "", "GET", s.packageURL(tile, func(c *jws.Claims) { c.Container = "regex:http://[^/]+/v1/firmware/.*" }))
	s.expect("regex of a part", 403, "wrong_uri", "GET", s.packageURL(tile, func(c *jws.Claims) { c.Container = "regex:/v1/" }))

	// Clocks may differ: the leeway is 10 s in both directions.
	u := s.url(tile, 5, "n2")
	early := s.packageURL(tile, func(c *jws.Claims) { v := s.clock.Unix()/1000 + 9; c.NotBefore = &v })
	s.expect("issued by a clock 9 s ahead", 200, "", "GET", early)
	s.expect("issued by a clock 11 s ahead", 403, "not_yet_valid", "GET",
		s.packageURL(tile, func(c *jws.Claims) { v := s.clock.Unix()/1000 + 11; c.IssuedAt = &v }))
	s.clock.Advance(14000)
	s.expect("9 s past expiry", 200, "", "GET", u)
	s.clock.Advance(2000)
	s.expect("11 s past expiry", 403, "expired", "GET", u)
	s.expect("an expired package", 403, "expired", "GET", s.packageURL(tile, func(c *jws.Claims) { v := s.clock.Unix()/1000 - 11; c.Expires = &v }))
}

func TestRideEndRunsOnce(t *testing.T) {
	s := newAgingGateway(t)
	u := s.url(rideEnd, 60, "once")
	s.expect("GET of a write", 405, "method", "GET", u)
	var wg sync.WaitGroup
	var served, replayed atomic.Int64
	for range 8 { // at once
		wg.Add(1)
		go func() {
			defer wg.Done()
			switch code, _, _ := s.do("POST", u, "ride"); code {
			case 200:
				served.Add(1)
			case 403, 503: // 503 while the first request is in flight
				replayed.Add(1)
			}
		}()
	}
	wg.Wait()
	s.expectReplayed("later", u)
	s.clock.Advance(69000)
	s.expectReplayed("within the leeway", u)
	s.clock.Advance(20000)
	s.expect("after the leeway", 403, "expired", "POST", u)
	s.expect("a package without jti", 403, "bad_claim", "POST", s.packageURL(rideEnd, nil))
	if served.Load() != 1 || replayed.Load() != 7 || s.runs.Load() != 1 {
		t.Errorf("served %d, replayed %d, ran %d times", served.Load(), replayed.Load(), s.runs.Load())
	}
}

// If the endpoint dies while a ride-end request is in flight, its outcome is unconfirmed: it is not sent again, the client gets 502
// and the token stays used.
func TestUnconfirmedRideEndStaysClaimed(t *testing.T) {
	var s *signedGateway
	s = newSignedGateway(t, func(c fakestore.Command) (string, string, []byte, bool) {
		s.endpoint.ResetConnections()
		return "", "", nil, false
	})
	u := s.url(rideEnd, 60, "doubt")
	s.expect("first", 502, "upstream_failed", "POST", u)
	s.expectReplayed("again", u)
	if s.runs.Load() != 1 {
		t.Errorf("ran %d times", s.runs.Load())
	}
}

// A 503 promises that the request did not run, so its token can be used again.
func TestRejectedRideEndMayBeRetried(t *testing.T) {
	var full atomic.Bool
	full.Store(true)
	s := newSignedGateway(t, func(c fakestore.Command) (string, string, []byte, bool) {
		if full.Load() {
			return "AGAIN", "-", nil, true
		}
		return "ACK", "tag=0a,minted=1,why=pulled", nil, true
	})
	u := s.url(rideEnd, 600, "later")
	done := make(chan struct{})
	go func() { // the decision module waits between attempts, so the clock has to advance
		for {
			select {
			case <-done:
				return
			default:
				s.clock.Advance(5)
				time.Sleep(time.Millisecond)
			}
		}
	}()
	if code, _, _ := s.do("POST", u, ""); code != 503 && code != 504 {
		t.Errorf("busy endpoint: %d", code)
	}
	full.Store(false)
	code := 403
	for i := 0; i < 2000 && code == 403; i++ { // the claim is released after the response
		code, _, _ = s.do("POST", u, "")
		time.Sleep(time.Millisecond)
	}
	close(done)
	if code != 200 && code != 503 {
		t.Errorf("after the rejection: %d", code)
	}
}

// When a token expires during a request, the attempt in flight completes and no new attempt starts.
func TestTokenExpiryDuringRequest(t *testing.T) {
	arrived, statuses := make(chan struct{}, 8), make(chan string, 8)
	s := newSignedGateway(t, func(c fakestore.Command) (string, string, []byte, bool) {
		arrived <- struct{}{}
		return <-statuses, "tag=0a,why=local,minted=1", []byte("late"), true
	})
	type result struct {
		code int
		err  string
	}
	request := func(u string) chan result {
		out := make(chan result, 1)
		go func() {
			code, e, _ := s.do("GET", u, "")
			out <- result{code, e}
		}()
		<-arrived
		return out
	}
	a := request(s.url(tile, -8, "a")) // stays within the leeway for 2 s
	s.clock.Advance(2500)
	statuses <- "ACK"
	if got := <-a; got.code != 200 {
		t.Errorf("the response of an attempt in flight was lost: %+v", got)
	}
	b := request(s.url("/v1/firmware/7f3a9c21e0b4d655/4", -5, "b"))
	before := len(s.endpoint.Commands("GET"))
	s.clock.Advance(2500 + 2600)
	statuses <- "NOENT"
	if got := <-b; got.code == 200 {
		t.Errorf("after expiry: %+v", got)
	}
	d := request(s.url("/v1/firmware/7f3a9c21e0b4d655/5", -8, "d"))
	before++
	s.clock.Advance(2500)
	statuses <- "NOENT" // a miss normally starts a fill at once, but not after expiry
	if got := <-d; got.code != 403 || got.err != "expired" {
		t.Errorf("a miss after expiry: %+v", got)
	}
	if n := len(s.endpoint.Commands("GET")); n != before {
		t.Errorf("%d attempts started after expiry", n-before)
	}
}

func TestOperatorEndpoints(t *testing.T) {
	s := newSignedGateway(t, nil)
	auth := []string{"Authorization", "Bearer " + operatorSecret}
	s.expect("no secret", 401, "missing", "POST", "/-/tokens")
	s.expect("a wrong one", 401, "missing", "POST", "/-/tokens", "Authorization", "Bearer x")
	code, _, body := s.do("POST", "/-/tokens", `{"kind":"jws","uri":"http://`+s.addr+tile+`","seconds":60,"single_use":true}`, auth...)
	var got signed.Issued
	if err := json.Unmarshal([]byte(body), &got); err != nil || code != 200 {
		t.Fatal(code, body, err)
	}
	u := strings.TrimPrefix(got.URL, "http://"+s.addr)
	s.expect("issued", 200, "", "GET", u)
	code, _, _ = s.do("POST", "/-/revocations", `{"key":"pack","id":"`+got.ID+`"}`, auth...)
	if code != 200 {
		t.Error("revocation:", code)
	}
	s.expect("revoked", 403, "revoked", "GET", u)

	// Renewal by cookie, limited to the longest lifetime of a token.
	for seconds, want := range map[int]bool{60: true, 2 * signed.DefaultTokenSeconds: false} {
		resp, err := http.Get("http://" + s.addr + s.packageURL(tile, func(c *jws.Claims) { c.Transport, c.Renew = 1, seconds }))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if got := len(resp.Cookies()) == 1; resp.StatusCode != 200 || got != want {
			t.Errorf("renewed for %d s: %v, status %d", seconds, got, resp.StatusCode)
		}
	}

	// Rotation: a new key replaces the old one.
	old := s.url(tile, 60, "o")
	secret := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("z", 32)))
	keys := []token.Key{{ID: "url2", Kind: token.HMAC, Secret: secret}}
	b, _ := json.Marshal(keys)
	if code, _, text := s.do("POST", "/-/keys", string(b), auth...); code != 200 {
		t.Fatal(code, text)
	}
	s.ring, _ = ring.New(keys)
	next, err := s.ring.Issue("url2", token.Terms{URI: tile, Expires: s.clock.Unix()/1000 + 60, ID: "x"})
	if err != nil {
		t.Fatal(err)
	}
	s.expect("new key", 200, "", "GET", next.URL)
	s.expect("old key", 403, "unknown_key", "GET", old)
	if code, _, _ := s.do("POST", "/-/policy", `{"leeway_ms":-1}`, auth...); code != 400 {
		t.Error("a negative leeway was accepted:", code)
	}
}

// An operator's purge of an object or a group limits the age of the copies that endpoints may serve. A purge that names neither or
// both is rejected. A gateway without a replicated store rejects the replacement of a member.
func TestOperatorPurges(t *testing.T) {
	s := newSignedGateway(t, nil)
	auth := []string{"Authorization", "Bearer " + operatorSecret}
	object := strings.Split(tile, "/")[3]
	for body, want := range map[string]int{
		`{"object":"` + object + `"}`:             200,
		`{"group":3}`:                             200,
		`{"object":"` + object + `","group":3}`:   400,
		`{}`:                                      400,
		`{"object":"7f3a"}`:                       400,
		`{"object":"0000000000000000"}`:           400,
		`{"group":65536}`:                         400,
		`{"object":"` + object + `","until":"x"}`: 400,
	} {
		if code, _, text := s.do("POST", "/-/purges", body, auth...); code != want {
			t.Errorf("%s: %d %s", body, code, text)
		}
	}
	s.clock.Advance(100)                                                            // the purge was 100 ms ago
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) { // the core may receive the purge after the response
		if code, _, _ := s.do("GET", s.url(tile, 600, rand.Text()), ""); code != 200 {
			t.Fatal(code)
		}
		calls := s.endpoint.Commands("GET")
		if age, _ := strconv.Atoi(calls[len(calls)-1].Fields["fresh"]); age > 0 && age <= 100 {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("requested maximum age of copies is %q", calls[len(calls)-1].Fields["fresh"])
		}
	}
	if code, _, text := s.do("POST", "/-/members", `{"lost":"alone","joining":{"id":"b","addr":"127.0.0.1:9"}}`, auth...); code != 400 {
		t.Errorf("%d %s", code, text)
	}
}

// Malformed and too large requests get the matching error status.
func TestMalformedRequests(t *testing.T) {
	s := newSignedGateway(t, nil)
	for raw, want := range map[string]string{
		"\x16\x03\x01\r\n\r\n":                                                                   "400",
		"GET /\r\n\r\n":                                                                          "400",
		"GET / HTTP/2.0\r\n\r\n":                                                                 "505",
		"GET " + tile + " HTTP/1.1\r\n\r\n":                                                      "400", // no Host
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n":                                           "400",
		"GET / HTTP/1.1\r\nHost : a\r\n\r\n":                                                     "400",
		"GET / HTTP/1.1\nHost: a\n\n":                                                            "400",
		"GET /" + strings.Repeat("a", 9000) + " HTTP/1.1\r\n\r\n":                                "414",
		"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: y\r\n", 80) + "\r\n":                "431",
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 9000) + "\r\n\r\n":              "431",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 48001\r\n\r\n":                            "413",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n":                               "400",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\nx": "400",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n":             "413",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                 "400",
	} {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, raw)
		line, err := bufio.NewReader(c).ReadString('\n')
		if fields := strings.Fields(line); len(fields) < 2 || fields[1] != want {
			t.Errorf("%.60q: %q %v, want %s", raw, line, err, want)
		}
		c.Close()
	}
	s.expect("valid request afterwards", 200, "", "GET", s.url(tile, 60, "n"))
}

// An endpoint that does not respond delays a request until its deadline at most. A ride-end request gets 502 if its attempt is
// abandoned, and 504 at its deadline; in both cases its token stays used, because the request may have run.
func TestDeadline(t *testing.T) {
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	s := newSignedGateway(t, func(fakestore.Command) (string, string, []byte, bool) {
		arrived <- struct{}{}
		<-release
		return "", "", nil, false
	})
	defer close(release)
	ride := s.url(rideEnd, 60, "slow")
	type result struct {
		code int
		err  string
	}
	got := make(chan result, 1)
	go func() {
		code, e, _ := s.do("POST", ride, "")
		got <- result{code, e}
	}()
	<-arrived
	var r result
	for done := false; !done; { // the decision module checks its timers when it receives an event
		s.clock.Advance(50)
		s.do("GET", s.url("/v1/none/7f3a9c21e0b4d655/0", 60, "n"), "")
		select {
		case r = <-got:
			done = true
		case <-time.After(5 * time.Millisecond):
		}
	}
	if r.code != 504 && r.code != 502 {
		t.Errorf("%+v", r)
	}
	s.expectReplayed("again", ride)
	if s.runs.Load() != 1 {
		t.Errorf("ran %d times", s.runs.Load())
	}
}

// Pipelined requests on one connection are answered in order, and the connection stays open.
func TestPipelining(t *testing.T) {
	s := newSignedGateway(t, nil)
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	for i := range 6 {
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", s.url(fmt.Sprintf("/v1/firmware/7f3a9c21e0b4d655/%d", i), 60, "n"))
	}
	r := bufio.NewReader(c)
	for i := range 6 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(resp.Body)
		if want := fmt.Sprintf("piece %d", i); string(b) != want {
			t.Errorf("response %d is %q", i, b)
		}
	}
}

// answeringCore returns a fake core that serves all requests and counts them.
func answeringCore(runs *atomic.Int64) func(core.Event) {
	return func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			runs.Add(1)
			go a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Served, Body: []byte("done")})
		}
	}
}

// A ride-end token that was used at one member is used up at all members, also after all of them have restarted. A member without
// a majority sends nothing.
func TestReplayAtAnotherReplica(t *testing.T) {
	const deadline = 30000
	c := newGatewayGroup(t, deadline)
	one := c.url("one")
	var wg sync.WaitGroup
	var ok atomic.Int64
	for i := range 3 { // at all three at once
		wg.Add(1)
		go func() {
			defer wg.Done()
			if code, _ := c.endRide(c.frontends[i], one); code == 200 {
				ok.Add(1)
			}
		}()
	}
	wg.Wait()
	if ok.Load() != 1 || c.runs.Load() != 1 {
		t.Fatalf("served %d, ran %d", ok.Load(), c.runs.Load())
	}
	for _, f := range c.frontends { // wait until the outcome of the request is recorded
		for f.OpenRequests() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	for i := range 3 {
		if err := c.stores[i].Close(); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 3 {
		c.openMember(i, nil, deadline)
	}
	for i := range 3 {
		if got, _ := c.endRide(c.frontends[i], one); got != 403 {
			t.Errorf("after the restart, member %d: %d", i, got)
		}
	}
	c.stores[0].Close()
	c.stores[1].Close()
	minority := c.newFrontend(c.stores[2], deadline, 300)
	if got, _ := c.endRide(minority, c.url("two")); got != 503 {
		t.Errorf("without a majority: %d", got)
	}
	if c.runs.Load() != 1 {
		t.Errorf("ran %d times", c.runs.Load())
	}
}

// Links signed in the dialects of other networks are handled like the gateway's own: served, rejected, and single-use.
func TestOtherDialects(t *testing.T) {
	s := newSignedGateway(t, nil)
	for _, key := range []string{"edge", "KEYPAIR", "cdn", "AKID", "access"} {
		sign := func(path string) string {
			method, now := "GET", s.clock.Unix()/1000
			if path == rideEnd {
				method = "POST"
			}
			got, err := s.ring.Issue(key, token.Terms{
				URI: "http://" + s.addr + path, Expires: now + 60, Now: now, ID: key + path, SingleUse: true, Method: method,
			})
			if err != nil {
				t.Fatal(err)
			}
			return strings.TrimPrefix(got.URL, "http://"+s.addr)
		}
		good := sign(tile)
		s.expect(key, 200, "", "GET", good)
		forged := "bad_signature"
		if key == "access" { // its token lists the permitted URIs, so the signature stays valid
			forged = "wrong_uri"
		}
		s.expect(key+": another path", 403, forged, "GET", strings.Replace(good, "/v1/firmware/", "/v1/ride-end/", 1))
		s.expect(key+": beside another token", 400, "malformed", "GET", good+"&"+jws.Param+"=a.b.c")
		before, ride := s.runs.Load(), sign(rideEnd)
		s.expect(key+": a ride", 200, "", "POST", ride)
		s.expectReplayed(key+": the ride again", ride)
		if n := s.runs.Load() - before; n != 1 {
			t.Errorf("%s: the ride ran %d times", key, n)
		}
		s.clock.Advance(71000)
		s.expect(key+": expired", 403, "expired", "GET", good)
	}
}
