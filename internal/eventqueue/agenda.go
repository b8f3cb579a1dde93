// Package eventqueue keeps what is to be done at some time, for worlds in virtual time. It is the inner loop
// of each: a heap of plain values, of four children a node, flatter than one of two, so that fewer are
// touched.
package eventqueue

import "time"

// Item is something that is due. Of two at one time the one that was added first comes first.
type Item[T any] struct {
	At    time.Duration
	Order uint64 // another one for each
	Do    T
}

func (i *Item[T]) before(o *Item[T]) bool { return i.At < o.At || i.At == o.At && i.Order < o.Order }

// Agenda has no items at first.
type Agenda[T any] struct{ items []Item[T] }

const below = 4

// Add puts one in.
func (a *Agenda[T]) Add(item Item[T]) {
	a.items = append(a.items, item)
	i := len(a.items) - 1
	for i > 0 {
		above := (i - 1) / below
		if !item.before(&a.items[above]) {
			break
		}
		a.items[i] = a.items[above]
		i = above
	}
	a.items[i] = item
}

// First is when the one that comes first is due.
func (a *Agenda[T]) First() (at time.Duration, is bool) {
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].At, true
}

// Next takes out the one that comes first, if it is due by a time.
func (a *Agenda[T]) Next(by time.Duration) (first Item[T], ok bool) {
	if len(a.items) == 0 || a.items[0].At > by {
		return first, false
	}
	first = a.items[0]
	end := len(a.items) - 1
	last := a.items[end]
	a.items[end] = Item[T]{} // what it holds may be collected
	if a.items = a.items[:end]; end > 0 {
		a.sink(last)
	}
	return first, true
}

// sink puts an item where the first one was, or further down.
func (a *Agenda[T]) sink(item Item[T]) {
	i := 0
	for {
		least, to := i*below+1, min(i*below+1+below, len(a.items))
		for c := least + 1; c < to; c++ {
			if a.items[c].before(&a.items[least]) {
				least = c
			}
		}
		if least >= to || !a.items[least].before(&item) {
			break
		}
		a.items[i] = a.items[least]
		i = least
	}
	a.items[i] = item
}
