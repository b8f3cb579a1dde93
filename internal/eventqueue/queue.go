// Package eventqueue is a priority queue of events by time, for simulations in virtual time.
//
// It is the inner loop of each simulation: a heap of plain values with four children a node, which is flatter
// than one with two, so that an operation touches fewer items. A queue is used by one goroutine. Its order
// depends on the items alone, so that a simulation is deterministic.
package eventqueue

import "time"

// Item is an event with the time at which it is due.
type Item[T any] struct {
	// DueAt is the virtual time since the beginning of the simulation.
	DueAt time.Duration
	// Order ranks items that are due at the same time: the lowest comes first. It must differ between them.
	Order uint64
	// Event is the value that the simulation handles then.
	Event T
}

func (i *Item[T]) before(o *Item[T]) bool {
	return i.DueAt < o.DueAt || i.DueAt == o.DueAt && i.Order < o.Order
}

// Queue contains the items that Next has not returned yet. The zero value is an empty queue.
type Queue[T any] struct{ items []Item[T] }

// arity is the number of children of a heap node.
const arity = 4

// Add inserts an item.
func (q *Queue[T]) Add(item Item[T]) {
	q.items = append(q.items, item)
	i := len(q.items) - 1
	for i > 0 {
		parent := (i - 1) / arity
		if !item.before(&q.items[parent]) {
			break
		}
		q.items[i] = q.items[parent]
		i = parent
	}
	q.items[i] = item
}

// NextAt returns the time at which the first item is due; ok is false if the queue is empty.
func (q *Queue[T]) NextAt() (at time.Duration, ok bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].DueAt, true
}

// Next removes and returns the first item if it is due at until or earlier; otherwise ok is false.
func (q *Queue[T]) Next(until time.Duration) (first Item[T], ok bool) {
	if len(q.items) == 0 || q.items[0].DueAt > until {
		return first, false
	}
	first = q.items[0]
	end := len(q.items) - 1
	last := q.items[end]
	q.items[end] = Item[T]{} // lets the garbage collector free its event
	if q.items = q.items[:end]; end > 0 {
		q.siftDown(last)
	}
	return first, true
}

// siftDown places an item at the root, or as far below it as the order of the heap requires.
func (q *Queue[T]) siftDown(item Item[T]) {
	i := 0
	for {
		first, end := i*arity+1, min(i*arity+1+arity, len(q.items))
		for child := first + 1; child < end; child++ {
			if q.items[child].before(&q.items[first]) {
				first = child
			}
		}
		if first >= end || !q.items[first].before(&item) {
			break
		}
		q.items[i] = q.items[first]
		i = first
	}
	q.items[i] = item
}
