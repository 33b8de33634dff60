package turnfork

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkSignedFront has 16 clients ask for parts by signed URLs, each on a connection of its own, through the whole
// gateway to a stand-in store.
func BenchmarkSignedFront(b *testing.B) {
	t := &testing.T{}
	s := newSite(t, nil)
	defer s.stop()
	u := s.url(tile, 600, "n")
	done := make(chan struct{})
	defer close(done)
	go func() { // the site's clock is a test's; here it goes on
		for tick := time.NewTicker(time.Millisecond); ; s.clock.Advance(1) {
			select {
			case <-tick.C:
			case <-done:
				return
			}
		}
	}()
	var wg sync.WaitGroup
	var good atomic.Int64
	b.ResetTimer()
	for range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", s.addr)
			if err != nil {
				b.Error(err)
				return
			}
			defer c.Close()
			r := bufio.NewReader(c)
			for range b.N/16 + 1 {
				fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", u, s.addr)
				line, err := r.ReadSlice('\n')
				ok := len(line) > 12 && line[9] == '2'
				size := 0
				for err == nil && len(line) > 2 { // lean, so that the figure is the gateway's
					if line, err = r.ReadSlice('\n'); len(line) > 16 && line[8] == 'L' {
						size, _ = strconv.Atoi(string(line[16 : len(line)-2]))
					}
				}
				if _, err2 := r.Discard(size); err != nil || err2 != nil {
					b.Error(err, err2)
					return
				}
				if ok {
					good.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(float64(good.Load())/b.Elapsed().Seconds(), "good/s")
}
