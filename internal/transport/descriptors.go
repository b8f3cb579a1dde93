// Package transport has the agent's sockets: the listener for clients, connections to upstream servers,
// datagrams between agents, calls to discovery and the operators' door. It makes no routing decision:
// requests go to a RequestHandler, and which descriptors and connections are used is decided in package
// routing. All types are safe for concurrent use unless they say otherwise.
package transport

import (
	"sync"
	"time"

	"dunestep/internal/routing"
)

// evictRetryInterval is how soon a client's connection to evict is looked for again.
const evictRetryInterval = 20 * time.Millisecond

// Descriptors shares the process's file descriptors between clients' connections and upstream connections, by
// the rules of routing.Descriptors.
type Descriptors struct {
	mu                           sync.Mutex
	core                         *routing.Descriptors
	released                     chan struct{} // receives when a descriptor was released
	reclaimIdle                  func()        // asks for idle upstream connections to be closed
	downstreamFull, upstreamFull rateLimitedLog
}

// NewDescriptors shares out the descriptors of a process that may hold limit of them. reclaimIdle is called
// when one is needed that idle upstream connections hold.
func NewDescriptors(limit int, reclaimIdle func()) *Descriptors {
	return &Descriptors{
		core:        routing.NewDescriptors(limit),
		released:    make(chan struct{}, 1),
		reclaimIdle: reclaimIdle,
	}
}

// SetLimit changes how many descriptors the process may hold; what is open stays open.
func (d *Descriptors) SetLimit(limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetLimit(limit)
}

// InUse is how many descriptors the process holds, including those that are no connection.
func (d *Descriptors) InUse() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.InUse()
}

// tryDownstream acquires a descriptor for a client, if there is one; isFull reports whether clients hold
// their whole part.
func (d *Descriptors) tryDownstream() (ok, isFull bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.AcquireDownstream()
}

// downstreamPressure is routing.Descriptors.Pressure.
func (d *Descriptors) downstreamPressure() (crowded, pressing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Pressure()
}

// acquireDownstream waits until there is a descriptor for one more client, or done is closed. evict closes a
// client's connection, and reports whether there was one to close.
func (d *Descriptors) acquireDownstream(done <-chan struct{}, evict func(evictionScope) bool) bool {
	for {
		select {
		case <-d.released: // stale: tryDownstream sees what was released
		default:
		}
		ok, isFull := d.tryDownstream()
		if ok {
			if isFull {
				evict(evictIdle)
			}
			return true
		}
		if !evict(evictAny) {
			d.downstreamFull.warn("no file descriptor is available", "for", "a client")
			if !isFull {
				d.reclaimIdle()
			}
		}
		retry := time.NewTimer(evictRetryInterval) // by then another connection may be old enough to evict
		select {
		case <-d.released:
		case <-retry.C:
		case <-done:
			retry.Stop()
			return false
		}
		retry.Stop()
	}
}

// releaseDownstream gives back what acquireDownstream acquired.
func (d *Descriptors) releaseDownstream() {
	d.mu.Lock()
	d.core.ReleaseDownstream()
	d.mu.Unlock()
	d.signalReleased()
}

// AcquireUpstream reports whether one more upstream connection may be opened; if so, ReleaseUpstream gives it
// back.
func (d *Descriptors) AcquireUpstream() bool {
	d.mu.Lock()
	ok := d.core.AcquireUpstream()
	d.mu.Unlock()
	if !ok {
		d.upstreamFull.warn("no file descriptor is available", "for", "an upstream server")
		d.reclaimIdle()
	}
	return ok
}

// ReleaseUpstream gives back what AcquireUpstream acquired.
func (d *Descriptors) ReleaseUpstream() {
	d.mu.Lock()
	d.core.ReleaseUpstream()
	d.mu.Unlock()
	d.signalReleased()
}

// signalReleased wakes an acquireDownstream. One signal is enough: the woken one looks for itself.
func (d *Descriptors) signalReleased() {
	select {
	case d.released <- struct{}{}:
	default:
	}
}
