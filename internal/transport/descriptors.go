// Package transport implements the agent's sockets: the listener for clients, connections to upstream
// servers, datagrams between agents, calls to discovery and the operators' interface. It makes no routing
// decisions: it passes requests to a RequestHandler, and package routing decides which descriptors and
// connections are used. All types are safe for concurrent use unless their comments say otherwise.
package transport

import (
	"sync"
	"time"

	"dunestep/internal/routing"
)

// evictRetryInterval is the time after which acquireDownstream tries again to evict a connection.
const evictRetryInterval = 20 * time.Millisecond

// Descriptors divides the process's file descriptors between client connections and upstream connections,
// according to routing.Descriptors.
type Descriptors struct {
	mu                           sync.Mutex
	allocation                   *routing.Descriptors
	released                     chan struct{} // receives a value when a descriptor was released
	reclaimIdle                  func()        // requests that idle upstream connections be closed
	downstreamFull, upstreamFull rateLimitedLog
	memoryFull                   rateLimitedLog
}

// NewDescriptors returns Descriptors for a process that may hold limit descriptors. reclaimIdle is called
// when none is available and idle upstream connections may hold some.
func NewDescriptors(limit int, reclaimIdle func()) *Descriptors {
	return &Descriptors{
		allocation:  routing.NewDescriptors(limit),
		released:    make(chan struct{}, 1),
		reclaimIdle: reclaimIdle,
	}
}

// SetLimit changes how many descriptors the process may hold; what is open stays open.
func (d *Descriptors) SetLimit(limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allocation.SetLimit(limit)
}

// SetMemoryLimit changes how many bytes client connections may hold; zero: any number.
func (d *Descriptors) SetMemoryLimit(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allocation.SetMemoryLimit(bytes)
}

// addMemory records that client connections hold more bytes, or less, and reports whether they hold all
// that they may.
func (d *Descriptors) addMemory(bytes int64) (isFull bool) {
	d.mu.Lock()
	d.allocation.AddMemory(bytes)
	isFull = d.allocation.IsMemoryFull()
	d.mu.Unlock()
	if bytes < 0 {
		d.signalReleased()
	}
	return isFull
}

// isMemoryFull reports whether client connections hold all the memory that they may.
func (d *Descriptors) isMemoryFull() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.allocation.IsMemoryFull()
}

// ClientMemory returns how many bytes client connections hold, by the estimates of package routing.
func (d *Descriptors) ClientMemory() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.allocation.Memory()
}

// InUse returns how many descriptors the process holds, including those that are not connections.
func (d *Descriptors) InUse() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.allocation.InUse()
}

// tryDownstream acquires a descriptor for a client, if one is available; isFull reports whether clients hold
// their whole share.
func (d *Descriptors) tryDownstream() (ok, isFull bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.allocation.AcquireDownstream()
}

// downstreamPressure returns routing.Descriptors.Pressure.
func (d *Descriptors) downstreamPressure() (crowded, pressing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.allocation.Pressure()
}

// acquireDownstream waits until a descriptor for one more client is available and returns true, or returns
// false once done is closed. evict closes a client's connection and reports whether there was one to close.
// waiting returns how many clients wait to be accepted.
func (d *Descriptors) acquireDownstream(
	done <-chan struct{}, waiting func() int, evict func(evictionScope) bool,
) bool {
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
		if !evictFor(waiting(), evict) {
			d.warnFull()
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

// warnFull logs that no client can be accepted.
func (d *Descriptors) warnFull() {
	if d.isMemoryFull() {
		d.memoryFull.warn("no memory is available for another client connection", "held_bytes", d.ClientMemory())
		return
	}
	d.downstreamFull.warn("no file descriptor is available", "for", "a client")
}

// maxEvictions is the maximum number of connections that are evicted at once. Each takes up to
// closeGracePeriod to end, so that one after the other a crowd would keep clients waiting for seconds.
const maxEvictions = 16

// evictFor evicts a connection for each waiting client, at least one, and reports whether there was any.
func evictFor(waiting int, evict func(evictionScope) bool) (hasEvicted bool) {
	for range min(max(waiting, 1), maxEvictions) {
		if !evict(evictAny) {
			break
		}
		hasEvicted = true
	}
	return hasEvicted
}

// releaseDownstream releases a descriptor that acquireDownstream acquired.
func (d *Descriptors) releaseDownstream() {
	d.mu.Lock()
	d.allocation.ReleaseDownstream()
	d.mu.Unlock()
	d.signalReleased()
}

// AcquireUpstream acquires a descriptor for an upstream connection and reports whether one was available. If
// so, the caller must call ReleaseUpstream.
func (d *Descriptors) AcquireUpstream() bool {
	d.mu.Lock()
	ok := d.allocation.AcquireUpstream()
	d.mu.Unlock()
	if !ok {
		d.upstreamFull.warn("no file descriptor is available", "for", "an upstream server")
		d.reclaimIdle()
	}
	return ok
}

// ReleaseUpstream releases a descriptor that AcquireUpstream acquired.
func (d *Descriptors) ReleaseUpstream() {
	d.mu.Lock()
	d.allocation.ReleaseUpstream()
	d.mu.Unlock()
	d.signalReleased()
}

// signalReleased wakes a waiting acquireDownstream. One signal is enough, since it checks again itself.
func (d *Descriptors) signalReleased() {
	select {
	case d.released <- struct{}{}:
	default:
	}
}
