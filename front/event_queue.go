package front

import (
	"container/list"
	"sync"
)

// EventQueue is a queue that passes events to Post in order. Push never blocks: a reader that blocked would not notice that
// its client cancels a request. The queue has no limit of its own; its users push no more than each connection's open
// requests and the cancellations of those that were passed on.
type EventQueue[T any] struct {
	Post func(T) // may block

	mu      sync.Mutex
	queue   list.List
	posting bool
}

// Push appends an event. It returns the element to pass to Remove.
func (q *EventQueue[T]) Push(ev T) *list.Element {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.queue.PushBack(ev)
	if !q.posting {
		q.posting = true
		go q.deliver()
	}
	return e
}

// Remove removes an event, and reports whether it had not been passed to Post yet.
func (q *EventQueue[T]) Remove(e *list.Element) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.Value == nil {
		return false
	}
	q.queue.Remove(e)
	e.Value = nil
	return true
}

// deliver passes events to Post until the queue is empty.
func (q *EventQueue[T]) deliver() {
	for {
		q.mu.Lock()
		e := q.queue.Front()
		if e == nil {
			q.posting = false
			q.mu.Unlock()
			return
		}
		ev := e.Value.(T)
		q.queue.Remove(e)
		e.Value = nil
		q.mu.Unlock()
		q.Post(ev)
	}
}
