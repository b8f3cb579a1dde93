package bytebudget

import (
	"slices"
	"time"
)

const (
	maxSmallBytes       = 8 << 10 // maximum size of a small reservation
	smallReserveDivisor = 8       // 1/8 of the limit is reserved for small reservations
	// queueDelayPerByte is the delay that each byte adds to a reservation's queueTime. A reservation can be
	// overtaken only by smaller ones that arrive within the delay of its size. Small reservations are therefore
	// granted first, and large ones do not starve.
	queueDelayPerByte = time.Microsecond
)

// Holder identifies a holder of memory: an upstream server for its responses, or a client for its requests.
type Holder struct {
	Name      string
	IsRequest bool
}

// Ticket identifies a waiting reservation.
type Ticket uint64

// Budget decides how many bytes each holder may reserve. Calls that can make bytes available return the
// tickets of the waiting reservations that were granted as a result, in order.
type Budget struct {
	limit, reserved    int64
	reservedByRequests int64 // part of reserved
	reservedBy         map[Holder]int64
	waiting            []reservation // sorted by queueTime
	lastTicket         Ticket
}

type reservation struct {
	ticket    Ticket
	holder    Holder
	size      int64
	queueTime time.Duration
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, reservedBy: map[Holder]int64{}}
}

// Reserved returns the number of granted bytes.
func (b *Budget) Reserved() int64 { return b.reserved }

// Waiting returns the number of waiting reservations.
func (b *Budget) Waiting() int { return len(b.waiting) }

// Reserve reserves size bytes for a holder and reports whether they were granted at once. If not, the
// reservation waits until a later call returns its ticket as granted, or until Cancel is called.
func (b *Budget) Reserve(now time.Duration, holder Holder, size int64) (t Ticket, granted bool) {
	if size <= 0 || len(b.waiting) == 0 && b.check(holder, size) == allowed { // the usual case
		b.reserve(holder, size)
		return 0, true
	}
	b.lastTicket++
	added := reservation{
		ticket: b.lastTicket, holder: holder, size: size,
		queueTime: now + time.Duration(size)*queueDelayPerByte,
	}
	at, _ := slices.BinarySearchFunc(b.waiting, added, func(queued, added reservation) int {
		if queued.queueTime <= added.queueTime { // with equal queueTime, the earlier reservation comes first
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, added)
	// The others could not be granted before, so only the new reservation can be granted here.
	if len(b.grantWaiting()) > 0 {
		return 0, true
	}
	return added.ticket, false
}

// TryReserve reserves size additional bytes if they are available at once and no reservation waits, and
// reports whether it did. It never uses the second half of the limit, which is kept for new bodies.
func (b *Budget) TryReserve(holder Holder, size int64) bool {
	if len(b.waiting) > 0 || b.reserved+size > b.limit/2 || b.check(holder, size) != allowed {
		return false
	}
	b.reserve(holder, size)
	return true
}

// Release releases size bytes that were granted to a holder. It returns the tickets granted as a result.
func (b *Budget) Release(holder Holder, size int64) []Ticket {
	b.reserve(holder, -size)
	return b.grantWaiting()
}

// Cancel cancels a waiting reservation. If waited is false, the reservation was already granted, and the
// caller owns the bytes.
func (b *Budget) Cancel(t Ticket) (granted []Ticket, waited bool) {
	at := slices.IndexFunc(b.waiting, func(a reservation) bool { return a.ticket == t })
	if at < 0 {
		return nil, false
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	return b.grantWaiting(), true
}

// SetLimit changes the limit in bytes. Granted bytes stay granted: after the limit is lowered, reservations
// wait until enough bytes are released. It returns the tickets granted as a result.
func (b *Budget) SetLimit(limit int64) []Ticket {
	b.limit = limit
	return b.grantWaiting()
}

// reserve adds size bytes to a holder's reserved bytes; a negative size releases bytes.
func (b *Budget) reserve(holder Holder, size int64) {
	b.reserved += size
	if holder.IsRequest {
		b.reservedByRequests += size
	}
	if b.reservedBy[holder] += size; b.reservedBy[holder] == 0 {
		delete(b.reservedBy, holder)
	}
}

// grantWaiting grants the waiting reservations that are allowed now, in order of queueTime, and returns
// their tickets. One that finds the budget full blocks those after it, since it could starve otherwise. One
// that only exceeds its holder's limit does not.
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

// verdict is the result of checking a reservation: allowed, or the reason why it is not.
type verdict uint8

const (
	allowed    verdict = iota
	budgetFull         // the total limit is reached
	holderFull         // the limit of this holder, or of all requests, is reached
)

// check reports whether size additional bytes can be granted. The maximum is half of the limit for a server
// and for all requests together, a quarter for a client, and in each case half as much again for small
// reservations. No holder can therefore reserve everything, and responses are granted however much requests
// hold. A response is always granted if no response holds memory, and a request if nothing is held at all;
// otherwise a limit that is set too low would block forever.
func (b *Budget) check(holder Holder, size int64) verdict {
	totalLimit, holderLimit := b.limit-b.limit/smallReserveDivisor, b.limit/2
	if size <= maxSmallBytes {
		totalLimit, holderLimit = b.limit, b.limit-b.limit/4
	}
	isFirst := b.reserved == 0 || !holder.IsRequest && b.reserved == b.reservedByRequests
	held := b.reservedBy[holder]
	switch {
	case isFirst:
		return allowed
	case holder.IsRequest && (b.reservedByRequests+size > holderLimit || held > 0 && held+size > holderLimit/2):
		return holderFull
	case !holder.IsRequest && held > 0 && held+size > holderLimit:
		return holderFull
	case b.reserved+size > totalLimit:
		return budgetFull
	}
	return allowed
}
