package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"turnfork.dev/turnfork/internal/fakestore"
)

// An endpoint hangs during the shutdown of a process whose classes have very short deadlines, while clients keep sending on
// their open connections. Each request must get a response unless the process closes the connection first, and the process must
// exit.
func TestShutdownWithShortestDeadlines(t *testing.T) {
	bin := build(t)
	for _, deadline := range []int{20, 50, 200} { // ms
		t.Run(fmt.Sprintf("%d ms", deadline), func(t *testing.T) {
			t.Parallel()
			hanging, err := fakestore.NewSlowServer(1, func(fakestore.Command, int) fakestore.Behavior { return fakestore.NoResponse })
			if err != nil {
				t.Fatal(err)
			}
			defer hanging.Close()
			conf := filepath.Join(t.TempDir(), "config.json")
			text := strings.ReplaceAll(fmt.Sprintf(oneEndpointConfig, hanging.Addrs[0]), `"deadline":0.5`, fmt.Sprintf(`"deadline":%g`, float64(deadline)/1000))
			os.WriteFile(conf, []byte(text), 0o600)
			p := launch(t, bin, []string{"NODE_CONFIG=" + conf, "NODE_LISTEN=127.0.0.1:0", "NODE_NAME=n1"})
			done := make(chan error)
			var clients []loopingClient
			for i, ttl := range []int{deadline, deadline, 5000, 5000} { // some clients wait longer than a shutdown may take
				clients = append(clients, loopingClient{class: []string{"firmware", "ride-end"}[i%2], ttl: ttl, id: uint16(i * 10000)})
			}
			for _, client := range clients {
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				first := make(chan struct{})
				go func() { done <- client.sendUntilClosed(c, first) }()
				<-first
			}
			p.cmd.Process.Signal(syscall.SIGTERM)
			for range clients {
				if err := <-done; err != nil {
					t.Errorf("%v\n%s", err, p.logs())
				}
			}
			if err := <-p.done; err != nil {
				t.Errorf("exit: %v\n%s", err, p.logs())
			}
		})
	}
}

// loopingClient sends requests one after another, each with ttl ms left.
type loopingClient struct {
	class string
	ttl   int
	id    uint16 // of the last request; initially the one before the first
}

// sendUntilClosed sends a request after each response until the connection is closed. It fails if a request gets neither a
// response nor the end of the connection within 20 s, or a status other than 502, 503 and 504.
func (e loopingClient) sendUntilClosed(c net.Conn, first chan<- struct{}) error {
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		e.id++
		c.SetDeadline(time.Now().Add(20 * time.Second)) // exceeded only if the process hangs
		if _, err := c.Write(e.nextRequest()); err != nil {
			return nil // closed while no request was open
		}
		if n == 0 {
			close(first)
		}
		status, err := readOneStatus(in, e.id)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("request %d (%s) got no response", e.id, e.class)
		case err != nil:
			return nil // the request was sent while the connection was being closed
		case status != "502" && status != "503" && status != "504":
			return fmt.Errorf("request %d (%s): status %q, although the endpoint hangs", e.id, e.class, status)
		}
	}
}

// nextRequest encodes the client's next request.
func (e loopingClient) nextRequest() []byte {
	return bytes.Replace(encodeRequest(e.class, e.id), []byte("5000"), fmt.Appendf(nil, "%04d", e.ttl), 1)
}

// readOneStatus reads the response to the only open request and returns its status.
func readOneStatus(in *bufio.Reader, id uint16) (status string, err error) {
	text := ""
	for {
		var head [8]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return "", err
		}
		data := make([]byte, int(binary.BigEndian.Uint16(head[4:]))+int(head[6]))
		if _, err := io.ReadFull(in, data); err != nil {
			return "", err
		}
		if got := binary.BigEndian.Uint16(head[2:]); got != id {
			return "", fmt.Errorf("response to request %d instead of %d", got, id)
		}
		if text += string(data); head[1] == 3 {
			return strings.TrimPrefix(text, "Status: ")[:3], nil
		}
	}
}

// The configuration is reloaded many times in quick succession, each time with another address of discovery. Signals may be
// merged, but the process must end up with the last configuration, and an open request must not be affected.
func TestSignalsInQuickSuccession(t *testing.T) {
	bin := build(t)
	release := make(chan struct{})
	s, err := fakestore.Listen("127.0.0.1:0", func(c fakestore.Command) (string, string, []byte, bool) {
		if c.Fields["lane"] == "app-assets" {
			<-release
		}
		return "ACK", "tag=0a,why=local,minted=1", []byte("hello"), true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	currentLog := newChangeLog(t, s.Addr())
	conf := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		next := conf + ".next"
		os.WriteFile(next, []byte(text), 0o600)
		os.Rename(next, conf)
	}
	write(fmt.Sprintf(platformConfig, currentLog.addr))
	p := launch(t, bin, []string{"NODE_CONFIG=" + conf, "NODE_LISTEN=127.0.0.1:0", "NODE_NAME=n1", "NODE_CONSOLE=127.0.0.1:0"})
	awaitStatus(t, 200, p.awaitAdminAddr(t), "GET", "/ready", "")
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	c.Write(encodeRequest("app-assets", 1))
	eventually(t, p, "the request is sent", func() bool { return len(s.Commands("GET")) > 0 })
	for i := range 20 {
		if i%5 == 4 {
			write("half a fi") // an incomplete file
			p.cmd.Process.Signal(syscall.SIGHUP)
		}
		currentLog = newChangeLog(t, s.Addr())
		write(fmt.Sprintf(platformConfig, currentLog.addr))
		p.cmd.Process.Signal(syscall.SIGHUP)
	}
	eventually(t, p, "the last change log is polled", func() bool { return currentLog.polls.Load() > 0 })
	close(release)
	if id, text := readResponse(t, bufio.NewReader(c)); id != 1 || !strings.HasSuffix(text, "hello") {
		t.Errorf("open request: %d %q\n%s", id, text, p.logs())
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := <-p.done; err != nil {
		t.Errorf("exit: %v\n%s", err, p.logs())
	}
}
