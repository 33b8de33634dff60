package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"turnfork.dev/turnfork/internal/fakestore"
)

// signedFloods are what one client of the signed frontend sends on one connection at full speed; url is a signed URL.
func signedFloods(url string) map[string]func(n uint64) []byte {
	request := func(path string) []byte { return []byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n") }
	return map[string]func(n uint64) []byte{
		"health checks":         func(uint64) []byte { return request("/healthz") },
		"ever new paths":        func(n uint64) []byte { return request(fmt.Sprint("/v1/nothing/", n, "/0")) },
		"forged tokens":         func(n uint64) []byte { return request(strings.Replace(url, "nonce=", fmt.Sprint("nonce=", n), 1)) },
		"no token":              func(n uint64) []byte { return request(fmt.Sprintf("/v1/firmware/%016x/0", n)) },
		"signed requests":       func(uint64) []byte { return request(url) },
		"requests of operators": func(n uint64) []byte { return request(fmt.Sprint("/-/", n)) },
	}
}

// timesOf returns how long each call took, one each interval until a time.
func timesOf(until time.Time, interval time.Duration, call func()) (times []time.Duration) {
	for time.Now().Before(until) {
		started := time.Now()
		call()
		times = append(times, time.Since(started))
		time.Sleep(interval)
	}
	return times
}

// checkTimes checks the times of a client beside a flood, and the gateway's memory.
func checkTimes(t *testing.T, p *program, times []time.Duration, memoryMB int) {
	t.Helper()
	slices.Sort(times)
	longest, peak := times[len(times)-1], p.residentMB(t, "VmHWM")
	t.Logf("%d requests beside the flood: median %v, longest %v; resident %.0f MB at most, %d KB of log", len(times), times[len(times)/2], longest, peak, len(p.logs())>>10)
	if longest > floodAim {
		t.Errorf("answered after %v, in place of %v", longest, floodAim)
	}
	if peak > float64(memoryMB) {
		t.Errorf("%.0f MB resident, of %d", peak, memoryMB)
	}
}

// The same as TestFloodOnOneConnection on the signed frontend. The sound client has another address, as forged tokens are counted by
// address.
func TestSignedFloodOnOneConnection(t *testing.T) {
	const memoryMB, length, parallelFloods = 64, 2 * time.Second, 2
	bin := build(t)
	store, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
		return "ACK", "tag=00000000000000aa,why=local,minted=1", []byte("piece"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	slots := make(chan struct{}, parallelFloods)
	for name := range signedFloods("") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			p, url := startSigned(t, bin, memoryMB, 1024, store.Addr())
			until := time.Now().Add(length)
			var flooding sync.WaitGroup
			flooding.Go(func() {
				for time.Now().Before(until) { // the gateway may close the connection
					if _, err := flood(p.addr, until, signedFloods(url)[name]); err != nil {
						t.Error(err)
					}
				}
			})
			dial := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
			transport := &http.Transport{DialContext: dial.DialContext}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport, Timeout: 2 * floodAim}
			times := timesOf(until, 20*time.Millisecond, func() {
				resp, err := client.Get("http://" + p.addr + url)
				if err != nil {
					t.Error(err)
					return
				}
				defer resp.Body.Close()
				if io.Copy(io.Discard, resp.Body); resp.StatusCode != 200 {
					t.Errorf("status %d", resp.StatusCode)
				}
			})
			flooding.Wait()
			checkTimes(t, p, times, memoryMB)
		})
	}
}

// An endpoint that sends answers to no request at full speed must not keep the answers of another one from their clients, nor fill the
// memory.
func TestFloodByEndpoint(t *testing.T) {
	const memoryMB, length, objects = 64, 2 * time.Second, 40
	bin := build(t)
	listen := func() *fakestore.Endpoint {
		s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
			return "ACK", "tag=00000000000000aa,why=local,minted=1", []byte("piece"), true
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return s
	}
	sound, flooding := listen(), listen()
	l, err := net.Listen("tcp", "127.0.0.1:0") // relays to the flooding endpoint, and adds answers to no request
	if err != nil {
		t.Fatal(err)
	}
	floodFrom := make(chan struct{})
	var relaying sync.WaitGroup
	t.Cleanup(func() { l.Close(); relaying.Wait() })
	relaying.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			relaying.Go(func() { relayWithFlood(c, flooding.Addr(), floodFrom, length+5*time.Second) })
		}
	})
	p := startPlatform(t, bin, memoryMB, 1024, sound.Addr(), l.Addr().String())
	all := make([]uint64, objects)
	for i := range all {
		all[i] = uint64(i + 1)
	}
	honestClient(t, p.addr, time.Now().Add(objects*5*time.Millisecond), 2*time.Millisecond, all...)
	objectsAt := func(s *fakestore.Endpoint) (found []uint64) {
		for _, c := range s.Commands("GET") {
			var object uint64
			fmt.Sscanf(c.Fields["name"], "%x", &object)
			found = append(found, object)
		}
		return found
	}
	if len(objectsAt(sound)) == 0 || len(objectsAt(flooding)) == 0 {
		t.Fatal("one of the endpoints gets no requests")
	}
	close(floodFrom)
	times := honestClient(t, p.addr, time.Now().Add(length), 20*time.Millisecond, objectsAt(sound)...)
	checkTimes(t, p.program, times, memoryMB)
}

// relayWithFlood relays a connection to an endpoint. From a moment on it writes, between the endpoint's answers, others to requests
// that nobody sent.
func relayWithFlood(client net.Conn, endpoint string, floodFrom <-chan struct{}, length time.Duration) {
	defer client.Close()
	server, err := net.Dial("tcp", endpoint)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		io.Copy(server, client)
		server.Close()
	}()
	answers := make(chan []byte)
	go func() {
		defer close(answers)
		r := bufio.NewReader(server)
		for {
			answer, err := readAnswer(r)
			if err != nil {
				return
			}
			answers <- answer
		}
	}()
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		var batch []byte
		select {
		case answer, ok := <-answers:
			if !ok {
				return
			}
			batch = answer
		case <-floodFrom:
			for range 100 {
				batch = fmt.Appendf(batch, "*4\r\n$16\r\n%016x\r\n$3\r\nACK\r\n$1\r\n-\r\n$5\r\nflood\r\n", n)
			}
		}
		if _, err := client.Write(batch); err != nil {
			return
		}
	}
}

// readAnswer reads one answer of an endpoint as it is.
func readAnswer(r *bufio.Reader) (answer []byte, err error) {
	var elements int
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	fmt.Sscanf(line, "*%d", &elements)
	answer = []byte(line)
	for range elements {
		var size int
		if line, err = r.ReadString('\n'); err != nil {
			return nil, err
		}
		fmt.Sscanf(line, "$%d", &size)
		body := make([]byte, size+2)
		if _, err = io.ReadFull(r, body); err != nil {
			return nil, err
		}
		answer = append(append(answer, line...), body...)
	}
	return answer, nil
}
