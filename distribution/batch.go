package distribution

import "sync"

// Batch is a run of changes that follow After without a gap, in order. Several subscribers share one: it is not changed.
// A subscriber may hold some of its first changes already, and passes over them.
type Batch struct {
	After   Position `json:"after"`
	Changes []Change `json:"changes"`

	encodeOnce sync.Once
	encoded    []byte
	encodeErr  error
}

// Encoded gives the batch in the form that encode makes of it. The first call encodes it, and all further ones share the
// bytes, whatever their encode: a batch has one wire format. It is safe for concurrent use.
func (b *Batch) Encoded(encode func(*Batch) ([]byte, error)) ([]byte, error) {
	b.encodeOnce.Do(func() { b.encoded, b.encodeErr = encode(b) })
	return b.encoded, b.encodeErr
}

// last is the position behind the batch.
func (b *Batch) last() Position {
	if len(b.Changes) == 0 {
		return b.After
	}
	return b.Changes[len(b.Changes)-1].Position
}
