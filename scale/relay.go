package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"turnfork.dev/turnfork/replica"
)

const (
	relayDialTimeout = 2 * time.Second
	relayBufferBytes = 8 << 10
	acceptRetryPause = 10 * time.Millisecond
)

// relayWorker forwards connections between sites and voters, and delays, stalls or closes them as methodLink requests.
type relayWorker struct {
	mu        sync.Mutex
	sites     []*siteLink
	listeners []net.Listener
	tasks     sync.WaitGroup
}

var _ worker = (*relayWorker)(nil)

func (r *relayWorker) handle(ctx context.Context, method string, body json.RawMessage) (any, error) {
	switch method {
	case methodStart:
		setup, err := decodeBody[relaySetup](body)
		if err != nil {
			return nil, err
		}
		return r.start(setup)
	case methodLink:
		condition, err := decodeBody[linkCondition](body)
		if err != nil {
			return nil, err
		}
		return empty{}, r.setCondition(condition)
	case methodStats:
		return readProcessStats()
	}
	return nil, fmt.Errorf("%w: %s", errUnknownMethod, method)
}

// start opens a listener for each pair of a site and a voter.
func (r *relayWorker) start(setup relaySetup) (relayRoutes, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var routes relayRoutes
	for range setup.Sites {
		link := newSiteLink()
		r.sites = append(r.sites, link)
		var addresses []replica.Member
		for i, voter := range setup.Voters {
			listener, err := net.Listen("tcp", net.JoinHostPort(setup.IPs[i], "0"))
			if err != nil {
				return routes, fmt.Errorf("scale: relay: %w", err)
			}
			r.listeners = append(r.listeners, listener)
			r.tasks.Go(func() { link.accept(listener, voter.Addr, &r.tasks) })
			port := listener.Addr().(*net.TCPAddr).Port
			addresses = append(addresses, replica.Member{
				ID: voter.ID, Addr: net.JoinHostPort(setup.IPs[i], strconv.Itoa(port)),
			})
		}
		routes.Sites = append(routes.Sites, addresses)
	}
	return routes, nil
}

func (r *relayWorker) setCondition(condition linkCondition) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, site := range condition.Sites {
		if site < 0 || site >= len(r.sites) {
			return fmt.Errorf("scale: relay: no site %d", site)
		}
		r.sites[site].set(condition)
	}
	return nil
}

func (r *relayWorker) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var failed []error
	for _, listener := range r.listeners {
		failed = append(failed, listener.Close())
	}
	for _, site := range r.sites {
		site.set(linkCondition{Cut: true})
	}
	r.tasks.Wait()
	return errors.Join(failed...)
}

// siteLink is the network between one site and the voters.
type siteLink struct {
	mu    sync.Mutex
	cut   bool
	delay time.Duration
	flow  chan struct{} // closed while the link forwards data, open while it is stalled
	conns map[net.Conn]struct{}
}

func newSiteLink() *siteLink {
	open := make(chan struct{})
	close(open)
	return &siteLink{flow: open, conns: map[net.Conn]struct{}{}}
}

// set applies a condition. A cut closes all connections of the link.
func (s *siteLink) set(condition linkCondition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = condition.Delay
	s.setStalled(condition.Stall && !condition.Cut)
	s.cut = condition.Cut
	if !s.cut {
		return
	}
	for conn := range s.conns {
		conn.Close()
	}
}

// setStalled blocks or unblocks the forwarding of data. The caller must hold s.mu.
func (s *siteLink) setStalled(stalled bool) {
	flowing := false
	select {
	case <-s.flow:
		flowing = true
	default:
	}
	switch {
	case stalled && flowing:
		s.flow = make(chan struct{})
	case !stalled && !flowing:
		close(s.flow)
	}
}

// register adds a connection to the link. It returns false if the link is cut.
func (s *siteLink) register(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// closeConn closes a connection and removes it from the link.
func (s *siteLink) closeConn(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// awaitFlow waits while the link is stalled, and then for its delay.
func (s *siteLink) awaitFlow() {
	s.mu.Lock()
	delay, flow := s.delay, s.flow
	s.mu.Unlock()
	<-flow
	if delay > 0 {
		time.Sleep(delay)
	}
}

// accept accepts and forwards connections to a voter until the listener is closed.
func (s *siteLink) accept(listener net.Listener, voter string, tasks *sync.WaitGroup) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as when the process is out of file descriptors
			time.Sleep(acceptRetryPause)
			continue
		}
		tasks.Go(func() { s.forward(conn, voter) })
	}
}

// forward connects a gateway's connection to a voter, and forwards data in both directions until either side closes.
func (s *siteLink) forward(gatewayConn net.Conn, voter string) {
	defer s.closeConn(gatewayConn)
	if !s.register(gatewayConn) {
		return
	}
	voterConn, err := net.DialTimeout("tcp", voter, relayDialTimeout)
	if err != nil {
		return
	}
	defer s.closeConn(voterConn)
	if !s.register(voterConn) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { s.copyOneWay(voterConn, gatewayConn) })
	s.copyOneWay(gatewayConn, voterConn)
	both.Wait()
}

// copyOneWay forwards data in one direction. When it returns it closes both connections, which also ends the other
// direction.
func (s *siteLink) copyOneWay(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			s.awaitFlow()
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
