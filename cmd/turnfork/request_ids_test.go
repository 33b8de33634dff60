package main

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"turnfork.dev/turnfork/internal/fakestore"
)

// Guards against an ID that runs twice because it comes again at the other process of an upgrade, after its client has left the first
// one: while both serve, and after the first one has handed over.
func TestIDRunsOnceAcrossUpgrade(t *testing.T) {
	const unsafeClass = "app-assets" // its requests must not run twice here
	bin := build(t)
	var runs atomic.Int64
	s, err := fakestore.Listen("127.0.0.1:0", func(c fakestore.Command) (string, string, []byte, bool) {
		if c.Fields["lane"] == unsafeClass {
			runs.Add(1)
			return "", "", nil, false // the answer never comes
		}
		return "ACK", "tag=00000000000000aa,why=local,minted=1", []byte("hello"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	gateway := newSharedSocket(t, bin, s.Addr(), [2]string{
		`{"name":"app-assets","aim":0.6,"deadline":5,"repeat":"free"`, `{"name":"app-assets","aim":0.6,"deadline":5,"repeat":"never"`,
	})
	send := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", gateway.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		c.Write(encodeRequest(unsafeClass, 9)) // its ID is 9 too
		return c, bufio.NewReader(c)
	}
	again := func(when string) {
		t.Helper()
		c, r := send()
		defer c.Close()
		if _, text := readResponse(t, r); !strings.HasPrefix(text, "Status: 502") {
			t.Errorf("%s: %.40q", when, text)
		}
	}
	first := gateway.start()
	c, _ := send()
	eventually(t, first, "the request is at the store", func() bool { return runs.Load() == 1 })
	c.Close()
	second := gateway.start()
	awaitStatus(t, 200, second.awaitAdminAddr(t), "GET", "/ready", "")
	for range 16 { // either process accepts
		again("while both processes serve")
	}
	first.cmd.Process.Signal(syscall.SIGTERM)
	first.awaitLog(t, "handover started")
	again("while the first process hands over")
	if err := <-first.done; err != nil {
		t.Errorf("exit: %v\n%s", err, first.logs())
	}
	again("after the first process has ended")
	if n := runs.Load(); n != 1 {
		t.Errorf("the request ran %d times", n)
	}
}
