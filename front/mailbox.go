package front

import (
	"container/list"
	"sync"
)

// Mailbox is a queue that passes events to Post in order. Put never blocks: a reader that blocked would not notice that its
// client cancels a request. The queue has no limit of its own; its users put no more in than each connection's open requests
// and the cancellations of those that were passed on.
type Mailbox[T any] struct {
	Post func(T) // may block

	mu      sync.Mutex
	queue   list.List
	posting bool
}

// Put appends an event. It returns the element to pass to Take.
func (m *Mailbox[T]) Put(ev T) *list.Element {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.queue.PushBack(ev)
	if !m.posting {
		m.posting = true
		go m.deliver()
	}
	return e
}

// Take removes an event, and reports whether it had not been passed to Post yet.
func (m *Mailbox[T]) Take(e *list.Element) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.Value == nil {
		return false
	}
	m.queue.Remove(e)
	e.Value = nil
	return true
}

// deliver passes events to Post until the queue is empty.
func (m *Mailbox[T]) deliver() {
	for {
		m.mu.Lock()
		e := m.queue.Front()
		if e == nil {
			m.posting = false
			m.mu.Unlock()
			return
		}
		ev := e.Value.(T)
		m.queue.Remove(e)
		e.Value = nil
		m.mu.Unlock()
		m.Post(ev)
	}
}
