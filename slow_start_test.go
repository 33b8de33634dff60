package turnfork

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/internal/fakestore"
)

// coldEndpointConfig is the configuration of a gateway whose only endpoint has just started. Its arguments are the seed, the
// endpoint's address, weight and start time in ms, the gateway's index, and the number of gateways (twice).
const coldEndpointConfig = `{"name":"n","listen":"127.0.0.1:0","limits":{"cores":1,"memory_mb":64,"sockets":200},"seed":"%x",
"known":{"seq":1,"results":[{"seq":1,"fleet":{"version":1,"full":true,"servers":[{"id":"s-0000000a","addr":%q,"zone":"edge",
"kind":"box","cell":0,"state":"Ready","weight":%d,"started_ms":%d}]}}]},"settings":{"me":%d,"az":1,"balancers":%d,
"zones":["hub","edge"],"kinds":["box","parent","origin"],"quantum":0.002,
"classes":[{"name":"firmware","aim":0.3,"deadline":1.8,"repeat":"free","worth":1}],
"allowed":{"max-attempts":8,"cancel":true,"dial-timeout":0.4,"idle-close":15,"max-open":1000},
"guarantees":{"cold":40,"cold-share":0.2,"fall":2,"fall-multiple":2,"drain-grace":0.5},
"family-info":{"origin-kind":2,"shield-kind":1,"client-kb-per-s":1000,"seats-by-zone":[0,%d],"zone-hub":[0,0],"says":"all"}}}`

func fastcgiParam(name, value string) []byte {
	return append(append([]byte{byte(len(name)), byte(len(value))}, name...), value...)
}

func fastcgiRecord(kind byte, id uint16, data []byte) []byte {
	b := binary.BigEndian.AppendUint16([]byte{1, kind}, id)
	b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
	return append(append(b, 0, 0), data...)
}

// fastcgiGet encodes a request for a part of 300 KB.
func fastcgiGet(id uint16, txn uint64) []byte {
	params := fastcgiParam("SCRIPT_NAME", "/v1/firmware")
	for name, value := range map[string]string{
		"HTTP_X_TXN": fmt.Sprintf("%016x", txn), "HTTP_X_TTL_MS": "1800", "HTTP_X_ROW": fmt.Sprintf("%016x", txn*7919),
		"HTTP_X_BLOCK": "0", "HTTP_X_FAMILY": "1", "HTTP_X_WORKING_SET_KB": "300",
	} {
		params = append(params, fastcgiParam(name, value)...)
	}
	b := fastcgiRecord(1, id, []byte{0, 1, 1, 0, 0, 0, 0, 0})
	b = append(b, fastcgiRecord(4, id, params)...)
	return append(append(b, fastcgiRecord(4, id, nil)...), fastcgiRecord(5, id, nil)...)
}

// readEnds reads until this number of requests has ended, and counts the ends.
func readEnds(r io.Reader, requests int, ended *atomic.Int64) error {
	for requests > 0 {
		var head [8]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return err
		}
		if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint16(head[4:]))+int64(head[6])); err != nil {
			return err
		}
		if head[1] == 3 {
			requests--
			ended.Add(1)
		}
	}
	return nil
}

// Thirty gateways send to a cold endpoint at the same moment, each after an idle period in which its slow-start budget could
// accumulate. In any window of the configured length the endpoint must get at most N + 2 x root of N + 2 calls, where N is
// the number that the settings allow.
func TestManyGatewaysStartOnAColdEndpoint(t *testing.T) {
	const gateways, weight, requestsEach, idleTime, window = 30, 1, 8, 12000, 1900
	endpoint, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
		return "ACK", "tag=0a,why=local,minted=1", []byte("part"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	clk := clock.Manual(1.8e12)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer func() { stop(); running.Wait() }()
	var gatewayAddrs []Addrs
	for i := range gateways {
		text := fmt.Sprintf(coldEndpointConfig, i*7919+1, endpoint.Addr(), weight, int64(clk.Now()), i, gateways, gateways)
		node, err := config.Parse([]byte(text), "", "")
		if err != nil {
			t.Fatal(err)
		}
		ready := make(chan Addrs, 1)
		cfg := Config{Node: node, Log: zerolog.Nop(), Clock: clk, Ready: func(a Addrs) { ready <- a }}
		running.Go(func() {
			if err := Run(ctx, cfg); err != nil {
				t.Error(err)
			}
		})
		gatewayAddrs = append(gatewayAddrs, <-ready)
	}
	// requestParts requests this number of parts from every gateway on a new connection, advances the clock by ms meanwhile, and
	// returns the number of calls that the endpoint received until all requests were answered.
	requestCount := uint64(0)
	requestParts := func(parts int, ms float64) int {
		before := len(endpoint.Commands("GET"))
		answered := make(chan error, gateways)
		var ended atomic.Int64
		for _, f := range gatewayAddrs {
			c, err := net.Dial("tcp", f.FastCGI.String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			for id := range parts {
				requestCount++
				c.Write(fastcgiGet(uint16(id+1), requestCount))
			}
			go func() { answered <- readEnds(bufio.NewReader(c), parts, &ended) }()
		}
		for received := 0; received < parts*gateways; time.Sleep(time.Millisecond) { // before the clock advances
			received = int(ended.Load())
			for _, f := range gatewayAddrs {
				received += f.Frontends.OpenRequests()
			}
		}
		const step = 50.0
		for left := gateways; left > 0; {
			select {
			case err := <-answered:
				if err != nil {
					t.Fatal(err)
				}
				left--
			case <-time.After(10 * time.Millisecond): // for the gateways to act at the current time
				if ms > 0 {
					clk.Advance(step)
					ms -= step
				}
			}
		}
		return len(endpoint.Commands("GET")) - before
	}
	requestParts(1, window) // the gateways know the endpoint, and its budget accumulates from here on
	clk.Advance(idleTime)
	rampShare := 0.2 + 0.8*(window+idleTime)/40000.0
	allowed := 2 * rampShare * weight * 2 / 0.3
	calls := requestParts(requestsEach, window)
	if limit := allowed + 2*math.Sqrt(allowed) + 2; float64(calls) > limit {
		t.Errorf("%d calls received, %.1f are allowed and %.1f with the random deviation", calls, allowed, limit)
	}
	if calls < 2 {
		t.Errorf("only %d calls received, %.1f are allowed", calls, allowed)
	}
	t.Logf("%d of %d requests were sent to the endpoint, %.1f are allowed", calls, gateways*requestsEach, allowed)
}
