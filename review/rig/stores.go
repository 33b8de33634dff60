package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MainStore is the stand-in of the main store: HTTP, as in deploy/signed.toml. It runs each ride that it gets, and gives out
// the present version of every object.
type MainStore struct {
	Addr string
	c    *Case

	// Behave answers a ride in place of the usual answer, and reports whether it did; run counts a run. Nil: none.
	Behave func(w http.ResponseWriter, object string, run func()) bool

	mu      sync.Mutex
	rides   map[string]int // runs, by object
	version int
}

func startMainStore(c *Case) (*MainStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &MainStore{Addr: l.Addr().String(), c: c, rides: map[string]int{}, version: 1}
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	go server.Serve(l)
	c.AtEnd(func() { server.Close() })
	return s, nil
}

// serve answers BASE/CLASS/OBJECT/PART.
func (s *MainStore) serve(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) != 4 {
		w.WriteHeader(200) // a health check
		return
	}
	if r.Method == "POST" {
		run := func() {
			s.mu.Lock()
			s.rides[parts[2]]++
			runs := s.rides[parts[2]]
			s.mu.Unlock()
			if !s.c.Quiet {
				s.c.Logf("main store: ran %s %s, run %d of it", parts[1], parts[2], runs)
			}
		}
		if s.Behave != nil && s.Behave(w, parts[2], run) {
			return
		}
		run()
		fmt.Fprintf(w, "ride %s ended\n", parts[2])
		return
	}
	version, _ := s.Now()
	fmt.Fprintf(w, "%s version %d\n", parts[2], version)
}

// Runs returns how often a ride has run.
func (s *MainStore) Runs(object string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rides[object]
}

// Now returns the present version of the objects, and the time.
func (s *MainStore) Now() (version int, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, time.Now()
}

// Publish makes a new version of all objects.
func (s *MainStore) Publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
}

// Cache is the stand-in of a cache box: RESP. It keeps what it fills, gives no copy older than it is asked for, and drops all
// older copies on its own when it is told.
type Cache struct {
	Addr  string
	store *MainStore

	mu     sync.Mutex
	copies map[string]copyOf
}

type copyOf struct {
	version int
	minted  time.Time
}

func startCache(c *Case, store *MainStore) (*Cache, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Cache{Addr: l.Addr().String(), store: store, copies: map[string]copyOf{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	c.AtEnd(func() { l.Close() })
	return s, nil
}

// DropOlder drops the copies that are older than a time.
func (s *Cache) DropOlder(than time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, kept := range s.copies {
		if kept.minted.Before(than) {
			delete(s.copies, name)
		}
	}
}

func (s *Cache) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		words, err := readWords(r)
		if err != nil || len(words) < 2 {
			return
		}
		switch words[0] {
		case "PING", "LOAD":
			writeWords(conn, words[1], "READY", "rep=inflight:0;util:0.1", "")
		case "GET":
			if len(words) < 4 {
				return
			}
			status, fields, body := s.get(words[2])
			writeWords(conn, words[1], status, fields, body)
		}
	}
}

// get answers a GET with the given fields.
func (s *Cache) get(list string) (status, fields, body string) {
	asked := map[string]string{}
	for _, field := range strings.Split(list, ",") {
		name, value, _ := strings.Cut(field, "=")
		asked[name] = value
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := asked["lane"] + "/" + asked["name"] + "/" + asked["piece"]
	kept, ok := s.copies[name]
	fresh, _ := strconv.ParseFloat(asked["fresh"], 64)
	tooOld := fresh > 0 && float64(time.Since(kept.minted).Milliseconds()) > fresh
	why := "local"
	if !ok || tooOld {
		if asked["via"] == "" {
			return "NOENT", "-", ""
		}
		kept.version, kept.minted = s.store.Now()
		s.copies[name], why = kept, "pulled_far"
	}
	fields = fmt.Sprintf("tag=%016x,minted=%d,why=%s,lag=1", kept.version, kept.minted.UnixMilli(), why)
	return "ACK", fields, fmt.Sprintf("%s version %d\n", asked["name"], kept.version)
}

func writeWords(w io.Writer, words ...string) {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, word := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)
	}
	io.WriteString(w, text)
}

func readWords(r *bufio.Reader) (words []string, err error) {
	length := func(kind byte) (int, error) {
		line, err := r.ReadString('\n')
		if err != nil {
			return 0, err
		}
		if len(line) < 4 || line[0] != kind {
			return 0, io.ErrUnexpectedEOF
		}
		return strconv.Atoi(strings.TrimSpace(line[1:]))
	}
	n, err := length('*')
	if err != nil || n < 0 || n > 8 {
		return nil, io.ErrUnexpectedEOF
	}
	for range n {
		size, err := length('$')
		if err != nil || size < 0 || size > 1<<20 {
			return nil, io.ErrUnexpectedEOF
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:size]))
	}
	return words, nil
}
