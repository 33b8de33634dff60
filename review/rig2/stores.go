package rig2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is a GET that a store has read.
type Request struct {
	Store  string
	ID     string
	Fields map[string]string
	Body   string
	At     time.Time
}

// Store is a stand-in for a cache, a parent or the origin, which speaks the stores' protocol.
type Store struct {
	Name string
	Addr string

	// Answer returns the answer to a GET as it is written to the connection; nil: the usual one.
	Answer func(r Request) []byte

	mu       sync.Mutex
	requests []Request
}

// StoreBody returns the bytes of an object's part that every stand-in makes.
func StoreBody(name, piece string) string {
	return strings.Repeat(name+"/"+piece+";", 200)
}

// Encode encodes words as an array of bulk strings.
func Encode(words ...string) []byte {
	out := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(w), w)
	}
	return out
}

// Good returns the usual answer to a GET.
func Good(r Request) []byte {
	fields := fmt.Sprintf("tag=00000000000000aa,minted=%d,why=local", r.At.UnixMilli())
	return Encode(r.ID, "ACK", fields, StoreBody(r.Fields["name"], r.Fields["piece"]))
}

// NewStore starts a stand-in.
func (c *Case) NewStore(name string) *Store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	s := &Store{Name: name, Addr: l.Addr().String()}
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

// Requests returns the requests that were read.
func (s *Store) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request(nil), s.requests...)
}

func (s *Store) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		words, err := readArray(r)
		if err != nil || len(words) < 2 {
			return
		}
		var out []byte
		switch words[0] {
		case "PING", "LOAD":
			out = Encode(words[1], "READY", "rep=inflight:0;util:0.1;x0:0.9;x1:0.1", "")
		case "DROP":
			continue
		case "GET":
			if len(words) < 4 {
				return
			}
			req := Request{Store: s.Name, ID: words[1], Fields: map[string]string{}, Body: words[3], At: time.Now()}
			for _, item := range strings.Split(words[2], ",") {
				k, v, _ := strings.Cut(item, "=")
				req.Fields[k] = v
			}
			s.mu.Lock()
			s.requests = append(s.requests, req)
			s.mu.Unlock()
			out = Good(req)
			if s.Answer != nil {
				out = s.Answer(req)
			}
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}

// errForm is the error of a command that can't be read.
var errForm = errors.New("a command that can't be read")

func readArray(r *bufio.Reader) (words []string, err error) {
	n, err := readNumber(r, '*')
	if err != nil {
		return nil, err
	}
	for range n {
		size, err := readNumber(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:size]))
	}
	return words, nil
}

func readNumber(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line == "" || line[0] != kind {
		return 0, errForm
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
