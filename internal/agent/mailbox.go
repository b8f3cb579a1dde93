// Package agent carries out what the decision module decides. Its parts are actors, each with a mailbox:
// one for the module, one for the pool config, one for each booking server and one for the other agents. It
// knows no protocol: operations, answers and lists are typed values here.
package agent

import "sync"

// mailbox holds an actor's messages in the order they came. Putting never blocks, so actors that send to each
// other cannot deadlock. Its length is bounded by what makes messages: operations hold descriptors, which are
// bounded, and datagrams are only put while few wait.
type mailbox[T any] struct {
	mu    sync.Mutex
	queue []T
	wake  chan struct{}
}

func newMailbox[T any]() *mailbox[T] { return &mailbox[T]{wake: make(chan struct{}, 1)} }

// put adds a message and tells how many wait now.
func (m *mailbox[T]) put(v T) int {
	m.mu.Lock()
	m.queue = append(m.queue, v)
	n := len(m.queue)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
	return n
}

// waiting tells how many messages wait.
func (m *mailbox[T]) waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.queue)
}

// receive hands each message to handle, in order, until handle returns false.
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
			batch[i] = none // what was handled may be collected
		}
	}
}
