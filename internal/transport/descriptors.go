// Package transport holds the agent's sockets: the front socket, the connections to booking servers, the
// agents' datagrams and discovery's stream. It knows no decisions.
package transport

import "sync"

// ownDescriptors are those that are no connection: standard streams, listeners, the poller, discovery.
const ownDescriptors = 32

// Descriptors shares the process's file descriptors between the front socket and the upstream connections.
// Guards against running out of them, which would fail accepts and dials alike. The front has up to three
// quarters, since a connection that is never accepted is an operation lost, and an eighth is always its own.
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
	return &Descriptors{total: max(limit-ownDescriptors, 8), freed: make(chan struct{}, 1), reclaim: reclaim}
}

func (d *Descriptors) tryFront() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.front >= d.total*3/4 || d.front+d.upstream >= d.total {
		return false
	}
	d.front++
	return true
}

// takeFront waits until the front may hold one more, or closed is.
func (d *Descriptors) takeFront(closed <-chan struct{}) bool {
	for !d.tryFront() {
		d.frontFull.warn("no descriptor is free", "for", "a client")
		d.reclaim()
		select {
		case <-d.freed:
		case <-closed:
			return false
		}
	}
	return true
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
