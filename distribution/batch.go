package distribution

import "sync"

// Batch is a sequence of changes that follow After without a gap, in order. It is shared by subscribers and not modified. A
// subscriber that already has some of the first changes skips them.
type Batch struct {
	After   Position `json:"after"`
	Changes []Change `json:"changes"`

	encodeOnce sync.Once
	encoded    []byte
	encodeErr  error
}

// Encoded returns the batch as encoded by encode. Only the first call encodes it; all further calls return the same bytes and
// ignore their encode, as a batch has only one wire form. It is safe for concurrent use.
func (b *Batch) Encoded(encode func(*Batch) ([]byte, error)) ([]byte, error) {
	b.encodeOnce.Do(func() { b.encoded, b.encodeErr = encode(b) })
	return b.encoded, b.encodeErr
}

// last returns the position of the batch's last change.
func (b *Batch) last() Position {
	if len(b.Changes) == 0 {
		return b.After
	}
	return b.Changes[len(b.Changes)-1].Position
}
