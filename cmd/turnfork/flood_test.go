package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"turnfork.dev/turnfork/internal/fakestore"
)

// floodAim is the latency objective of the classes of platformConfig, within which a client beside a flood must be answered.
const floodAim = 600 * time.Millisecond

// encodeObjectRequest encodes a request under an id for an object, with ms left.
func encodeObjectRequest(id uint16, txn, object uint64, class string, ms string) []byte {
	b := beginRequest(id)
	b = append(b, encodeRecord(recordParams, id, encodeParams("SCRIPT_NAME", "/v1/"+class, "HTTP_X_TXN", fmt.Sprintf("%016x", txn), "HTTP_X_TTL_MS", ms,
		"HTTP_X_ROW", fmt.Sprintf("%016x", object), "HTTP_X_BLOCK", "0", "HTTP_X_FAMILY", "1", "HTTP_X_WORKING_SET_KB", "40"))...)
	return append(append(b, encodeRecord(recordParams, id, nil)...), encodeRecord(recordStdin, id, nil)...)
}

// floods are what one client sends on one connection at full speed, by its number in the series. It reads what it gets.
var floods = map[string]func(n uint64) []byte{
	"health checks":            func(n uint64) []byte { return encodeHealthz(uint16(n%32000 + 1)) },
	"requests of no class":     func(n uint64) []byte { return encodeObjectRequest(uint16(n%32000+1), n, n, "nothing", "5000") },
	"ever new class names":     func(n uint64) []byte { return encodeObjectRequest(uint16(n%32000+1), n, n, fmt.Sprint("c", n), "5000") },
	"ever new ids and objects": func(n uint64) []byte { return encodeObjectRequest(uint16(n%32000+1), n, n, "firmware", "5000") },
	"ever new ids, aborted": func(n uint64) []byte {
		id := uint16(n%32 + 1)
		return append(encodeObjectRequest(id, n, n, "firmware", "5000"), encodeRecord(recordAbort, id, nil)...)
	},
	"ever new ids, aborted later, with deadlines that never come": func(n uint64) []byte {
		id, earlier := uint16(n%32+1), uint16((n+1)%32+1)
		return append(encodeRecord(recordAbort, earlier, nil), encodeObjectRequest(id, n, n, "firmware", "99999999999")...)
	},
	"requests without parameters": func(n uint64) []byte {
		id := uint16(n%32 + 1)
		return append(append(beginRequest(id), encodeRecord(recordParams, id, nil)...), encodeRecord(recordStdin, id, nil)...)
	},
	"roles that are not served": func(n uint64) []byte {
		return encodeRecord(recordBegin, uint16(n%32+1), []byte{0, 9, 1, 0, 0, 0, 0, 0})
	},
	"management records": func(uint64) []byte {
		return encodeRecord(9, 0, encodeParams("FCGI_MAX_CONNS", "", "FCGI_MAX_REQS", ""))
	},
	"management records of an unknown type": func(uint64) []byte { return encodeRecord(77, 0, nil) },
	"empty records of ended requests":       func(n uint64) []byte { return encodeRecord(recordAbort, uint16(n), nil) },
	"oversized bodies": func(n uint64) []byte {
		id := uint16(n%32 + 1)
		return append(beginRequest(id), bytes.Repeat(encodeRecord(recordStdin, id, make([]byte, 33000)), 2)...)
	},
}

// flood sends messages on one connection at full speed until a time.
func flood(addr string, until time.Time, message func(n uint64) []byte) (sent uint64, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(until)
	go discard(c)
	for n := uint64(1); time.Now().Before(until); {
		var batch []byte
		for len(batch) < 16<<10 {
			batch = append(batch, message(n)...)
			n++
			sent++
		}
		if _, err := c.Write(batch); err != nil {
			return sent, nil // the gateway may close the connection
		}
	}
	return sent, nil
}

// honestClient sends a request for one of some objects each interval on a connection of its own until a time, and returns how long
// each took. A request without a response counts as taking until then.
func honestClient(t *testing.T, addr string, until time.Time, interval time.Duration, objects ...uint64) (times []time.Duration) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(until.Add(2 * floodAim))
	var mu sync.Mutex
	sentAt := map[uint16]time.Time{}
	var reading sync.WaitGroup
	reading.Go(func() {
		r := bufio.NewReader(c)
		for {
			id, status, err := readStatus(r)
			if err != nil {
				return
			}
			mu.Lock()
			at, open := sentAt[id]
			delete(sentAt, id)
			mu.Unlock()
			if !open || !bytes.HasPrefix(status, []byte("Status: 200")) {
				t.Errorf("response to request %d, open %t: %.40q", id, open, status)
			}
			mu.Lock()
			times = append(times, time.Since(at))
			mu.Unlock()
		}
	})
	for n := uint64(1); time.Now().Before(until); n++ {
		id := uint16(n%32 + 1)
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		if _, err := c.Write(encodeObjectRequest(id, n<<48|n, objects[n%uint64(len(objects))], "firmware", "5000")); err != nil {
			t.Error(err)
			break
		}
		time.Sleep(interval)
	}
	for end := time.Now().Add(floodAim); time.Now().Before(end); time.Sleep(time.Millisecond) {
		mu.Lock()
		open := len(sentAt)
		mu.Unlock()
		if open == 0 {
			break
		}
	}
	c.Close()
	reading.Wait()
	for _, at := range sentAt {
		times = append(times, time.Since(at))
	}
	return times
}

// readStatus reads records up to the end of a request and returns its number and the beginning of its output.
func readStatus(r *bufio.Reader) (id uint16, status []byte, err error) { return readOutput(r, 40) }

// readOutput reads records up to the end of a request and returns its number and its output, with at most maxBytes of each record.
func readOutput(r *bufio.Reader, maxBytes int) (id uint16, output []byte, err error) {
	for {
		var h [8]byte
		if _, err := io.ReadFull(r, h[:]); err != nil {
			return 0, nil, err
		}
		length := int(binary.BigEndian.Uint16(h[4:]))
		data := make([]byte, length+int(h[6]))
		if _, err := io.ReadFull(r, data); err != nil {
			return 0, nil, err
		}
		if h[1] == 3 {
			return binary.BigEndian.Uint16(h[2:]), output, nil
		}
		output = append(output, data[:min(length, maxBytes)]...)
	}
}

// Guards against one connection that takes the gateway from all others: while its client sends small or unsound requests at full
// speed, also under ever new names, others must be answered in their time, and the memory must stay within its limit.
func TestFloodOnOneConnection(t *testing.T) {
	const memoryMB, length, parallelFloods = 64, 3 * time.Second, 2
	bin := build(t)
	store, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
		return "ACK", "tag=00000000000000aa,why=local,minted=1", []byte("piece"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	slots := make(chan struct{}, parallelFloods)
	for name, message := range floods {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			p := startPlatform(t, bin, memoryMB, 1024, store.Addr())
			checkServes(t, p.program, 5*time.Second)
			until := time.Now().Add(length)
			var flooding sync.WaitGroup
			var sent uint64
			flooding.Go(func() {
				var err error
				if sent, err = flood(p.addr, until, message); err != nil {
					t.Error(err)
				}
			})
			times := honestClient(t, p.addr, until, 20*time.Millisecond, 7)
			flooding.Wait()
			t.Logf("%d messages", sent)
			checkTimes(t, p.program, times, memoryMB)
		})
	}
}
