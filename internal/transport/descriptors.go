// Package transport holds the agent's sockets: the front socket, the connections to booking servers, the
// agents' datagrams and discovery's stream. It knows no decisions.
package transport

import (
	"sync"
	"time"

	"dunestep/internal/routing"
)

// evictRetryInterval is how soon it is looked again for a client's connection to close.
const evictRetryInterval = 20 * time.Millisecond

// Descriptors shares the process's file descriptors between the front socket and the upstream connections, as
// the core says. It is safe for concurrent use.
type Descriptors struct {
	mu                           sync.Mutex
	core                         *routing.Descriptors
	freed                        chan struct{}
	reclaim                      func() // asks for idle upstream connections to be closed
	downstreamFull, upstreamFull dropLog
}

// NewDescriptors shares out what a process that may hold limit descriptors has for connections.
func NewDescriptors(limit int, reclaim func()) *Descriptors {
	return &Descriptors{core: routing.NewDescriptors(limit), freed: make(chan struct{}, 1), reclaim: reclaim}
}

// SetLimit changes how many descriptors the process may hold; what is open stays open.
func (d *Descriptors) SetLimit(limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetLimit(limit)
}

// InUse is how many descriptors the process holds, those that are no connection included.
func (d *Descriptors) InUse() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.InUse()
}

func (d *Descriptors) tryDownstream() (ok, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.AcquireDownstream()
}

func (d *Descriptors) downstreamPressure() (crowded, pressing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Pressure()
}

// acquireDownstream waits until the front may hold one more, or closed is. Evict ends a client's connection on which
// nothing is open, and is told whether descriptors are so short that one that just stands there must do.
func (d *Descriptors) acquireDownstream(closed <-chan struct{}, evict func(short bool) bool) bool {
	for {
		select {
		case <-d.freed: // told of what tryDownstream sees
		default:
		}
		ok, full := d.tryDownstream()
		if ok {
			if full {
				evict(false)
			}
			return true
		}
		if !evict(true) {
			d.downstreamFull.warn("no file descriptor is available", "for", "a client")
			if !full {
				d.reclaim()
			}
		}
		again := time.NewTimer(evictRetryInterval) // by then another connection may be old enough, or one has to do
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

func (d *Descriptors) releaseDownstream() {
	d.mu.Lock()
	d.core.ReleaseDownstream()
	d.mu.Unlock()
	d.signal()
}

// AcquireUpstream tells whether one more upstream connection may be held; if so, ReleaseUpstream gives it back.
func (d *Descriptors) AcquireUpstream() bool {
	d.mu.Lock()
	ok := d.core.AcquireUpstream()
	d.mu.Unlock()
	if !ok {
		d.upstreamFull.warn("no file descriptor is available", "for", "a booking server")
		d.reclaim()
	}
	return ok
}

// ReleaseUpstream gives back what AcquireUpstream took.
func (d *Descriptors) ReleaseUpstream() {
	d.mu.Lock()
	d.core.ReleaseUpstream()
	d.mu.Unlock()
	d.signal()
}

func (d *Descriptors) signal() {
	select {
	case d.freed <- struct{}{}:
	default: // one is enough: only the listener waits, and it looks for itself
	}
}
