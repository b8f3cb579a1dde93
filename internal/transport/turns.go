package transport

import (
	"runtime"
	"sync/atomic"
)

// The agent has few processors, often one. A connection whose next request is there already waits for
// nothing: its goroutine runs for as long as the scheduler lets it, and with some of them all others are
// late at each step. Such connections take turns, and each lets everything else run before its own.

// turnQueue lets one connection at a time go on to a request that was read with the one before. Connections
// wait in the order of their calls. The zero value is not usable.
type turnQueue chan struct{}

func newTurnQueue() turnQueue { return make(turnQueue, 1) }

// turn is the turn of one connection. It is safe for concurrent use.
type turn struct{ isHeld atomic.Bool }

// acquire waits for the turn, then until everything else that can run has run.
func (t *turn) acquire(queue turnQueue) {
	queue <- struct{}{}
	t.isHeld.Store(true)
	runtime.Gosched()
}

// release ends the turn, if it is held.
func (t *turn) release(queue turnQueue) {
	if t.isHeld.CompareAndSwap(true, false) {
		<-queue
	}
}

// letOthersRun is called between two requests of a connection.
func (c *downstreamConn) letOthersRun() {
	runtime.Gosched()
	c.mu.Lock()
	hasNext := c.hasReadNextRequest()
	c.mu.Unlock()
	if hasNext {
		c.turn.acquire(c.conns.turns)
	}
}

// releaseTurn ends the connection's turn, if it has it: its request was read, or has to be waited for.
func (c *downstreamConn) releaseTurn() { c.turn.release(c.conns.turns) }
