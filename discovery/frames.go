package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"

	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// Kinds of frames, as the discovery server numbers them.
const (
	kindHeartbeat   = 0 // no event
	kindSnapshot    = 1 // the complete endpoint list
	kindDelta       = 2 // the endpoints that changed
	kindPurgeObject = 3
	kindPurgeGroup  = 4
)

// Lengths in bytes. A frame consists of its length (4 bytes), a header (sequence number and kind) and a payload; the length
// covers the header and the payload.
const (
	sequenceLen    = 8
	frameHeaderLen = sequenceLen + 1
	maxFrameLen    = 1 << 20
	endpointLen    = 27
	purgeObjectLen = 16
	purgeGroupLen  = 10
)

const (
	weightUnit    = 1000      // weights are sent in thousandths
	startedAtMask = 1<<62 - 1 // the bits of a start time that hold the time
)

var errMalformedFrame = errors.New("malformed frame")

// endpointStates maps the state number in a frame to the state of the endpoint.
var endpointStates = [...]control.State{control.Ready, control.Draining, control.Gone}

// Frame is one event of a watch with its sequence number; Event is nil in a heartbeat.
type Frame struct {
	Seq   uint64
	Event core.Event
}

// ReadFrame reads one frame. The length is checked before anything is allocated.
func ReadFrame(r io.Reader) (Frame, error) {
	body, err := readFrameBody(r)
	if err != nil {
		return Frame{}, err
	}
	frame := Frame{Seq: binary.BigEndian.Uint64(body)}
	frame.Event, err = parseEvent(body[sequenceLen], body[frameHeaderLen:])
	return frame, err
}

// readFrameBody reads one frame and returns its header and payload.
func readFrameBody(r io.Reader) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n < frameHeaderLen || n > maxFrameLen {
		return nil, fmt.Errorf("%w: length %d", errMalformedFrame, n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, nil
}

// parseEvent parses a payload according to the kind of its frame. It returns nil for a heartbeat, which has no event.
func parseEvent(kind byte, payload []byte) (core.Event, error) {
	switch kind {
	case kindHeartbeat:
		return nil, nil
	case kindSnapshot, kindDelta:
		return parseEndpointList(payload, kind == kindSnapshot)
	case kindPurgeObject:
		return parseObjectPurge(payload)
	case kindPurgeGroup:
		return parseGroupPurge(payload)
	default:
		return nil, fmt.Errorf("%w: kind %d", errMalformedFrame, kind)
	}
}

func parseEndpointList(payload []byte, snapshot bool) (core.Event, error) {
	if len(payload)%endpointLen != 0 {
		return nil, fmt.Errorf("%w: endpoint list of %d bytes", errMalformedFrame, len(payload))
	}
	list := core.EndpointList{Snapshot: snapshot}
	for ; len(payload) > 0; payload = payload[endpointLen:] {
		endpoint, err := parseEndpoint(payload[:endpointLen])
		if err != nil {
			return nil, err
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// parseEndpoint parses one entry of an endpoint list: id (4 bytes), IPv4 address (4), port (2), state (1), zone (1), kind (1),
// cell (2), weight (4), start time in milliseconds (8).
func parseEndpoint(b []byte) (core.Endpoint, error) {
	state := int(b[10])
	if state >= len(endpointStates) {
		return core.Endpoint{}, fmt.Errorf("%w: state %d", errMalformedFrame, state)
	}
	ip := net.IPv4(b[4], b[5], b[6], b[7])
	port := binary.BigEndian.Uint16(b[8:])
	startedAt := binary.BigEndian.Uint64(b[19:]) & startedAtMask
	return core.Endpoint{
		Addr: net.JoinHostPort(ip.String(), strconv.Itoa(int(port))),
		Info: control.Endpoint{
			ID:        control.EndpointID(binary.BigEndian.Uint32(b)),
			State:     endpointStates[state],
			Zone:      int(b[11]),
			Kind:      int(b[12]),
			Cell:      int(binary.BigEndian.Uint16(b[13:])),
			Weight:    float64(binary.BigEndian.Uint32(b[15:])) / weightUnit,
			StartedAt: clock.Duration(float64(startedAt)),
		},
	}, nil
}

// parseObjectPurge parses the purge of one object: its hash (8 bytes) and the time in milliseconds (8).
func parseObjectPurge(payload []byte) (core.Event, error) {
	if len(payload) != purgeObjectLen {
		return nil, fmt.Errorf("%w: purge of %d bytes", errMalformedFrame, len(payload))
	}
	return core.Purge{
		Object: binary.BigEndian.Uint64(payload),
		At:     float64(binary.BigEndian.Uint64(payload[8:])),
	}, nil
}

// parseGroupPurge parses the purge of a group of objects: its number (2 bytes) and the time in milliseconds (8).
func parseGroupPurge(payload []byte) (core.Event, error) {
	if len(payload) != purgeGroupLen {
		return nil, fmt.Errorf("%w: purge of %d bytes", errMalformedFrame, len(payload))
	}
	return core.Purge{
		Group: binary.BigEndian.Uint16(payload),
		At:    float64(binary.BigEndian.Uint64(payload[2:])),
	}, nil
}
