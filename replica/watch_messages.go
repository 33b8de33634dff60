package replica

import (
	"bytes"
	"encoding/json"
	"fmt"

	"turnfork.dev/turnfork/distribution"
)

// The messages of a watch. A subscriber opens with a subscribeRequest and goes on with heartbeatMessages; the voter sends
// voterMessages. Each is a block of JSON, but for the parts of a snapshot: behind the message that announces it, it comes as
// blocks whose contents together are its JSON.

// Limits of the blocks.
const (
	maxSubscriberBlock = 1 << 10
	maxVoterBlock      = maxValue + 128<<10 // a batch of one change with the largest value
	snapshotPart       = 64 << 10           // small, so that the deadline of a write means a stalled subscriber
	maxSnapshot        = 256 << 20
	maxGatewayName     = 256
)

// subscribeRequest opens a watch.
type subscribeRequest struct {
	Name      string                `json:"name"`      // of the gateway, for the log
	Position  distribution.Position `json:"position"`  // that it holds
	Heartbeat uint64                `json:"heartbeat"` // number of its first heartbeat
}

// heartbeatMessage asks for a mark.
type heartbeatMessage struct {
	Heartbeat uint64 `json:"heartbeat"`
}

// voterMessage carries one of its fields.
type voterMessage struct {
	Admission *admissionMessage  `json:"admission,omitempty"`
	Refusal   *refusalMessage    `json:"refusal,omitempty"`
	Snapshot  *snapshotMessage   `json:"snapshot,omitempty"`
	Batch     *batchMessage      `json:"batch,omitempty"`
	Mark      *distribution.Mark `json:"mark,omitempty"`
}

// admissionMessage begins a watch. It comes at once, as a large snapshot takes its time to be put together.
type admissionMessage struct {
	Snapshot bool `json:"snapshot,omitempty"` // whether one comes next
}

// refusalMessage ends a watch.
type refusalMessage struct {
	Reason       distribution.Refusal `json:"reason"`
	RetryAfterMS int64                `json:"retry_after_ms"`
	Voters       []string             `json:"voters"` // the others
}

// snapshotMessage announces a snapshot.
type snapshotMessage struct {
	At    distribution.Position `json:"at"`
	Bytes int                   `json:"bytes"`
}

// encodeBlock encodes a message as it goes over a link, with its length before it.
func encodeBlock(message any) ([]byte, error) {
	var out bytes.Buffer
	out.Write(make([]byte, blockHeader))
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

// decodeRequest reads the message that opens a watch.
func decodeRequest(b []byte) (subscribeRequest, error) {
	var request subscribeRequest
	if err := json.Unmarshal(b, &request); err != nil {
		return request, err
	}
	if len(request.Name) > maxGatewayName || request.Heartbeat == 0 {
		return request, fmt.Errorf("replica: a watch needs a name of %d bytes at most and a heartbeat", maxGatewayName)
	}
	return request, nil
}

// decodeHeartbeat reads a subscriber's further message.
func decodeHeartbeat(b []byte) (heartbeat heartbeatMessage, err error) {
	err = json.Unmarshal(b, &heartbeat)
	return heartbeat, err
}
