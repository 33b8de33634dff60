package signed

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front"
	"turnfork.dev/turnfork/token"
)

// blockedClaims blocks each step that holds a claim until the test closes proceed.
type blockedClaims struct {
	*claimStore
	reached, proceed chan struct{}
}

func (g *blockedClaims) Step(ctx context.Context, name string, step claims.Step) (claims.Record, bool, error) {
	if step.Op == claims.Hold {
		g.reached <- struct{}{}
		<-g.proceed
	}
	return g.claimStore.Step(context.Background(), name, step) // also after ctx has ended
}

// A disconnect is detected wherever the request waits: for its claim, behind responses that are not written yet, or as the last
// request of its connection. A request that has not been submitted by then never is, and its claim is released.
func TestDisconnectIsDetectedWhereverRequestWaits(t *testing.T) {
	disconnects := map[string]func(c *net.TCPConn){
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	}
	for how, disconnect := range disconnects {
		for _, state := range []string{"claim", "pipeline", "last request"} {
			t.Run(state+"/"+how, func(t *testing.T) {
				d := newGatewayPair(t)
				f := d.frontends[0]
				gate := &blockedClaims{claimStore: d.store, reached: make(chan struct{}, 16), proceed: make(chan struct{})}
				f.opt.Claims = gate
				submitted := make(chan core.Request, 16)
				f.opt.Post = func(ev core.Event) {
					if a, ok := ev.(core.Request); ok {
						submitted <- a
					}
				}
				nc, err := net.Dial("tcp", d.addrs[0])
				if err != nil {
					t.Fatal(err)
				}
				more, requests := "", 1
				switch state {
				case "last request":
					more = "Connection: close\r\n"
				case "pipeline":
					requests = maxPipelined + 4
				}
				fmt.Fprint(nc, strings.Repeat(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n%s\r\n", d.url, more), requests))
				<-gate.reached
				var request core.Request
				if state != "claim" {
					close(gate.proceed)
					request = <-submitted
				}
				disconnect(nc.(*net.TCPConn))
				waitFor := func(what string, ok func() bool) {
					for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
						if time.Now().After(limit) {
							t.Fatalf("not within 20 s: %s", what)
						}
					}
				}
				waitFor("end of the connection", func() bool { return f.Conns() == 0 })
				if state == "claim" {
					close(gate.proceed)
				} else {
					waitFor("cancellation", request.Canceled.Load)
					request.Frontend.Answer(request.RequestTag, core.Answer{Verdict: core.Failed, Reason: core.ClientGone}) // as the core does
				}
				waitFor("end of all requests and claims", func() bool { return f.OpenRequests() == 0 })
				if stage := d.store.stage(d.claimName); stage != "" {
					t.Errorf("claim of a request that was never sent is in stage %q", stage)
				}
				select {
				case a := <-submitted:
					t.Errorf("submitted although its client had disconnected: %+v", a)
				default:
				}
			})
		}
	}
}

// A request whose client has already closed the connection is not submitted, even if the close has not been read yet.
func TestRequestOfClosedConnectionIsNotSubmitted(t *testing.T) {
	disconnects := map[string]func(c *net.TCPConn){
		"stays": nil,
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	}
	for how, disconnect := range disconnects {
		t.Run(how, func(t *testing.T) {
			f := newGatewayPair(t).frontends[0]
			f.classes["firmware"] = Class{Name: "firmware", Deadline: 3000}
			issued, err := f.ring.Load().Issue("k", token.Terms{URI: "/v1/firmware/00000000000000e1/0", Expires: 1e9 + 600, ID: "n"})
			if err != nil {
				t.Fatal(err)
			}
			submitted, handled := make(chan core.Request, 1), make(chan struct{})
			f.opt.Post = func(ev core.Event) {
				if a, ok := ev.(core.Request); ok {
					submitted <- a
				}
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			accepted, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(client, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", issued.URL)
			if disconnect != nil {
				disconnect(client.(*net.TCPConn))
				for limit := time.Now().Add(20 * time.Second); !front.PeerClosed(accepted); time.Sleep(time.Millisecond) {
					if time.Now().After(limit) {
						t.Fatal("the close did not arrive within 20 s")
					}
				}
			}
			go func() { defer close(handled); f.Handle(accepted) }()
			if disconnect == nil {
				a := <-submitted
				a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Rejected})
				client.Close()
			}
			<-handled
			if f.OpenRequests() != 0 {
				t.Errorf("%d requests are still open", f.OpenRequests())
			}
			if len(submitted) > 0 {
				t.Error("submitted although its client had disconnected")
			}
		})
	}
}

// Requests that a client pipelines beyond the limit are not read until responses are written, so a disconnect has to be polled
// for: often enough that its requests are canceled well within the 0.1 s after which none of them may be sent. The test uses the
// median of many clients, as the machine may be busy.
func TestDisconnectIsDetectedWithFullPipeline(t *testing.T) {
	const (
		clients = 31
		limit   = 40 * time.Millisecond
	)
	d := newGatewayPair(t)
	f := d.frontends[0]
	f.classes["firmware"] = Class{Name: "firmware", Deadline: 3000}
	issued, err := f.ring.Load().Issue("k", token.Terms{URI: "/v1/firmware/00000000000000e1/0", Expires: 1e9 + 600, ID: "n"})
	if err != nil {
		t.Fatal(err)
	}
	submitted := make(chan core.Request, 16)
	f.opt.Post = func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			submitted <- a
		}
	}
	var delays []time.Duration
	for range clients {
		nc, err := net.Dial("tcp", d.addrs[0])
		if err != nil {
			t.Fatal(err)
		}
		const requests = maxPipelined + 4
		fmt.Fprint(nc, strings.Repeat(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", issued.URL), requests))
		var requestsInFlight []core.Request
		for range maxPipelined + 1 { // the one that is being answered, and those queued behind it
			requestsInFlight = append(requestsInFlight, <-submitted)
		}
		closedAt := time.Now()
		nc.Close()
		for !requestsInFlight[0].Canceled.Load() {
			if time.Since(closedAt) > 20*time.Second {
				t.Fatal("not canceled within 20 s")
			}
			time.Sleep(200 * time.Microsecond)
		}
		delays = append(delays, time.Since(closedAt))
		for _, a := range requestsInFlight {
			a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Failed, Reason: core.ClientGone})
		}
	}
	slices.Sort(delays)
	if median := delays[clients/2]; median > limit {
		t.Errorf("canceled after %v in the median, %v at most", median, delays[clients-1])
	}
}
