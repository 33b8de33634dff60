package capacity_test

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/claims"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/internal/fakestore"
	"turnfork.dev/turnfork/replica"
)

// voterCounts are sizes of the group of voters: the current one, the planned one, and larger ones.
var voterCounts = []int{3, 5, 9, 15, 25}

const stepTimeout = 20 * time.Second

// traffic counts the bytes of links in both directions, without the headers of TCP and IP.
type traffic struct{ bytes, connections atomic.Int64 }

// countingListener counts its connections and their bytes.
type countingListener struct {
	net.Listener
	traffic *traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.traffic.connections.Add(1)
	return countingConn{c, l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// group is a group of voters in this process, connected over loopback, with their logs on disk.
type group struct {
	tb          testing.TB
	members     []replica.Member
	dirs        []string
	certificate func() (*tls.Config, error)
	stores      []*replica.Store
	ownLease    bool
	traffic     traffic
}

func newGroup(tb testing.TB, voters int) *group { return newGroupWithLease(tb, voters, false) }

// newGroupWithLease starts a group. ownLease determines whether its members keep a lease on their own state.
func newGroupWithLease(tb testing.TB, voters int, ownLease bool) *group {
	tb.Helper()
	g := &group{tb: tb, stores: make([]*replica.Store, voters), ownLease: ownLease}
	var err error
	if g.certificate, err = fakestore.NewAuthority(); err != nil {
		tb.Fatal(err)
	}
	var listeners []net.Listener
	for i := range voters {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, l)
		g.members = append(g.members, replica.Member{ID: fmt.Sprintf("voter-%d", i), Addr: l.Addr().String()})
		g.dirs = append(g.dirs, tb.TempDir())
	}
	for i := range voters {
		g.open(i, listeners[i])
	}
	tb.Cleanup(func() {
		var closing sync.WaitGroup
		for _, s := range g.stores {
			closing.Go(func() { s.Close() })
		}
		closing.Wait()
	})
	return g
}

// open starts a voter. Without a listener it listens on its previous address.
func (g *group) open(i int, l net.Listener) {
	g.tb.Helper()
	conf, err := g.certificate()
	if err == nil && l == nil {
		l, err = net.Listen("tcp", g.members[i].Addr)
	}
	if err != nil {
		g.tb.Fatal(err)
	}
	g.stores[i], err = replica.Open(replica.Options{
		ID: g.members[i].ID, Members: g.members, Listener: countingListener{l, &g.traffic}, TLS: conf, Dir: g.dirs[i],
		Clock: clock.System(), Log: zerolog.Nop(), OwnLease: g.ownLease,
	})
	if err != nil {
		g.tb.Fatal(err)
	}
}

// leader waits until a voter other than the excluded one (-1: none) is the leader, and returns its index.
func (g *group) leader(excluded int) int {
	for {
		for i, s := range g.stores {
			if i != excluded && s.Leads() {
				return i
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// useToken records the complete use of a single-use token in its three steps (hold, send, finish), each a log entry.
func useToken(s *replica.Store) error {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	name, owner := "url-1/"+rand.Text(), rand.Text()
	until := float64(time.Now().UnixMilli()) + 70000
	for _, step := range []claims.Step{
		{Op: claims.Hold, Owner: owner, Until: until}, {Op: claims.Send, Owner: owner},
		{Op: claims.Finish, Owner: owner, To: claims.Ran, Outcome: "served 64 bytes"},
	} {
		if _, ok, err := s.Step(ctx, name, step); err != nil || !ok {
			return fmt.Errorf("%s: %v, %w", step.Op, ok, err)
		}
	}
	return nil
}

// BenchmarkVoters measures groups of voters: uses of tokens at the leader, uses at a follower that are forwarded to the leader,
// and an idle group. Processor times are the sum over the group.
func BenchmarkVoters(b *testing.B) {
	for _, voters := range voterCounts {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			g := newGroup(b, voters)
			leader := g.leader(-1)
			b.Run("idle", func(b *testing.B) { g.measureIdle(b) })
			b.Run("leader", func(b *testing.B) { g.measureUses(b, leader, 8) })
			b.Run("forwarded", func(b *testing.B) { g.measureUses(b, (leader+1)%voters, 2) })
		})
	}
}

// BenchmarkOwnLease measures the processor time and traffic of an idle group of five, with and without leases on their own
// state.
func BenchmarkOwnLease(b *testing.B) {
	for _, ownLease := range []bool{false, true} {
		b.Run(fmt.Sprintf("lease=%v", ownLease), func(b *testing.B) {
			g := newGroupWithLease(b, 5, ownLease)
			g.leader(-1)
			g.measureIdle(b)
		})
	}
}

func (g *group) measureIdle(b *testing.B) {
	const seconds = 3
	for b.Loop() {
		time.Sleep(time.Second) // until the work before has ended
		used, bytes := processorTime(b), g.traffic.bytes.Load()
		time.Sleep(seconds * time.Second)
		voters := float64(len(g.stores))
		reportWithoutTime(b, 100*(processorTime(b)-used).Seconds()/seconds/voters, "%core/voter")
		b.ReportMetric(float64(g.traffic.bytes.Load()-bytes)/seconds/(voters-1), "B/s/follower")
	}
}

// measureUses measures uses of tokens at one voter, made by parallelism goroutines per processor.
func (g *group) measureUses(b *testing.B, voter, parallelism int) {
	used, bytes, connections := processorTime(b), g.traffic.bytes.Load(), g.traffic.connections.Load()
	b.SetParallelism(parallelism)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := useToken(g.stores[voter]); err != nil {
				b.Error(err)
				return
			}
		}
	})
	n := float64(b.N)
	b.ReportMetric(n/b.Elapsed().Seconds(), "uses/s")
	b.ReportMetric((processorTime(b)-used).Seconds()*1000/n, "processor-ms/use")
	b.ReportMetric(float64(g.traffic.bytes.Load()-bytes)/n, "link-B/use")
	b.ReportMetric(float64(g.traffic.connections.Load()-connections)/n, "connections/use")
}

// BenchmarkLeaderLoss measures the time without a leader after the leader of a group of five is stopped.
func BenchmarkLeaderLoss(b *testing.B) {
	g := newGroup(b, 5)
	var total, longest time.Duration
	runs := 0
	for b.Loop() {
		leader := g.leader(-1)
		begun := time.Now()
		if err := g.stores[leader].Close(); err != nil {
			b.Fatal(err)
		}
		g.leader(leader)
		leaderless := time.Since(begun)
		total, longest = total+leaderless, max(longest, leaderless)
		runs++
		g.open(leader, nil)
		time.Sleep(time.Second)
	}
	reportWithoutTime(b, total.Seconds()/float64(runs), "s-mean")
	b.ReportMetric(longest.Seconds(), "s-longest")
}

// BenchmarkStoredUses measures the cost of stored uses for a voter: memory, size and duration of a snapshot, and the time of a
// restart from it.
func BenchmarkStoredUses(b *testing.B) {
	for _, uses := range []int{5000, 20000, 50000} {
		b.Run(fmt.Sprintf("uses=%d", uses), func(b *testing.B) {
			for b.Loop() {
				measureStoredUses(b, uses)
			}
		})
	}
}

// usesPerSnapshot is the approximate number of uses, of three entries each, between two snapshots.
const usesPerSnapshot = 4096 / 3

func measureStoredUses(b *testing.B, uses int) {
	g := newGroup(b, 1)
	g.leader(-1)
	g.useTokens(b, 1)
	before := memoryInUse()
	g.useTokens(b, uses)
	log := fileSize(b, filepath.Join(g.dirs[0], "raft.db"))
	// A voter takes a snapshot every 4,096 entries. The first one here takes longer, as it truncates the complete log.
	if err := g.stores[0].Snapshot(); err != nil {
		b.Fatal(err)
	}
	g.useTokens(b, usesPerSnapshot)
	taken, longest := g.snapshotUnderUse(b)
	memory := memoryInUse() - before
	begun := time.Now()
	if err := g.stores[0].Close(); err != nil {
		b.Fatal(err)
	}
	g.open(0, nil)
	started := time.Since(begun)
	runtime.KeepAlive(g)
	reportWithoutTime(b, float64(memory)/float64(uses), "B-memory/use")
	b.ReportMetric(float64(snapshotSize(b, g.dirs[0]))/float64(uses), "B-snapshot/use")
	b.ReportMetric(taken.Seconds()*1000, "ms-snapshot")
	b.ReportMetric(longest.Seconds()*1000, "ms-longest-use")
	b.ReportMetric(started.Seconds()*1000, "ms-restart")
	b.ReportMetric(float64(log)/1e6, "MB-log")
}

// snapshotUnderUse takes a snapshot during sequential uses of tokens, and returns its duration and that of the longest use.
func (g *group) snapshotUnderUse(b *testing.B) (taken, longest time.Duration) {
	var done atomic.Bool
	var using sync.WaitGroup
	using.Go(func() {
		for !done.Load() {
			begun := time.Now()
			if err := useToken(g.stores[0]); err != nil {
				b.Error(err)
				return
			}
			longest = max(longest, time.Since(begun))
		}
	})
	time.Sleep(100 * time.Millisecond)
	begun := time.Now()
	if err := g.stores[0].Snapshot(); err != nil {
		b.Error(err)
	}
	taken = time.Since(begun)
	done.Store(true)
	using.Wait()
	return taken, longest
}

// useTokens makes a number of uses of tokens concurrently.
func (g *group) useTokens(b *testing.B, uses int) {
	const goroutines = 256
	var remaining atomic.Int64
	remaining.Store(int64(uses))
	var making sync.WaitGroup
	for range goroutines {
		making.Go(func() {
			for remaining.Add(-1) >= 0 {
				if err := useToken(g.stores[0]); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	making.Wait()
}

func fileSize(b *testing.B, path string) int64 {
	b.Helper()
	info, err := os.Stat(path)
	if err != nil {
		b.Fatal(err)
	}
	return info.Size()
}

// snapshotSize returns the size of the largest of a voter's snapshots.
func snapshotSize(b *testing.B, folder string) (size int64) {
	b.Helper()
	states, err := filepath.Glob(filepath.Join(folder, "snapshots", "*", "state.bin"))
	if err != nil || len(states) == 0 {
		b.Fatal("no snapshot:", err)
	}
	for _, path := range states {
		size = max(size, fileSize(b, path))
	}
	return size
}

// BenchmarkLogEntry measures the size of an entry of the log on disk, before the log is first truncated.
func BenchmarkLogEntry(b *testing.B) {
	const uses, entriesPerUse = 1000, 3
	for b.Loop() {
		g := newGroup(b, 1)
		g.leader(-1)
		path := filepath.Join(g.dirs[0], "raft.db")
		before := fileSize(b, path)
		g.useTokens(b, uses)
		reportWithoutTime(b, float64(fileSize(b, path)-before)/uses/entriesPerUse, "B-disk/entry")
	}
}

// tlsPair returns both ends of a mutual TLS connection over loopback, like the links between voters.
func tlsPair(b *testing.B, l net.Listener, server, client *tls.Config) (accepted, dialled *tls.Conn) {
	b.Helper()
	done := make(chan *tls.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			done <- nil
			return
		}
		s := tls.Server(c, server)
		if s.Handshake() != nil {
			s = nil
		}
		done <- s
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		b.Fatal(err)
	}
	if accepted = <-done; accepted == nil {
		b.Fatal("TLS handshake failed")
	}
	return accepted, c
}

// listenTLS returns a listener and the TLS configurations of both sides, as package replica sets them.
func listenTLS(b *testing.B) (l net.Listener, server, client *tls.Config) {
	b.Helper()
	certificate, err := fakestore.NewAuthority()
	if err == nil {
		server, err = certificate()
	}
	if err == nil {
		client, err = certificate()
	}
	if err == nil {
		l, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	server.ClientAuth, server.MinVersion = tls.RequireAndVerifyClientCert, tls.VersionTLS13
	return l, server, client
}

// BenchmarkHandshake measures the processor time of a mutual TLS handshake, as the sum of both sides.
func BenchmarkHandshake(b *testing.B) {
	l, server, client := listenTLS(b)
	used := processorTime(b)
	b.ResetTimer()
	for range b.N {
		accepted, dialled := tlsPair(b, l, server, client)
		accepted.Close()
		dialled.Close()
	}
	b.ReportMetric((processorTime(b)-used).Seconds()*1e6/float64(b.N), "processor-us")
}

// BenchmarkLinkMemory measures the memory of one side of a mutual TLS link, without goroutines and buffers of the code that
// uses it.
func BenchmarkLinkMemory(b *testing.B) {
	const links = 200
	l, server, client := listenTLS(b)
	for b.Loop() {
		before := memoryInUse()
		var open []*tls.Conn
		for range links {
			accepted, dialled := tlsPair(b, l, server, client)
			open = append(open, accepted, dialled)
		}
		reportWithoutTime(b, float64(memoryInUse()-before)/links/2, "B/side")
		for _, c := range open {
			c.Close()
		}
	}
}

// BenchmarkLinkWrite measures the processor time of writing a block to a link and reading it at the other end, with one link
// and with many in turn, as for a voter that serves many subscribers.
func BenchmarkLinkWrite(b *testing.B) {
	for _, size := range []int{100, 1200, 16000} {
		for _, links := range []int{1, 100} {
			b.Run(fmt.Sprintf("bytes=%d/links=%d", size, links), func(b *testing.B) {
				l, server, client := listenTLS(b)
				var from, to []*tls.Conn
				for range links {
					accepted, dialled := tlsPair(b, l, server, client)
					from, to = append(from, accepted), append(to, dialled)
				}
				block, buffer := make([]byte, size), make([]byte, size)
				used := processorTime(b)
				b.ResetTimer()
				for i := range b.N {
					if _, err := from[i%links].Write(block); err != nil {
						b.Fatal(err)
					}
					for read := 0; read < size; {
						n, err := to[i%links].Read(buffer)
						if err != nil {
							b.Fatal(err)
						}
						read += n
					}
				}
				b.ReportMetric((processorTime(b)-used).Seconds()*1e6/float64(b.N), "processor-us")
				for i := range links {
					from[i].Close()
					to[i].Close()
				}
			})
		}
	}
}
