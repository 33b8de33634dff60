package turnfork

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/front/signed"
)

// operatorCall makes an operator's call at a frontend, repeated while there is no quorum, and returns an error unless it succeeds.
func operatorCall(f *signed.Frontend, path, body string) error {
	for limit := time.Now().Add(40 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		status, text, err := tryOperatorCall(f, path, body)
		if err != nil || status == 200 {
			return err
		}
		if status != 503 || time.Now().After(limit) {
			return fmt.Errorf("%s %s: %d %s", path, body, status, text)
		}
	}
}

func tryOperatorCall(f *signed.Frontend, path, body string) (status int, text string, err error) {
	client, server := net.Pipe()
	go f.Handle(server)
	defer client.Close()
	fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		path, operatorSecret, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// expectPolicy waits until every gateway's replicated store has a policy.
func (c *gatewayGroup) expectPolicy(want signed.Policy) {
	c.Helper()
	for i, store := range c.stores {
		var got signed.Policy
		for limit := time.Now().Add(20 * time.Second); got != want; time.Sleep(time.Millisecond) {
			if _, err := store.Get(signed.ConfigPolicy, &got); err != nil {
				c.Fatal(err)
			}
			if time.Now().After(limit) {
				c.Fatalf("gateway %d has the policy %+v, want %+v", i, got, want)
			}
		}
	}
}

// Guards against a policy call that sets back what the group has agreed on: the settings that a call left out were filled in from
// the answering gateway's own copy, which is outdated after a restart. The gateways of this group never learn of a change.
func TestPolicyChangeKeepsWhatItDoesNotName(t *testing.T) {
	c := newGatewayGroup(t, 1000)
	const tokenSeconds = signed.DefaultTokenSeconds
	for i, x := range []struct {
		call string
		want signed.Policy
	}{
		{`{"leeway_ms":0}`, signed.Policy{LeewayMs: 0, TokenSeconds: tokenSeconds}},
		{`{"token_seconds":3600}`, signed.Policy{LeewayMs: 0, TokenSeconds: 3600}},
		{`{}`, signed.Policy{LeewayMs: 0, TokenSeconds: 3600}},
		{`{"leeway_ms":7,"token_seconds":null}`, signed.Policy{LeewayMs: 7, TokenSeconds: 3600}},
		{`{"leeway_ms":8,"token_seconds":60}`, signed.Policy{LeewayMs: 8, TokenSeconds: 60}},
		{`{"token_seconds":3601}`, signed.Policy{LeewayMs: 8, TokenSeconds: 3601}},
	} {
		if err := operatorCall(c.frontends[i%len(c.frontends)], "/-/policy", x.call); err != nil {
			t.Fatal(err)
		}
		c.expectPolicy(x.want)
	}
}

// Guards against two policy calls at once at different gateways, of which both are answered 200 and one is lost.
func TestPolicyChangesAtOnceAreBothKept(t *testing.T) {
	c := newGatewayGroup(t, 1000)
	for round := range 20 {
		var calls errgroup.Group
		calls.Go(func() error {
			return operatorCall(c.frontends[round%3], "/-/policy", fmt.Sprintf(`{"leeway_ms":%d}`, round))
		})
		calls.Go(func() error {
			return operatorCall(c.frontends[(round+1)%3], "/-/policy", fmt.Sprintf(`{"token_seconds":%d}`, round+1))
		})
		if err := calls.Wait(); err != nil {
			t.Fatal(err)
		}
		c.expectPolicy(signed.Policy{LeewayMs: float64(round), TokenSeconds: float64(round + 1)})
	}
}
