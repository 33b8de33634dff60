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

// startEchoRelay starts a relay for two sites in front of an echo server, and returns it with its routes.
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

// echo sends a byte and waits until the server has sent it back.
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

// A cut closes a site's connections and rejects new ones, without affecting another site. New connections work again once
// the cut has ended.
func TestRelayCutsASite(t *testing.T) {
	checkNoLeaks(t)
	relay, routes := startEchoRelay(t)
	cut, other := dialSite(t, routes, 0), dialSite(t, routes, 1)
	if err := errors.Join(echo(cut, echoTimeout), echo(other, echoTimeout)); err != nil {
		t.Fatal(err)
	}
	setLinkCondition(t, relay, linkCondition{Sites: []int{0}, Cut: true})
	if err := echo(cut, echoTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("existing connection of the cut site: %v", err)
	}
	if err := echo(dialSite(t, routes, 0), echoTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("new connection of the cut site: %v", err)
	}
	if err := echo(other, echoTimeout); err != nil {
		t.Errorf("connection of another site: %v", err)
	}
	setLinkCondition(t, relay, linkCondition{Sites: []int{0}})
	if err := echo(dialSite(t, routes, 0), echoTimeout); err != nil {
		t.Errorf("new connection after the cut: %v", err)
	}
}

// A stall keeps a site's connections open. The data that was held back is delivered once the stall has ended.
func TestRelayStallsASite(t *testing.T) {
	checkNoLeaks(t)
	relay, routes := startEchoRelay(t)
	conn := dialSite(t, routes, 0)
	if err := echo(conn, echoTimeout); err != nil {
		t.Fatal(err)
	}
	setLinkCondition(t, relay, linkCondition{Sites: []int{0}, Stall: true})
	if err := echo(conn, 200*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("during the stall: %v", err)
	}
	setLinkCondition(t, relay, linkCondition{Sites: []int{0}})
	conn.SetDeadline(time.Now().Add(echoTimeout))
	var back [1]byte
	if _, err := io.ReadFull(conn, back[:]); err != nil {
		t.Errorf("after the stall: %v", err)
	}
	if err := relay.setCondition(linkCondition{Sites: []int{2}}); err == nil {
		t.Error("the condition of an unknown site was set")
	}
}

// A delay is added in each direction.
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
		t.Errorf("the round trip took %v, want at least %v", took, 2*delay)
	}
}
