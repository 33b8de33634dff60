package pcapio

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
	"turnfork.dev/turnfork/clock"
)

const (
	maxSegmentBytes = 32 << 10
	snapLen         = 64 << 10
)

// Writer records connections in a pcap file of raw IP packets.
type Writer struct {
	clock *clock.Clock
	plain bool // tokens and secrets are not redacted

	mu  sync.Mutex
	buf *bufio.Writer
	out *pcapgo.Writer
	err error
}

// NewWriter writes the header of a file. Unless plain is set, each byte of a token or secret is replaced by an x.
func NewWriter(w io.Writer, clk *clock.Clock, plain bool) (*Writer, error) {
	buf := bufio.NewWriterSize(w, 64<<10)
	out := pcapgo.NewWriter(buf)
	if err := out.WriteFileHeader(snapLen, layers.LinkTypeRaw); err != nil {
		return nil, fmt.Errorf("pcapio: %w", err)
	}
	return &Writer{clock: clk, plain: plain, buf: buf, out: out}, nil
}

// Flush writes the buffered data and returns the first error since NewWriter.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.buf.Flush(); w.err == nil {
		w.err = err
	}
	return w.err
}

// Tap returns a connection that records all data: bytes read are the client's, bytes written are the server's.
func (w *Writer) Tap(c net.Conn) net.Conn {
	t := &tappedConn{Conn: c, w: w}
	t.client, t.server = addrPort(c.RemoteAddr(), 40000), addrPort(c.LocalAddr(), 80)
	if !t.client.Addr().Is4() || !t.server.Addr().Is4() { // both addresses of a packet must be of the same family
		t.client = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), t.client.Port())
		t.server = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), t.server.Port())
	}
	t.fromClient.seq, t.fromServer.seq = 1000, 5000
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writePacket(t, true, nil, tcpSYN)
	t.fromClient.seq++
	w.writePacket(t, false, nil, tcpSYN|tcpACK)
	t.fromServer.seq++
	w.writePacket(t, true, nil, tcpACK)
	return t
}

func addrPort(a net.Addr, port uint16) netip.AddrPort {
	if ap, err := netip.ParseAddrPort(a.String()); err == nil {
		return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port) // the address of a pipe has no IP and port
}

const (
	tcpFIN = 1 << iota
	tcpSYN
	tcpPSH
	tcpACK
)

// direction is the state of one direction of a recorded connection.
type direction struct {
	seq      uint32
	redactor redactor
}

type tappedConn struct {
	net.Conn
	w                      *Writer
	client, server         netip.AddrPort
	fromClient, fromServer direction
	once                   sync.Once
}

// Read reads from the connection and records the bytes as sent by the client.
func (t *tappedConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	t.w.writeData(t, true, b[:n])
	return n, err
}

// Write writes to the connection and records the bytes written as sent by the server.
func (t *tappedConn) Write(b []byte) (int, error) {
	n, err := t.Conn.Write(b)
	t.w.writeData(t, false, b[:n])
	return n, err
}

// Close closes the connection and, on the first call, records the end of both directions.
func (t *tappedConn) Close() error {
	t.once.Do(func() {
		t.w.mu.Lock()
		defer t.w.mu.Unlock()
		t.w.writePacket(t, true, nil, tcpFIN|tcpACK)
		t.fromClient.seq++
		t.w.writePacket(t, false, nil, tcpFIN|tcpACK)
		t.fromServer.seq++
		t.w.writePacket(t, true, nil, tcpACK)
	})
	return t.Conn.Close()
}

func (w *Writer) writeData(t *tappedConn, isClient bool, b []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &t.fromClient
	if !isClient {
		s = &t.fromServer
	}
	for len(b) > 0 {
		n := min(len(b), maxSegmentBytes)
		part := append([]byte(nil), b[:n]...)
		if !w.plain {
			s.redactor.redact(part)
		}
		w.writePacket(t, isClient, part, tcpPSH|tcpACK)
		s.seq += uint32(n)
		b = b[n:]
	}
}

// writePacket writes one packet. The caller must hold mu.
func (w *Writer) writePacket(t *tappedConn, isClient bool, payload []byte, flags byte) {
	if w.err != nil {
		return
	}
	from, to, seq, ack := t.client, t.server, t.fromClient.seq, t.fromServer.seq
	if !isClient {
		from, to, seq, ack = t.server, t.client, t.fromServer.seq, t.fromClient.seq
	}
	ip := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice(),
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(from.Port()), DstPort: layers.TCPPort(to.Port()), Seq: seq, Window: 65535,
		FIN: flags&tcpFIN != 0, SYN: flags&tcpSYN != 0, PSH: flags&tcpPSH != 0, ACK: flags&tcpACK != 0,
	}
	if tcp.ACK {
		tcp.Ack = ack
	}
	if w.err = tcp.SetNetworkLayerForChecksum(ip); w.err != nil {
		return
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if w.err = gopacket.SerializeLayers(buf, opts, ip, tcp, gopacket.Payload(payload)); w.err != nil {
		return
	}
	b := buf.Bytes()
	at := time.UnixMicro(int64(w.clock.Unix() * 1000))
	w.err = w.out.WritePacket(gopacket.CaptureInfo{Timestamp: at, CaptureLength: len(b), Length: len(b)}, b)
}

// secretPatterns are the prefixes, in lower case, of values to redact, each with the bytes that terminate the value.
var secretPatterns = []struct{ prefix, terminators string }{
	{"?cat=", " &;\r\n\""},
	{"&cat=", " &;\r\n\""},
	{"access-token:", "\r\n"},
	{`"ip_secret":`, ",}"},
	{`"salt":`, ",}"},
	{"hmac=", "& \r\n;\""},
	{"hmac%3d", "& \r\n;\""},
	{"urisigningpackage=", " &;\r\n\""},
	{"signature=", " &;\r\n\""},
	{"authorization:", "\r\n"},
	{"cookie:", "\r\n"}, // also Set-Cookie
	{`"token":`, ",}"},
	{`"secret":`, ",}"},
	{`"private":`, ",}"},
}

const maxPrefixBytes = 18

// redactor replaces each byte of a secret in a stream by an x, also when the secret or its prefix is split between two reads.
type redactor struct {
	recent      [maxPrefixBytes]byte // the last bytes outside of secrets, in lower case
	terminators string               // within a secret, the bytes that terminate it; empty outside
}

func (r *redactor) redact(b []byte) {
	for i, c := range b {
		if r.terminators != "" {
			ended := false
			for _, e := range []byte(r.terminators) {
				ended = ended || c == e
			}
			if !ended {
				b[i] = 'x'
				continue
			}
			r.terminators = ""
		}
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		copy(r.recent[:], r.recent[1:])
		r.recent[maxPrefixBytes-1] = c
		for _, s := range secretPatterns {
			if string(r.recent[maxPrefixBytes-len(s.prefix):]) == s.prefix {
				r.terminators = s.terminators
			}
		}
	}
}
