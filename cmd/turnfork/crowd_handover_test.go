package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against an upgrade that exceeds the memory limit: both processes hold parts of the requests of a crowd while its
// connections are handed over.
func TestHandoverOfCrowdStaysWithinMemoryLimit(t *testing.T) {
	const clients = 500
	bin := build(t)
	store := startLargeObjects(t)
	for _, memoryMB := range []int{64, 192} {
		for _, name := range []string{"record without its last byte", "half of a write, in small records, on each of 32 requests", "large responses left unread"} {
			t.Run(fmt.Sprintf("%d MB, %s", memoryMB, name), func(t *testing.T) {
				gateway := newSharedSocket(t, bin, store.Addr(), [2]string{`"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB)})
				first := gateway.start()
				var crowd sync.WaitGroup
				crowd.Go(func() { runCrowd(t, gateway.addr, clients, 2*time.Second, crowdBehaviors[name]) })
				time.Sleep(300 * time.Millisecond) // the crowd is there
				second := gateway.start()
				awaitStatus(t, 200, second.awaitAdminAddr(t), "GET", "/ready", "")
				first.cmd.Process.Signal(syscall.SIGTERM)
				most, limit := 0.0, time.After(30*time.Second)
				for ended := false; !ended; {
					select {
					case err := <-first.done:
						if ended = true; err != nil {
							t.Errorf("exit: %v\n%s", err, lastLines(first.logs()))
						}
					case <-limit:
						t.Fatalf("the first process has not ended:\n%s", lastLines(first.logs()))
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
				second.addr = gateway.addr
				checkServes(t, second, 5*time.Second)
			})
		}
	}
}
