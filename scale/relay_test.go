package scale

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"turnfork.dev/turnfork/replica"
)

// echoThroughRelay gives a relay of two sites before a server that sends back what it reads, and its routes.
func startEchoRelay(t *testing.T) (*relayWorker, relayRoutes) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	relay := &relayWorker{}
	routes, err := relay.start(relaySetup{
		Sites: 2, Voters: []replica.Member{{ID: "v", Addr: server.Addr().String()}}, IPs: []string{"127.0.0.1"},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := relay.close(); err != nil {
			t.Error(err)
		}
		server.Close()
	})
	return relay, routes
}

func dialSite(t *testing.T, routes relayRoutes, site int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", routes.Sites[site][0].Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echo sends a byte and waits for it to come back.
func echo(conn net.Conn, within time.Duration) error {
	conn.SetDeadline(time.Now().Add(within))
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	var back [1]byte
	_, err := io.ReadFull(conn, back[:])
	return err
}

func setLinkCondition(t *testing.T, relay *relayWorker, condition linkCondition) {
	t.Helper()
	if err := relay.setCondition(condition); err != nil {
		t.Fatal(err)
	}
}

const echoTimeout = 20 * time.Second

// A site that is cut off loses its connections and gets none, another keeps its own, and all is well once it is healed.
func TestRelayCutsASite(t *testing.T) {
	checkNoLeaks(t)
	relay, routes := startEchoRelay(t)
	cut, other := dialSite(t, routes, 0), dialSite(t, routes, 1)
	if err := errors.Join(echo(cut, echoTimeout), echo(other, echoTimeout)); err != nil {
		t.Fatal(err)
	}
	setLinkCondition(t, relay, linkCondition{Sites: []int{0}, Cut: true})
	if err := echo(cut, echoTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection of a site that is cut off: %v", err)
	}
	if err := echo(dialSite(t, routes, 0), echoTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a new connection of a site that is cut off: %v", err)
	}
	if err := echo(other, echoTimeout); err != nil {
		t.Errorf("another site: %v", err)
	}
	setLinkCondition(t, relay, linkCondition{Sites: []int{0}})
	if err := echo(dialSite(t, routes, 0), echoTimeout); err != nil {
		t.Errorf("once healed: %v", err)
	}
}

// A site whose links stand still keeps its connections, and gets what was held up once they go on.
func TestRelayStallsASite(t *testing.T) {
	checkNoLeaks(t)
	relay, routes := startEchoRelay(t)
	conn := dialSite(t, routes, 0)
	if err := echo(conn, echoTimeout); err != nil {
		t.Fatal(err)
	}
	setLinkCondition(t, relay, linkCondition{Sites: []int{0}, Stall: true})
	if err := echo(conn, 200*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("while the link stands still: %v", err)
	}
	setLinkCondition(t, relay, linkCondition{Sites: []int{0}})
	conn.SetDeadline(time.Now().Add(echoTimeout))
	var back [1]byte
	if _, err := io.ReadFull(conn, back[:]); err != nil {
		t.Errorf("once it goes on: %v", err)
	}
	if err := relay.setCondition(linkCondition{Sites: []int{2}}); err == nil {
		t.Error("a site that is not there was set")
	}
}

// A delay is added each way.
func TestRelayDelaysASite(t *testing.T) {
	checkNoLeaks(t)
	relay, routes := startEchoRelay(t)
	conn := dialSite(t, routes, 0)
	const delay = 50 * time.Millisecond
	setLinkCondition(t, relay, linkCondition{Sites: []int{0}, Delay: delay})
	begin := time.Now()
	if err := echo(conn, echoTimeout); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begin); took < 2*delay {
		t.Errorf("there and back took %v, want %v at least", took, 2*delay)
	}
}
