package turnfork

import (
	"fmt"
	"strings"
	"testing"

	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/cat"
)

// issueRide issues a token for one ride-end request with an id, which may be binary, and returns the request's URL.
func (s *signedGateway) issueRide(key, id, object string) (url, toldID string) {
	s.t.Helper()
	path := strings.Replace(rideEnd, "00000000000000e1", object, 1)
	now := s.clock.Unix() / 1000
	issued, err := s.ring.Issue(key, token.Terms{URI: "http://" + s.addr + path, ID: id, Now: now, Expires: now + 600})
	if err != nil {
		s.t.Fatal(err)
	}
	if key == "access" {
		return path + "?" + cat.Param + "=" + issued.Token, issued.ID
	}
	return strings.TrimPrefix(issued.URL, "http://"+s.addr), issued.ID
}

// Guards against ids that are not text: the replicated state is JSON, in which such bytes were replaced, so that different tokens had
// one claim (the ride of one rider used up the token of another), and their revocations had no effect.
func TestBinaryIDsNameTheirTokens(t *testing.T) {
	for _, key := range []string{"url", "access"} {
		s := newSignedGateway(t, nil)
		var urls [3]string
		var told [3]string
		for i := range urls {
			id := []byte{'i', 'd', 0x80, byte(0xfd + i)}
			urls[i], told[i] = s.issueRide(key, string(id), fmt.Sprintf("%016x", 0xe1+i))
		}
		s.revoke(key, told[0])
		s.expect(key+": revoked", 403, "revoked", "POST", urls[0])
		s.expect(key+": one ride", 200, "", "POST", urls[1])
		s.expect(key+": another ride", 200, "", "POST", urls[2])
		s.expectReplayed(key+": one ride again", urls[1])
		s.expectReplayed(key+": another ride again", urls[2])
		if s.runs.Load() != 2 {
			t.Errorf("%s: %d rides ran", key, s.runs.Load())
		}
	}
}
