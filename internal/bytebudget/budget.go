// Package bytebudget shares out what bodies may occupy: requests and answers, both ways, from one budget that
// is counted by the byte. Budget decides and does nothing else; Pool is the same for goroutines that wait.
//
// Nobody waits for ever: whoever carries a body asks once, before the body is read, for what it needs at
// the least to reach its end, and only tries for what it wants beyond that. An operation that holds its
// request does wait for its answer, so requests have a part of their own, and an answer waits for other
// answers only.
package bytebudget

import (
	"slices"
	"time"
)

const (
	// small is up to how many bytes an ask counts as small.
	small = 8 << 10
	// An ask that is not small leaves this part of the limit to those that are.
	smallPart = 8
	// weight is how much later a byte more makes an ask's turn. An ask is overtaken by smaller ones only while
	// they come within its size's worth of time: so the small go first, and the large are not starved.
	weight = time.Microsecond
)

// Holder is who holds memory: a booking server by its answers, or a client by its requests.
type Holder struct {
	Name    string
	Request bool
}

// Ticket is the number of an ask that waits.
type Ticket uint64

// Budget tells who may hold how many bytes. It takes the time from its caller, which also serialises the
// calls. Calls that free something return the tickets whose asks are granted by that, in order.
type Budget struct {
	limit, used int64
	requests    int64 // of used
	holders     map[Holder]int64
	waiting     []ask // by their turn
	last        Ticket
}

type ask struct {
	ticket Ticket
	holder Holder
	size   int64
	turn   time.Duration
}

// NewBudget shares out limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[Holder]int64{}}
}

// Used is how many bytes are granted.
func (b *Budget) Used() int64 { return b.used }

// Waiting is how many asks wait.
func (b *Budget) Waiting() int { return len(b.waiting) }

// Ask asks for size bytes for a holder. If it is not granted at once, it waits
// under the ticket, until a later call grants it or Withdraw is called.
func (b *Budget) Ask(now time.Duration, holder Holder, size int64) (t Ticket, granted bool) {
	if size <= 0 || len(b.waiting) == 0 && b.fits(holder, size) == fits { // nothing, and the usual case
		b.hold(holder, size)
		return 0, true
	}
	b.last++
	a := ask{ticket: b.last, holder: holder, size: size, turn: now + time.Duration(size)*weight}
	at, _ := slices.BinarySearchFunc(b.waiting, a, func(w, a ask) int {
		if w.turn <= a.turn { // those that are equal keep the order of their asking
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, a)
	// What waits did not fit before, so the new ask is the only one that can be granted by this.
	if len(b.serve()) > 0 {
		return 0, true
	}
	return a.ticket, false
}

// Try grants size bytes more only if that keeps nobody waiting, now or soon: never the second half,
// which is for those who begin.
func (b *Budget) Try(holder Holder, size int64) bool {
	if len(b.waiting) > 0 || b.used+size > b.limit/2 || b.fits(holder, size) != fits {
		return false
	}
	b.hold(holder, size)
	return true
}

// Return takes back size bytes of what a holder was granted.
func (b *Budget) Return(holder Holder, size int64) []Ticket {
	b.hold(holder, -size)
	return b.serve()
}

// Withdraw forgets an ask that waits. False: it was granted before, and what it was granted is the caller's.
func (b *Budget) Withdraw(t Ticket) (granted []Ticket, waited bool) {
	at := slices.IndexFunc(b.waiting, func(a ask) bool { return a.ticket == t })
	if at < 0 {
		return nil, false
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	return b.serve(), true
}

// SetLimit changes how many bytes there are. What is granted stays granted: under a lower limit, asks wait
// until enough of it has come back.
func (b *Budget) SetLimit(limit int64) []Ticket {
	b.limit = limit
	return b.serve()
}

func (b *Budget) hold(holder Holder, size int64) {
	b.used += size
	if holder.Request {
		b.requests += size
	}
	if b.holders[holder] += size; b.holders[holder] == 0 {
		delete(b.holders, holder)
	}
}

// serve grants what fits, in the order of the turns. One that finds the budget full holds up those after it,
// or it could wait for ever; one whose holder has its part does not.
func (b *Budget) serve() (granted []Ticket) {
	for i := 0; i < len(b.waiting); {
		a := b.waiting[i]
		switch b.fits(a.holder, a.size) {
		case fits:
			b.hold(a.holder, a.size)
			granted = append(granted, a.ticket)
			b.waiting = slices.Delete(b.waiting, i, i+1)
		case full:
			return granted
		case holderFull:
			i++
		}
	}
	return granted
}

type verdict uint8

const (
	fits       verdict = iota
	full               // too much is granted already
	holderFull         // too much of it to this holder, or to requests
)

// fits tells whether size bytes more can be granted. Half of the limit is a server's most, and that of all
// requests, a quarter a client's; half as much more with small asks. So nobody can have all, and answers
// come to their turn whatever requests hold. An answer where none holds anything gets what it needs, and so
// does a request where nothing is held at all, or a limit that was set too low would block for good.
func (b *Budget) fits(holder Holder, size int64) verdict {
	all, own := b.limit-b.limit/smallPart, b.limit/2
	if size <= small {
		all, own = b.limit, b.limit-b.limit/4
	}
	held := b.holders[holder]
	switch {
	case b.used == 0 || !holder.Request && b.used == b.requests:
		return fits
	case holder.Request && (b.requests+size > own || held > 0 && held+size > own/2):
		return holderFull
	case !holder.Request && held > 0 && held+size > own:
		return holderFull
	case b.used+size > all:
		return full
	}
	return fits
}
