package bytebudget

import (
	"slices"
	"time"
)

const (
	smallBytes   = 8 << 10 // a reservation up to this is small
	smallReserve = 8       // the others leave this part of the limit, an eighth, to small ones
	// delayPerByte is how much later a byte more makes a reservation's turn. It is overtaken by smaller ones
	// only while they come within its size's worth of time: so the small go first, and the large are not
	// starved.
	delayPerByte = time.Microsecond
)

// Holder is who holds memory: an upstream server by its responses, or a client by its requests.
type Holder struct {
	Name      string
	IsRequest bool
}

// Ticket is the number of a reservation that waits.
type Ticket uint64

// Budget decides who may hold how many bytes. Calls that free something return the tickets of the
// reservations that are granted by that, in order.
type Budget struct {
	limit, reserved    int64
	reservedByRequests int64 // of used
	reservedBy         map[Holder]int64
	waiting            []reservation // by their turn
	last               Ticket
}

type reservation struct {
	ticket Ticket
	holder Holder
	size   int64
	turn   time.Duration
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, reservedBy: map[Holder]int64{}}
}

// Reserved is how many bytes are granted.
func (b *Budget) Reserved() int64 { return b.reserved }

// Waiting is how many reservations wait.
func (b *Budget) Waiting() int { return len(b.waiting) }

// Reserve reserves size bytes for a holder. What is not granted at once waits under the ticket, until a later
// call grants it or Cancel is called.
func (b *Budget) Reserve(now time.Duration, holder Holder, size int64) (t Ticket, granted bool) {
	if size <= 0 || len(b.waiting) == 0 && b.check(holder, size) == allowed { // the usual case
		b.reserve(holder, size)
		return 0, true
	}
	b.last++
	a := reservation{ticket: b.last, holder: holder, size: size, turn: now + time.Duration(size)*delayPerByte}
	at, _ := slices.BinarySearchFunc(b.waiting, a, func(w, a reservation) int {
		if w.turn <= a.turn { // of two with the same turn the first one goes first
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, a)
	// What waits was not allowed before, so the new one is the only one that can be granted by this.
	if len(b.grantWaiting()) > 0 {
		return 0, true
	}
	return a.ticket, false
}

// TryReserve reserves size bytes more only if that keeps nobody waiting, now or soon: never of the second
// half of the limit, which is for bodies that begin.
func (b *Budget) TryReserve(holder Holder, size int64) bool {
	if len(b.waiting) > 0 || b.reserved+size > b.limit/2 || b.check(holder, size) != allowed {
		return false
	}
	b.reserve(holder, size)
	return true
}

// Release releases size bytes of what a holder was granted.
func (b *Budget) Release(holder Holder, size int64) []Ticket {
	b.reserve(holder, -size)
	return b.grantWaiting()
}

// Cancel cancels a reservation that waits. Where waited is false, it was granted before, and the bytes are
// the caller's.
func (b *Budget) Cancel(t Ticket) (granted []Ticket, waited bool) {
	at := slices.IndexFunc(b.waiting, func(a reservation) bool { return a.ticket == t })
	if at < 0 {
		return nil, false
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	return b.grantWaiting(), true
}

// SetLimit changes the limit in bytes. What is granted stays granted: under a lower limit, reservations wait
// until enough of it was released.
func (b *Budget) SetLimit(limit int64) []Ticket {
	b.limit = limit
	return b.grantWaiting()
}

// reserve counts size bytes of a holder; below zero, it releases them.
func (b *Budget) reserve(holder Holder, size int64) {
	b.reserved += size
	if holder.IsRequest {
		b.reservedByRequests += size
	}
	if b.reservedBy[holder] += size; b.reservedBy[holder] == 0 {
		delete(b.reservedBy, holder)
	}
}

// grantWaiting grants what is allowed now, in the order of the turns. One that finds the budget full holds up
// those after it, or it could wait for ever; one whose holder has its part does not.
func (b *Budget) grantWaiting() (granted []Ticket) {
	for i := 0; i < len(b.waiting); {
		next := b.waiting[i]
		switch b.check(next.holder, next.size) {
		case allowed:
			b.reserve(next.holder, next.size)
			granted = append(granted, next.ticket)
			b.waiting = slices.Delete(b.waiting, i, i+1)
		case budgetFull:
			return granted
		case holderFull:
			i++
		}
	}
	return granted
}

// verdict is whether a reservation is granted now, or why not.
type verdict uint8

const (
	allowed    verdict = iota
	budgetFull         // too much is granted already
	holderFull         // too much of it to this holder, or to requests
)

// check reports whether size bytes more can be granted. The most of a server, and of all requests together,
// is half of the limit, of a client a quarter; and half as much more for small reservations. So nobody can
// have everything, and responses come to their turn whatever requests hold. A response where none holds
// anything gets what it needs, and so does a request where nothing is held at all, or a limit that was set
// too low would block for good.
func (b *Budget) check(holder Holder, size int64) verdict {
	all, own := b.limit-b.limit/smallReserve, b.limit/2
	if size <= smallBytes {
		all, own = b.limit, b.limit-b.limit/4
	}
	isFirst := b.reserved == 0 || !holder.IsRequest && b.reserved == b.reservedByRequests
	held := b.reservedBy[holder]
	switch {
	case isFirst:
		return allowed
	case holder.IsRequest && (b.reservedByRequests+size > own || held > 0 && held+size > own/2):
		return holderFull
	case !holder.IsRequest && held > 0 && held+size > own:
		return holderFull
	case b.reserved+size > all:
		return budgetFull
	}
	return allowed
}
