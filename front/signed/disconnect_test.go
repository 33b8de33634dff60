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
type gated struct {
	*book
	came, goOn chan struct{}
}

func (g *gated) Step(ctx context.Context, name string, step claims.Step) (claims.Record, bool, error) {
	if step.Op == claims.Hold {
		g.came <- struct{}{}
		<-g.goOn
	}
	return g.book.Step(context.Background(), name, step) // also after ctx has ended
}

// A disconnect is detected wherever the request waits: for its claim, behind responses that are not written yet, or as the last
// request of its connection. A request that has not been submitted by then never is, and its claim is released.
func TestWithdrawalIsSeenWhereverARequestWaits(t *testing.T) {
	ways := map[string]func(c *net.TCPConn){
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	}
	for way, leave := range ways {
		for _, place := range []string{"claim", "pipeline", "last request"} {
			t.Run(place+"/"+way, func(t *testing.T) {
				d := newDepot(t)
				f := d.fronts[0]
				gate := &gated{book: d.book, came: make(chan struct{}, 16), goOn: make(chan struct{})}
				f.opt.Claims = gate
				asked := make(chan core.Request, 16)
				f.opt.Post = func(ev core.Event) {
					if a, ok := ev.(core.Request); ok {
						asked <- a
					}
				}
				nc, err := net.Dial("tcp", d.addrs[0])
				if err != nil {
					t.Fatal(err)
				}
				more, requests := "", 1
				switch place {
				case "last request":
					more = "Connection: close\r\n"
				case "pipeline":
					requests = pipelineMost + 4
				}
				fmt.Fprint(nc, strings.Repeat(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n%s\r\n", d.url, more), requests))
				<-gate.came
				var ask core.Request
				if place != "claim" {
					close(gate.goOn)
					ask = <-asked
				}
				leave(nc.(*net.TCPConn))
				until := func(what string, ok func() bool) {
					for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
						if time.Now().After(limit) {
							t.Fatalf("not within 20 s: %s", what)
						}
					}
				}
				until("end of the connection", func() bool { return f.Conns() == 0 })
				if place == "claim" {
					close(gate.goOn)
				} else {
					until("cancellation", ask.Canceled.Load)
					ask.Frontend.Answer(ask.RequestTag, core.Answer{Verdict: core.Failed, Reason: core.ClientGone}) // as the core does
				}
				until("end of all requests and claims", func() bool { return f.Open() == 0 })
				if stage := d.book.stage(d.name); stage != "" {
					t.Errorf("claim of a request that was never sent is in stage %q", stage)
				}
				select {
				case a := <-asked:
					t.Errorf("submitted although its client had disconnected: %+v", a)
				default:
				}
			})
		}
	}
}

// A request whose client has already closed the connection is not submitted, even if the close has not been read yet.
func TestCloseBehindTheRequestIsSeenFirst(t *testing.T) {
	ways := map[string]func(c *net.TCPConn){
		"stays": nil,
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	}
	for way, leave := range ways {
		t.Run(way, func(t *testing.T) {
			f := newDepot(t).fronts[0]
			f.classes["firmware"] = Class{Name: "firmware", Deadline: 3000}
			issued, err := f.ring.Load().Issue("k", token.Terms{URI: "/v1/firmware/00000000000000e1/0", Until: 1e9 + 600, ID: "n"})
			if err != nil {
				t.Fatal(err)
			}
			asked, served := make(chan core.Request, 1), make(chan struct{})
			f.opt.Post = func(ev core.Event) {
				if a, ok := ev.(core.Request); ok {
					asked <- a
				}
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			near, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer near.Close()
			far, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(near, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", issued.URL)
			if leave != nil {
				leave(near.(*net.TCPConn))
				for limit := time.Now().Add(20 * time.Second); !front.HungUp(far); time.Sleep(time.Millisecond) {
					if time.Now().After(limit) {
						t.Fatal("the close did not arrive within 20 s")
					}
				}
			}
			go func() { defer close(served); f.Handle(far) }()
			if leave == nil {
				a := <-asked
				a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Rejected})
				near.Close()
			}
			<-served
			if f.Open() != 0 {
				t.Errorf("%d requests are still open", f.Open())
			}
			if len(asked) > 0 {
				t.Error("submitted although its client had disconnected")
			}
		})
	}
}

// Requests that a client pipelines beyond the limit are not read until responses are written, so a disconnect has to be polled
// for: often enough that its requests are canceled well within the 0.1 s after which none of them may be sent. The test uses the
// median of many clients, as the machine may be busy.
func TestFullPipelineIsLookedAtOften(t *testing.T) {
	const (
		clients = 31
		limit   = 40 * time.Millisecond
	)
	d := newDepot(t)
	f := d.fronts[0]
	f.classes["firmware"] = Class{Name: "firmware", Deadline: 3000}
	issued, err := f.ring.Load().Issue("k", token.Terms{URI: "/v1/firmware/00000000000000e1/0", Until: 1e9 + 600, ID: "n"})
	if err != nil {
		t.Fatal(err)
	}
	asked := make(chan core.Request, 16)
	f.opt.Post = func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			asked <- a
		}
	}
	var took []time.Duration
	for range clients {
		nc, err := net.Dial("tcp", d.addrs[0])
		if err != nil {
			t.Fatal(err)
		}
		const requests = pipelineMost + 4
		fmt.Fprint(nc, strings.Repeat(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", issued.URL), requests))
		var handedOn []core.Request
		for range pipelineMost + 1 { // the one that is being answered, and those queued behind it
			handedOn = append(handedOn, <-asked)
		}
		left := time.Now()
		nc.Close()
		for !handedOn[0].Canceled.Load() {
			if time.Since(left) > 20*time.Second {
				t.Fatal("not canceled within 20 s")
			}
			time.Sleep(200 * time.Microsecond)
		}
		took = append(took, time.Since(left))
		for _, a := range handedOn {
			a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Failed, Reason: core.ClientGone})
		}
	}
	slices.Sort(took)
	if median := took[clients/2]; median > limit {
		t.Errorf("canceled after %v in the median, %v at most", median, took[clients-1])
	}
}
