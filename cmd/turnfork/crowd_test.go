package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"turnfork.dev/turnfork/internal/fakestore"
)

// FastCGI record types of the requests in these tests.
const (
	recordBegin  = 1
	recordAbort  = 2
	recordParams = 4
	recordStdin  = 5
)

const maxRecordContent = 65535 // bytes

// crowdPlatform is a running gateway that is configured by the platform, with one endpoint.
type crowdPlatform struct {
	*program
	memoryMB int
}

// startPlatform starts a gateway with a memory limit and a number of sockets, and caches at these addresses.
func startPlatform(t *testing.T, bin string, memoryMB, sockets int, endpoints ...string) crowdPlatform {
	t.Helper()
	var servers []string
	for i, addr := range endpoints {
		servers = append(servers, fmt.Sprintf(`{"id":"s-%08x","addr":%q,"zone":"edge","kind":"box","cell":0,"state":"Ready","weight":100,"started_ms":0}`, i+7, addr))
	}
	text := fmt.Sprintf(platformConfig, "")
	for _, change := range [][2]string{
		{`"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB)},
		{`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets)},
		{`"changelog":"",`, ""},
		{`"results":[]`, fmt.Sprintf(`"results":[{"seq":1,"fleet":{"version":1,"full":true,"servers":[%s]}}]`, strings.Join(servers, ","))},
	} {
		if !strings.Contains(text, change[0]) {
			t.Fatalf("platformConfig lacks %s", change[0])
		}
		text = strings.Replace(text, change[0], change[1], 1)
	}
	conf := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	env := []string{"NODE_CONFIG=" + conf, "NODE_LISTEN=127.0.0.1:0", "NODE_NAME=n1"}
	p := launch(t, "/bin/sh", env, "-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, bin))
	return crowdPlatform{p, memoryMB}
}

// residentMB returns a figure of the process's status in MB: VmRSS or VmHWM.
func (p *program) residentMB(t *testing.T, figure string) float64 {
	t.Helper()
	mb, err := p.statusMB(figure)
	if err != nil {
		t.Fatalf("%v\n%s", err, lastLines(p.logs()))
	}
	return mb
}

// statusMB reads a figure of the process's status in MB.
func (p *program) statusMB(figure string) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, figure+":"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("no %s in the process's status", figure)
}

// clientBehavior is what one client of a crowd writes on its connection. It returns when it has written all, or when the gateway
// has closed the connection.
type clientBehavior func(c net.Conn, n int)

// runCrowd has clients connect at once and behave alike, keeps their connections open for a time, and closes them.
func runCrowd(t *testing.T, addr string, clients int, stay time.Duration, behave clientBehavior) {
	t.Helper()
	var wg sync.WaitGroup
	end := time.Now().Add(stay)
	for n := range clients {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				return // the gateway may refuse some of a crowd
			}
			defer c.Close()
			c.SetDeadline(end)
			behave(c, n)
			time.Sleep(time.Until(end))
		})
	}
	wg.Wait()
}

// beginRequest returns the BEGIN_REQUEST of a request whose connection stays open.
func beginRequest(id uint16) []byte {
	return encodeRecord(recordBegin, id, []byte{0, 1, 1, 0, 0, 0, 0, 0})
}

// writeParams returns the parameters of a write, up to their end.
func writeParams(id uint16, n int) []byte {
	b := encodeRecord(recordParams, id, encodeParams("SCRIPT_NAME", "/v1/firmware", "HTTP_X_TXN", fmt.Sprintf("%08x%08x", n, id), "HTTP_X_TTL_MS", "5000",
		"HTTP_X_ROW", fmt.Sprintf("%08x%08x", n, id), "HTTP_X_BLOCK", "0", "HTTP_X_FAMILY", "1", "HTTP_X_WORKING_SET_KB", "40"))
	return append(b, encodeRecord(recordParams, id, nil)...)
}

// crowdBehaviors are the clients of TestCrowdStaysWithinMemoryLimit on the platform's frontend.
var crowdBehaviors = map[string]clientBehavior{
	"record without its last byte": func(c net.Conn, n int) {
		b := append(beginRequest(1), writeParams(1, n)...)
		record := encodeRecord(recordStdin, 1, make([]byte, maxRecordContent))
		c.Write(append(b, record[:len(record)-1]...))
	},
	"record of an unknown type without its last byte": func(c net.Conn, n int) {
		record := encodeRecord(recordStdin, 0, make([]byte, maxRecordContent))
		c.Write(record[:len(record)-1])
	},
	"half of a write, in small records, on each of 32 requests": func(c net.Conn, n int) {
		for id := uint16(1); id <= 32; id++ {
			b := append(beginRequest(id), writeParams(id, n)...)
			for range 24 {
				b = append(b, encodeRecord(recordStdin, id, make([]byte, 1000))...)
			}
			if _, err := c.Write(b); err != nil {
				return
			}
		}
	},
	"a write byte by byte": func(c net.Conn, n int) {
		b := append(beginRequest(1), writeParams(1, n)...)
		c.Write(append(b, encodeRecord(recordStdin, 1, make([]byte, 48000))[:40000]...))
		for {
			time.Sleep(100 * time.Millisecond)
			if _, err := c.Write([]byte{0}); err != nil {
				return
			}
		}
	},
	"oversized bodies, one request after the other": func(c net.Conn, n int) {
		go discard(c)
		record := make([]byte, 16000)
		for id := uint16(1); ; id = id%32 + 1 {
			b := append(beginRequest(id), writeParams(id, n)...)
			for range 6 {
				b = append(b, encodeRecord(recordStdin, id, record)...)
			}
			if _, err := c.Write(b); err != nil {
				return
			}
		}
	},
	"parameters of very many short fields": func(c net.Conn, n int) {
		go discard(c)
		var fields []byte
		for i := range 3000 {
			fields = append(fields, encodeParams(string(rune('a'+i%26))+"b", "c")...)
		}
		for id := uint16(1); ; id = id%32 + 1 {
			b := append(beginRequest(id), encodeRecord(recordParams, id, fields)...)
			b = append(b, encodeRecord(recordParams, id, nil)...)
			if id%2 == 0 { // the others stay half done
				b = append(b, encodeRecord(recordStdin, id, nil)...)
			}
			if _, err := c.Write(b); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	},
	"responses left unread": func(c net.Conn, n int) {
		unsound := bytes.Repeat(encodeRecord(recordBegin, 1, []byte{0, 9, 1, 0, 0, 0, 0, 0}), 100) // a role that is not served
		for {
			if _, err := c.Write(unsound); err != nil {
				return
			}
		}
	},
	"requests that are aborted": func(c net.Conn, n int) {
		go discard(c)
		for i := 0; ; i++ {
			b := append(beginRequest(1), writeParams(1, n<<16+i)...)
			b = append(b, encodeRecord(recordStdin, 1, make([]byte, 40000))...)
			b = append(b, encodeRecord(recordStdin, 1, nil)...)
			b = append(b, encodeRecord(recordAbort, 1, nil)...)
			if _, err := c.Write(b); err != nil {
				return
			}
		}
	},
	"large responses left unread": func(c net.Conn, n int) {
		for id := uint16(1); id <= 32; id++ {
			b := append(beginRequest(id), writeParams(id, n)...)
			if _, err := c.Write(append(b, encodeRecord(recordStdin, id, nil)...)); err != nil {
				return
			}
		}
	},
}

// discard reads until the connection ends.
func discard(c net.Conn) {
	b := make([]byte, 16<<10)
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

// maxObject is an object of the greatest size that the protocol allows.
var maxObject = make([]byte, 240000)

// startLargeObjects starts an endpoint whose objects have the greatest size.
func startLargeObjects(t *testing.T) *fakestore.Endpoint {
	t.Helper()
	s, err := fakestore.Listen("127.0.0.1:0", func(fakestore.Command) (string, string, []byte, bool) {
		return "ACK", "tag=00000000000000aa,why=local,minted=1", maxObject, true
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// checkServes sends a health check on a new connection and expects its response within a time.
func checkServes(t *testing.T, p *program, limit time.Duration) {
	t.Helper()
	deadline := time.Now().Add(limit)
	c, err := net.DialTimeout("tcp", p.addr, limit)
	if err != nil {
		t.Fatalf("%v\n%s", err, lastLines(p.logs()))
	}
	defer c.Close()
	c.SetDeadline(deadline)
	c.Write(encodeHealthz(1))
	var head [8]byte
	if _, err := bufio.NewReader(c).Read(head[:]); err != nil || binary.BigEndian.Uint16(head[2:]) != 1 {
		t.Errorf("health check beside the crowd: %v\n%s", err, lastLines(p.logs()))
	}
}

// lastLines returns the end of a log.
func lastLines(log string) string {
	const size = 2000
	return log[max(0, len(log)-size):]
}

// parallelCrowds is the number of crowds that run at the same time, each with a gateway of its own.
const parallelCrowds = 3

// crowdCases returns crowdBehaviors, and a crowd in which all of them occur.
func crowdCases() map[string]clientBehavior {
	names := slices.Sorted(maps.Keys(crowdBehaviors))
	cases := maps.Clone(crowdBehaviors)
	cases["all of these"] = func(c net.Conn, n int) { crowdBehaviors[names[n%len(names)]](c, n) }
	return cases
}

// Guards against bytes of clients that no limit counts: a crowd of clients that sent requests slowly, in part or oversized got a
// gateway killed for its memory.
func TestCrowdStaysWithinMemoryLimit(t *testing.T) {
	const clients, sockets = 700, 1024 // more than the gateway admits
	bin := build(t)
	store := startLargeObjects(t)
	slots := make(chan struct{}, parallelCrowds)
	for _, memoryMB := range []int{64, 192} {
		for name, behave := range crowdCases() {
			t.Run(fmt.Sprintf("%d MB, %s", memoryMB, name), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				p := startPlatform(t, bin, memoryMB, sockets, store.Addr())
				idle, idleDescriptors := p.residentMB(t, "VmRSS"), p.openDescriptors(t)
				runCrowd(t, p.addr, clients, 2*time.Second, behave)
				peak := p.residentMB(t, "VmHWM")
				t.Logf("resident: %.0f MB idle, %.0f MB at most", idle, peak)
				if peak > float64(memoryMB) {
					t.Errorf("%.0f MB resident, of %d", peak, memoryMB)
				}
				checkServes(t, p.program, 5*time.Second)
				const kept = 16 // connections to the endpoint, which stay open
				eventually(t, p.program, "the crowd's descriptors are closed", func() bool { return p.openDescriptors(t) <= idleDescriptors+kept })
			})
		}
	}
}
