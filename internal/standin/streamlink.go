package standin

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"dunestep/internal/rehearsal/scenario"
)

// StreamLink is the link between agents and a stand-in, with faults of streams. Bytes that a fault holds are
// delivered when it ends, as with TCP retransmission; meanwhile connections are still established and stay
// open. The zero value has no faults. Its methods are safe for concurrent use and do not block, except close.
type StreamLink struct {
	mu            sync.Mutex
	changed       *sync.Cond
	inboundHolds  int // active faults that hold bytes from the agents
	outboundHolds int // active faults that hold bytes to the agents
	resetFaults   int // active faults that reset connections
	conns         map[*linkConn]struct{}
	closed        bool
	wait          sync.WaitGroup // for the goroutines in flush
}

// maxHeldBytes is the maximum of bytes held on a connection; with more it is reset.
const maxHeldBytes = 4 << 20

var errHeldOverflow = errors.New("standin: too many bytes held on a connection")

// BeginFault starts a fault of streams. It lasts until EndFault was called as often as BeginFault. Other
// faults have no effect.
func (s *StreamLink) BeginFault(fault scenario.ConnFault) {
	s.mu.Lock()
	s.addFault(fault, 1)
	var toReset []*linkConn
	if fault == scenario.StreamReset {
		for c := range s.conns {
			toReset = append(toReset, c)
		}
	}
	s.mu.Unlock()
	for _, c := range toReset {
		c.resetNow()
	}
}

// EndFault undoes one BeginFault of a fault.
func (s *StreamLink) EndFault(fault scenario.ConnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addFault(fault, -1)
	s.releaseHeld()
}

func (s *StreamLink) addFault(fault scenario.ConnFault, delta int) {
	switch fault {
	case scenario.StreamSilent:
		s.inboundHolds, s.outboundHolds = max(s.inboundHolds+delta, 0), max(s.outboundHolds+delta, 0)
	case scenario.StreamFromAgent:
		s.outboundHolds = max(s.outboundHolds+delta, 0)
	case scenario.StreamToAgent:
		s.inboundHolds = max(s.inboundHolds+delta, 0)
	case scenario.StreamReset:
		s.resetFaults = max(s.resetFaults+delta, 0)
	}
}

// releaseHeld wakes readers and flushes held writes where no fault holds them any more. The caller
// holds the lock.
func (s *StreamLink) releaseHeld() {
	s.cond().Broadcast()
	for c := range s.conns {
		if s.outboundHolds == 0 && !c.flushing && (len(c.heldWrites) > 0 || c.heldEnd != nil) {
			c.flushing = true
			s.wait.Go(c.flush)
		}
	}
}

func (s *StreamLink) cond() *sync.Cond {
	if s.changed == nil {
		s.changed = sync.NewCond(&s.mu)
	}
	return s.changed
}

// close ends all faults and closes the link's connections.
func (s *StreamLink) close() {
	s.mu.Lock()
	s.closed, s.inboundHolds, s.outboundHolds, s.resetFaults = true, 0, 0, 0
	for c := range s.conns {
		c.closed = true
		_ = c.Conn.Close()
	}
	s.releaseHeld()
	s.mu.Unlock()
	s.wait.Wait()
}

// attach puts a new connection on the link; it returns nil if the connection was reset.
func (s *StreamLink) attach(raw *net.TCPConn) *linkConn {
	c := &linkConn{Conn: raw, raw: raw, link: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resetFaults > 0 || s.closed {
		_ = raw.SetLinger(0)
		_ = raw.Close()
		return nil
	}
	if s.conns == nil {
		s.conns = map[*linkConn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return c
}

// linkConn is the stand-in's end of a connection. It embeds the interface net.Conn, which hides ReadFrom and
// WriteTo of *net.TCPConn: io.Copy would bypass Read and Write with them.
type linkConn struct {
	net.Conn
	raw  *net.TCPConn
	link *StreamLink

	readAhead    []byte // read while a fault began; used by the reader alone
	readAheadErr error

	// Guarded by the link's lock.
	readAborted bool // the read deadline has passed
	closed      bool
	flushing    bool
	heldWrites  []byte // written when no fault holds them any more
	heldEnd     func() // called after heldWrites: closes or resets the connection; nil: none
}

// waitInbound waits until no fault holds bytes from the agent. It returns an error if the connection is
// closed or its read deadline passes.
func (c *linkConn) waitInbound() error {
	s := c.link
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.inboundHolds > 0 && !c.closed && !c.readAborted {
		s.cond().Wait()
	}
	switch {
	case c.closed:
		return net.ErrClosed
	case s.inboundHolds > 0:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	if err := c.waitInbound(); err != nil {
		return 0, err
	}
	if len(c.readAhead) > 0 || c.readAheadErr != nil {
		n := copy(b, c.readAhead)
		if c.readAhead = c.readAhead[n:]; n > 0 {
			return n, nil
		}
		return 0, c.readAheadErr
	}
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err
	}
	if waitErr := c.waitInbound(); waitErr != nil {
		c.readAhead, c.readAheadErr = append(c.readAhead, b[:n]...), err
		return 0, waitErr
	}
	return n, err
}

// SetReadDeadline implements net.Conn. A deadline in the past ends a Read that waits for a fault's end.
func (c *linkConn) SetReadDeadline(t time.Time) error {
	c.link.mu.Lock()
	c.readAborted = !t.IsZero() && !t.After(time.Now())
	c.link.cond().Broadcast()
	c.link.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *linkConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.Conn.SetWriteDeadline(t))
}

// Write implements net.Conn. It counts held bytes as written.
func (c *linkConn) Write(b []byte) (int, error) {
	s := c.link
	s.mu.Lock()
	closed, held := c.closed, s.outboundHolds > 0 || c.flushing || len(c.heldWrites) > 0
	full := len(c.heldWrites)+len(b) > maxHeldBytes
	if held && !closed && !full {
		c.heldWrites = append(c.heldWrites, b...)
	}
	s.mu.Unlock()
	switch {
	case closed:
		return 0, net.ErrClosed
	case !held:
		return c.Conn.Write(b)
	case full:
		c.resetNow()
		return 0, errHeldOverflow
	}
	return len(b), nil
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	end := func() error {
		c.detach()
		return c.Conn.Close()
	}
	if c.holdEnd(true, func() { _ = end() }) {
		return nil
	}
	return end()
}

// CloseWrite closes the stand-in's direction of the connection.
func (c *linkConn) CloseWrite() error {
	if c.holdEnd(false, func() { _ = c.raw.CloseWrite() }) {
		return nil
	}
	return c.raw.CloseWrite()
}

// Reset resets the connection.
func (c *linkConn) Reset() {
	if !c.holdEnd(true, c.resetNow) {
		c.resetNow()
	}
}

// holdEnd defers end until held bytes are written, and reports whether it did; it does not if nothing is
// held. closes is true if the connection is closed in both directions.
func (c *linkConn) holdEnd(closes bool, end func()) bool {
	s := c.link
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.outboundHolds == 0 && !c.flushing {
		return false
	}
	c.closed = c.closed || closes
	if c.heldEnd == nil {
		c.heldEnd = end
	}
	s.cond().Broadcast()
	return true
}

// resetNow resets the connection and drops held bytes.
func (c *linkConn) resetNow() {
	_ = c.raw.SetLinger(0)
	c.detach()
	_ = c.Conn.Close()
}

// detach removes the connection from its link.
func (c *linkConn) detach() {
	s := c.link
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closed = true
	delete(s.conns, c)
	s.cond().Broadcast()
}

// flush writes the held bytes, then calls heldEnd; it returns early if a fault begins.
func (c *linkConn) flush() {
	s := c.link
	for {
		s.mu.Lock()
		if s.outboundHolds > 0 {
			c.flushing = false
			s.mu.Unlock()
			return
		}
		data, end := c.heldWrites, c.heldEnd
		if c.heldWrites = nil; len(data) == 0 {
			c.flushing, c.heldEnd = false, nil
			s.mu.Unlock()
			if end != nil {
				end()
			}
			return
		}
		s.mu.Unlock()
		if _, err := c.Conn.Write(data); err != nil {
			c.detach()
		}
	}
}

// linkListener accepts connections and attaches them to a link.
type linkListener struct {
	*net.TCPListener
	link *StreamLink
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := l.link.attach(raw); c != nil {
			return c, nil
		}
	}
}
