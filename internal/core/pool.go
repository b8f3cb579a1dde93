package core

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// SettleTime is how long a connection rests after its answer before the next route step is written on it. A
// booking server may answer twice, the second time some milliseconds late, and nothing in an answer tells
// which request it is for: what comes while no step is on the connection ends it, what comes later would be
// taken for the next one's answer. Some milliseconds are under ten. What it costs grows with its square, as
// more steps wait and each for longer; a connection in its place would cost both sides a handshake, and is
// priced.
const SettleTime = 10 * time.Millisecond

// Pool is a booking server's actor without its mailbox: it owns the connections that wait for their next
// route step, and knows how many route steps are out. C is a connection as its owner knows it. Inputs return
// the connections to be closed, valid until the next input.
type Pool[C comparable] struct {
	limit   Limiter
	settle  time.Duration
	addr    netip.AddrPort
	idle    []pooled[C] // the one used last at the end
	busy    int
	retired bool
	resting bool // connections are not kept
	closing []C
}

// Limiter says how long a connection may have stood idle to be used: an IdleLimit, which pools share.
type Limiter interface{ Limit() time.Duration }

// pooled is a connection that waits for its next route step.
type pooled[C comparable] struct {
	conn  C
	since time.Duration
	until time.Duration // to be closed then
}

// Lease is what a route step gets to go out on.
type Lease[C comparable] struct {
	Reused  bool
	Conn    C             // where Reused
	Settles time.Duration // how long the step waits until it may be written, where Reused
	Stood   time.Duration // how long the connection will have been idle then, where Reused
	Addr    netip.AddrPort

	from pooled[C] // the pool's, where Reused
}

// NewPool returns the pool of a booking server at an address. A connection rests for settle after its answer;
// see SettleTime.
func NewPool[C comparable](addr netip.AddrPort, limit Limiter, settle time.Duration) *Pool[C] {
	return &Pool[C]{limit: limit, addr: addr, settle: settle}
}

// Begin takes a route step in, and says on which connection it goes out: of those that have settled the one
// used last, since the longest unused are the likeliest to have been forgotten on the way; else the one that
// settles first; else a new one. Over tells of its end.
func (p *Pool[C]) Begin(now time.Duration) (Lease[C], []C) {
	p.busy++
	p.closing = p.closing[:0]
	limit := p.limit.Limit()
	p.drop(func(c pooled[C]) bool { return max(now-c.since, p.settle) > limit })
	if len(p.idle) == 0 {
		return Lease[C]{Addr: p.addr}, p.closing
	}
	at := len(p.idle) - 1
	for at > 0 && now-p.idle[at].since < p.settle {
		at--
	}
	from := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	stood := now - from.since
	settles := max(p.settle-stood, 0)
	return Lease[C]{
		Reused: true, Conn: from.conn, Settles: settles, Stood: stood + settles, Addr: p.addr,
		from: from,
	}, p.closing
}

// Unused takes the end of a route step in that was not written on the connection of its lease, which has
// stood idle all along. Ended tells that it has ended since.
func (p *Pool[C]) Unused(lease Lease[C], ended bool) []C {
	p.busy--
	p.closing = p.closing[:0]
	if p.retired || p.resting || lease.Addr != p.addr || ended {
		p.closing = append(p.closing, lease.Conn)
		return p.closing
	}
	at, _ := slices.BinarySearchFunc(p.idle, lease.from.since, func(c pooled[C], since time.Duration) int {
		return cmp.Compare(c.since, since)
	})
	p.idle = slices.Insert(p.idle, at, lease.from)
	return p.closing
}

// OverClosed takes the end of a route step in whose connection is closed, or never was.
func (p *Pool[C]) OverClosed() { p.busy-- }

// OverSilent takes the end of a route step in that went out on a reused connection and got no answer. Guards
// against losing a step to each of the others, where a machine that was cut off for a while has left them
// open and silent: those that have not been used since it was sent are not used again.
func (p *Pool[C]) OverSilent(sent time.Duration) []C {
	p.busy--
	return p.dropThose(func(c pooled[C]) bool { return c.since < sent })
}

// Over takes the end of a route step in whose connection can carry another. To is the address that it leads
// to; ended tells that the connection has ended since, which may have been told before this.
func (p *Pool[C]) Over(now time.Duration, conn C, to netip.AddrPort, ended bool) []C {
	p.busy--
	p.closing = p.closing[:0]
	if p.retired || p.resting || to != p.addr || ended {
		p.closing = append(p.closing, conn)
	} else {
		p.idle = append(p.idle, pooled[C]{conn: conn, since: now, until: now + p.limit.Limit()})
	}
	return p.closing
}

// Due tells when Expire is to be called next; false while nothing is idle.
func (p *Pool[C]) Due() (at time.Duration, any bool) {
	for i := range p.idle {
		if !any || p.idle[i].until < at {
			at, any = p.idle[i].until, true
		}
	}
	return at, any
}

// Expire closes those connections that have stood idle for as long as was allowed when they were put back.
func (p *Pool[C]) Expire(now time.Duration) []C {
	return p.dropThose(func(c pooled[C]) bool { return c.until <= now })
}

// Ended takes in that a connection has ended while no route step was on it.
func (p *Pool[C]) Ended(conn C) []C {
	return p.dropThose(func(c pooled[C]) bool { return c.conn == conn })
}

// Move has what comes go to another address. What is out goes on.
func (p *Pool[C]) Move(addr netip.AddrPort) []C {
	moved := addr != p.addr
	p.addr, p.resting = addr, false
	return p.dropThose(func(pooled[C]) bool { return moved })
}

// Rest closes the idle connections, and keeps none until the next Move.
func (p *Pool[C]) Rest() []C {
	p.resting = true
	return p.dropThose(func(pooled[C]) bool { return true })
}

// LetGo closes the longer idle half of the connections.
func (p *Pool[C]) LetGo() []C {
	longest := (len(p.idle) + 1) / 2
	return p.dropThose(func(pooled[C]) bool { longest--; return longest >= 0 })
}

// Retire takes in that the booking server has left.
func (p *Pool[C]) Retire() []C {
	p.retired = true
	return p.dropThose(func(pooled[C]) bool { return true })
}

// Done tells whether the booking server has left and nothing is out there any more.
func (p *Pool[C]) Done() bool { return p.retired && p.busy == 0 }

func (p *Pool[C]) dropThose(match func(pooled[C]) bool) []C {
	p.closing = p.closing[:0]
	p.drop(match)
	return p.closing
}

// drop takes out those idle connections that match, to be closed.
func (p *Pool[C]) drop(match func(pooled[C]) bool) {
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
