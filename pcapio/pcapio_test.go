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

// recordingSink records the data, gaps and events of each conversation.
type recordingSink struct {
	data   map[int]string
	gaps   map[int]int
	events []string
}

func (h *recordingSink) Open(id int, port uint16) error {
	h.events = append(h.events, fmt.Sprint("open", id))
	return nil
}
func (h *recordingSink) Data(id int, b []byte) error { h.data[id] += string(b); return nil }
func (h *recordingSink) Close(id, gap int) error {
	h.events = append(h.events, fmt.Sprint("close", id))
	h.gaps[id] = gap
	return nil
}

func readCapture(t testing.TB, file []byte) (*recordingSink, Report, error) {
	h := &recordingSink{data: map[int]string{}, gaps: map[int]int{}}
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

func captureFile(t testing.TB, link layers.LinkType, segs ...seg) []byte {
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
	const wrap = 1<<32 - 3 // sequence numbers wrap to 0 within the data
	for name, x := range map[string]struct {
		segs []seg
		want string
		gap  int
	}{
		"in order":     {[]seg{{1, 9, "", true, false}, {1, 10, "ab", false, false}, {1, 12, "cd", false, true}}, "abcd", 0},
		"reordered":    {[]seg{{1, 9, "", true, false}, {1, 14, "ef", false, false}, {1, 12, "cd", false, false}, {1, 10, "ab", false, false}}, "abcdef", 0},
		"repeated":     {[]seg{{1, 9, "", true, false}, {1, 10, "abc", false, false}, {1, 10, "ab", false, false}, {1, 11, "bcd", false, false}}, "abcd", 0},
		"wrapped":      {[]seg{{1, wrap - 1, "", true, false}, {1, wrap, "abc", false, false}, {1, 0, "def", false, false}}, "abcdef", 0},
		"gap":          {[]seg{{1, 9, "", true, false}, {1, 10, "ab", false, false}, {1, 17, "hi", false, true}}, "ab", 5},
		"missing tail": {[]seg{{1, 9, "", true, false}, {1, 10, "ab", false, false}, {1, 20, "", false, true}}, "ab", 8},
	} {
		for _, link := range []layers.LinkType{layers.LinkTypeEthernet, layers.LinkTypeRaw} {
			h, _, err := readCapture(t, captureFile(t, link, x.segs...))
			if err != nil || h.data[1] != x.want || h.gaps[1] != x.gap {
				t.Errorf("%s over %v: %q, gap %d, %v", name, link, h.data[1], h.gaps[1], err)
			}
		}
	}
	// A conversation without its start is skipped; two interleaved conversations are reported in the order of the file.
	h, rep, err := readCapture(t, captureFile(t, layers.LinkTypeRaw, seg{7, 5, "xx", false, false}, seg{1, 9, "", true, false},
		seg{2, 9, "", true, false}, seg{2, 10, "b", false, true}, seg{1, 10, "a", false, true}))
	if err != nil || rep.Skipped != 1 || strings.Join(h.events, " ") != "open1 open2 close2 close1" {
		t.Errorf("%v %+v %v", h.events, rep, err)
	}
}

func TestBadFiles(t *testing.T) {
	good := captureFile(t, layers.LinkTypeRaw, seg{1, 9, "", true, false}, seg{1, 10, "abc", false, false})
	h, _, err := readCapture(t, good[:len(good)-2])
	if !errors.Is(err, ErrTruncated) || len(h.events) != 2 {
		t.Errorf("truncated file: %v, %v", err, h.events)
	}
	unsupported := append([]byte(nil), good...)
	binary.LittleEndian.PutUint32(unsupported[20:], 147)
	for name, b := range map[string][]byte{"empty": nil, "text": []byte("not a pcap file, clearly"), "unsupported link type": unsupported} {
		if _, _, err := readCapture(t, b); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Read returns the data that a Writer recorded, with tokens and secrets redacted, also when one is split between two reads.
func TestWriteAndRedact(t *testing.T) {
	var b bytes.Buffer
	w, err := NewWriter(&b, clock.Manual(1.7e12), false)
	if err != nil {
		t.Fatal(err)
	}
	clientEnd, serverEnd := net.Pipe()
	tapped := w.Tap(serverEnd)
	sent := []string{"GET /v1/a?x=1&URISigning", "Package=ey.SECRET.z&y=2 HTTP/1.1\r\nAuthoriz", "ation: Bearer SECRET\r\nX: y\r\n\r\n",
		`{"secret":"SECRET","id":"k"}`}
	go func() {
		for _, s := range sent {
			io.WriteString(clientEnd, s)
		}
		clientEnd.Close()
	}()
	io.ReadAll(tapped)
	tapped.Close()
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(b.Bytes(), []byte("SECRET")) {
		t.Error("the file contains a secret")
	}
	h, _, err := readCapture(t, b.Bytes())
	got := h.data[1]
	want := strings.Join(sent, "")
	if err != nil || len(got) != len(want) || !strings.Contains(got, "&y=2 HTTP/1.1\r\n") || !strings.Contains(got, `,"id":"k"}`) {
		t.Errorf("%q, %v", got, err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(captureFile(f, layers.LinkTypeEthernet, seg{1, 9, "", true, false}, seg{1, 10, "abc", false, true}))
	f.Add(captureFile(f, layers.LinkTypeRaw, seg{1, 9, "", true, false}, seg{1, 4000000000, "abc", false, false}))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, rep, _ := readCapture(t, b)
		total := 0
		for _, s := range h.data {
			total += len(s)
		}
		if total > len(b) || rep.Conversations*2 != len(h.events) && rep.Packets > 0 && len(h.events)%2 != 0 {
			t.Errorf("%d bytes from %d, %+v", total, len(b), rep)
		}
	})
}
