package fastcgi

import (
	"net"
	"path/filepath"
	"testing"
)

// If the descriptor of a connection cannot be sent to the new process, the connection stays at the old one, where its open
// requests and new ones are answered.
func TestFailedDescriptorSendLosesNoRequest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	u, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	tried := make(chan struct{}, 1)
	successor := func() (*net.UnixConn, error) {
		defer func() { // the handover is retried later
			select {
			case tried <- struct{}{}:
			default:
			}
		}()
		to, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			return nil, err
		}
		from, err := u.AcceptUnix()
		if err != nil {
			return nil, err
		}
		return to, from.Close() // sendmsg fails with EPIPE
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	gate, received := make(chan struct{}), make(chan string, 4)
	f := gatedFrontend("a", received, gate)
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); f.Handle(far) }()
	client := newClient(near)
	near.Write(append(beginRecord(1), paramsAndStdin(1, "/v1/firmware", "1")...))
	<-received
	f.HandOver(successor)
	<-tried
	near.Write(append(beginRecord(2), paramsAndStdin(2, "/v1/firmware", "2")...))
	select {
	case <-received:
	case <-client.done:
		t.Fatal("the connection was closed with an open request")
	}
	close(gate)
	for id := uint16(1); id <= 2; id++ {
		if e := client.wait(t, id); e.endCount != 1 {
			t.Errorf("request %d ended %d times", id, e.endCount)
		}
	}
	near.Close()
	<-ended
}
