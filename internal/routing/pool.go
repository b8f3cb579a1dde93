package routing

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// ReuseDelay is how long a connection rests after its answer before the next attempt is written on it. An
// endpoint may answer twice, the second time some milliseconds late, and nothing in an answer says which
// request it is for: what comes while no attempt is on the connection ends it, what comes later would be
// taken for the next one's answer.
const ReuseDelay = 10 * time.Millisecond

// Pool owns the idle connections to one endpoint, and counts the attempts that are under way there. C is a
// connection as its owner knows it. Inputs return the connections to be closed, valid until the next input.
type Pool[C comparable] struct {
	limit      Limiter
	reuseDelay time.Duration
	addr       netip.AddrPort
	idle       []idleConnection[C] // the one used last at the end
	inUse      int                 // attempts
	retired    bool                // the endpoint has left the list
	noReuse    bool                // connections are closed after their answer
	closing    []C
}

// Limiter says how long a connection may have been idle to be reused: an IdleLimit, which pools share.
type Limiter interface{ Limit() time.Duration }

// idleConnection is a connection that waits for its next attempt.
type idleConnection[C comparable] struct {
	conn  C
	since time.Duration
	until time.Duration // when it is to be closed
}

// Checkout is the connection that an attempt gets, or the address to connect to.
type Checkout[C comparable] struct {
	Reused     bool
	Conn       C             // where Reused
	WriteDelay time.Duration // how long the attempt must wait before it is written, where Reused
	IdleFor    time.Duration // how long the connection will have been idle then, where Reused
	Addr       netip.AddrPort

	entry idleConnection[C] // the pool's, where Reused
}

// NewPool returns the pool of an endpoint at an address, whose connections rest for reuseDelay after an
// answer: see ReuseDelay.
func NewPool[C comparable](addr netip.AddrPort, limit Limiter, reuseDelay time.Duration) *Pool[C] {
	return &Pool[C]{limit: limit, addr: addr, reuseDelay: reuseDelay}
}

// Acquire returns the connection for a new attempt: of those that have rested the one used last, since the
// longest unused are the likeliest to have been forgotten on the way; else the one that has rested first;
// else a new one. One of the Release methods or ReturnUnused reports the attempt's end.
func (p *Pool[C]) Acquire(now time.Duration) (Checkout[C], []C) {
	p.inUse++
	p.closing = p.closing[:0]
	limit := p.limit.Limit()
	p.takeMatching(func(c idleConnection[C]) bool { return max(now-c.since, p.reuseDelay) > limit })
	if len(p.idle) == 0 {
		return Checkout[C]{Addr: p.addr}, p.closing
	}
	at := len(p.idle) - 1
	for at > 0 && now-p.idle[at].since < p.reuseDelay {
		at--
	}
	entry := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	idle := now - entry.since
	delay := max(p.reuseDelay-idle, 0)
	return Checkout[C]{
		Reused: true, Conn: entry.conn, WriteDelay: delay, IdleFor: idle + delay, Addr: p.addr,
		entry: entry,
	}, p.closing
}

// ReturnUnused takes in the end of an attempt that was not written on its reused connection, which has been
// idle all along. Ended: the connection has ended since.
//
//nolint:revive // flag-parameter: ended is reported by the connection, and is no choice of the caller's
func (p *Pool[C]) ReturnUnused(c Checkout[C], ended bool) []C {
	p.inUse--
	p.closing = p.closing[:0]
	if p.retired || p.noReuse || c.Addr != p.addr || ended {
		p.closing = append(p.closing, c.Conn)
		return p.closing
	}
	at, _ := slices.BinarySearchFunc(p.idle, c.entry.since, func(i idleConnection[C], since time.Duration) int {
		return cmp.Compare(i.since, since)
	})
	p.idle = slices.Insert(p.idle, at, c.entry)
	return p.closing
}

// ReleaseClosed takes in the end of an attempt whose connection is closed, or never came up.
func (p *Pool[C]) ReleaseClosed() { p.inUse-- }

// ReleaseUnanswered takes in the end of an attempt that was sent on a reused connection and got no answer.
// The others that have not been used since it was sent are closed: a machine that was unreachable for a while
// may have left them all open and silent, and each would cost an attempt.
func (p *Pool[C]) ReleaseUnanswered(sent time.Duration) []C {
	p.inUse--
	return p.closeMatching(func(c idleConnection[C]) bool { return c.since < sent })
}

// Release takes in the end of an attempt whose connection can be reused. To is the address that the
// connection leads to. Ended: the connection has ended since, which may have been reported before.
//
//nolint:revive // flag-parameter: ended is reported by the connection, and is no choice of the caller's
func (p *Pool[C]) Release(now time.Duration, conn C, to netip.AddrPort, ended bool) []C {
	p.inUse--
	p.closing = p.closing[:0]
	if p.retired || p.noReuse || to != p.addr || ended {
		p.closing = append(p.closing, conn)
	} else {
		p.idle = append(p.idle, idleConnection[C]{conn: conn, since: now, until: now + p.limit.Limit()})
	}
	return p.closing
}

// NextExpiry returns when Expire is to be called next; false while nothing is idle.
func (p *Pool[C]) NextExpiry() (at time.Duration, ok bool) {
	for i := range p.idle {
		if !ok || p.idle[i].until < at {
			at, ok = p.idle[i].until, true
		}
	}
	return at, ok
}

// Expire closes the connections that have been idle for as long as was allowed when they were released.
func (p *Pool[C]) Expire(now time.Duration) []C {
	return p.closeMatching(func(c idleConnection[C]) bool { return c.until <= now })
}

// ConnectionEnded takes in that an idle connection has ended.
func (p *Pool[C]) ConnectionEnded(conn C) []C {
	return p.closeMatching(func(c idleConnection[C]) bool { return c.conn == conn })
}

// SetAddress sends new attempts to another address. Those under way go on.
func (p *Pool[C]) SetAddress(addr netip.AddrPort) []C {
	moved := addr != p.addr
	p.addr, p.noReuse = addr, false
	return p.closeMatching(func(idleConnection[C]) bool { return moved })
}

// StopReuse closes the idle connections, and others after their answer, until the next SetAddress.
func (p *Pool[C]) StopReuse() []C {
	p.noReuse = true
	return p.closeMatching(func(idleConnection[C]) bool { return true })
}

// CloseIdleHalf closes the half of the idle connections that has been idle for longer.
func (p *Pool[C]) CloseIdleHalf() []C {
	left := (len(p.idle) + 1) / 2
	return p.closeMatching(func(idleConnection[C]) bool { left--; return left >= 0 })
}

// Retire takes in that the endpoint has left the list.
func (p *Pool[C]) Retire() []C {
	p.retired = true
	return p.closeMatching(func(idleConnection[C]) bool { return true })
}

// IsDone reports whether the endpoint has left the list and has no attempt any more.
func (p *Pool[C]) IsDone() bool { return p.retired && p.inUse == 0 }

func (p *Pool[C]) closeMatching(match func(idleConnection[C]) bool) []C {
	p.closing = p.closing[:0]
	p.takeMatching(match)
	return p.closing
}

// takeMatching moves the idle connections that match to those to be closed.
func (p *Pool[C]) takeMatching(match func(idleConnection[C]) bool) {
	left := p.idle[:0]
	for _, c := range p.idle {
		if match(c) {
			p.closing = append(p.closing, c.conn)
		} else {
			left = append(left, c)
		}
	}
	clear(p.idle[len(left):])
	p.idle = left
}
