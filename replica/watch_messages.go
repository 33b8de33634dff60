package replica

import (
	"bytes"
	"encoding/json"
	"fmt"

	"turnfork.dev/turnfork/distribution"
)

// The messages of a watch. A subscriber begins with a subscribeRequest and continues with heartbeatMessages; the voter sends
// voterMessages. Each is a block of JSON. A snapshot is announced by a message and follows in blocks whose concatenated contents
// are its JSON.

// Size limits of the messages.
const (
	maxSubscriberMessage = 1 << 10
	maxVoterMessage      = maxValue + 128<<10 // a batch of one change with the largest value
	snapshotChunkSize    = 64 << 10           // small, so that only a stalled subscriber exceeds the deadline of a write
	maxSnapshotSize      = 256 << 20
	maxGatewayName       = 256
)

// subscribeRequest begins a watch.
type subscribeRequest struct {
	Name      string                `json:"name"`      // of the gateway, for the log
	Position  distribution.Position `json:"position"`  // of the subscriber's copy
	Heartbeat uint64                `json:"heartbeat"` // number of its first heartbeat
}

// heartbeatMessage requests a mark.
type heartbeatMessage struct {
	Heartbeat uint64 `json:"heartbeat"`
}

// voterMessage is a message of a voter. Exactly one of its fields is set.
type voterMessage struct {
	Admission *admissionMessage  `json:"admission,omitempty"`
	Rejection *rejectionMessage  `json:"refusal,omitempty"`
	Snapshot  *snapshotMessage   `json:"snapshot,omitempty"`
	Batch     *batchMessage      `json:"batch,omitempty"`
	Mark      *distribution.Mark `json:"mark,omitempty"`
}

// admissionMessage accepts a watch. It is sent at once, as encoding a large snapshot takes a while.
type admissionMessage struct {
	Snapshot bool `json:"snapshot,omitempty"` // a snapshot comes next
}

// rejectionMessage ends a watch.
type rejectionMessage struct {
	Reason       distribution.Rejection `json:"reason"`
	RetryAfterMS int64                  `json:"retry_after_ms"`
	Voters       []string               `json:"voters"` // the other voters' addresses
}

// snapshotMessage announces a snapshot.
type snapshotMessage struct {
	At    distribution.Position `json:"at"`
	Bytes int                   `json:"bytes"`
}

// encodeBlock encodes a message as a block.
func encodeBlock(message any) ([]byte, error) {
	var out bytes.Buffer
	out.Write(make([]byte, blockHeaderSize))
	if err := encodeJSON(&out, message); err != nil {
		return nil, err
	}
	b := out.Bytes()
	putBlockHeader(b)
	return b, nil
}

// encodeBatch encodes a batch once; all subscribers share the bytes.
func encodeBatch(batch *distribution.Batch) ([]byte, error) {
	return batch.Encoded(func(b *distribution.Batch) ([]byte, error) {
		return encodeBlock(voterMessage{Batch: newBatchMessage(b)})
	})
}

// encodeJSON encodes without escaping for HTML, which would make a value up to six times as long.
func encodeJSON(to *bytes.Buffer, message any) error {
	encoder := json.NewEncoder(to)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(message)
}

// decodeSubscribeRequest decodes and checks the message that begins a watch.
func decodeSubscribeRequest(b []byte) (subscribeRequest, error) {
	var request subscribeRequest
	if err := json.Unmarshal(b, &request); err != nil {
		return request, err
	}
	if len(request.Name) > maxGatewayName || request.Heartbeat == 0 {
		return request, fmt.Errorf("replica: a watch needs a name of %d bytes at most and a heartbeat", maxGatewayName)
	}
	return request, nil
}

// decodeHeartbeat decodes any message of a subscriber after the first one.
func decodeHeartbeat(b []byte) (heartbeat heartbeatMessage, err error) {
	err = json.Unmarshal(b, &heartbeat)
	return heartbeat, err
}
