package world

import (
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/routing"
)

const (
	// emptyLines is how often a watch says that nothing changes.
	emptyLines = 2 * time.Second
	// silenceWait is how long an agent hears nothing on a watch until it ends it.
	silenceWait = 3 * time.Second
)

// The happenings of a watch that falls silent.
type (
	watchSilent  call
	watchGivenUp call
)

// silence has the watches that are open fall silent, each at its own time within the trouble's length.
func (t *trouble) silence() {
	for _, c := range t.w.discovery.calls {
		if c.watch && c.taken {
			t.w.after(time.Duration(t.chance.Float64()*float64(t.lasts)), rankServer, (*watchSilent)(c))
		}
	}
}

func (s *watchSilent) happen() {
	c := (*call)(s)
	if c.over || c.silent {
		return
	}
	w := c.d.w
	c.silent = true
	w.record.agent(record.WatchSilent, c.life.agent)
	if c.wire != nil { // a real agent finds out by itself
		w.after(c.d.distance(c.life.agent), rankArrival, called(c.wire.Silence)) // after what was told before
		return
	}
	w.enter(c.missed(), rankArrival, (*watchGivenUp)(c))
}

// missed is when the agent has heard nothing for too long, if nothing comes from now on.
func (c *call) missed() time.Duration {
	w := c.d.w
	heard := c.spoke + (w.now-c.spoke)/emptyLines*emptyLines
	return max(heard+c.d.distance(c.life.agent)+silenceWait, w.now)
}

// watchHeld is when an agent ends a watch of which it hears nothing, unless it does again.
type watchHeld call

func (h *watchHeld) happen() {
	if c := (*call)(h); c.life.agent.toDiscovery.back > c.d.w.now {
		(*watchGivenUp)(c).happen()
	}
}

func (g *watchGivenUp) happen() {
	c := (*call)(g)
	if !c.over {
		c.forget()
		c.life.post(message{kind: callEnded, number: c.number, err: &routing.SilenceError{Duration: silenceWait}})
	}
}
