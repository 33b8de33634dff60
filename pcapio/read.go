// Package pcapio reads recorded TCP conversations from pcap files and records a frontend's connections in one. It does not
// capture packets: the files that it reads are recorded by other tools, and the packets that it writes are synthesized from
// the bytes that the frontend read and wrote.
package pcapio

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
)

// Limits of Read. A conversation that exceeds the limits of buffered data is ended as one with a gap.
const (
	maxConversations    = 1024      // open at the same time; the oldest is ended when a new one exceeds it
	maxBufferedBytes    = 256 << 10 // out-of-order data of one conversation
	maxBufferedSegments = 2048      // out-of-order segments of one conversation
	maxPacketBytes      = 1 << 20   // larger packets are skipped
)

// ErrTruncated reports that a file ends in the middle of a packet. All earlier packets have been read.
var ErrTruncated = errors.New("pcapio: file is truncated in the middle of a packet")

// Sink receives the conversations of a file, in the order of the file.
type Sink interface {
	// Open starts a conversation with the given port of a server.
	Open(id int, server uint16) error
	// Data receives the next bytes that the client sent.
	Data(id int, b []byte) error
	// Close ends a conversation. gap is the number of bytes missing from the file if that ended it, else 0.
	Close(id int, gap int) error
}

// Report has the counts of a file's packets, conversations and segments.
type Report struct {
	Packets, Conversations, Segments, Reordered, Repeated, Gaps, Skipped int
}

// Read reads a pcap or pcapng file and passes the data that the client sent in each TCP conversation to sink.
func Read(r io.Reader, sink Sink) (rep Report, err error) {
	br := bufio.NewReader(r)
	src, link, err := openCapture(br)
	if err != nil {
		return rep, err
	}
	a := &assembler{sink: sink, rep: &rep, flows: map[flowKey]*flow{}}
	for {
		data, _, err := src.ReadPacketData()
		if err != nil {
			if err == io.EOF {
				return rep, a.closeAll()
			}
			closeErr := a.closeAll()
			if errors.Is(err, io.ErrUnexpectedEOF) {
				err = ErrTruncated
			}
			return rep, errors.Join(fmt.Errorf("packet %d: %w", rep.Packets+1, err), closeErr)
		}
		rep.Packets++
		if len(data) > maxPacketBytes {
			rep.Skipped++
			continue
		}
		if err := a.handlePacket(gopacket.NewPacket(data, link, gopacket.DecodeOptions{Lazy: true, NoCopy: true})); err != nil {
			return rep, err
		}
	}
}

// openCapture opens a pcap or pcapng file and selects the decoder for its link type.
func openCapture(br *bufio.Reader) (gopacket.PacketDataSource, gopacket.Decoder, error) {
	magic, err := br.Peek(4)
	if err != nil {
		return nil, nil, errors.New("pcapio: file is too short to be a pcap file")
	}
	var (
		src  gopacket.PacketDataSource
		link layers.LinkType
	)
	if magic[0] == 0x0a && magic[1] == 0x0d && magic[2] == 0x0d && magic[3] == 0x0a {
		ng, err := pcapgo.NewNgReader(br, pcapgo.DefaultNgReaderOptions)
		if err != nil {
			return nil, nil, fmt.Errorf("pcapio: not a valid pcapng file: %w", err)
		}
		src, link = ng, ng.LinkType()
	} else {
		p, err := pcapgo.NewReader(br)
		if err != nil {
			return nil, nil, fmt.Errorf("pcapio: not a valid pcap file: %w", err)
		}
		src, link = p, p.LinkType()
	}
	switch link {
	case layers.LinkTypeEthernet, layers.LinkTypeNull, layers.LinkTypeLoop, layers.LinkTypeLinuxSLL:
		return src, link, nil
	case layers.LinkTypeRaw, 12, 14: // the number of raw IP depends on the operating system
		return src, rawIP{}, nil
	case layers.LinkTypeIPv4:
		return src, layers.LayerTypeIPv4, nil
	case layers.LinkTypeIPv6:
		return src, layers.LayerTypeIPv6, nil
	}
	return nil, nil, fmt.Errorf("pcapio: unsupported link type %d", uint(link))
}

// rawIP decodes packets that start with an IP header.
type rawIP struct{}

// Decode decodes a packet as IPv4 or IPv6 by the version in its first byte, for gopacket.Decoder.
func (rawIP) Decode(data []byte, p gopacket.PacketBuilder) error {
	if len(data) > 0 && data[0]>>4 == 6 {
		return layers.LayerTypeIPv6.Decode(data, p)
	}
	return layers.LayerTypeIPv4.Decode(data, p)
}

type flowKey struct{ client, server netip.AddrPort }

// flow reassembles the client's direction of a conversation.
type flow struct {
	id            int
	nextSeq       uint32 // the next expected sequence number
	synced        bool
	outOfOrder    map[uint32][]byte // buffered segments by sequence number
	bufferedBytes int
	finSeen       bool
	finSeq        uint32
}

type assembler struct {
	sink   Sink
	rep    *Report
	flows  map[flowKey]*flow
	order  []flowKey
	lastID int
}

func (a *assembler) handlePacket(p gopacket.Packet) error {
	tcp, ok := p.Layer(layers.LayerTypeTCP).(*layers.TCP)
	if !ok {
		a.rep.Skipped++
		return nil
	}
	var src, dst netip.Addr
	switch ip := p.NetworkLayer().(type) {
	case *layers.IPv4:
		src, _ = netip.AddrFromSlice(ip.SrcIP)
		dst, _ = netip.AddrFromSlice(ip.DstIP)
	case *layers.IPv6:
		src, _ = netip.AddrFromSlice(ip.SrcIP)
		dst, _ = netip.AddrFromSlice(ip.DstIP)
	default:
		a.rep.Skipped++
		return nil
	}
	key := flowKey{netip.AddrPortFrom(src, uint16(tcp.SrcPort)), netip.AddrPortFrom(dst, uint16(tcp.DstPort))}
	reverse := flowKey{key.server, key.client}
	f := a.flows[key]
	switch {
	case tcp.SYN && !tcp.ACK:
		if f != nil && f.synced && f.nextSeq != tcp.Seq+1 { // the client's port is reused for a new conversation
			if err := a.closeFlow(key, f, 0); err != nil {
				return err
			}
			f = nil
		}
		if f == nil {
			var err error
			if f, err = a.openFlow(key); err != nil {
				return err
			}
		}
		f.nextSeq, f.synced = tcp.Seq+1, true
	case f == nil && a.flows[reverse] != nil: // a packet from the server
		if tcp.RST {
			return a.closeFlow(reverse, a.flows[reverse], 0)
		}
		return nil
	case f == nil:
		// A conversation whose start was not recorded is skipped: the position of its first byte is unknown.
		a.rep.Skipped++
		return nil
	}
	if tcp.RST {
		return a.closeFlow(key, f, 0)
	}
	if tcp.FIN {
		f.finSeen, f.finSeq = true, tcp.Seq+uint32(len(tcp.Payload))
	}
	if len(tcp.Payload) > 0 {
		a.rep.Segments++
		if err := a.handleSegment(f, tcp.Seq, tcp.Payload); err != nil {
			return err
		}
	}
	switch {
	case f.bufferedBytes > maxBufferedBytes || len(f.outOfOrder) > maxBufferedSegments: // treat the missing data as lost
		return a.closeFlow(key, f, a.gapSize(f))
	case f.finSeen && int32(f.nextSeq-f.finSeq) >= 0:
		return a.closeFlow(key, f, 0)
	}
	return nil
}

func (a *assembler) openFlow(key flowKey) (*flow, error) {
	if len(a.flows) >= maxConversations { // end the oldest
		for len(a.order) > 0 {
			old := a.order[0]
			a.order = a.order[1:]
			if f := a.flows[old]; f != nil {
				if err := a.closeFlow(old, f, a.gapSize(f)); err != nil {
					return nil, err
				}
				break
			}
		}
	}
	a.lastID++
	f := &flow{id: a.lastID, outOfOrder: map[uint32][]byte{}}
	a.flows[key] = f
	a.order = append(a.order, key)
	a.rep.Conversations++
	return f, a.sink.Open(f.id, key.server.Port())
}

// handleSegment passes on data that is next in sequence and buffers out-of-order segments. Bytes that were already passed on
// are removed.
func (a *assembler) handleSegment(f *flow, seq uint32, b []byte) error {
	ahead := int32(seq - f.nextSeq)
	if ahead > 0 {
		a.rep.Reordered++
		if old := f.outOfOrder[seq]; len(old) < len(b) {
			f.bufferedBytes += len(b) - len(old)
			f.outOfOrder[seq] = append([]byte(nil), b...)
		}
		return nil
	}
	if int(-ahead) >= len(b) {
		a.rep.Repeated++
		return nil
	}
	for b != nil {
		b = b[int32(f.nextSeq-seq):]
		f.nextSeq += uint32(len(b))
		if err := a.sink.Data(f.id, b); err != nil {
			return err
		}
		b = nil
		for startSeq, data := range f.outOfOrder { // find a buffered segment that is now in sequence
			endSeq := startSeq + uint32(len(data))
			if int32(startSeq-f.nextSeq) > 0 {
				continue
			}
			delete(f.outOfOrder, startSeq)
			f.bufferedBytes -= len(data)
			if int32(endSeq-f.nextSeq) > 0 {
				seq, b = startSeq, data
				break
			}
		}
	}
	return nil
}

// gapSize returns the number of bytes missing before the first buffered segment, or before the FIN if none is buffered.
func (a *assembler) gapSize(f *flow) int {
	gap := 0
	for seq := range f.outOfOrder {
		if d := int(int32(seq - f.nextSeq)); gap == 0 || d < gap {
			gap = d
		}
	}
	if gap == 0 && f.finSeen {
		gap = max(0, int(int32(f.finSeq-f.nextSeq)))
	}
	return gap
}

func (a *assembler) closeFlow(key flowKey, f *flow, gap int) error {
	delete(a.flows, key)
	if gap > 0 {
		a.rep.Gaps++
	}
	if len(a.order) > 4*maxConversations {
		open := a.order[:0]
		for _, k := range a.order {
			if a.flows[k] != nil {
				open = append(open, k)
			}
		}
		a.order = open
	}
	return a.sink.Close(f.id, gap)
}

// closeAll closes the conversations that are still open, in the order in which they were opened.
func (a *assembler) closeAll() error {
	for _, k := range a.order {
		if f := a.flows[k]; f != nil {
			if err := a.closeFlow(k, f, a.gapSize(f)); err != nil {
				return err
			}
		}
	}
	return nil
}
