package replica

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// The first byte of a link says what it carries.
const (
	linkRaft    = 'r'
	linkForward = 'f'
)

const (
	handshakeTimeout = 2 * time.Second
	maxForward       = maxValue + maxName + 1024
)

// links carries Raft and forwarded commands between members, in mutual TLS. It is Raft's StreamLayer.
type links struct {
	opt    Options
	store  *Store
	raft   chan net.Conn
	done   chan struct{}
	once   sync.Once
	wg     sync.WaitGroup
	places chan struct{}

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

func newLinks(opt Options, s *Store) *links {
	opt.TLS = opt.TLS.Clone()
	opt.TLS.ClientAuth = tls.RequireAndVerifyClientCert // never less, whatever was passed
	opt.TLS.MinVersion = tls.VersionTLS13
	return &links{
		opt: opt, store: s, raft: make(chan net.Conn), done: make(chan struct{}), places: make(chan struct{}, maxLinks),
		open: map[net.Conn]struct{}{},
	}
}

func (l *links) start() {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for {
			c, err := l.opt.Listener.Accept()
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return
				}
				select {
				case <-l.done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				continue
			}
			select {
			case l.places <- struct{}{}:
			default:
				c.Close()
				continue
			}
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				defer func() { <-l.places }()
				l.serve(c)
			}()
		}
	}()
}

// serve takes a link from its handshake on. What it hands to Raft, Raft closes.
func (l *links) serve(raw net.Conn) {
	l.mu.Lock()
	l.open[raw] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.open, raw)
		l.mu.Unlock()
	}()
	c := tls.Server(raw, l.opt.TLS)
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	var kind [1]byte
	if _, err := io.ReadFull(c, kind[:]); err != nil { // the handshake comes with the first read
		l.opt.Log.Warn().Err(err).Msg("link refused")
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	switch kind[0] {
	case linkRaft:
		select {
		case l.raft <- c:
		case <-l.done:
			c.Close()
		}
	case linkForward:
		l.answer(c)
		c.Close()
	default:
		c.Close()
	}
}

// answer carries out one forwarded command.
func (l *links) answer(c net.Conn) {
	c.SetDeadline(time.Now().Add(5 * time.Second))
	b, err := readBlock(c, maxForward)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	reply := forwarded{Sure: true, Err: "not the leader"}
	if l.store.raft != nil && l.store.Leads() {
		res, sure, err := l.store.lead(ctx, b)
		reply = forwarded{Result: res, Sure: sure}
		if err != nil {
			reply.Err = err.Error()
		}
	}
	if out, err := json.Marshal(reply); err == nil {
		writeBlock(c, out)
	}
}

type forwarded struct {
	Result result `json:"result"`
	Sure   bool   `json:"sure"`
	Err    string `json:"err,omitempty"`
}

// forward has the leader carry a command out.
func (l *links) forward(ctx context.Context, addr string, b []byte) (res result, sure bool, err error) {
	c, err := l.dial(ctx, addr, linkForward)
	if err != nil {
		return res, true, err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if err := writeBlock(c, b); err != nil {
		return res, false, err
	}
	out, err := readBlock(c, 64<<10)
	if err != nil {
		return res, false, err
	}
	var f forwarded
	if err := json.Unmarshal(out, &f); err != nil {
		return res, false, err
	}
	if f.Err != "" {
		return res, f.Sure, errors.New(f.Err)
	}
	return f.Result, true, nil
}

func (l *links) dial(ctx context.Context, addr string, kind byte) (net.Conn, error) {
	conf := l.opt.TLS.Clone()
	if conf.ServerName == "" {
		if host, _, err := net.SplitHostPort(addr); err == nil {
			conf.ServerName = host
		}
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	c, err := (&tls.Dialer{Config: conf}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte{kind}); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Dial is Raft's way to another member.
func (l *links) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return l.dial(ctx, string(addr), linkRaft)
}

// Accept gives Raft the next link that carries it.
func (l *links) Accept() (net.Conn, error) {
	select {
	case c := <-l.raft:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Addr is this member's address.
func (l *links) Addr() net.Addr { return l.opt.Listener.Addr() }

// Close ends all links that are being served here.
func (l *links) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.opt.Listener.Close()
		l.mu.Lock()
		for c := range l.open {
			c.Close()
		}
		l.mu.Unlock()
	})
	l.wg.Wait()
	return nil
}
