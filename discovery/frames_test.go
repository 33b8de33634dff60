package discovery

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

func frame(seq uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(frameHeaderLen+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, seq), kind), payload...)
}

var endpointEntry = []byte{
	0, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x13, 0xba, 1, 2, 1, 0, 2, 0, 0, 0x0f, 0xa0,
	0, 0, 1, 0x9a, 0xd9, 0x32, 0x24, 0,
}

func TestReadFrame(t *testing.T) {
	var b bytes.Buffer
	b.Write(frame(41, kindDelta, endpointEntry))
	b.Write(frame(41, kindHeartbeat, nil))
	b.Write(frame(42, kindPurgeObject, []byte{0x7f, 0x3a, 0x9c, 0x21, 0xe0, 0xb4, 0xd6, 0x55, 0, 0, 0, 0, 0, 0, 0, 9}))
	b.Write(frame(43, kindPurgeGroup, []byte{0, 17, 0, 0, 0, 0, 0, 0, 0, 8}))
	var got []Frame
	for {
		f, err := ReadFrame(&b)
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, f)
	}
	s := got[0].Event.(core.EndpointList)
	m := s.Endpoints[0].Info
	if s.Snapshot || s.Endpoints[0].Addr != "10.1.0.9:5050" || m.ID != 0xc41f7a || m.State != control.Draining || m.Zone != 2 ||
		m.Kind != 1 || m.Cell != 2 || m.Weight != 4 || m.StartedAt <= 0 {
		t.Errorf("%+v", s.Endpoints[0])
	}
	if got[1].Event != nil || got[2].Event != (core.Purge{Object: 0x7f3a9c21e0b4d655, At: 9}) ||
		got[3].Event != (core.Purge{Group: 17, At: 8}) {
		t.Errorf("%+v", got[1:])
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add(frame(41, kindSnapshot, endpointEntry))
	f.Add(frame(1, kindPurgeGroup, []byte{1}))
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		if fr, err := ReadFrame(bytes.NewReader(b)); err == nil {
			if s, ok := fr.Event.(core.EndpointList); ok && len(s.Endpoints)*endpointLen > len(b) {
				t.Errorf("%d endpoints in %d bytes", len(s.Endpoints), len(b))
			}
		}
	})
}

// No part of a frame passes for a whole one, whether the connection ends in it or its length states too little.
func TestIncompleteFrameIsRejected(t *testing.T) {
	for kind, payload := range map[byte][]byte{
		kindDelta:       endpointEntry,
		kindPurgeObject: make([]byte, purgeObjectLen),
		kindPurgeGroup:  make([]byte, purgeGroupLen),
	} {
		whole := frame(41, kind, payload)
		if _, err := ReadFrame(bytes.NewReader(whole)); err != nil {
			t.Fatal(err)
		}
		for n := range whole {
			if got, err := ReadFrame(bytes.NewReader(whole[:n])); err == nil {
				t.Errorf("kind %d, %d of %d bytes: %+v", kind, n, len(whole), got)
			}
		}
		for n := 1; n < len(payload); n++ {
			if got, err := ReadFrame(bytes.NewReader(frame(41, kind, payload[:n]))); err == nil {
				t.Errorf("kind %d, payload of %d bytes: %+v", kind, n, got)
			}
		}
	}
}
