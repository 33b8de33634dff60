package signed

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/limits"
)

// rejectionLog blocks on the first line about a rejected token until the test closes proceed.
type rejectionLog struct {
	reached, proceed chan struct{}
	blocked          bool
}

func (l *rejectionLog) Write(line []byte) (int, error) {
	if !l.blocked && bytes.Contains(line, []byte("token not accepted")) {
		l.blocked = true
		close(l.reached)
		<-l.proceed
	}
	return len(line), nil
}

// A rejected token is counted as a failure of its source before the client has the response, so that it applies to the client's
// next request, also on a new connection. The test blocks the reader goroutine when it logs the rejection of the first token.
func TestFailureIsCountedBeforeResponse(t *testing.T) {
	d := newGatewayPair(t)
	log := &rejectionLog{reached: make(chan struct{}), proceed: make(chan struct{})}
	f := d.frontends[0]
	f.opt.Log = zerolog.New(log)
	f.guard = limits.NewGuard(limits.GuardOptions{
		Failures: limits.Rate{PerSecond: 1, Burst: 1}, Checks: limits.Rate{PerSecond: 1, Burst: 1}, MaxSources: 8,
	})
	forged := strings.Replace(d.url, "signature=", "signature=A", 1)
	sendForged := func() <-chan string {
		c, err := net.Dial("tcp", d.addrs[0])
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", forged)
		status := make(chan string, 1)
		go func() {
			line, _ := bufio.NewReader(c).ReadString('\n')
			status <- strings.TrimPrefix(strings.TrimSpace(line), "HTTP/1.1 ")[:3]
		}()
		return status
	}
	first := sendForged()
	<-log.reached
	proceed := sync.OnceFunc(func() { close(log.proceed) })
	t.Cleanup(proceed)
	select {
	case status := <-first:
		t.Fatalf("response %s was written before the rejection was handled", status)
	case <-time.After(50 * time.Millisecond): // time in which a premature response would arrive
	}
	proceed()
	if status := <-first; status != "403" {
		t.Errorf("the first token: %s", status)
	}
	// The one tolerated failure is used. The next token uses the one check of a blocked source.
	for i, want := range []string{"403", "429"} {
		if status := <-sendForged(); status != want {
			t.Errorf("token %d after the first: %s, want %s", i+1, status, want)
		}
	}
}
