package replica

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// relayBuffer bounds, approximately, what the kernel buffers for a stalled connection.
const relayBuffer = 64 << 10

// relay is a TCP relay on the loopback interface whose connections a test can cut, stall and slow down.
type relay struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	changed   *sync.Cond
	isCut     bool
	isStalled [2]bool // whether a direction is stalled
	budget    [2]int  // bytes that a direction passes before it stalls; 0: no limit
	delay     time.Duration
	conns     map[net.Conn]struct{}
	frozen    map[net.Conn]bool // stalled by freeze, independently of isStalled
	wg        sync.WaitGroup
	opened    int // number of connections so far
}

// Directions of a relay.
const (
	toTarget = 0
	toDialer = 1
)

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, conns: map[net.Conn]struct{}{}, frozen: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	r.wg.Add(1)
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) accept() {
	defer r.wg.Done()
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.serve(conn)
		}()
	}
}

func (r *relay) serve(dialer net.Conn) {
	defer dialer.Close()
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer target.Close()
	target.(*net.TCPConn).SetReadBuffer(relayBuffer) // so that a stall soon blocks the sender
	if !r.addConns(dialer, target) {
		return
	}
	defer r.removeConns(dialer, target)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copy(target, dialer, toTarget)
	}()
	r.copy(dialer, target, toDialer)
	<-done
}

// copy copies one direction until it ends, and then closes both connections.
func (r *relay) copy(to, from net.Conn, direction int) {
	defer to.Close()
	defer from.Close()
	chunk := make([]byte, 4<<10)
	for {
		n, err := from.Read(chunk)
		if err != nil || !r.pass(direction, to, n) {
			return
		}
		if _, err := to.Write(chunk[:n]); err != nil {
			return
		}
	}
}

// pass waits while a direction is stalled, and for the delay. It reports false if the connection was cut meanwhile.
func (r *relay) pass(direction int, conn net.Conn, bytes int) bool {
	r.mu.Lock()
	if r.budget[direction] > 0 {
		r.budget[direction] -= bytes
		r.isStalled[direction] = r.budget[direction] <= 0
	}
	for (r.isStalled[direction] || r.frozen[conn]) && r.isOpen(conn) {
		r.changed.Wait()
	}
	delay, held := r.delay, r.isOpen(conn)
	r.mu.Unlock()
	time.Sleep(delay)
	return held
}

func (r *relay) isOpen(conn net.Conn) bool {
	_, ok := r.conns[conn]
	return ok
}

func (r *relay) addConns(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCut {
		return false
	}
	r.opened++
	for _, conn := range conns {
		r.conns[conn] = struct{}{}
	}
	return true
}

func (r *relay) removeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.conns, conn)
		delete(r.frozen, conn)
	}
}

// freeze stalls the connections that are open now, as a middlebox does that has lost their state. New connections work. heal
// ends it.
func (r *relay) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		r.frozen[conn] = true
	}
}

// count returns the number of connections so far, and of those that are open.
func (r *relay) count() (opened, open int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened, len(r.conns) / 2
}

// cut closes all connections, and new ones at once, until heal.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = true
	for conn := range r.conns {
		conn.Close()
		delete(r.conns, conn)
		delete(r.frozen, conn)
	}
	r.changed.Broadcast()
}

// stall holds back what is sent in some directions, as a network that loses every packet, until heal or release.
func (r *relay) stall(directions ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, direction := range directions {
		r.isStalled[direction] = true
	}
}

// stallAfter stalls a direction once it has passed about the given number of bytes.
func (r *relay) stallAfter(direction, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget[direction] = bytes
}

// stalled reports whether a direction is stalled.
func (r *relay) stalled(direction int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isStalled[direction]
}

// slow delays each chunk that is relayed.
func (r *relay) slow(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// release ends a stall. What was held back is delivered.
func (r *relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isStalled, r.budget = [2]bool{}, [2]int{}
	r.changed.Broadcast()
}

// heal ends the effects of cut, stall, freeze and slow.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut, r.isStalled, r.budget, r.delay = false, [2]bool{}, [2]int{}, 0
	clear(r.frozen)
	r.changed.Broadcast()
}

func (r *relay) close() {
	r.listener.Close()
	r.cut()
	r.wg.Wait()
}

// network has a relay for each pair of a dialer and an address.
type network struct {
	t      testing.TB
	mu     sync.Mutex
	relays map[[2]string]*relay
}

func newNetwork(t testing.TB) *network {
	return &network{t: t, relays: map[[2]string]*relay{}}
}

// between returns the relay from a dialer to an address.
func (n *network) between(from, addr string) *relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, addr}
	if n.relays[key] == nil {
		n.relays[key] = newRelay(n.t, addr)
	}
	return n.relays[key]
}

// dialFrom returns a DialFunc that connects through the relays of a dialer.
func (n *network) dialFrom(from string) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, n.between(from, addr).listener.Addr().String())
	}
}
