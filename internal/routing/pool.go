package routing

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// ReuseDelay is how long a connection rests after its answer before the next route step is written on it. A
// booking server may answer twice, the second time some milliseconds late, and nothing in an answer tells
// which request it is for: what comes while no step is on the connection ends it, what comes later would be
// taken for the next one's answer. Some milliseconds are under ten. What it costs grows with its square, as
// more steps wait and each for longer; a connection in its place would cost both sides a handshake, and is
// priced.
const ReuseDelay = 10 * time.Millisecond

// Pool is a booking server's actor without its mailbox: it owns the connections that wait for their next
// route step, and knows how many route steps are out. C is a connection as its owner knows it. Inputs return
// the connections to be closed, valid until the next input.
type Pool[C comparable] struct {
	limit      Limiter
	reuseDelay time.Duration
	addr       netip.AddrPort
	idle       []idleConnection[C] // the one used last at the end
	inUse      int
	retired    bool
	noReuse    bool // connections are not kept
	closing    []C
}

// Limiter says how long a connection may have stood idle to be used: an IdleLimit, which pools share.
type Limiter interface{ Limit() time.Duration }

// pooled is a connection that waits for its next route step.
type idleConnection[C comparable] struct {
	conn  C
	since time.Duration
	until time.Duration // to be closed then
}

// Checkout is what a route step gets to go out on.
type Checkout[C comparable] struct {
	Reused     bool
	Conn       C             // where Reused
	WriteDelay time.Duration // how long the step waits until it may be written, where Reused
	IdleFor    time.Duration // how long the connection will have been idle then, where Reused
	Addr       netip.AddrPort

	from idleConnection[C] // the pool's, where Reused
}

// NewPool returns the pool of a booking server at an address. A connection rests for settle after its answer;
// see ReuseDelay.
func NewPool[C comparable](addr netip.AddrPort, limit Limiter, settle time.Duration) *Pool[C] {
	return &Pool[C]{limit: limit, addr: addr, reuseDelay: settle}
}

// Acquire takes a route step in, and says on which connection it goes out: of those that have settled the one
// used last, since the longest unused are the likeliest to have been forgotten on the way; else the one that
// settles first; else a new one. ShutdownOver tells of its end.
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
	from := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	stood := now - from.since
	settles := max(p.reuseDelay-stood, 0)
	return Checkout[C]{
		Reused: true, Conn: from.conn, WriteDelay: settles, IdleFor: stood + settles, Addr: p.addr,
		from: from,
	}, p.closing
}

// StaleConnection takes the end of a route step in that was not written on the connection of its lease, which has
// stood idle all along. ConnectionEnded tells that it has ended since.
func (p *Pool[C]) ReturnUnused(lease Checkout[C], ended bool) []C {
	p.inUse--
	p.closing = p.closing[:0]
	if p.retired || p.noReuse || lease.Addr != p.addr || ended {
		p.closing = append(p.closing, lease.Conn)
		return p.closing
	}
	at, _ := slices.BinarySearchFunc(p.idle, lease.from.since, func(c idleConnection[C], since time.Duration) int {
		return cmp.Compare(c.since, since)
	})
	p.idle = slices.Insert(p.idle, at, lease.from)
	return p.closing
}

// ReleaseClosed takes the end of a route step in whose connection is closed, or never was.
func (p *Pool[C]) ReleaseClosed() { p.inUse-- }

// ReleaseUnanswered takes the end of a route step in that went out on a reused connection and got no answer. Guards
// against losing a step to each of the others, where a machine that was cut off for a while has left them
// open and silent: those that have not been used since it was sent are not used again.
func (p *Pool[C]) ReleaseUnanswered(sent time.Duration) []C {
	p.inUse--
	return p.closeMatching(func(c idleConnection[C]) bool { return c.since < sent })
}

// ShutdownOver takes the end of a route step in whose connection can carry another. To is the address that it leads
// to; ended tells that the connection has ended since, which may have been told before this.
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

// NextExpiry tells when Expire is to be called next; false while nothing is idle.
func (p *Pool[C]) NextExpiry() (at time.Duration, any bool) {
	for i := range p.idle {
		if !any || p.idle[i].until < at {
			at, any = p.idle[i].until, true
		}
	}
	return at, any
}

// Expire closes those connections that have stood idle for as long as was allowed when they were put back.
func (p *Pool[C]) Expire(now time.Duration) []C {
	return p.closeMatching(func(c idleConnection[C]) bool { return c.until <= now })
}

// ConnectionEnded takes in that a connection has ended while no route step was on it.
func (p *Pool[C]) ConnectionEnded(conn C) []C {
	return p.closeMatching(func(c idleConnection[C]) bool { return c.conn == conn })
}

// SetAddress has what comes go to another address. What is out goes on.
func (p *Pool[C]) SetAddress(addr netip.AddrPort) []C {
	moved := addr != p.addr
	p.addr, p.noReuse = addr, false
	return p.closeMatching(func(idleConnection[C]) bool { return moved })
}

// StopReuse closes the idle connections, and keeps none until the next SetAddress.
func (p *Pool[C]) StopReuse() []C {
	p.noReuse = true
	return p.closeMatching(func(idleConnection[C]) bool { return true })
}

// ReleaseIdle closes the longer idle half of the connections.
func (p *Pool[C]) CloseIdleHalf() []C {
	longest := (len(p.idle) + 1) / 2
	return p.closeMatching(func(idleConnection[C]) bool { longest--; return longest >= 0 })
}

// Retire takes in that the booking server has left.
func (p *Pool[C]) Retire() []C {
	p.retired = true
	return p.closeMatching(func(idleConnection[C]) bool { return true })
}

// IsDone tells whether the booking server has left and nothing is out there any more.
func (p *Pool[C]) IsDone() bool { return p.retired && p.inUse == 0 }

func (p *Pool[C]) closeMatching(match func(idleConnection[C]) bool) []C {
	p.closing = p.closing[:0]
	p.takeMatching(match)
	return p.closing
}

// drop takes out those idle connections that match, to be closed.
func (p *Pool[C]) takeMatching(match func(idleConnection[C]) bool) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if match(c) {
			p.closing = append(p.closing, c.conn)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
