package front

import (
	"container/list"
	"sync"
)

// Mailbox hands events on in order without ever making who puts them in wait: a reader that waited for room would not
// see that its client withdraws. It holds no more than its users leave in it: each connection's open requests, and the
// withdrawals of those that were handed on.
type Mailbox[T any] struct {
	Post func(T) // may wait

	mu      sync.Mutex
	waiting list.List
	posting bool
}

// Put has an event handed on, and gives what Take takes it back by.
func (m *Mailbox[T]) Put(ev T) *list.Element {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.waiting.PushBack(ev)
	if !m.posting {
		m.posting = true
		go m.hand()
	}
	return e
}

// Take takes an event back, and tells whether it had not been handed on yet.
func (m *Mailbox[T]) Take(e *list.Element) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.Value == nil {
		return false
	}
	m.waiting.Remove(e)
	e.Value = nil
	return true
}

// hand hands on what waits until nothing does.
func (m *Mailbox[T]) hand() {
	for {
		m.mu.Lock()
		e := m.waiting.Front()
		if e == nil {
			m.posting = false
			m.mu.Unlock()
			return
		}
		ev := e.Value.(T)
		m.waiting.Remove(e)
		e.Value = nil
		m.mu.Unlock()
		m.Post(ev)
	}
}
