package rig2

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// HTTPCache is a stand-in for a cache that speaks HTTP. It keeps the copies that it has fetched, and as RFC 9111 has it counts
// their age in whole seconds and serves none whose age is above the max-age of a request.
type HTTPCache struct {
	URL      string
	Lifetime time.Duration // how long a copy is fresh if the request does not say

	mu     sync.Mutex
	copies map[string]time.Time // path to the time at which the origin gave the copy out
}

// NewHTTPCache starts a stand-in.
func (c *Case) NewHTTPCache(lifetime time.Duration) *HTTPCache {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	h := &HTTPCache{URL: "http://" + l.Addr().String(), Lifetime: lifetime, copies: map[string]time.Time{}}
	server := &http.Server{Handler: h}
	go server.Serve(l)
	c.Closer(func() { server.Close() })
	return h
}

// ServeHTTP serves a copy. Its body tells when the origin gave it out, in Unix milliseconds.
func (h *HTTPCache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		return
	}
	h.mu.Lock()
	minted, kept := h.copies[r.URL.Path]
	age := int(time.Since(minted) / time.Second)
	most := int(h.Lifetime / time.Second)
	if text, ok := strings.CutPrefix(r.Header.Get("Cache-Control"), "max-age="); ok {
		if n, err := strconv.Atoi(text); err == nil {
			most = min(most, n)
		}
	}
	if !kept || age > most {
		minted, age = time.Now(), 0
		h.copies[r.URL.Path] = minted
	}
	h.mu.Unlock()
	w.Header().Set("Age", strconv.Itoa(age))
	w.Header().Set("ETag", fmt.Sprintf(`"%x"`, minted.UnixNano()))
	fmt.Fprintf(w, "%d", minted.UnixMilli())
}
