package replica

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// connKind is the first byte of a connection, which states what it carries.
type connKind byte

const (
	connRaft    connKind = 'r'
	connForward connKind = 'f' // proposals of commands, to the leader
	connConfirm connKind = 'c' // a voter's requests to the leader to confirm its leadership
	connWatch   connKind = 'w' // changes, to a subscriber
	connMembers connKind = 'm' // the replacement of a member, to the leader
)

const (
	handshakeTimeout = 2 * time.Second
	acceptRetryDelay = 50 * time.Millisecond // after an error of Accept
	maxProposalSize  = maxValue + maxName + 1024
)

// transport accepts and opens the connections between members, and accepts those of subscribers, in mutual TLS. It is Raft's
// StreamLayer, and serves the other kinds itself.
type transport struct {
	opt         Options
	dialer      dialer
	server      *tls.Config
	store       *Store
	watchServer *watchServer
	raftConns   chan net.Conn // accepted, for Raft to take over
	done        chan struct{}
	once        sync.Once
	wg          sync.WaitGroup

	handshakeSlots       connSlots
	memberHandshakeSlots connSlots
	memberHosts          map[string]bool
	slots                map[connKind]connSlots
	idleForwardSlots     connSlots

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

func newTransport(opt Options, s *Store, w *watchServer) *transport {
	return &transport{
		opt:                  opt,
		dialer:               newDialer(opt.TLS, opt.Dial),
		server:               serverConfig(opt.TLS),
		store:                s,
		watchServer:          w,
		raftConns:            make(chan net.Conn),
		done:                 make(chan struct{}),
		handshakeSlots:       make(connSlots, maxHandshakes),
		memberHandshakeSlots: make(connSlots, maxMemberHandshakes),
		memberHosts:          memberHosts(opt.Members),
		slots:                newSlotsByKind(opt.Limits),
		idleForwardSlots:     make(connSlots, maxIdleForwardConns),
		open:                 map[net.Conn]struct{}{},
	}
}

// serverConfig returns the TLS settings of the listener. They require mutual TLS, whatever the given settings say.
func serverConfig(given *tls.Config) *tls.Config {
	conf := given.Clone()
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	conf.MinVersion = tls.VersionTLS13
	conf.DynamicRecordSizingDisabled = true // one record and one write for each block that fits
	return conf
}

// memberHosts returns the hosts of the members' addresses.
func memberHosts(members []Member) map[string]bool {
	hosts := map[string]bool{}
	for _, m := range members {
		if host, _, err := net.SplitHostPort(m.Addr); err == nil {
			hosts[host] = true
		}
	}
	return hosts
}

func (t *transport) start() {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.acceptLoop()
	}()
}

// acceptLoop accepts connections until the listener is closed. No other error ends it.
func (t *transport) acceptLoop() {
	for {
		conn, err := t.opt.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-t.done:
				return
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		handshakeSlots := t.acquireHandshakeSlot(conn.RemoteAddr())
		if handshakeSlots == nil {
			conn.Close()
			continue
		}
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			t.serve(conn, handshakeSlots)
		}()
	}
}

// acquireHandshakeSlot acquires a slot for a handshake, and returns the slots that it belongs to; nil if none is free.
func (t *transport) acquireHandshakeSlot(from net.Addr) connSlots {
	if t.handshakeSlots.tryAcquire() {
		return t.handshakeSlots
	}
	host, _, err := net.SplitHostPort(from.String())
	if err == nil && t.memberHosts[host] && t.memberHandshakeSlots.tryAcquire() {
		return t.memberHandshakeSlots
	}
	return nil
}

// serve serves a connection from its handshake on. A connection that is passed to Raft is closed by Raft.
func (t *transport) serve(raw net.Conn, handshakeSlots connSlots) {
	if !t.track(raw) {
		handshakeSlots.release()
		raw.Close()
		return
	}
	defer t.untrack(raw)
	conn := tls.Server(raw, t.server)
	kind, slots := t.readKind(conn)
	handshakeSlots.release()
	if slots == nil {
		raw.Close()
		return
	}
	t.serveKind(kind, slots, conn, raw)
}

// readKind reads a connection's kind and acquires a slot for it. It returns the slots that the acquired one belongs to, or nil
// if the connection is not to be served.
func (t *transport) readKind(conn net.Conn) (kind connKind, slots connSlots) {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	var first [1]byte
	if _, err := io.ReadFull(conn, first[:]); err != nil { // the first read performs the handshake
		t.opt.Log.Warn().Err(err).Msg("member connection handshake failed")
		return 0, nil
	}
	kind = connKind(first[0])
	slots = t.slots[kind]
	if slots == nil {
		return kind, nil
	}
	if !slots.tryAcquire() {
		t.rejectFull(kind, conn)
		return kind, nil
	}
	conn.SetDeadline(time.Time{})
	return kind, slots
}

// rejectFull responds on a connection for which there is no slot, within the deadline of the handshake. It reads the request
// first: closing a connection with unread bytes may discard the response.
func (t *transport) rejectFull(kind connKind, conn net.Conn) {
	switch kind {
	case connForward, connMembers:
		if _, err := readBlock(conn, maxProposalSize); err == nil {
			writeForwardResponse(conn, noSlotResponse)
		}
	case connWatch:
		if _, err := readBlock(conn, maxSubscriberMessage); err == nil {
			t.watchServer.rejectFull(conn)
		}
	}
}

// serveKind serves a connection of a known kind, and releases its slot at the end.
func (t *transport) serveKind(kind connKind, slots connSlots, conn, raw net.Conn) {
	if kind == connRaft {
		t.passToRaft(&slotConn{Conn: conn, releaseSlot: sync.OnceFunc(slots.release)})
		return
	}
	defer raw.Close()
	if kind == connForward || kind == connMembers {
		t.serveProposals(conn, kind, slots)
		return
	}
	defer slots.release()
	switch kind {
	case connConfirm:
		t.serveConfirmations(conn)
	case connWatch:
		if err := t.watchServer.serve(conn, raw); err != nil {
			t.opt.Log.Debug().Err(err).Msg("watch ended")
		}
	}
}

// passToRaft passes a connection to Raft's next Accept.
func (t *transport) passToRaft(conn net.Conn) {
	select {
	case t.raftConns <- conn:
	case <-t.done:
		conn.Close()
	}
}

// track registers a connection to be closed by Close. It reports false if the transport is closed already.
func (t *transport) track(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.done:
		return false
	default:
	}
	t.open[conn] = struct{}{}
	return true
}

func (t *transport) untrack(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, conn)
}

// dial opens a connection of a kind to another member.
func (t *transport) dial(ctx context.Context, addr string, kind connKind) (net.Conn, error) {
	return t.dialer.dial(ctx, addr, kind)
}

// Dial opens a connection to another member for Raft.
func (t *transport) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return t.dial(ctx, string(addr), connRaft)
}

// Accept returns the next connection that carries Raft.
func (t *transport) Accept() (net.Conn, error) {
	select {
	case conn := <-t.raftConns:
		return conn, nil
	case <-t.done:
		return nil, net.ErrClosed
	}
}

// Addr returns the listener's address.
func (t *transport) Addr() net.Addr { return t.opt.Listener.Addr() }

// Close closes the listener and the connections served here, and waits until they are no longer served.
func (t *transport) Close() error {
	t.once.Do(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		close(t.done)
		t.opt.Listener.Close()
		for conn := range t.open {
			conn.Close()
		}
	})
	t.wg.Wait()
	return nil
}
