package signed

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"turnfork.dev/turnfork/core"
)

// The deadline of a request counts from its last byte, whether it is requested by X-Ttl-Ms or set by the class.
func TestDeadlineCountsFromLastRequestByte(t *testing.T) {
	const deadline = 3000 // ms, of the class
	for _, x := range []struct {
		name      string
		header    string
		bodyDelay float64 // ms from the first byte to the last
		remaining float64 // ms from the last byte on
	}{
		{"X-Ttl-Ms, body at once", "X-Ttl-Ms: 500\r\n", 0, 500},
		{"X-Ttl-Ms, slow body", "X-Ttl-Ms: 500\r\n", 300, 500},
		{"X-Ttl-Ms, body slower than it", "X-Ttl-Ms: 500\r\n", 600, 500},
		{"X-Ttl-Ms longer than the class allows", "X-Ttl-Ms: 9000\r\n", 300, deadline},
		{"no X-Ttl-Ms", "", 300, deadline},
	} {
		t.Run(x.name, func(t *testing.T) {
			d := newGatewayPair(t)
			d.frontends[0].opt.Post = func(ev core.Event) {
				if a, ok := ev.(core.Request); ok {
					d.submitted <- a
					go a.Frontend.Answer(a.RequestTag, core.Answer{Verdict: core.Served})
				}
			}
			nc, err := net.Dial("tcp", d.addrs[0])
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: 1\r\nExpect: 100-continue\r\n\r\n", d.url, x.header)
			r := bufio.NewReader(nc)
			if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 100 { // the server has read the headers
				t.Fatalf("%+v, %v", resp, err)
			}
			d.clock.Advance(x.bodyDelay)
			fmt.Fprint(nc, "x")
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			const slack = 190 // by the kernel's count, the bytes arrived a little before they were read
			if a := <-d.submitted; a.ReceivedAt+a.Remaining > d.clock.Now()+x.remaining || a.ReceivedAt+a.Remaining < d.clock.Now()+x.remaining-slack {
				t.Errorf("status %d, with %v ms left, want %v", resp.StatusCode, a.ReceivedAt+a.Remaining-d.clock.Now(), x.remaining)
			}
		})
	}
}

// A request whose deadline passes before it is read is answered with 504 at once, and its token stays unused.
func TestDeadlinePassesBeforeRequestIsRead(t *testing.T) {
	const ttl = 50 // ms
	d := newGatewayPair(t)
	d.frontends[0].opt.Post = func(ev core.Event) {
		if a, ok := ev.(core.Request); ok {
			d.submitted <- a
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
	fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: h\r\nX-Ttl-Ms: %d\r\nContent-Length: 1\r\n\r\nx", d.url, ttl)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for sent := time.Now(); time.Since(sent) < 2*ttl*time.Millisecond; {
		time.Sleep(ttl * time.Millisecond / 10)
	}
	go d.frontends[0].Handle(accepted)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if stage := d.store.stage(d.claimName); resp.StatusCode != 504 || len(d.submitted) > 0 || stage != "" {
		t.Errorf("status %d, %d requests submitted, claim in stage %q", resp.StatusCode, len(d.submitted), stage)
	}
}
