package transport

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"dunestep/internal/protocol"
)

// evictionScope selects the connections that may be evicted.
type evictionScope uint8

const (
	evictIdle evictionScope = iota // only those that have been idle for minIdleTime
	evictAny                       // also others for which no response is due: descriptors are short
)

// downstreamListener accepts clients while there are descriptors for them, and otherwise evicts connections
// without an open request.
type downstreamListener struct {
	net.Listener
	*downstreamConns
	addr      netip.AddrPort
	formats   []protocol.Format
	done      chan struct{} // closed by Close
	closeOnce sync.Once
	closeErr  error
}

// downstreamConns are the connections of all sockets of a Listener. Whichever socket needs a descriptor, the
// best candidates among all connections are evicted.
type downstreamConns struct {
	descriptors *Descriptors
	mu          sync.Mutex
	conns       map[*downstreamConn]struct{}
	allClosed   chan struct{} // receives a value when the last connection was closed
	pauses      pauseMonitor
	turns       turnQueue
}

// Accept waits for a descriptor, then for a client.
func (l *downstreamListener) Accept() (net.Conn, error) {
	if !l.descriptors.acquireDownstream(l.done, l.waitingClients, l.evict) {
		return nil, net.ErrClosed
	}
	conn, raw, err := l.acceptUsable()
	if err != nil {
		l.descriptors.releaseDownstream()
		return nil, err
	}
	_ = conn.SetWriteBuffer(kernelBufferBytes) // if the kernel refuses it, its default applies
	now := time.Now()
	c := &downstreamConn{
		Conn: conn, rawConn: raw, conns: l.downstreamConns, formats: l.formats, acceptedAt: now, stateSince: now,
	}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// waitingClients returns how many clients wait to be accepted, or zero where the system does not tell.
func (l *downstreamListener) waitingClients() (count int) {
	tcp, isTCP := l.Listener.(*net.TCPListener)
	if !isTCP {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { count = acceptQueueLength(fd) }) // fails only on a closed socket
	return count
}

// acceptUsable accepts a connection whose descriptor can be used.
func (l *downstreamListener) acceptUsable() (*net.TCPConn, syscall.RawConn, error) {
	for {
		conn, err := acceptNext(l.Listener)
		if err != nil {
			return nil, nil, err
		}
		tcp := conn.(*net.TCPConn)
		raw, err := tcp.SyscallConn()
		if err == nil {
			return tcp, raw, nil
		}
		_ = tcp.Close() // the connection has ended already
	}
}

// Close ends Accept; connections stay open.
func (l *downstreamListener) Close() error {
	l.closeOnce.Do(func() { close(l.done); l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// evict closes the best candidate and reports whether there was one. Its descriptor is released once its
// client has closed its side too, or the time for that is over. Without eviction, clients that connect and
// send nothing, that stay connected after one request, or that never complete a request would keep out all
// others.
func (l *downstreamConns) evict(scope evictionScope) bool {
	skipped := map[*downstreamConn]bool{} // candidates that have received input meanwhile
	for {
		c, state, since := l.evictionCandidate(scope, skipped)
		if c == nil || c.evict(state, since) {
			return c != nil
		}
		skipped[c] = true
	}
}

// evictionCandidate returns the connection with the lowest rank; among equal ranks, the one that has been in
// its state longest. It returns nil if there is none.
func (l *downstreamConns) evictionCandidate(scope evictionScope, skipped map[*downstreamConn]bool) (
	best *downstreamConn, bestState connState, bestSince time.Time,
) {
	now, bestRank, isMemoryFull := time.Now(), rankIdle+1, l.descriptors.isMemoryFull()
	if scope == evictAny {
		bestRank = rankRecentlyIdle + 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		rank, state, since := c.evictionCandidacy(now, isMemoryFull)
		if rank == notEvictable || skipped[c] {
			continue
		}
		if rank < bestRank || best != nil && rank == bestRank && since.Before(bestSince) {
			best, bestRank, bestState, bestSince = c, rank, state, since
		}
	}
	return best, bestState, bestSince
}

// remove removes a closed connection and releases its descriptor.
func (l *downstreamConns) remove(c *downstreamConn) {
	l.mu.Lock()
	delete(l.conns, c)
	isLast := len(l.conns) == 0
	l.mu.Unlock()
	if isLast {
		select {
		case l.allClosed <- struct{}{}:
		default:
		}
	}
	l.descriptors.releaseDownstream()
}

// closeIdle closes idle connections; see idleScope.
func (l *downstreamConns) closeIdle(scope idleScope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closeIdle(scope)
	}
}

// skipLinger makes Close of every connection not wait for its client.
func (l *downstreamConns) skipLinger() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.skipLinger()
	}
}

// count returns the number of open connections.
func (l *downstreamConns) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}
