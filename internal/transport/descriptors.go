// Package transport holds the agent's sockets: the front socket, the connections to booking servers, the
// agents' datagrams and discovery's stream. It knows no decisions.
package transport

import (
	"sync"
	"time"
)

// ownDescriptors are those that are no connection: standard streams, listeners, the poller, discovery.
const ownDescriptors = 32

// evictAgain is how soon it is looked again for a client's connection to close.
const evictAgain = 20 * time.Millisecond

// Up to the first of these parts of all descriptors, idle clients are left alone; from the second one on, no
// connection is kept after an answer.
const frontEasy, frontPressing = 6, 4

// Descriptors shares the process's file descriptors between the front socket and the upstream connections.
// Guards against running out of them, which would fail accepts and dials alike. The front has up to five
// eighths: clients hold a third of the limit for requests, the rest stand idle. An eighth is always its
// own.
type Descriptors struct {
	mu                      sync.Mutex
	total                   int
	front, upstream         int
	freed                   chan struct{}
	reclaim                 func() // asks for idle upstream connections to be closed
	frontFull, upstreamFull dropLog
}

// NewDescriptors shares out what a process that may hold limit descriptors has for connections.
func NewDescriptors(limit int, reclaim func()) *Descriptors {
	d := &Descriptors{freed: make(chan struct{}, 1), reclaim: reclaim}
	d.SetLimit(limit)
	return d
}

// SetLimit changes how many descriptors the process may hold; what is open stays open.
func (d *Descriptors) SetLimit(limit int) {
	d.mu.Lock()
	d.total = max(limit-ownDescriptors, 8)
	d.mu.Unlock()
}

// tryFront takes a descriptor for a client. Full tells, with
// true, that idle clients are to give way, and with false, that the front has its whole share.
func (d *Descriptors) tryFront() (ok, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	share := d.total * 5 / 8
	if d.front >= share || d.front+d.upstream >= d.total {
		return false, d.front >= share
	}
	d.front++
	return true, d.front > d.total/frontEasy
}

// frontCrowded tells whether idle clients are to give way, and whether that is pressing. Guards against
// clients that are kept out by the idle connections of their own machine, long before the front's share is
// used: they may hold a third of the limit, and those that can't connect give no occasion to look.
func (d *Descriptors) frontCrowded() (crowded, pressing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.front > d.total/frontEasy, d.front > d.total/frontPressing
}

// takeFront waits until the front may hold one more, or closed is. Evict closes a client's connection on
// which nothing is open, and is told whether descriptors are so short that one that just stands there must
// do.
func (d *Descriptors) takeFront(closed <-chan struct{}, evict func(short bool) bool) bool {
	for {
		ok, full := d.tryFront()
		if ok {
			if full {
				evict(false)
			}
			return true
		}
		if evict(true) {
			continue
		}
		d.frontFull.warn("no descriptor is free", "for", "a client")
		if !full {
			d.reclaim()
		}
		again := time.NewTimer(evictAgain) // by then another connection may be old enough
		select {
		case <-d.freed:
		case <-again.C:
		case <-closed:
			again.Stop()
			return false
		}
		again.Stop()
	}
}

func (d *Descriptors) releaseFront() {
	d.mu.Lock()
	d.front--
	d.mu.Unlock()
	d.signal()
}

// TryUpstream tells whether one more upstream connection may be held; if so, ReleaseUpstream gives it back.
func (d *Descriptors) TryUpstream() bool {
	d.mu.Lock()
	ok := d.upstream+max(d.front, d.total/8) < d.total
	if ok {
		d.upstream++
	}
	d.mu.Unlock()
	if !ok {
		d.upstreamFull.warn("no descriptor is free", "for", "a booking server")
		d.reclaim()
	}
	return ok
}

// ReleaseUpstream gives back what TryUpstream took.
func (d *Descriptors) ReleaseUpstream() {
	d.mu.Lock()
	d.upstream--
	d.mu.Unlock()
	d.signal()
}

func (d *Descriptors) signal() {
	select {
	case d.freed <- struct{}{}:
	default: // one is enough: only the listener waits, and it looks for itself
	}
}
