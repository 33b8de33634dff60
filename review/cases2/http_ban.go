package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"turnfork.dev/review/rig2"
)

// resettingCache is a stand-in for an HTTP cache that answers at once but for objects that it is told to hold back, and resets
// the connections of these requests when it is told to.
type resettingCache struct {
	c    *rig2.Case
	addr string

	mu       sync.Mutex
	holdBack bool
	held     []net.Conn
	arrived  []time.Time
}

func newResettingCache(c *rig2.Case) *resettingCache {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	s := &resettingCache{c: c, addr: l.Addr().String()}
	c.Closer(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *resettingCache) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.Method == http.MethodHead {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.mu.Lock()
		s.arrived = append(s.arrived, time.Now())
		hold := s.holdBack
		if hold {
			s.held = append(s.held, conn)
		}
		s.mu.Unlock()
		s.c.Note("cache: GET %s from %s, held back: %t", req.URL.Path, conn.RemoteAddr(), hold)
		if hold {
			r.Peek(1) // until the connection ends
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nAge: 0\r\nContent-Length: 6\r\n\r\na part")
	}
}

// reset resets the connections of the requests that are held back. Further requests are answered at once.
func (s *resettingCache) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.held {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	s.held, s.holdBack = nil, false
}

// httpBan takes an HTTP cache out while a request is under way there, whose connection is then reset.
func httpBan(c *rig2.Case) {
	cache, origin := newResettingCache(c), c.NewStore("origin")
	listen, console := c.FreeAddr(), c.FreeAddr()
	file := c.Write("gateway.toml", rig2.SignedFile("phones-1", listen, console, "http://"+cache.addr, origin.Addr, ""))
	c.Gateway("phones-1", "-config "+file, nil)
	c.Until(6*time.Second, "the gateway is ready", func() bool { return rig2.Ready(console) })
	get := func(object int) {
		token := c.Issue(listen, rig2.Secret, "hmac", fmt.Sprintf("/v1/firmware/%016x/0?kb=6800", object), 600)
		reply, err := rig2.Call("GET", "http://"+listen+token.URL, "", "", 8*time.Second)
		c.Must(err)
		c.Note("object %d: answer %d %.60q", object, reply.Status, reply.Body)
	}
	get(1)
	cache.mu.Lock()
	cache.holdBack = true
	cache.mu.Unlock()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		get(2)
	}()
	time.Sleep(200 * time.Millisecond)
	reply, err := rig2.Call("PUT", "http://"+console+"/stores/disable", "", `{"id":"s-00000001"}`, time.Second)
	c.Must(err)
	if reply.Status != 200 {
		c.Fail("the cache could not be taken out: %d", reply.Status)
	}
	banned := time.Now()
	c.Note("the cache is taken out: 200")
	time.Sleep(600 * time.Millisecond)
	if c.Trouble {
		cache.reset()
		c.Note("cache: resets the connection under the request")
	}
	<-answered
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for _, at := range cache.arrived {
		if late := at.Sub(banned); late > 300*time.Millisecond {
			c.Break("a request was sent to a cache %d ms after the gateway had said yes to taking it out", late.Milliseconds())
		}
	}
}
