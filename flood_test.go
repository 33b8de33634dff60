package turnfork

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
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
	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/ring"
)

// lineCounter counts the lines of a log.
type lineCounter struct{ n atomic.Int64 }

func (l *lineCounter) Write(b []byte) (int, error) {
	l.n.Add(int64(bytes.Count(b, []byte("\n"))))
	return len(b), nil
}

// An address that sends forged tokens is rejected before its tokens are checked, gets a Retry-After, and is accepted again
// later. Other addresses are not affected, and a legitimate client behind the same address is still served.
func TestForgedTokensAreThrottled(t *testing.T) {
	s := newSignedGateway(t, nil)
	forged := strings.Replace(s.url(tile, 600, "f"), "signature=", "signature=A", 1)
	good := s.url(tile, 600, "g")
	from := func(addr, url string) (int, string) {
		resp, _ := getFrom(t, addr, "http://"+s.addr+url)
		return resp.StatusCode, resp.Header.Get("Retry-After")
	}
	codes := map[int]int{}
	for range 150 {
		code, retryHeader := from("127.0.0.2", forged)
		codes[code]++
		if code == 429 && retryHeader == "" {
			t.Error("429 without Retry-After")
		}
	}
	if codes[403] != 120 || codes[429] != 30 { // a hundred failures are tolerated, and then a burst of twenty is checked
		t.Errorf("%v", codes)
	}
	if code, _ := from("127.0.0.2", good); code != 429 {
		t.Errorf("valid token from the throttled address, at once: %d", code)
	}
	s.clock.Advance(50) // refills the limiter by one check
	if code, _ := from("127.0.0.2", good); code != 200 {
		t.Errorf("valid token from the throttled address, after 50 ms: %d", code)
	}
	if code, _ := from("127.0.0.3", good); code != 200 {
		t.Errorf("from another address: %d", code)
	}
	s.clock.Advance(2000)
	if code, _ := from("127.0.0.2", good); code != 200 {
		t.Errorf("valid token from the formerly throttled address: %d", code)
	}
}

// startClients starts clients that request a URL repeatedly until a given time, each on its own connection from the address
// from. It counts the 2xx responses in good and the others in other. Responses are parsed minimally, so that the results measure
// the gateway and not the clients.
func startClients(b *testing.B, wg *sync.WaitGroup, addr, from, url string, clients int, until time.Time, good, other *atomic.Int64) {
	sendUntilDeadline := func() error {
		dial := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		c, err := dial.Dial("tcp", addr)
		if err != nil {
			return err
		}
		defer c.Close()
		c.SetDeadline(until.Add(2 * time.Second))
		r := bufio.NewReader(c)
		for time.Now().Before(until) {
			fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", url)
			line, err := r.ReadSlice('\n')
			count, size := other, 0
			if len(line) > 12 && line[9] == '2' {
				count = good
			}
			for err == nil && len(line) > 2 {
				if line, err = r.ReadSlice('\n'); bytes.HasPrefix(line, []byte("Content-Length: ")) {
					size, _ = strconv.Atoi(string(line[16 : len(line)-2]))
				}
			}
			if err != nil {
				return err
			}
			if _, err := r.Discard(size); err != nil {
				return err
			}
			count.Add(1)
		}
		return nil
	}
	for range clients {
		wg.Go(func() {
			if err := sendUntilDeadline(); err != nil {
				b.Error(err)
			}
		})
	}
}

// BenchmarkFlood measures the request rate of legitimate clients alone and beside 64 connections that send forged links from
// another address, and the number of log lines written meanwhile.
func BenchmarkFlood(b *testing.B) {
	endpoint, err := fakestore.Listen("127.0.0.1:0", func(c fakestore.Command) (string, string, []byte, bool) {
		return "ACK", "tag=00000000000000aa,why=local,minted=1799999990000", []byte("piece"), true
	})
	if err != nil {
		b.Fatal(err)
	}
	defer endpoint.Close()
	log, clk := &lineCounter{}, clock.System()
	addr, keys, stop := startGatewayWithKeys(b, endpoint, zerolog.New(log), clk, "")
	defer stop()
	got, err := keys.Issue("url", token.Terms{URI: tile, Expires: math.Floor(clk.Unix()/1000) + 600, ID: "n"})
	if err != nil {
		b.Fatal(err)
	}
	good, forged := got.URL, strings.Replace(got.URL, "signature=", "signature=A", 1)
	const length = 3 * time.Second
	for b.Loop() {
		var alone, duringFlood, goodRejected, forgedServed, forgedRejected, warmup atomic.Int64
		var wg sync.WaitGroup
		startClients(b, &wg, addr, "127.0.0.1", good, 1, time.Now().Add(time.Second), &warmup, &warmup)
		wg.Wait()
		startClients(b, &wg, addr, "127.0.0.1", good, 16, time.Now().Add(length), &alone, &goodRejected)
		wg.Wait()
		before := log.n.Load()
		startClients(b, &wg, addr, "127.0.0.2", forged, 64, time.Now().Add(length), &forgedServed, &forgedRejected)
		startClients(b, &wg, addr, "127.0.0.1", good, 16, time.Now().Add(length), &duringFlood, &goodRejected)
		wg.Wait()
		b.ReportMetric(float64(alone.Load())/length.Seconds(), "alone/s")
		b.ReportMetric(float64(duringFlood.Load())/float64(alone.Load()), "share")
		b.ReportMetric(float64(goodRejected.Load()), "good-refused")
		b.ReportMetric(float64(forgedRejected.Load())/length.Seconds(), "forged/s")
		b.ReportMetric(float64(log.n.Load()-before)/length.Seconds(), "lines/s")
		if forgedServed.Load() > 0 {
			b.Error("a forged link was served")
		}
	}
}

// startGatewayWithKeys runs a gateway with one endpoint and the two keys "url" and "other". more is appended to its operator's
// file.
func startGatewayWithKeys(t testing.TB, endpoint *fakestore.Endpoint, log zerolog.Logger, clk *clock.Clock, more string) (addr string, keys *ring.Ring, stop func()) {
	text := anyPortConfig + classConfig("firmware", "deadline_ms = 5000") + endpointsConfig(endpoint.Addr()) +
		hmacKeyConfig("url", "a2tra2tra2tra2tra2tra2tra2tra2tra2tra2tra2s=") +
		hmacKeyConfig("other", "b2tra2tra2tra2tra2tra2tra2tra2tra2tra2tra2s=") + more
	o, err := config.ParseOperator(text, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if keys, err = o.Ring(); err != nil {
		t.Fatal(err)
	}
	addr, stop = runGateway(t, o, log, clk)
	return addr, keys, stop
}

// getFrom requests a URL on a new connection from the given local address.
func getFrom(t testing.TB, from, url string) (*http.Response, string) {
	dial := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	client := &http.Client{Transport: &http.Transport{DialContext: dial.DialContext, DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		t.Error(err)
		return &http.Response{}, ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp, string(b)
}

// runGateway runs a gateway with an operator's file until stop is called.
func runGateway(b testing.TB, o *config.Operator, log zerolog.Logger, clk *clock.Clock) (addr string, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ready, ended := make(chan Addrs, 1), make(chan error, 1)
	go func() {
		ended <- Run(ctx, Config{Node: o.Node(1), Operator: o, Log: log, Clock: clk, Ready: func(a Addrs) { ready <- a }})
	}()
	select {
	case a := <-ready:
		return a.Signed.String(), func() { cancel(); <-ended }
	case err := <-ended:
		cancel()
		b.Fatal(err)
		return "", nil
	}
}

// The limits of the operator's file are enforced per grant, per key and per client, for request rates, bandwidth and requests
// in flight. Clients, keys and grants below their limits are served.
func TestFrontendLimits(t *testing.T) {
	release := make(chan struct{})
	endpoint, err := fakestore.Listen("127.0.0.1:0", func(c fakestore.Command) (string, string, []byte, bool) {
		if c.Fields["piece"] == "9" {
			<-release
		}
		return "ACK", "tag=00000000000000aa,why=local,minted=1799999990000", make([]byte, 3000), true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	clk := clock.Manual(start)
	addr, keys, stop := startGatewayWithKeys(t, endpoint, zerolog.Nop(), clk, `
[limit]
client_v4_bits = 32
[limit.grant]
per_second = 1
burst = 3
[limit.key]
at_once = 2
[limit.client]
kb_per_s = 20
`)
	defer stop()
	get := func(from, key, id, part string) (int, string) {
		u, err := keys.Issue(key, token.Terms{URI: "/v1/firmware/7f3a9c21e0b4d655/" + part, Expires: start/1000 + 600, ID: id})
		if err != nil {
			t.Fatal(err)
		}
		resp, text := getFrom(t, from, "http://"+addr+u.URL)
		if resp.StatusCode == 429 && (resp.Header.Get("Retry-After") == "" || resp.Header.Get("X-Throttle-Ms") == "") {
			t.Error("429 without Retry-After or X-Throttle-Ms")
		}
		return resp.StatusCode, text
	}
	for i := range 4 {
		if code, text := get("127.0.0.1", "url", "a", "0"); (code == 429) != (i == 3) || i == 3 && !strings.Contains(text, "this grant") {
			t.Errorf("%d: %d %s", i, code, text)
		}
	}
	for i := range 5 { // 3 KB each, of 20 KB
		if code, text := get("127.0.0.1", "url", fmt.Sprint("b", i), "0"); (code == 429) != (i == 4) || i == 4 && !strings.Contains(text, "this client") {
			t.Errorf("%d: %d %s", i, code, text)
		}
	}
	var wg sync.WaitGroup
	for i := range 2 { // in flight until released
		wg.Go(func() {
			if code, _ := get("127.0.0.2", "url", fmt.Sprint("c", i), "9"); code != 200 {
				t.Errorf("request in flight: %d", code)
			}
		})
	}
	for len(endpoint.Commands("GET")) < 9 {
		time.Sleep(time.Millisecond)
	}
	if code, text := get("127.0.0.2", "url", "d", "0"); code != 429 || !strings.Contains(text, "this key") {
		t.Errorf("%d %s", code, text)
	}
	if code, _ := get("127.0.0.2", "other", "d", "0"); code != 200 {
		t.Errorf("another key: %d", code)
	}
	close(release)
	wg.Wait()
	clk.Advance(1000)
	if code, _ := get("127.0.0.1", "url", "a", "0"); code != 200 {
		t.Errorf("a second later: %d", code)
	}
}
