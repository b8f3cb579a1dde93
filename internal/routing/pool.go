package routing

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// ReuseDelay is the minimum time between a response on a connection and the next attempt written on it. An
// endpoint may send a second response to a request some milliseconds late, and a response does not identify
// its request. Data that is received while no attempt uses the connection ends the connection; data that is
// received once the next attempt uses it would be mistaken for that attempt's response.
const ReuseDelay = 10 * time.Millisecond

// RejectionReuseDelay is ReuseDelay after a rejection by the endpoint. A second copy of it that is taken for
// another attempt's response would say of a request that may be executed that it never was, and rejections
// are too much alike to tell copies by. An attempt does not wait for such a connection.
const RejectionReuseDelay = 5 * ReuseDelay

// Pool owns the idle connections to one endpoint, and counts the attempts under way there. C is the caller's
// type of a connection. Inputs return the connections for the caller to close, valid until the next input.
type Pool[C comparable] struct {
	limit      Limiter
	reuseDelay time.Duration
	addr       netip.AddrPort
	idle       []idleConnection[C] // by last use, the latest at the end
	inUse      int                 // attempts under way
	retired    bool                // the endpoint has left the list
	noReuse    bool                // connections are closed after their response
	process    int                 // number of the endpoint's process, from 0
	closing    []C
}

// Limiter limits how long a connection may have been idle to be reused. It is an IdleLimit that pools share.
type Limiter interface{ Limit() time.Duration }

// idleConnection is a connection that waits for its next attempt.
type idleConnection[C comparable] struct {
	conn       C
	since      time.Duration
	writableAt time.Duration // when its next attempt may be written
	expiresAt  time.Duration // when to close it
}

// Checkout is the connection that an attempt gets, or the address to connect to.
type Checkout[C comparable] struct {
	Reused     bool
	Conn       C             // if Reused
	WriteDelay time.Duration // time that the attempt must wait before it is written, if Reused
	IdleFor    time.Duration // idle time of the connection after WriteDelay, if Reused
	Addr       netip.AddrPort

	entry   idleConnection[C] // the pool's entry, if Reused
	process int               // number of the endpoint's process
}

// NewPool returns the pool of an endpoint at an address. reuseDelay is the minimum time between a response
// and the next attempt on a connection; see ReuseDelay.
func NewPool[C comparable](addr netip.AddrPort, limit Limiter, reuseDelay time.Duration) *Pool[C] {
	return &Pool[C]{limit: limit, addr: addr, reuseDelay: reuseDelay}
}

// Acquire returns an idle connection for a new attempt, or the address to connect to if there is none. Of the
// idle connections past the reuse delay, it is the one used last, since those unused for longer are more
// likely to have been dropped on the network path. If none is past the reuse delay, it is the one whose delay
// ends first. The caller reports the attempt's end with one of the Release methods or ReturnUnused.
func (p *Pool[C]) Acquire(now time.Duration) (Checkout[C], []C) {
	p.inUse++
	p.closing = p.closing[:0]
	limit := p.limit.Limit()
	p.removeMatching(func(c idleConnection[C]) bool { return max(now, c.writableAt)-c.since > limit })
	at, ok := p.best(now)
	if !ok {
		return Checkout[C]{Addr: p.addr, process: p.process}, p.closing
	}
	entry := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	idle := now - entry.since
	delay := max(entry.writableAt-now, 0)
	return Checkout[C]{
		Reused: true, Conn: entry.conn, WriteDelay: delay, IdleFor: idle + delay, Addr: p.addr,
		entry: entry, process: p.process,
	}, p.closing
}

// best returns the place of the idle connection that the next attempt gets; false: it needs a new one.
func (p *Pool[C]) best(now time.Duration) (at int, ok bool) {
	for i := len(p.idle) - 1; i >= 0; i-- {
		writableAt := p.idle[i].writableAt
		if writableAt <= now {
			return i, true
		}
		if writableAt-now <= p.reuseDelay && (!ok || writableAt <= p.idle[at].writableAt) {
			at, ok = i, true
		}
	}
	return at, ok
}

// ReturnUnused handles the end of an attempt that was not written on its reused connection. The connection's
// idle time continues. ended means that the connection has ended since.
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

// ReleaseClosed handles the end of an attempt whose connection is closed, or was never established.
func (p *Pool[C]) ReleaseClosed() { p.inUse-- }

// ReleaseUnanswered handles the end of an attempt that was sent on a reused connection and got no response.
// It closes the idle connections that were not used since the attempt was sent: after a machine was
// unreachable for a while, they may all be open without a working peer, and each would cost an attempt.
func (p *Pool[C]) ReleaseUnanswered(sent time.Duration) []C {
	p.inUse--
	return p.closeMatching(func(c idleConnection[C]) bool { return c.since < sent })
}

// Release handles the end of an attempt whose connection can be reused. to is the address of the
// connection's remote end. ended means that the connection has ended since, which ConnectionEnded
// may have reported before.
//
//nolint:revive // flag-parameter: ended is reported by the connection, and is no choice of the caller's
func (p *Pool[C]) Release(now time.Duration, conn C, to netip.AddrPort, ended bool) []C {
	return p.release(now, p.reuseDelay, conn, to, ended)
}

// ReleaseRejected is Release for an attempt that the endpoint has rejected.
//
//nolint:revive // flag-parameter: as Release
func (p *Pool[C]) ReleaseRejected(now time.Duration, conn C, to netip.AddrPort, ended bool) []C {
	return p.release(now, max(p.reuseDelay, RejectionReuseDelay), conn, to, ended)
}

//nolint:revive // flag-parameter: as Release
func (p *Pool[C]) release(now, reuseDelay time.Duration, conn C, to netip.AddrPort, ended bool) []C {
	p.inUse--
	p.closing = p.closing[:0]
	if p.retired || p.noReuse || to != p.addr || ended {
		p.closing = append(p.closing, conn)
	} else {
		p.idle = append(p.idle, idleConnection[C]{
			conn: conn, since: now, writableAt: now + reuseDelay, expiresAt: now + p.limit.Limit(),
		})
	}
	return p.closing
}

// NextExpiry returns when to call Expire next; false while no connection is idle.
func (p *Pool[C]) NextExpiry() (at time.Duration, ok bool) {
	for i := range p.idle {
		if !ok || p.idle[i].expiresAt < at {
			at, ok = p.idle[i].expiresAt, true
		}
	}
	return at, ok
}

// Expire closes the connections that have been idle for longer than the limit at the time of their release.
func (p *Pool[C]) Expire(now time.Duration) []C {
	return p.closeMatching(func(c idleConnection[C]) bool { return c.expiresAt <= now })
}

// ConnectionEnded closes a connection that has ended, if it is idle.
func (p *Pool[C]) ConnectionEnded(conn C) []C {
	return p.closeMatching(func(c idleConnection[C]) bool { return c.conn == conn })
}

// SetAddress directs new attempts to another address. Attempts under way continue.
func (p *Pool[C]) SetAddress(addr netip.AddrPort) []C {
	moved := addr != p.addr
	p.addr, p.noReuse = addr, false
	return p.closeMatching(func(idleConnection[C]) bool { return moved })
}

// ProcessReplaced closes the idle connections: a new process has started at the endpoint.
func (p *Pool[C]) ProcessReplaced() []C {
	p.process++
	return p.closeMatching(func(idleConnection[C]) bool { return true })
}

// WasReplaced reports whether a new process has started at the endpoint since the checkout: its connection
// has ended, whether or not its machine has told.
func (p *Pool[C]) WasReplaced(c Checkout[C]) bool { return c.process != p.process }

// StopReuse closes the idle connections, and until the next SetAddress each connection after its response.
func (p *Pool[C]) StopReuse() []C {
	p.noReuse = true
	return p.closeMatching(func(idleConnection[C]) bool { return true })
}

// CloseIdleHalf closes half of the idle connections, rounded up: those with the longest idle times.
func (p *Pool[C]) CloseIdleHalf() []C {
	left := (len(p.idle) + 1) / 2
	return p.closeMatching(func(idleConnection[C]) bool { left--; return left >= 0 })
}

// Retire handles the endpoint's removal from the list: it closes the idle connections, and those in use after
// their responses.
func (p *Pool[C]) Retire() []C {
	p.retired = true
	return p.closeMatching(func(idleConnection[C]) bool { return true })
}

// IsDone reports whether the endpoint has left the list and has no attempts under way.
func (p *Pool[C]) IsDone() bool { return p.retired && p.inUse == 0 }

func (p *Pool[C]) closeMatching(match func(idleConnection[C]) bool) []C {
	p.closing = p.closing[:0]
	p.removeMatching(match)
	return p.closing
}

// removeMatching moves the idle connections that match to closing.
func (p *Pool[C]) removeMatching(match func(idleConnection[C]) bool) {
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
