package world

import (
	"time"

	"dunestep/internal/eventqueue"
)

// event takes place at one virtual time: work ends, a message arrives or a timer is due. Each kind of
// event is a pointer to the entity it concerns, converted to a type of its own, so that scheduling
// allocates nothing.
type event interface{ fire() }

// rank orders the events of one instant; within a rank, they fire in the order of scheduling. So an
// answer that arrives at the instant of a timeout or of the client's leaving counts as received, and a
// drain takes effect before the requests that arrive with it.
type rank uint8

const (
	rankEnvironment rank = iota // faults, process starts, discovery updates
	rankServer                  // upstream servers and discovery
	rankArrival                 // arrivals from the network
	rankTimer                   // agents' timers
	rankClient                  // clients send or leave
	rankSample                  // the sample of the second
	rankBits        = 3
)

// calendar holds the scheduled events and the virtual time.
type calendar struct {
	now                     time.Duration
	sequence                uint64
	eventqueue.Queue[event] // ordered by time, then by rank in the highest bits and sequence
}

// schedule adds an event. A time in the past means now, after the events of its rank that are due now.
func (c *calendar) schedule(at time.Duration, r rank, ev event) {
	c.sequence++
	c.Add(eventqueue.Item[event]{
		DueAt: max(at, c.now), Order: uint64(r)<<(64-rankBits) | c.sequence, Event: ev,
	})
}

// scheduleAfter adds an event after a delay.
func (c *calendar) scheduleAfter(wait time.Duration, r rank, ev event) {
	c.schedule(c.now+wait, r, ev)
}

// next removes the next event that is due by the given time and sets the clock to it. It reports false
// if there is none.
func (c *calendar) next(until time.Duration) (event, bool) {
	first, ok := c.Next(until)
	if ok {
		c.now = first.DueAt
	}
	return first.Event, ok
}
