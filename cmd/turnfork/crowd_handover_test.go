package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against an upgrade that exceeds the memory limit: both processes hold parts of the requests of a crowd while its
// connections are handed over.
func TestHandoverOfCrowdStaysWithinMemoryLimit(t *testing.T) {
	const clients, sockets = 500, 1024
	bin := build(t)
	store := startLargeObjects(t)
	for _, memoryMB := range []int{64, 192} {
		for _, name := range []string{"record without its last byte", "half of a write, in small records, on each of 32 requests", "large responses left unread"} {
			t.Run(fmt.Sprintf("%d MB, %s", memoryMB, name), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				socket, err := l.(*net.TCPListener).File()
				if err != nil {
					t.Fatal(err)
				}
				defer socket.Close()
				dir := t.TempDir()
				conf := filepath.Join(dir, "config.json")
				text := strings.Replace(fmt.Sprintf(platformConfig, ""), `"results":[]`, fmt.Sprintf(`"results":[{"seq":1,"fleet":{"full":true,"servers":[
{"id":"s-00000007","addr":%q,"zone":"edge","kind":"box","state":"Ready","weight":10}]}}]`, store.Addr()), 1)
				text = strings.Replace(text, `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB), 1)
				if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				start := func() *program {
					return launchWith(t, bin, []string{"NODE_CONFIG=" + conf, "NODE_CONSOLE=127.0.0.1:0", "NODE_SOCKET_FD=3", "TMPDIR=" + dir}, []*os.File{socket})
				}
				first := start()
				var crowd sync.WaitGroup
				crowd.Go(func() { runCrowd(t, l.Addr().String(), clients, 2*time.Second, crowdBehaviors[name]) })
				time.Sleep(300 * time.Millisecond) // the crowd is there
				second := start()
				awaitStatus(t, 200, second.awaitAdminAddr(t), "GET", "/ready", "")
				first.cmd.Process.Signal(syscall.SIGTERM)
				most := 0.0
				for ended := false; !ended; {
					select {
					case err := <-first.done:
						if ended = true; err != nil {
							t.Errorf("exit: %v\n%s", err, lastLines(first.logs()))
						}
					default:
						if rss, err := first.statusMB("VmRSS"); err == nil { // it may have ended
							most = max(most, rss+second.residentMB(t, "VmRSS"))
						}
						time.Sleep(5 * time.Millisecond)
					}
				}
				crowd.Wait()
				most = max(most, second.residentMB(t, "VmHWM"))
				t.Logf("resident: both processes %.0f MB at most", most)
				if most > float64(memoryMB) {
					t.Errorf("%.0f MB resident, of %d", most, memoryMB)
				}
				second.addr = l.Addr().String()
				checkServes(t, second, 5*time.Second)
			})
		}
	}
}
