package turnfork

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"testing"

	"turnfork.dev/turnfork/internal/fakestore"
)

const hour = 3600 * 1000.0 // ms

// A token's dates are checked against the wall clock at the request's arrival, so a clock step affects them for as long as it
// lasts. Single use is enforced by the group, which does not depend on the wall clock.
func TestTokenDatesFollowWallClock(t *testing.T) {
	s := newSignedGateway(t, nil)
	u := s.url(tile, 60, "read")
	once := s.url(rideEnd, 60, "once")
	if code, _, _ := s.do("POST", once, ""); code != 200 {
		t.Fatalf("first use: %d", code)
	}
	s.clock.StepUnix(hour)
	s.expect("a valid token, clock an hour ahead", 403, "expired", "GET", u)
	s.expect("a token issued by the stepped clock", 200, "", "GET", s.url(tile, 60, "ahead"))
	s.clock.StepUnix(-hour)
	s.expect("back again", 200, "", "GET", u)
	s.expectReplayed("back again", once)
	s.clock.StepUnix(-hour)
	s.expect("an hour behind", 200, "", "GET", u)
	s.expectReplayed("an hour behind", once)
	s.clock.StepUnix(hour)

	s.clock.Advance(20 * 60 * 1000)
	s.expect("expired", 403, "expired", "GET", u)
	for i := range 2 { // after these, the group has deleted the expired claim
		if code, _, _ := s.do("POST", s.url(rideEnd, 60, fmt.Sprint("later", i)), ""); code != 200 {
			t.Fatalf("use of a later token: %d", code)
		}
	}
	s.clock.StepUnix(-hour)
	s.expect("an expired token, an hour behind", 200, "", "GET", u)
	s.expectReplayed("an expired use, an hour behind", once)
	if n := s.runs.Load(); n != 3 {
		t.Errorf("ran %d times, want 3", n)
	}
}

// A clock step while a request is in flight neither shortens nor extends the validity of its token, for attempts or for the
// max-age that the client's cache gets.
func TestClockStepDuringRequest(t *testing.T) {
	maxAge := regexp.MustCompile(`max-age=(\d+)`)
	for _, x := range []struct {
		name               string
		tokenSeconds       float64 // s; the leeway is 10 s
		clockStep, elapsed float64 // ms
		status             int
	}{
		{"ahead", 10, hour, 1000, 200},
		{"back", 10, -hour, 1000, 200},
		{"ahead, and expired", -9, hour, 1200, 403},
		{"back, and expired", -9, -hour, 1200, 403},
	} {
		arrived, responses := make(chan struct{}, 8), make(chan string, 8)
		s := newSignedGateway(t, func(fakestore.Command) (string, string, []byte, bool) {
			arrived <- struct{}{}
			return <-responses, fmt.Sprintf("tag=0a,why=local,minted=%.0f", start), []byte("piece"), true
		})
		answered := make(chan *http.Response, 1)
		u := s.url("/v1/app-assets/7f3a9c21e0b4d655/3", x.tokenSeconds, "a")
		go func() {
			resp, err := http.Get("http://" + s.addr + u)
			if err != nil {
				t.Error(err)
				resp = &http.Response{Body: http.NoBody}
			}
			answered <- resp
		}()
		<-arrived
		s.clock.StepUnix(x.clockStep)
		s.clock.Advance(x.elapsed)
		responses <- "NOENT"
		responses <- "ACK" // for a fill, if one may start
		resp := <-answered
		resp.Body.Close()
		if resp.StatusCode != x.status {
			t.Errorf("%s: %d, want %d", x.name, resp.StatusCode, x.status)
		}
		if m := maxAge.FindStringSubmatch(resp.Header.Get("Cache-Control")); m != nil {
			if seconds, _ := strconv.Atoi(m[1]); float64(seconds) > x.tokenSeconds-x.elapsed/1000 {
				t.Errorf("%s: %s of a token that lasts %v s", x.name, m[0], x.tokenSeconds)
			}
		}
		s.stop()
	}
}
