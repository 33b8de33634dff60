package pcapio

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
	"turnfork.dev/turnfork/clock"
)

// heard keeps what each conversation said.
type heard struct {
	said  map[int]string
	gaps  map[int]int
	order []string
}

func (h *heard) Open(id int, port uint16) error {
	h.order = append(h.order, fmt.Sprint("open", id))
	return nil
}
func (h *heard) Data(id int, b []byte) error { h.said[id] += string(b); return nil }
func (h *heard) Close(id, gap int) error {
	h.order = append(h.order, fmt.Sprint("close", id))
	h.gaps[id] = gap
	return nil
}

func listen(t testing.TB, file []byte) (*heard, Report, error) {
	h := &heard{said: map[int]string{}, gaps: map[int]int{}}
	rep, err := Read(bytes.NewReader(file), h)
	return h, rep, err
}

type seg struct {
	port uint16
	seq  uint32
	data string
	syn  bool
	fin  bool
}

func file(t testing.TB, link layers.LinkType, segs ...seg) []byte {
	t.Helper()
	var b bytes.Buffer
	w := pcapgo.NewWriter(&b)
	w.WriteFileHeader(65536, link)
	for _, s := range segs {
		ip := &layers.IPv4{Version: 4, TTL: 9, Protocol: layers.IPProtocolTCP, SrcIP: net.IP{127, 0, 0, 1}, DstIP: net.IP{127, 0, 0, 2}}
		tcp := &layers.TCP{SrcPort: layers.TCPPort(s.port), DstPort: 80, Seq: s.seq, SYN: s.syn, FIN: s.fin, ACK: !s.syn}
		tcp.SetNetworkLayerForChecksum(ip)
		parts := []gopacket.SerializableLayer{ip, tcp, gopacket.Payload(s.data)}
		if link == layers.LinkTypeEthernet {
			eth := &layers.Ethernet{SrcMAC: make([]byte, 6), DstMAC: make([]byte, 6), EthernetType: layers.EthernetTypeIPv4}
			parts = append([]gopacket.SerializableLayer{eth}, parts...)
		}
		buf := gopacket.NewSerializeBuffer()
		if err := gopacket.SerializeLayers(buf, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}, parts...); err != nil {
			t.Fatal(err)
		}
		w.WritePacket(gopacket.CaptureInfo{CaptureLength: len(buf.Bytes()), Length: len(buf.Bytes())}, buf.Bytes())
	}
	return b.Bytes()
}

func TestReassembly(t *testing.T) {
	const wrap = 1<<32 - 3 // sequence numbers that run over
	for name, x := range map[string]struct {
		segs []seg
		want string
		gap  int
	}{
		"in order":  {[]seg{{1, 9, "", true, false}, {1, 10, "ab", false, false}, {1, 12, "cd", false, true}}, "abcd", 0},
		"reordered": {[]seg{{1, 9, "", true, false}, {1, 14, "ef", false, false}, {1, 12, "cd", false, false}, {1, 10, "ab", false, false}}, "abcdef", 0},
		"repeated":  {[]seg{{1, 9, "", true, false}, {1, 10, "abc", false, false}, {1, 10, "ab", false, false}, {1, 11, "bcd", false, false}}, "abcd", 0},
		"wrapped":   {[]seg{{1, wrap - 1, "", true, false}, {1, wrap, "abc", false, false}, {1, 0, "def", false, false}}, "abcdef", 0},
		"gap":       {[]seg{{1, 9, "", true, false}, {1, 10, "ab", false, false}, {1, 17, "hi", false, true}}, "ab", 5},
		"cut tail":  {[]seg{{1, 9, "", true, false}, {1, 10, "ab", false, false}, {1, 20, "", false, true}}, "ab", 8},
	} {
		for _, link := range []layers.LinkType{layers.LinkTypeEthernet, layers.LinkTypeRaw} {
			h, _, err := listen(t, file(t, link, x.segs...))
			if err != nil || h.said[1] != x.want || h.gaps[1] != x.gap {
				t.Errorf("%s over %v: %q, gap %d, %v", name, link, h.said[1], h.gaps[1], err)
			}
		}
	}
	// The middle of a conversation is passed over; two run beside each other in the file's order.
	h, rep, err := listen(t, file(t, layers.LinkTypeRaw, seg{7, 5, "xx", false, false}, seg{1, 9, "", true, false},
		seg{2, 9, "", true, false}, seg{2, 10, "b", false, true}, seg{1, 10, "a", false, true}))
	if err != nil || rep.Skipped != 1 || strings.Join(h.order, " ") != "open1 open2 close2 close1" {
		t.Errorf("%v %+v %v", h.order, rep, err)
	}
}

func TestBadFiles(t *testing.T) {
	good := file(t, layers.LinkTypeRaw, seg{1, 9, "", true, false}, seg{1, 10, "abc", false, false})
	h, _, err := listen(t, good[:len(good)-2])
	if !errors.Is(err, ErrCut) || len(h.order) != 2 {
		t.Errorf("cut file: %v, %v", err, h.order)
	}
	odd := append([]byte(nil), good...)
	binary.LittleEndian.PutUint32(odd[20:], 147)
	for name, b := range map[string][]byte{"empty": nil, "text": []byte("not a pcap file, clearly"), "odd link": odd} {
		if _, _, err := listen(t, b); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// A front's exchange comes back from the file as it was, but for its tokens, also where a token was cut
// between two reads.
func TestWriteAndRedact(t *testing.T) {
	var b bytes.Buffer
	w, err := NewWriter(&b, clock.Manual(1.7e12), false)
	if err != nil {
		t.Fatal(err)
	}
	near, far := net.Pipe()
	tapped := w.Tap(far)
	sent := []string{"GET /v1/a?x=1&URISigning", "Package=ey.SECRET.z&y=2 HTTP/1.1\r\nAuthoriz", "ation: Bearer SECRET\r\nX: y\r\n\r\n",
		`{"secret":"SECRET","id":"k"}`}
	go func() {
		for _, s := range sent {
			io.WriteString(near, s)
		}
		near.Close()
	}()
	io.ReadAll(tapped)
	tapped.Close()
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(b.Bytes(), []byte("SECRET")) {
		t.Error("a secret is in the file")
	}
	h, _, err := listen(t, b.Bytes())
	got := h.said[1]
	want := strings.Join(sent, "")
	if err != nil || len(got) != len(want) || !strings.Contains(got, "&y=2 HTTP/1.1\r\n") || !strings.Contains(got, `,"id":"k"}`) {
		t.Errorf("%q, %v", got, err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(file(f, layers.LinkTypeEthernet, seg{1, 9, "", true, false}, seg{1, 10, "abc", false, true}))
	f.Add(file(f, layers.LinkTypeRaw, seg{1, 9, "", true, false}, seg{1, 4000000000, "abc", false, false}))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, rep, _ := listen(t, b)
		total := 0
		for _, s := range h.said {
			total += len(s)
		}
		if total > len(b) || rep.Conversations*2 != len(h.order) && rep.Packets > 0 && len(h.order)%2 != 0 {
			t.Errorf("%d bytes from %d, %+v", total, len(b), rep)
		}
	})
}
