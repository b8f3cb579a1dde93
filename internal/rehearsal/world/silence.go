package world

import (
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/routing"
)

const (
	// keepAliveInterval is the time between two empty lines on a watch without changes.
	keepAliveInterval = 2 * time.Second
	// silenceTimeout is the time without a message after which an agent ends a watch.
	silenceTimeout = 3 * time.Second
)

// The events of a watch that falls silent.
type (
	watchSilent    call
	watchAbandoned call
)

// silenceWatches makes the open watches fall silent, each at its own time within the fault's duration.
func (t *injection) silenceWatches() {
	for _, c := range t.w.discovery.calls {
		if c.watch && c.accepted {
			t.w.scheduleAfter(time.Duration(t.rng.Float64()*float64(t.duration)), rankServer, (*watchSilent)(c))
		}
	}
}

func (s *watchSilent) fire() {
	c := (*call)(s)
	if c.ended || c.silent {
		return
	}
	w := c.discovery.w
	c.silent = true
	w.record.agent(record.WatchSilent, c.proc.agent)
	if c.wire != nil { // a real agent detects it by itself
		// After the messages that were sent before.
		w.scheduleAfter(c.discovery.delay(c.proc.agent), rankArrival, eventFunc(c.wire.Silence))
		return
	}
	w.schedule(c.silenceDetected(), rankArrival, (*watchAbandoned)(c))
}

// silenceDetected returns when the agent ends the watch if it gets nothing from now on.
func (c *call) silenceDetected() time.Duration {
	w := c.discovery.w
	lastReceived := c.lastSent + (w.now-c.lastSent)/keepAliveInterval*keepAliveInterval
	return max(lastReceived+c.discovery.delay(c.proc.agent)+silenceTimeout, w.now)
}

// watchBlocked makes an agent end a watch whose stream is still blocked.
type watchBlocked call

func (h *watchBlocked) fire() {
	if c := (*call)(h); c.proc.agent.toDiscovery.back > c.discovery.w.now {
		(*watchAbandoned)(c).fire()
	}
}

func (g *watchAbandoned) fire() {
	c := (*call)(g)
	if !c.ended {
		c.remove()
		c.proc.post(message{
			kind: callEnded, number: c.number, err: &routing.SilenceError{Duration: silenceTimeout},
		})
	}
}
