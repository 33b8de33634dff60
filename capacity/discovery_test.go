package capacity_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/capacity"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/discovery"
	"turnfork.dev/turnfork/distribution"
)

// Kinds of discovery frames.
const (
	kindSnapshot    = 1
	kindPurgeObject = 3
)

// encodeFrame encodes a discovery frame.
func encodeFrame(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = binary.BigEndian.AppendUint64(b, number)
	return append(append(b, kind), payload...)
}

// encodePurgeFrame encodes a frame that purges an object.
func encodePurgeFrame(number uint64) []byte {
	payload := binary.BigEndian.AppendUint64(nil, 0x7f3a9c21e0b4d655+number)
	return encodeFrame(number, kindPurgeObject, binary.BigEndian.AppendUint64(payload, uint64(startTimeMs)+number))
}

// encodeListFrame encodes a frame with a complete list of endpoints.
func encodeListFrame(endpoints int) []byte {
	var payload []byte
	for i := range endpoints {
		record := make([]byte, 27)
		binary.BigEndian.PutUint32(record, uint32(i+1))
		copy(record[4:], []byte{127, 0, 0, 1})
		binary.BigEndian.PutUint16(record[8:], uint16(10000+i))
		record[11] = byte(i % capacity.Planned.Zones)
		binary.BigEndian.PutUint32(record[15:], endpointWeight*1000)
		payload = append(payload, record...)
	}
	return encodeFrame(1, kindSnapshot, payload)
}

// BenchmarkReadFrame measures reading a discovery frame, and reports the frame's size.
func BenchmarkReadFrame(b *testing.B) {
	frames := map[string][]byte{"purge": encodePurgeFrame(1)}
	for _, endpoints := range endpointCounts {
		frames[fmt.Sprintf("stores=%d", endpoints)] = encodeListFrame(endpoints)
	}
	for name, f := range frames {
		b.Run(name, func(b *testing.B) {
			b.ReportMetric(float64(len(f)), "B/frame")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := discovery.ReadFrame(bytes.NewReader(f)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Sizes of the headers of a TCP segment with timestamps, in bytes.
const (
	segmentHeaders  = 20 + 32         // IPv4, TCP
	ethernetHeaders = 14 + 4 + 8 + 12 // header, checksum, preamble, interframe gap
)

// BenchmarkPurgesOnTheWire sends purges at the planned rate over loopback to a gateway's discovery client, and counts the
// segments in both directions by the kernel's statistics.
func BenchmarkPurgesOnTheWire(b *testing.B) {
	const seconds = 5
	for _, delay := range []time.Duration{0, 250 * time.Millisecond} {
		b.Run(fmt.Sprintf("batch=%v", delay), func(b *testing.B) {
			var out, in, payload int
			for b.Loop() {
				out, in, payload = sendPurges(b, int(seconds*capacity.Planned.PurgesPerSecond), delay)
			}
			headers := func(segments int) float64 { return float64(segments * segmentHeaders) }
			reportWithoutTime(b, float64(payload)/seconds, "payload-B/s")
			b.ReportMetric(float64(out)/seconds, "segments-out/s")
			b.ReportMetric(float64(in)/seconds, "segments-back/s")
			b.ReportMetric((float64(payload)+headers(out+in))/seconds, "IP-B/s")
			b.ReportMetric((float64(payload)+headers(out+in)+float64((out+in)*ethernetHeaders))/seconds, "ethernet-B/s")
		})
	}
}

// sendPurges sends purges at a constant rate, one by one or in batches, and counts segments and bytes.
func sendPurges(b *testing.B, purges int, delay time.Duration) (out, in, payload int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	watcher := &discovery.Watcher{Addr: l.Addr().String(), Post: func(core.Event) {}, Log: zerolog.Nop()}
	go watcher.Run(ctx)
	conn, err := l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 8)); err != nil {
		b.Fatal(err)
	}
	outBefore, inBefore := segments(b, conn)
	gap := time.Duration(float64(time.Second) / capacity.Planned.PurgesPerSecond)
	var batch []byte
	begun := time.Now()
	for i := range purges {
		time.Sleep(time.Until(begun.Add(time.Duration(i+1) * gap)))
		if batch = append(batch, encodePurgeFrame(uint64(i+1))...); time.Duration(len(batch)/29)*gap < delay {
			continue
		}
		n, err := conn.Write(batch)
		if err != nil {
			b.Fatal(err)
		}
		payload, batch = payload+n, batch[:0]
	}
	time.Sleep(50 * time.Millisecond) // for the last acknowledgement
	outAfter, inAfter := segments(b, conn)
	return outAfter - outBefore, inAfter - inBefore, payload
}

// segments returns the number of segments that a connection has sent and received so far, from the kernel's tcp_info.
func segments(b *testing.B, conn net.Conn) (out, in int) {
	b.Helper()
	const outAt, inAt = 136, 140
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		b.Fatal(err)
	}
	var info [256]byte
	size := uint32(len(info))
	var failed syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, failed = syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	})
	if err != nil || failed != 0 || size < inAt+4 {
		b.Fatal("tcp_info:", err, failed, size)
	}
	return int(binary.NativeEndian.Uint32(info[outAt:])), int(binary.NativeEndian.Uint32(info[inAt:]))
}

// BenchmarkBatchSize reports the encoded size of a batch of purges of package distribution, and measures the encoding. A voter
// encodes a batch once for all its subscribers.
func BenchmarkBatchSize(b *testing.B) {
	for _, purges := range []int{1, 12, 46, 460} {
		b.Run(fmt.Sprintf("purges=%d", purges), func(b *testing.B) {
			batch := purgeBatch(purges)
			size := 0
			for b.Loop() {
				text, err := json.Marshal(batch)
				if err != nil {
					b.Fatal(err)
				}
				size = len(text)
			}
			b.ReportMetric(float64(size), "B/batch")
			b.ReportMetric(float64(size)/float64(purges), "B/purge")
		})
	}
}

// purgeBatch returns a batch of purges whose revisions and times have as many digits as in operation.
func purgeBatch(purges int) *distribution.Batch {
	const revision, term = 123456789, 41
	batch := &distribution.Batch{After: distribution.Position{Revision: revision, Term: term}}
	for i := range purges {
		batch.Changes = append(batch.Changes, distribution.Change{
			Position: distribution.Position{Revision: revision + distribution.Revision(i) + 1, Term: term}, Kind: distribution.KindPurge,
			Object: 0x7f3a9c21e0b4d655 + uint64(i), At: 1790000000000 + int64(i),
		})
	}
	return batch
}

// BenchmarkNodeConfig reports the size of the configuration that a gateway reads when it starts, by the length of its list of
// endpoints.
func BenchmarkNodeConfig(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("stores=%d", endpoints), func(b *testing.B) {
			path := writeNodeConfig(b, endpoints)
			info, err := os.Stat(path)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := os.ReadFile(filepath.Clean(path)); err != nil {
					b.Fatal(err)
				}
			}
			reportWithoutTime(b, float64(info.Size())/float64(endpoints), "B/store")
		})
	}
}
