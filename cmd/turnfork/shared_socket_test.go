package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// sharedSocket is a listening socket that the processes of a gateway inherit, with their configuration and their folder.
type sharedSocket struct {
	t         *testing.T
	bin, addr string
	dir, conf string
	socket    *os.File
}

// newSharedSocket opens a socket for a gateway with one cache. Each change replaces a text of platformConfig by another one.
func newSharedSocket(t *testing.T, bin, endpoint string, changes ...[2]string) *sharedSocket {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	text := fmt.Sprintf(platformConfig, "")
	changes = append(changes, [2]string{`"results":[]`, fmt.Sprintf(`"results":[{"seq":1,"fleet":{"full":true,"servers":[
{"id":"s-00000007","addr":%q,"zone":"edge","kind":"box","state":"Ready","weight":10}]}}]`, endpoint)})
	for _, change := range changes {
		if !strings.Contains(text, change[0]) {
			t.Fatalf("platformConfig lacks %s", change[0])
		}
		text = strings.Replace(text, change[0], change[1], 1)
	}
	dir := t.TempDir()
	conf := filepath.Join(dir, "config.json")
	if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return &sharedSocket{t: t, bin: bin, addr: l.Addr().String(), dir: dir, conf: conf, socket: inheritableSocket(t, l)}
}

// inheritableSocket returns a listener's socket for processes to inherit. Passing a file to a process makes it blocking if it was not when
// the file was created; the mode is that of all processes, and one that is in accept then can't close the socket. So the file is
// created while the socket is blocking, and passing it changes nothing.
func inheritableSocket(t *testing.T, l net.Listener) *os.File {
	t.Helper()
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd, err := syscall.Dup(int(file.Fd())) // Fd makes it blocking
	if err != nil {
		t.Fatal(err)
	}
	socket := os.NewFile(uintptr(fd), "listener")
	t.Cleanup(func() { socket.Close() })
	return socket
}

// start starts a process.
func (s *sharedSocket) start() *program {
	s.t.Helper()
	env := []string{"NODE_CONFIG=" + s.conf, "NODE_CONSOLE=127.0.0.1:0", "NODE_SOCKET_FD=3", "TMPDIR=" + s.dir}
	return launchWith(s.t, s.bin, env, []*os.File{s.socket})
}
