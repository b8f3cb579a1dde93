package storm

import (
	"time"

	"dunestep/decide"
)

// Throttle of an agent of a large fleet. What such an agent has in flight says nothing of how busy the
// servers are, so that the module finds room for all that comes: while there is too little for the whole
// fleet, and after a purge in vain, all agents together kept servers at work that was given up before it
// was done. Each agent lets in what was answered of late and some more: the more, the fewer of its attempts
// were in vain. So it is open again a second after the servers are well, and settles where a fifth of the
// attempts are in vain as long as they are not.
const (
	throttleHalf  = 500 * time.Millisecond
	throttleMore  = 2.0 // times what was answered: let in beyond that, where nothing was in vain
	throttleEdge  = 0.1 // the same, however much was in vain
	throttleLeast = 1.0 // attempts in vain, of late: below, one unlucky request would turn others away
	throttleQuiet = 2 * time.Second
)

type throttle struct {
	came     faded // requests, also those that it turned away
	answered faded // attempts
	vain     faded // attempts: not answered in time, or turned away
	on       bool
	began    time.Duration
	last     time.Duration // that it turned a request away
	refused  int
}

func newThrottle() throttle {
	f := faded{half: throttleHalf}
	return throttle{came: f, answered: f, vain: f}
}

// ended takes the end of an attempt in. That no connection came up, or one was lost, says nothing of want
// of room.
func (t *throttle) ended(now time.Duration, o decide.Outcome) {
	switch o {
	case decide.Served:
		t.answered.add(now, 1)
	case decide.TimedOut, decide.Rejected:
		t.vain.add(now, 1)
	}
}

// room is the part of what comes that is let in. Where the given part of the attempts is in vain, it is
// hardly more than what is answered.
func (t *throttle) room(now time.Duration, most float64) float64 {
	t.vain.fade(now)
	if t.vain.weight < throttleLeast {
		return 1
	}
	t.came.fade(now)
	t.answered.fade(now)
	vain := t.vain.weight / (t.vain.weight + t.answered.weight)
	more := max(throttleMore*(1-vain/most), throttleEdge)
	return min((t.answered.weight*(1+more)+1)/(t.came.weight+1), 1)
}

// throttled tells whether a request finds no room at an agent of a large fleet: the first things first, as
// in a purge. In a purge and in an outage others decide.
func (g *Gate) throttled(e *decide.Request, tier int) bool {
	t := &g.throttle
	t.came.add(g.now, 1)
	if g.fig.Off || g.fig.InVain >= 1 || g.inPurge() || g.damper.phase != calm || !g.module.Sparse() {
		return false
	}
	room := t.room(g.now, g.fig.InVain)
	if room >= 1 || g.order.before(g.now, tier, g.lot(e)) < room {
		return false
	}
	if t.refused++; !t.on {
		t.on, t.began, t.refused = true, g.now, 1
		g.log("servers answer too little in time: lets in %.0f%% of what comes", 100*room)
	}
	t.last = g.now
	return true
}

// watchThrottle tells when nothing has been turned away for a while.
func (g *Gate) watchThrottle() {
	if t := &g.throttle; t.on && g.now-t.last > throttleQuiet {
		t.on = false
		g.log("lets all in again, after %d of %v that found no room", t.refused,
			(t.last - t.began).Round(time.Millisecond))
	}
}
