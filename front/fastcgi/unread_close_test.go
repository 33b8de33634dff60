package fastcgi

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"turnfork.dev/turnfork/core"
)

// pausedConn is a connection whose reads a test pauses, and which counts the bytes that are read after that.
type pausedConn struct {
	*net.TCPConn
	resume chan struct{} // closed by the test
	paused atomic.Bool
	read   atomic.Int64
}

func (c *pausedConn) Read(b []byte) (int, error) {
	paused := c.paused.Load()
	if paused {
		<-c.resume
	}
	n, err := c.TCPConn.Read(b)
	if paused {
		c.read.Add(int64(n))
	}
	return n, err
}

// Guards against a client that closes its connection with much still unread: its open requests were canceled only once all of that
// had been read, and were sent on meanwhile. It does not matter whether the unread bytes are requests, parts of one or garbage.
func TestCloseBehindUnreadBytesCancelsOpenRequests(t *testing.T) {
	const unread = 12 * readBufferSize // fits in the socket's receive buffer
	more := append(beginRecord(2), paramsAndStdin(2, "/v1/firmware", "2")...)
	for name, behind := range map[string][]byte{
		"requests":         bytes.Repeat(append(more, appendRecord(nil, typeAbort, 2, nil)...), unread/len(more)),
		"part of a body":   append(beginRecord(2), bytes.Repeat(appendRecord(nil, typeStdin, 2, make([]byte, 20000)), 2)...),
		"ignored records":  bytes.Repeat(appendRecord(nil, typeStdin, 9, make([]byte, 1000)), unread/1000),
		"unsound requests": bytes.Repeat(appendRecord(nil, typeBegin, 2, []byte{0, 9, 1, 0, 0, 0, 0, 0}), unread/16),
	} {
		t.Run(name, func(t *testing.T) {
			requests := make(chan core.Request, 1)
			f := newTestFrontend(func(ev core.Event) {
				if a, ok := ev.(core.Request); ok && a.Txn == "1" {
					requests <- a
				}
			})
			near, tcp := tcpPair(t)
			far := &pausedConn{TCPConn: tcp, resume: make(chan struct{})}
			resume := sync.OnceFunc(func() { close(far.resume) })
			t.Cleanup(resume)
			var serving sync.WaitGroup
			serving.Go(func() { f.Handle(far) })
			near.Write(append(beginRecord(1), paramsAndStdin(1, "/v1/firmware", "1")...))
			open := <-requests
			far.paused.Store(true)
			near.Write(appendRecord(nil, typeData, 1, nil)) // ends the read that waits
			near.Write(behind)
			near.Close()
			waitForArrival(t, tcp, 0, true)
			resume()
			const maxRead = 2 * readBufferSize
			for limit := time.Now().Add(20 * time.Second); !open.Canceled.Load(); {
				if time.Now().After(limit) {
					t.Fatal("the request was not canceled")
				}
			}
			if n := far.read.Load(); n > maxRead {
				t.Errorf("canceled after %d of %d bytes were read", n, len(behind))
			}
			serving.Wait()
		})
	}
}
