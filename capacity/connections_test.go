package capacity_test

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/front/fastcgi"
	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/token/ring"
	"turnfork.dev/turnfork/upstream/resp"
)

// unreadListener accepts connections, never reads from them and keeps them open. Each takes a descriptor and about 0.5 KB.
type unreadListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func listenUnread(b *testing.B) *unreadListener {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &unreadListener{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *unreadListener) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *unreadListener) close() {
	s.Listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// openDescriptors returns the number of this process's open file descriptors.
func openDescriptors(b *testing.B) int {
	b.Helper()
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		b.Fatal(err)
	}
	return len(open)
}

// waitForCount waits until a count is reached, for 10 s at most.
func waitForCount(b *testing.B, want int, count func() int) {
	b.Helper()
	for end := time.Now().Add(10 * time.Second); count() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.Fatalf("count is %d after 10 s, want %d", count(), want)
		}
	}
}

// BenchmarkStoreConnection measures the memory and file descriptors of a gateway's connection to an endpoint, on the gateway's
// side. The memory of the endpoint's side is measured first, with plain connections that no code reads or writes, and is
// subtracted.
func BenchmarkStoreConnection(b *testing.B) {
	for _, endpoints := range []int{50, 100, 200, 390} {
		b.Run(fmt.Sprintf("connections=%d", endpoints), func(b *testing.B) {
			for b.Loop() {
				bare := measureBareConnections(b, endpoints)
				s := listenUnread(b)
				pool := resp.New(resp.Options{
					DialTimeout: 5000, HealthCheckTimeout: 60000, MaxAttemptsPerConn: 100, MaxConns: 400, Clock: clock.System(), Log: zerolog.Nop(),
				}, func(core.Event) {})
				list := core.EndpointList{Snapshot: true}
				for i := range endpoints {
					list.Endpoints = append(list.Endpoints, core.Endpoint{Addr: s.Addr().String(), Info: control.Endpoint{
						ID: control.EndpointID(i + 1), State: control.Ready, Weight: endpointWeight}})
				}
				pool.UpdateEndpoints(list)
				memory, open := memoryInUse(), openDescriptors(b)
				for _, e := range list.Endpoints {
					pool.CheckHealth(uint32(e.Info.ID))
				}
				waitForCount(b, endpoints, s.count)
				time.Sleep(100 * time.Millisecond) // until the goroutines of all connections have started
				reportWithoutTime(b, (float64(memoryInUse()-memory)-bare/2)/float64(endpoints), "B/connection")
				b.ReportMetric(float64(openDescriptors(b)-open)/float64(endpoints)-1, "descriptors/connection")
				pool.Close()
				s.close()
			}
		})
	}
}

// measureBareConnections returns the memory of both sides of connections that no code reads or writes.
func measureBareConnections(b *testing.B, connections int) float64 {
	s := listenUnread(b)
	defer s.close()
	before := memoryInUse()
	var dialled []net.Conn
	for range connections {
		c, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		dialled = append(dialled, c)
	}
	waitForCount(b, connections, s.count)
	used := memoryInUse() - before
	for _, c := range dialled {
		c.Close()
	}
	return float64(used)
}

// BenchmarkClientConnection measures the memory of an idle client connection to a frontend, on the gateway's side.
func BenchmarkClientConnection(b *testing.B) {
	frontends := map[string]func() func(net.Conn){
		"fastcgi": func() func(net.Conn) {
			return fastcgi.New(fastcgi.Options{Post: func(core.Event) {}, Clock: clock.System(), Log: zerolog.Nop(), MaxConns: 600}).Handle
		},
		"signed": func() func(net.Conn) {
			keys, err := ring.New(nil)
			if err != nil {
				b.Fatal(err)
			}
			return signed.New(signed.Options{Post: func(core.Event) {}, Clock: clock.System(), Log: zerolog.Nop(), MaxConns: 600, Ring: keys}).Handle
		},
	}
	for name, open := range frontends {
		for _, connections := range []int{100, 200, 580} {
			b.Run(fmt.Sprintf("%s/connections=%d", name, connections), func(b *testing.B) {
				for b.Loop() {
					reportWithoutTime(b, measureClientConnections(b, open(), connections), "B/connection")
				}
			})
		}
	}
}

// measureClientConnections returns the memory of a frontend's side of an idle connection.
func measureClientConnections(b *testing.B, handle func(net.Conn), connections int) float64 {
	bare := measureBareConnections(b, connections)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	before := memoryInUse()
	var serving sync.WaitGroup
	var dialled []net.Conn
	for range connections {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		accepted, err := l.Accept()
		if err != nil {
			b.Fatal(err)
		}
		dialled = append(dialled, c)
		serving.Go(func() { handle(accepted) })
	}
	time.Sleep(100 * time.Millisecond) // until the goroutines of all connections have started
	used := memoryInUse() - before
	for _, c := range dialled {
		c.Close()
	}
	serving.Wait()
	return (float64(used) - bare/2) / float64(connections)
}

// BenchmarkPoolUpdate measures how long the connection pool takes to apply a complete list of endpoints, and a change of one
// entry.
func BenchmarkPoolUpdate(b *testing.B) {
	for _, endpoints := range endpointCounts {
		for _, whole := range []bool{true, false} {
			b.Run(fmt.Sprintf("stores=%d/whole=%v", endpoints, whole), func(b *testing.B) {
				pool := resp.New(resp.Options{DialTimeout: 400, HealthCheckTimeout: 240, MaxAttemptsPerConn: 100, MaxConns: 400, Clock: clock.System(),
					Log: zerolog.Nop()}, func(core.Event) {})
				defer pool.Close()
				list := core.EndpointList{Snapshot: true, Endpoints: endpointList(endpoints)}
				pool.UpdateEndpoints(list)
				if !whole {
					list = core.EndpointList{Endpoints: list.Endpoints[endpoints/2 : endpoints/2+1]}
				}
				for b.Loop() {
					pool.UpdateEndpoints(list)
				}
			})
		}
	}
}
