package agent

import "sync"

// mailbox holds an actor's messages in the order in which they came. Putting never blocks, so that actors
// which send to each other cannot deadlock. Its length is bounded by what makes messages: requests have
// descriptors, which are bounded, and datagrams are put only while few wait. It is safe for concurrent use.
type mailbox[T any] struct {
	mu    sync.Mutex
	queue []T
	wake  chan struct{} // holds one: the queue is not empty
}

func newMailbox[T any]() *mailbox[T] { return &mailbox[T]{wake: make(chan struct{}, 1)} }

// put adds a message, and returns how many wait then.
func (m *mailbox[T]) put(v T) int {
	m.mu.Lock()
	m.queue = append(m.queue, v)
	n := len(m.queue)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default: // the actor is to wake already
	}
	return n
}

// waiting returns how many messages wait.
func (m *mailbox[T]) waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.queue)
}

// receive calls handle with each message, in order, until that returns false. It is the actor's loop.
func (m *mailbox[T]) receive(handle func(T) bool) {
	var batch []T
	for range m.wake {
		m.mu.Lock()
		batch, m.queue = m.queue, batch[:0]
		m.mu.Unlock()
		for i, v := range batch {
			if !handle(v) {
				return
			}
			var none T
			batch[i] = none // what was handled may be reclaimed
		}
	}
}
