package front

import (
	"io"
	"net"

	"golang.org/x/sys/unix"
	"turnfork.dev/turnfork/clock"
)

// maxReadGap is the time in ms between two reads above which the bytes received in between count as a backlog.
const maxReadGap = 5.0

// arrivals determines when the bytes that a reader reads from a connection arrived at this machine. A request may have waited
// in the accept queue, for a slot or unread in the socket; without the time of that wait it would be given more time than its
// client has left. Only the reader's goroutine may use it. Without access to the descriptor, bytes count as having arrived
// when they are read.
type arrivals struct {
	conn          net.Conn
	clock         *clock.Clock
	stalls        *stalls
	readStartedAt float64 // start of the current read
	checkedAt     float64 // end of the last read, or time of the accept
	segments      uint32  // segments with data that had arrived at the last read that returned bytes
	backlog       int     // bytes still to be read that arrived between two reads
	backlogSince  float64 // earliest time at which the backlog may have arrived
	arrivedAt     float64 // latest time at which the bytes of the last read may have arrived
}

// setAcceptedAt sets the time of the accept. It is called before the first read.
func (a *arrivals) setAcceptedAt(at float64) { a.checkedAt, a.arrivedAt = at, at }

// beforeRead records the bytes that have arrived since the last read. The kernel reports only the time of the last segment:
// it is that of all bytes if there is a single segment; of several, the first may have arrived at any time since the last read.
func (a *arrivals) beforeRead() {
	now := a.clock.Now()
	a.readStartedAt = now
	if a.backlog > 0 || now-a.checkedAt <= maxReadGap {
		return
	}
	if a.backlog = unreadBytes(a.conn); a.backlog == 0 {
		return
	}
	a.backlogSince = a.checkedAt
	if age, segments := lastDataReceived(a.conn); segments == a.segments+1 {
		a.backlogSince = now - age
	}
}

// afterRead records when the n bytes that were just read arrived.
func (a *arrivals) afterRead(n int) {
	a.checkedAt = a.clock.Now()
	if n <= 0 {
		return
	}
	age, segments := lastDataReceived(a.conn)
	a.arrivedAt = a.checkedAt - age
	if from, stalled := a.stalls.during(a.readStartedAt, a.checkedAt); stalled && segments > a.segments+1 {
		a.arrivedAt = min(a.arrivedAt, from)
	}
	a.segments = segments
	if a.backlog > 0 {
		a.arrivedAt = min(a.arrivedAt, a.backlogSince)
		a.backlog = max(0, a.backlog-n)
	}
}

// lastDataReceived returns how many ms ago data last arrived on a connection, by the kernel's monotonic clock, and how many
// segments with data have arrived on it. Both are zero if the connection does not provide them.
func lastDataReceived(c net.Conn) (age float64, segments uint32) {
	withDescriptor(c, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age, segments = float64(info.Last_data_recv), info.Data_segs_in
		}
	})
	return age, segments
}

// unreadBytes returns the number of bytes in the socket's receive buffer, or 0 if the connection does not provide it.
func unreadBytes(c net.Conn) (n int) {
	withDescriptor(c, func(fd int) {
		if waiting, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			n = waiting
		}
	})
	return n
}

// timedReader records when the bytes that are read from it arrived.
type timedReader struct {
	arrivals *arrivals
	r        io.Reader
}

func (t timedReader) Read(b []byte) (int, error) {
	t.arrivals.beforeRead()
	n, err := t.r.Read(b)
	t.arrivals.afterRead(n)
	return n, err
}

// timed wraps the connection's reader to record when its bytes arrived.
func (a *arrivals) timed(r io.Reader) io.Reader { return timedReader{a, r} }

// ArrivedAt returns when the bytes that were last read through CountReads arrived at this machine, or the time of the accept if
// none were read. Only the reader's goroutine may call it.
func (s *Conn) ArrivedAt() float64 { return s.arrivals.arrivedAt }
