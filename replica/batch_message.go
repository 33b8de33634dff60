package replica

import (
	"encoding/json"

	"turnfork.dev/turnfork/distribution"
)

// batchMessage is the wire form of a batch. Most changes are purges, and each is sent to every gateway, so a change has field
// names of one letter, and its numbers are differences from the previous change: those of the first from After, and from At.
type batchMessage struct {
	After   distribution.Position `json:"after"`
	At      int64                 `json:"at"` // Unix ms
	Changes []changeMessage       `json:"changes"`
}

// changeMessage is the wire form of a change in a batchMessage.
type changeMessage struct {
	Revision uint64            `json:"r"`           // difference
	Term     uint64            `json:"t,omitempty"` // difference
	At       int64             `json:"a,omitempty"` // difference, in ms
	Kind     distribution.Kind `json:"k,omitempty"` // omitted: a purge
	Name     string            `json:"n,omitempty"`
	Value    json.RawMessage   `json:"v,omitempty"`
	Until    int64             `json:"u,omitempty"`
	Object   uint64            `json:"o,omitempty"`
	Group    uint16            `json:"g,omitempty"`
}

// newBatchMessage returns the wire form of a batch.
func newBatchMessage(batch *distribution.Batch) *batchMessage {
	message := &batchMessage{After: batch.After, Changes: make([]changeMessage, 0, len(batch.Changes))}
	if len(batch.Changes) > 0 {
		message.At = batch.Changes[0].At
	}
	previous, at := message.After, message.At
	for _, change := range batch.Changes {
		encoded := changeMessage{
			Revision: uint64(change.Revision - previous.Revision), Term: change.Term - previous.Term, At: change.At - at,
			Kind: change.Kind, Name: change.Name, Value: change.Value, Until: change.Until,
			Object: change.Object, Group: change.Group,
		}
		if encoded.Kind == distribution.KindPurge {
			encoded.Kind = ""
		}
		message.Changes = append(message.Changes, encoded)
		previous, at = change.Position, change.At
	}
	return message
}

// batch is the inverse of newBatchMessage. Differences that overflow result in positions that are out of order, which
// a View rejects.
func (m *batchMessage) batch() *distribution.Batch {
	batch := &distribution.Batch{After: m.After, Changes: make([]distribution.Change, 0, len(m.Changes))}
	position, at := m.After, m.At
	for _, encoded := range m.Changes {
		position.Revision += distribution.Revision(encoded.Revision)
		position.Term += encoded.Term
		at += encoded.At
		change := distribution.Change{
			Position: position, At: at, Kind: encoded.Kind, Name: encoded.Name, Value: encoded.Value, Until: encoded.Until,
			Object: encoded.Object, Group: encoded.Group,
		}
		if change.Kind == "" {
			change.Kind = distribution.KindPurge
		}
		batch.Changes = append(batch.Changes, change)
	}
	return batch
}
