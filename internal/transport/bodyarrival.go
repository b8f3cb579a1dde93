package transport

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"dunestep/internal/routing"
)

// unreadBytes returns how many bytes a socket has received that were not read; false if the system does not
// tell.
func unreadBytes(fd uintptr) (int64, bool) {
	n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	return int64(n), err == nil
}

// bodyArrival returns what has arrived of the current request's body. It returns false unless reading is
// paused: a reader that waits for input knows what has arrived.
func (c *downstreamConn) bodyArrival(now time.Time) (routing.BodyArrival, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isPaused {
		return routing.BodyArrival{}, false
	}
	arrival := routing.BodyArrival{
		SinceArrival: now.Sub(c.latestArrival(now)), UnreadFor: now.Sub(c.pausedAt), HasUnread: true,
	}
	unread, isKnown := c.unreadBytes()
	if isKnown {
		arrival.HasUnread = unread > 0
	}
	arrival.HeldBackFor = c.heldBackFor(now, unread)
	current := c.framing.current()
	switch {
	case current != nil && current.isComplete:
		arrival.State, arrival.SinceArrival = routing.BodyArrived, now.Sub(current.completedAt)
	case current == nil || current.isChunked || !isKnown: // unread chunks are not parsed
		arrival.State = routing.BodyUnknown
	case unread >= c.framing.bodyLeft:
		arrival.State = routing.BodyArrived
	default:
		arrival.State = routing.BodyIncomplete
	}
	return arrival, true
}

// latestArrival returns when the latest byte arrived, read or not. Where the system does not tell, it is the
// time from which on this agent did not look. The caller holds mu.
func (c *downstreamConn) latestArrival(now time.Time) time.Time {
	var age time.Duration
	var isKnown bool
	err := c.rawConn.Control(func(fd uintptr) { age, isKnown = timeSinceData(fd) })
	if err == nil && isKnown {
		return now.Add(-age)
	}
	return c.pausedAt
}

// arrivalCheckInterval is the interval at which an arrivalWatch looks at its connection.
const arrivalCheckInterval = 20 * time.Millisecond

// arrivalWatch reports once when the client's time of a request has begun although its body was not read to
// the end. It looks at the connection while it is started. It is safe for concurrent use.
type arrivalWatch struct {
	conn     *downstreamConn
	timeLeft time.Duration // of the client, from the last byte of its request on
	onBegun  func(at time.Time)

	mu        sync.Mutex
	timer     *time.Timer
	isStarted bool
	hasBegun  bool // onBegun was called
}

// start starts to look, from the next interval on.
func (w *arrivalWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasBegun {
		return
	}
	w.isStarted = true
	if w.timer == nil {
		w.timer = time.AfterFunc(arrivalCheckInterval, w.check)
	} else {
		w.timer.Reset(arrivalCheckInterval)
	}
}

// stop ends looking until the next start.
func (w *arrivalWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStarted = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// check looks at the connection, and again after the next interval unless the client's time has begun.
func (w *arrivalWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStarted && !w.look() {
		w.timer.Reset(arrivalCheckInterval)
	}
}

// checkNow looks at the connection once.
func (w *arrivalWatch) checkNow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn.pauseReading()
	defer w.conn.resumeReading()
	w.look()
}

// look calls onBegun if the client's time has begun, and reports whether it was called now or before. The
// caller holds mu.
func (w *arrivalWatch) look() bool {
	if w.hasBegun {
		return true
	}
	now := time.Now()
	waited, hasBegun := w.startOfTime(now)
	if hasBegun {
		w.hasBegun = true
		w.onBegun(now.Add(-waited))
	}
	return hasBegun
}

// startOfTime is that of the body's arrival; zero unless reading is paused.
func (w *arrivalWatch) startOfTime(now time.Time) (waited time.Duration, hasBegun bool) {
	arrival, isPaused := w.conn.bodyArrival(now)
	if !isPaused {
		return 0, false
	}
	return arrival.StartOfTime(w.timeLeft)
}

// clientWaited returns for how long the client may have waited since the last byte of its request.
func (w *arrivalWatch) clientWaited() time.Duration {
	arrival, isPaused := w.conn.bodyArrival(time.Now())
	if !isPaused {
		return 0
	}
	return arrival.LongestWait()
}
