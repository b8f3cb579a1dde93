package agent

import (
	"sync"
	"time"
)

// mailbox is an unbounded FIFO queue of an actor's messages. put never blocks, so actors that send to each
// other cannot deadlock. The senders bound its length: each client connection, whose number is limited, has
// one request queued at most (see waitForPrevious), and datagrams are put only while few messages wait. It
// is safe for concurrent use.
type mailbox[T any] struct {
	mu    sync.Mutex
	queue []queued[T]
	wake  chan struct{} // capacity 1; has a value when the queue is not empty
	// observe is called after each message that was handled; nil: not called. It must be set before receive.
	observe func(message T, waited, took time.Duration)
}

// queued is a waiting message.
type queued[T any] struct {
	message T
	since   time.Time
}

func newMailbox[T any]() *mailbox[T] { return &mailbox[T]{wake: make(chan struct{}, 1)} }

// put adds a message and returns the number of waiting messages, including it.
func (m *mailbox[T]) put(v T) int {
	m.mu.Lock()
	m.queue = append(m.queue, queued[T]{v, time.Now()})
	n := len(m.queue)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default: // the actor was already woken
	}
	return n
}

// waiting returns the number of waiting messages.
func (m *mailbox[T]) waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.queue)
}

// receive calls handle with each message, in order, until handle returns false. It is the actor's loop.
func (m *mailbox[T]) receive(handle func(T) bool) {
	var batch []queued[T]
	for range m.wake {
		m.mu.Lock()
		batch, m.queue = m.queue, batch[:0]
		m.mu.Unlock()
		for i := range batch {
			if !m.handleOne(batch[i], handle) {
				return
			}
			batch[i] = queued[T]{} // lets the garbage collector free the message
		}
	}
}

// handleOne handles one message and observes how long that took.
func (m *mailbox[T]) handleOne(q queued[T], handle func(T) bool) (goesOn bool) {
	if m.observe == nil {
		return handle(q.message)
	}
	began := time.Now()
	goesOn = handle(q.message)
	m.observe(q.message, began.Sub(q.since), time.Since(began))
	return goesOn
}
