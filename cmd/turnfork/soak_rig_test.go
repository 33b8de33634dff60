package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"turnfork.dev/turnfork/internal/fakestore"
)

// soakConfig is the NODE_CONFIG file of the soak. The memory in MB and the addresses of the change log have to be inserted.
const soakConfig = `{"name":"n1","listen":"127.0.0.1:0","seed":"1","limits":{"cores":1,"memory_mb":%d,"sockets":1024},
"changelog":%q,"known":{"seq":0,"results":[]},"settings":{"me":0,"az":1,"balancers":1,"zones":["hub","edge"],"kinds":["box","parent","origin"],
"quantum":0.002,"classes":[{"name":"firmware","aim":0.3,"deadline":1.2,"repeat":"free","worth":1},
{"name":"ride-end","aim":0.3,"deadline":1.2,"repeat":"never","worth":2},
{"name":"mark","aim":0.3,"deadline":1.2,"repeat":"guarded","group":"any","key-ttl":4,"worth":2}],
"allowed":{"max-attempts":8,"cancel":true,"probes":true,"retry-after":true,"max-retry-after":0.5,"dial-timeout":0.4,"idle-close":15,"max-open":1000},
"guarantees":{"cold":40,"cold-share":0.2,"fall":1.9,"fall-multiple":2,"drain-grace":0.5},
"family-info":{"origin-kind":2,"shield-kind":1,"client-kb-per-s":1000,"seats-by-zone":[0,1],"zone-hub":[0,0],"says":"all",
"straight":true,"goes-through":[false,true,true]}}}`

// Times of the protocol page.
const (
	answerSlack     = 550 * time.Millisecond  // after a client's deadline, in which a final answer still counts
	crossingTime    = 50 * time.Millisecond   // a request that crosses the close of its connection within this time is sent again
	earliestKill    = 1900 * time.Millisecond // after SIGTERM: the longest deadline and 0.7 s
	lateRequest     = 700 * time.Millisecond  // after SIGTERM: from then on a request that SIGKILL finds unanswered is lost
	drainGrace      = 550 * time.Millisecond  // after the change log has told of a drain
	clientGoneGrace = 100 * time.Millisecond  // after a client has gone: nothing of its requests leaves later
)

// endpointKind is the position of an endpoint's kind in the settings, by endpoint.
var endpointKind = []byte{0, 0, 0, 1, 2}

// soakLog is a change log that tells of several endpoints and of their changes.
type soakLog struct {
	addr string

	mu      sync.Mutex
	frames  [][]byte // by sequence number, from 1
	changed chan struct{}
}

// startSoakLog starts a change log with endpoints at these addresses, all ready.
func startSoakLog(t *testing.T, addrs []string) *soakLog {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &soakLog{addr: l.Addr().String(), changed: make(chan struct{})}
	var list []byte
	for i, addr := range addrs {
		list = append(list, d.record(t, i, addr, 0)...)
	}
	d.add(1, list)
	var serving sync.WaitGroup
	t.Cleanup(func() { l.Close(); serving.Wait() })
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { d.serve(c) })
		}
	})
	return d
}

// record encodes an endpoint's record; state 0 is ready, 1 draining.
func (d *soakLog) record(t *testing.T, endpoint int, addr string, state byte) []byte {
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	zone := byte(0)
	if endpointKind[endpoint] == 0 {
		zone = 1
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(endpoint+1))
	b = append(b, at.IP.To4()...)
	b = binary.BigEndian.AppendUint16(b, uint16(at.Port))
	b = append(b, state, zone, endpointKind[endpoint], 0, 0)
	b = binary.BigEndian.AppendUint32(b, 10_000)
	return binary.BigEndian.AppendUint64(b, 0)
}

// add tells of an event. kind 1 is the whole list, 2 are changes.
func (d *soakLog) add(kind byte, payload []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	frame := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	frame = binary.BigEndian.AppendUint64(frame, uint64(len(d.frames)+1))
	d.frames = append(d.frames, append(append(frame, kind), payload...))
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *soakLog) serve(c net.Conn) {
	defer c.Close()
	var held [8]byte
	if _, err := io.ReadFull(c, held[:]); err != nil {
		return
	}
	for next := binary.BigEndian.Uint64(held[:]); ; {
		d.mu.Lock()
		frames, changed := d.frames, d.changed
		d.mu.Unlock()
		for ; next < uint64(len(frames)); next++ {
			if _, err := c.Write(frames[next]); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(300 * time.Millisecond):
			empty := binary.BigEndian.AppendUint64([]byte{0, 0, 0, 9}, next)
			if _, err := c.Write(append(empty, 0)); err != nil {
				return
			}
		}
	}
}

// soak is one seeded run: a gateway of the built program with endpoints that fail in all ways, clients that hold open connections to
// the end, misbehaving ones, and signals.
type soak struct {
	*testing.T
	random    *rand.Rand
	bin, conf string
	memoryMB  int
	addr      string // of the gateway; the same after a restart
	endpoints *fakestore.SlowServer
	log       *soakLog
	program   *program
	started   time.Time
	crowd     string // the kind of misbehaving clients; "": none
	stalls    rigStalls

	mu            sync.Mutex
	terminated    time.Time            // of the last SIGTERM, while that process lives
	processStarts []time.Time          // of each process
	killed        []time.Time          // of each SIGKILL
	gone          map[string]time.Time // when the client of a request left, by the request's ID
	gets          []soakGet
	faults        []string
	counts        map[string]int // answers by status, and other figures for the log
}

// rigStalls records when the test itself got no processor time, by a ticker that comes late: what it sees then, it sees late.
type rigStalls struct {
	mu     sync.Mutex
	stalls []rigStall
}

type rigStall struct{ from, to time.Time }

const (
	rigTick  = 2 * time.Millisecond
	minStall = 10 * time.Millisecond
)

// watch records stalls until the end.
func (r *rigStalls) watch(end <-chan struct{}) {
	for last := time.Now(); !isClosed(end); {
		time.Sleep(rigTick)
		now := time.Now()
		if now.Sub(last) > minStall {
			r.mu.Lock()
			r.stalls = append(r.stalls, rigStall{last, now})
			r.mu.Unlock()
		}
		last = now
	}
}

// within returns for how long the test was stalled between two times.
func (r *rigStalls) within(from, to time.Time) (total time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.stalls {
		if s.to.After(from) && s.from.Before(to) {
			total += s.to.Sub(s.from)
		}
	}
	return total
}

// soakGet is a GET that an endpoint received.
type soakGet struct {
	at       time.Time // by when it had arrived: the endpoints of a busy machine read late
	id       string
	class    string
	address  string
	behavior fakestore.Behavior
}

// newSoak prepares a run.
func newSoak(t *testing.T, bin string, seed uint64) *soak {
	s := &soak{
		T: t, random: rand.New(rand.NewPCG(seed, 52)), bin: bin, memoryMB: 64, started: time.Now(),
		gone: map[string]time.Time{}, counts: map[string]int{},
	}
	if seed%2 == 0 {
		s.memoryMB = 192
	}
	behaviors := rand.New(rand.NewPCG(seed, 53)) // used under the endpoints' lock only
	failing := behaviors.IntN(4) * 8             // percent of the GETs
	var err error
	s.endpoints, err = fakestore.NewSlowServer(len(endpointKind), func(c fakestore.Command, _ int) fakestore.Behavior {
		behavior := fakestore.Succeed
		if behaviors.IntN(100) < failing {
			behavior = fakestore.Behavior(1 + behaviors.IntN(int(fakestore.NoResponse)))
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.gets = append(s.gets, soakGet{c.ArrivedBy, c.ID, c.Fields["lane"], c.Address, behavior})
		return behavior
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.endpoints.Close)
	s.log = startSoakLog(t, s.endpoints.Addrs)
	l, err := net.Listen("tcp", "127.0.0.1:0") // an address that stays the same for all processes of the run
	if err != nil {
		t.Fatal(err)
	}
	s.addr = l.Addr().String()
	l.Close()
	s.conf = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(s.conf, fmt.Appendf(nil, soakConfig, s.memoryMB, s.log.addr), 0o600); err != nil {
		t.Fatal(err)
	}
	if names := slices.Sorted(crowdNames()); seed%3 == 0 {
		s.crowd = names[s.random.IntN(len(names))]
	}
	return s
}

// fault records a fault of the gateway, with the time in the run.
func (s *soak) fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%.3f ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

func (s *soak) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// start starts the gateway's next process.
func (s *soak) start() {
	s.mu.Lock()
	s.processStarts = append(s.processStarts, time.Now())
	s.mu.Unlock()
	env := []string{"NODE_CONFIG=" + s.conf, "NODE_LISTEN=" + s.addr, "NODE_NAME=n1"}
	s.program = launch(s.T, "/bin/sh", env, "-c", "ulimit -n 1024; exec "+s.bin)
}

// signal sends a signal to the process.
func (s *soak) signal(sig syscall.Signal) {
	s.program.cmd.Process.Signal(sig)
}

// terminate ends the process with SIGTERM, and with SIGKILL at the earliest moment that the protocol allows, amid further signals.
func (s *soak) terminate() {
	s.mu.Lock()
	s.terminated = time.Now()
	s.mu.Unlock()
	s.signal(syscall.SIGTERM)
	kill := time.After(earliestKill)
	again := time.NewTicker(time.Duration(100+s.random.IntN(400)) * time.Millisecond)
	defer again.Stop()
	for done := false; !done; {
		select {
		case err := <-s.program.done:
			if done = true; err != nil {
				s.fault("exit after SIGTERM: %v: %s", err, lastLines(s.program.logs()))
			}
			s.count("ended by itself")
		case <-again.C:
			s.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[s.random.IntN(2)])
		case <-kill:
			s.kill()
			done = true
			s.count("killed after SIGTERM")
		}
	}
	s.mu.Lock()
	s.terminated = time.Time{}
	s.mu.Unlock()
}

// kill ends the process with SIGKILL.
func (s *soak) kill() {
	s.checkMemory()
	s.mu.Lock()
	s.killed = append(s.killed, time.Now())
	s.mu.Unlock()
	s.signal(syscall.SIGKILL)
	<-s.program.done
}

// checkMemory checks the process's memory and that it lives.
func (s *soak) checkMemory() {
	peak, err := s.program.statusMB("VmHWM")
	if err != nil {
		select {
		case err := <-s.program.done:
			s.program.done <- err
			s.fault("the process has ended: %v: %s", err, lastLines(s.program.logs()))
		default:
		}
		return
	}
	s.mu.Lock()
	s.counts["peak_mb"] = max(s.counts["peak_mb"], int(peak))
	s.mu.Unlock()
	if peak > float64(s.memoryMB) {
		s.fault("%.0f MB resident, of %d", peak, s.memoryMB)
	}
}

// checkGets checks what the endpoints received.
func (s *soak) checkGets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	ran := map[string]bool{}
	for _, get := range s.gets {
		if left, ok := s.gone[get.id]; ok && get.at.Sub(left) > clientGoneGrace+s.stalls.within(left, get.at) {
			s.faults = append(s.faults, fmt.Sprintf("%s was sent %v after its client had gone", get.id, get.at.Sub(left)))
		}
		if get.class != "ride-end" {
			continue
		}
		if ran[get.id] {
			s.faults = append(s.faults, fmt.Sprintf("%s was sent again, although it may have run", get.id))
		}
		if get.behavior != fakestore.Missing && get.behavior != fakestore.Busy {
			ran[get.id] = true
		}
	}
	for _, get := range s.endpoints.AllDuplicateGets() {
		if !s.readLate(get) {
			s.faults = append(s.faults, fmt.Sprintf("two attempts of %s at once, the second at %s", get.ID, get.Address))
		}
	}
	for _, p := range []string{"panic:", "fatal error:", "DATA RACE"} {
		if strings.Contains(s.program.logs(), p) {
			s.faults = append(s.faults, lastLines(s.program.logs()))
		}
	}
}

// readLate reports whether an attempt at another endpoint than the one before may overlap with that one only because the endpoints, which
// are in the test's own process, read its cancellation late. The gateway waits for 40 ms then (docs/design.md). At the same endpoint
// it waits for the endpoint's word, so that nothing excuses a second attempt there.
func (s *soak) readLate(get fakestore.Command) bool {
	for _, earlier := range s.gets {
		if earlier.id == get.ID && earlier.address == get.Address && earlier.at.Before(get.ArrivedBy) {
			return false
		}
	}
	const window = time.Second // no attempt is canceled longer before the next one
	return s.stalls.within(get.ArrivedBy.Add(-window), get.ArrivedBy.Add(window)) > 0
}
