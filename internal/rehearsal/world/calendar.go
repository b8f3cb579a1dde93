package world

import (
	"time"

	"dunestep/internal/eventqueue"
)

// A happening is something that takes place at an instant: a piece of work ends, a message arrives, a
// timer comes due. It is a pointer to what it concerns under a name of its own, so that to enter it costs
// no memory.
type happening interface{ happen() }

// rank orders what takes place at one instant; within a rank, what was entered first comes first. So an
// answer that crosses a time-out or the client's leaving counts as there, and a drain is seen by what
// arrives with it.
type rank uint8

const (
	rankTrouble rank = iota // the world changes
	rankServer              // a booking server's work goes on or ends
	rankArrival             // what is on its way arrives
	rankTimer               // an agent's wait is over
	rankClient              // a client asks, or leaves
	rankSample              // the second is counted
	rankBits    = 3
)

// calendar holds what is still to take place, and the time.
type calendar struct {
	now                         time.Duration
	entered                     uint64
	eventqueue.Queue[happening] // ordered by the rank in the highest bits, then the sequence
}

// enter has a happening take place; one in the past takes place now, after all of its rank that are due
// now.
func (c *calendar) enter(at time.Duration, r rank, what happening) {
	c.entered++
	c.Add(eventqueue.Item[happening]{
		DueAt: max(at, c.now), Order: uint64(r)<<(64-rankBits) | c.entered, Event: what,
	})
}

// after has a happening take place so much later.
func (c *calendar) after(wait time.Duration, r rank, what happening) { c.enter(c.now+wait, r, what) }

// next takes out what comes next, if that is not after the time given, and sets the clock to it.
func (c *calendar) next(until time.Duration) (happening, bool) {
	first, ok := c.Next(until)
	if ok {
		c.now = first.DueAt
	}
	return first.Event, ok
}
