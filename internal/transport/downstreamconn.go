package transport

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunestep/internal/protocol"
)

const (
	// requestTimeout is how long a client has to send a request, counted from accepting the connection for the
	// first request, else from the request's first byte.
	requestTimeout = 2300 * time.Millisecond
	// minIdleTime is the minimum time that a connection without an open request stays open.
	minIdleTime = 2 * time.Second
	// minSilentTime is the same if descriptors are short and nothing was ever received: a client that has a
	// request sends it right after connecting.
	minSilentTime = 150 * time.Millisecond
	// closeGracePeriod is how long an evicted client has to close its side while another client waits for the
	// descriptor.
	closeGracePeriod = 20 * time.Millisecond
	// stallTimeout is how long a partly received request may make no progress if descriptors are short.
	stallTimeout = time.Second
	// lingerTimeout is how long input is read and discarded after the write side was closed.
	lingerTimeout = time.Second
)

// connState is the state of a client's connection.
type connState uint8

const (
	connNew     connState = iota // nothing has been received yet
	connReading                  // a request is being received
	connBusy                     // a request is in flight, or its response is being written
	connIdle                     // the last request was answered
	connClosing                  // the write side is closed, input is discarded
	connClosed
)

// connStateNames are the states as they appear in log lines.
var connStateNames = [...]string{
	connNew: "new", connReading: "reading", connBusy: "busy", connIdle: "idle", connClosing: "closing",
	connClosed: "closed",
}

// downstreamConn is a client's connection. It tracks its state and where requests on it begin and end. Read
// is called by net/http's goroutine of the connection; all other methods may be called from any goroutine.
type downstreamConn struct {
	net.Conn
	conns      *downstreamConns
	formats    []protocol.Format // formats that requests on it may have
	acceptedAt time.Time
	rawConn    syscall.RawConn
	turn       turn
	// readDeadline is when a Read times out; nil: never, or a Read was interrupted.
	readDeadline atomic.Pointer[time.Time]

	mu                sync.Mutex
	state             connState
	stateSince        time.Time
	isHeaderRead      bool            // in connReading: the request's header was read
	receivedAt        time.Time       // of the latest bytes; of a backlog, the earliest possible time
	hasBacklog        bool            // bytes came before a Read waited for them; the kernel may have more
	backlogReadAt     time.Time       // with hasBacklog: when the kernel last had no more
	isPaused          bool            // nothing is read: the request waits for memory or an upstream server
	pausedAt          time.Time       // start of the latest pause
	resumedAt         time.Time       // when reading continued after a pause
	refuseMemory      func()          // ends the wait of the body for memory; nil: there is none
	closesUnlessInput bool            // the current Read ends the connection unless there is input
	isBodyAbandoned   bool            // the rest of the current body is not needed
	skipsLinger       bool            // Close does not wait for the client to close its side
	wasEvictedIdle    bool            // evicted with nothing open on it
	requestsStarted   int             // requests whose header was passed to a handler
	previous          <-chan struct{} // see protocol.Request.Previous
	heldMemory        int64           // see chargeMemory
	framing           requestFraming
	heldBack          bodyHeldBack
	closeWatch        closeWatch
	// idleTimer checks whether the connection has been idle long enough to be closed. It keeps running while a
	// request is in flight, which costs less than stopping and starting it for each request.
	idleTimer *time.Timer
}

// arrival describes what a Read returned.
type arrival struct {
	isBacklog bool // the bytes were there before the Read waited for them
	isAll     bool // the kernel had no more
	isDrained bool // all of a long body that had been written before was read
}

// Read parses the framing of the bytes that it returns. In connClosing it returns no more bytes: a request
// that crosses the close counts as never read, and its client may send it again. From where the input turns
// out to be malformed it returns nothing, and fails once all requests before are answered.
func (c *downstreamConn) Read(b []byte) (int, error) {
	for {
		if err := c.refusal(); err != nil {
			return 0, err
		}
		if c.turn.isHeld.Load() && !c.hasInput() { // the rest of the request has to be waited for
			c.releaseTurn()
		}
		isBacklog, isDrained := c.hasPendingBacklog(), c.isLongBodyDrained()
		n, err := c.readInput(b)
		if n == 0 {
			return 0, err
		}
		passed, err := c.recordInput(b[:n], arrival{isBacklog: isBacklog, isAll: n < len(b), isDrained: isDrained})
		if passed > 0 || err != nil {
			return passed, err
		}
	}
}

// readInput reads what the client has sent, also where it arrived before a deadline that is over.
func (c *downstreamConn) readInput(b []byte) (int, error) {
	n, err := readConn(c.Conn, b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) &&
		(c.isBodyCompleteDespiteAbandon() || !c.isReadTimeoutFinal() || c.hasTimelyInput()) {
		n, err = readConn(c.Conn, b)
	}
	return n, err
}

// recordInput records bytes that were read, and returns how many of them may be passed on.
func (c *downstreamConn) recordInput(b []byte, a arrival) (passed int, err error) {
	passed, isOver, err := c.advance(b, a)
	if isOver { // others that are less sound pay first
		c.conns.evict(evictAny)
	}
	return passed, err
}

// advance is recordInput without evictions. isOver reports whether clients hold more memory than they may.
func (c *downstreamConn) advance(b []byte, a arrival) (passed int, isOver bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case connClosed, connClosing:
		return 0, false, net.ErrClosed
	case connNew, connIdle:
		c.setState(connReading)
	case connBusy: // from here on, unread bytes can hide the client's close from net/http
		c.startCloseWatch()
	}
	c.recordArrival(a)
	passed = c.framing.advance(b, c.receivedAt)
	c.recordHeldBack(len(b), a)
	return passed, c.chargeMemory(), nil
}

// refusal returns why the client's input is not read any more; nil if it is.
func (c *downstreamConn) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.refusal()
}

// SetReadDeadline sets when a Read times out.
func (c *downstreamConn) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		c.readDeadline.Store(nil)
	} else {
		c.readDeadline.Store(&deadline)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// interruptRead makes a Read time out now.
func (c *downstreamConn) interruptRead() {
	c.readDeadline.Store(nil)
	_ = c.Conn.SetReadDeadline(time.Now()) // fails only on a closed connection
}

// timelyInputTimeout is how long a Read may take for input that arrived before its deadline.
const timelyInputTimeout = 100 * time.Millisecond

// hasTimelyInput reports whether there is unread input that arrived before the deadline of a Read that timed
// out, and lets the next Read read it: this process was not scheduled in time.
func (c *downstreamConn) hasTimelyInput() bool {
	deadline := c.readDeadline.Load()
	now := time.Now()
	if deadline == nil || !c.hasInput() || c.isClosedByClient() || c.arrivedAt(now).After(*deadline) {
		return false
	}
	return c.SetReadDeadline(now.Add(timelyInputTimeout)) == nil
}

// Write writes to the client. It may wait for the client to read: net/http answers a malformed request
// itself.
func (c *downstreamConn) Write(b []byte) (int, error) {
	c.releaseTurn()
	return connWriter{c.Conn}.Write(b)
}

// hasPendingBacklog reports whether bytes that arrived before a Read waited for them are still unread.
func (c *downstreamConn) hasPendingBacklog() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasBacklog && c.hasInput()
}

// recordArrival sets when the bytes of a Read arrived: now or, if they belong to a backlog, when all bytes
// before them had been read. The caller holds mu.
func (c *downstreamConn) recordArrival(a arrival) {
	now := time.Now()
	c.receivedAt = c.arrivedAt(now)
	if a.isBacklog {
		c.receivedAt = c.backlogReadAt
	} else {
		c.hasBacklog = false
	}
	if a.isAll {
		c.backlogReadAt = now
	}
}

// arrivedAt returns when the latest data arrived, of what is or could be read now: earlier than now if this
// process was not scheduled meanwhile.
func (c *downstreamConn) arrivedAt(now time.Time) time.Time {
	var age time.Duration
	var isKnown bool
	err := c.rawConn.Control(func(fd uintptr) { age, isKnown = timeSinceData(fd) })
	if err == nil && isKnown {
		return now.Add(-age)
	}
	return c.conns.pauses.earliestArrival()
}

// isClosedByClient reports whether the client has closed the connection, whatever it sent before is unread.
func (c *downstreamConn) isClosedByClient() (isClosed bool) {
	err := c.rawConn.Control(func(fd uintptr) { isClosed = isClosedByPeer(fd) })
	return err != nil || isClosed
}

// setState changes the state, unless the connection is closing or closed. The caller holds mu.
func (c *downstreamConn) setState(s connState) {
	if c.state != connClosed && c.state != connClosing {
		c.state, c.stateSince, c.isHeaderRead = s, time.Now(), false
		c.chargeMemory()
	}
}

// startRequest records that a request's header was read. It returns the deadline for the request's last byte,
// and whether net/http reads the same framing of the body.
func (c *downstreamConn) startRequest(r *http.Request) (deadline time.Time, isFramingClear bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHeaderRead = true
	c.requestsStarted++
	deadline = c.stateSince.Add(requestTimeout)
	if first := c.acceptedAt.Add(requestTimeout); c.framing.headersStarted <= 1 && first.Before(deadline) {
		deadline = first
	}
	return deadline, c.framing.current().matches(r)
}

// pauseReading records that this agent stops reading for now. A request that makes no progress for that
// reason is not stalled by its client.
func (c *downstreamConn) pauseReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isPaused, c.pausedAt = true, time.Now()
}

// setRefuseMemory sets what ends the wait of the current body for memory; nil: it does not wait any more.
func (c *downstreamConn) setRefuseMemory(refuse func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseMemory = refuse
}

// resumeReading ends a pause. It keeps receivedAt, from which the client's time counts.
func (c *downstreamConn) resumeReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isPaused = false
	c.resumedAt = time.Now()
}

// isStalled reports whether a request has begun but makes no progress because its client sends nothing. The
// caller holds mu.
func (c *downstreamConn) isStalled(now time.Time) bool {
	if c.state != connReading || c.isPaused || c.isRequestComplete() || now.Sub(c.stateSince) < stallTimeout {
		return false
	}
	return !c.isHeaderRead || now.Sub(c.receivedAt) >= stallTimeout && now.Sub(c.resumedAt) >= stallTimeout
}

// requestStartedAt returns when the first byte of the current request was received.
func (c *downstreamConn) requestStartedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateSince
}

// abandonBody ends reads of the current body, whose rest is not needed. It has effect until responseDone.
func (c *downstreamConn) abandonBody() {
	c.mu.Lock()
	c.isBodyAbandoned = true
	c.mu.Unlock()
	c.interruptRead()
}

// responseDone records that the response was written: from then on net/http sets the read deadlines again.
func (c *downstreamConn) responseDone() {
	c.mu.Lock()
	c.isBodyAbandoned = false
	c.mu.Unlock()
}

// isBodyCompleteDespiteAbandon reports whether the deadline that ended a Read was set by abandonBody for a
// body that is complete by now, and clears it. net/http reads on after a body to notice that the client
// disconnects; it would mistake the deadline for that, and cut off the response.
func (c *downstreamConn) isBodyCompleteDespiteAbandon() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isBodyAbandoned || c.closesUnlessInput || c.framing.isInBody() {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

// requestComplete records that the last byte of a request was read and returns when it was received, or when
// the client can have written it if this agent has held it back. The client's time counts from then.
func (c *downstreamConn) requestComplete() (receivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	receivedAt = c.receivedAt
	if current := c.framing.current(); current != nil && current.isComplete {
		receivedAt = current.completedAt
		if current.isLong() {
			receivedAt = c.writtenBefore(receivedAt)
		}
	}
	c.setState(connBusy)
	return receivedAt
}

// shouldClose reports whether to close the connection after its response. Many clients that send one request
// each and keep their connection would exhaust the descriptors before any of them was idle long enough to be
// closed. Clients that have sent more than one request keep their connection longer.
func (c *downstreamConn) shouldClose() bool {
	crowded, pressing := c.conns.descriptors.downstreamPressure()
	c.mu.Lock()
	defer c.mu.Unlock()
	return pressing || crowded && c.framing.headersStarted <= 1
}

// hasNextRequest reports whether a part of the request after the current one was received. A close after the
// current response would lose a pipelined request.
func (c *downstreamConn) hasNextRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasReadNextRequest() || !c.framing.isInBody() && c.hasInput()
}

// hasReadNextRequest reports whether a part of the request after the current one was read. The caller holds
// mu.
func (c *downstreamConn) hasReadNextRequest() bool {
	return c.framing.headersStarted > c.requestsStarted
}

// hasInput reports whether the kernel has unread input from the client, including the end of its stream.
func (c *downstreamConn) hasInput() (has bool) {
	err := c.rawConn.Control(func(fd uintptr) { has = hasInput(fd) })
	return err == nil && has
}

// responseWritten records that a response was written.
func (c *downstreamConn) responseWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.answered()
	if c.hasReadNextRequest() {
		c.hasBacklog, c.backlogReadAt = true, c.receivedAt
		c.setState(connReading)
		return
	}
	c.setState(connIdle)
	if c.state != connIdle {
		return
	}
	if c.hasBacklog && !c.hasInput() { // what comes from now on has not waited for an earlier request
		c.hasBacklog = false
	}
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(minIdleTime, c.closeIfIdle)
	} else {
		c.idleTimer.Reset(minIdleTime)
	}
}

// closeIfIdle closes the connection if it has been idle long enough and clients hold many descriptors.
func (c *downstreamConn) closeIfIdle() {
	c.mu.Lock()
	since, isLongEnough := c.stateSince, c.state == connIdle && time.Since(c.stateSince) >= minIdleTime
	c.mu.Unlock()
	if crowded, _ := c.conns.descriptors.downstreamPressure(); crowded && isLongEnough {
		c.evict(connIdle, since)
	}
}

// Close closes the write side, reads and discards input for up to lingerTimeout, then closes the connection.
// Closing with unread input would reset the connection, and the client's kernel would discard the response
// before the client has read it.
func (c *downstreamConn) Close() error {
	c.releaseTurn()
	c.mu.Lock()
	lingers := c.startClosing()
	c.mu.Unlock()
	if lingers {
		c.discardInput()
	}
	err := c.Conn.Close()
	c.deregister()
	return err
}

// discardBytes is how much input is discarded at once, in bytes.
const discardBytes = 4 << 10

// discardInput reads and discards input until the deadline or the client's close. A client that sends at
// full speed is read in turns.
func (c *downstreamConn) discardInput() {
	buffer := make([]byte, discardBytes)
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
		c.turn.acquire(c.conns.turns)
		c.releaseTurn()
	}
}

// startClosing closes the write side; input from now on is discarded. It returns false if the connection is
// closed, or must be closed without lingering. The caller holds mu.
func (c *downstreamConn) startClosing() (lingers bool) {
	if c.skipsLinger || c.state == connClosed {
		return false
	}
	if c.state != connClosing {
		_ = c.CloseWrite() // fails only if the client has reset the connection
		c.setState(connClosing)
	}
	return c.SetReadDeadline(c.stateSince.Add(lingerTimeout)) == nil
}

// discardUnsent makes Close discard bytes that the kernel has not sent yet. For a client that does not read,
// the kernel would keep them indefinitely.
func (c *downstreamConn) discardUnsent() {
	c.skipLinger()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}

// skipLinger makes Close not wait for the client.
func (c *downstreamConn) skipLinger() {
	c.mu.Lock()
	c.skipsLinger = true
	c.mu.Unlock()
}

// CloseWrite closes the write side. net/http calls it, then waits a while before it calls Close.
func (c *downstreamConn) CloseWrite() error {
	c.releaseTurn()
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// deregister releases the connection's descriptor, once.
func (c *downstreamConn) deregister() {
	c.releaseTurn()
	c.mu.Lock()
	wasClosed := c.state == connClosed
	c.state = connClosed
	c.chargeMemory()
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	c.mu.Unlock()
	if !wasClosed {
		c.conns.remove(c)
	}
}
