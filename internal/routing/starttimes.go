package routing

import (
	"time"

	"dunestep/internal/balancer"
)

const (
	// maxTellDelay is how long after its start a server can first be listed, while discovery can be reached: 6
	// s, and as much again for what delays a list. A server that seems older has another clock than this
	// machine.
	maxTellDelay = 12 * time.Second
	// maxClockError is the difference of two machines' clocks up to which they count as the same.
	maxClockError = time.Second
)

// StartTimes converts the start times of servers, which discovery gives by the clock of the servers, to the
// clock of this agent. The two are the same unless a machine's time was set: an agent that starts on a
// machine whose clock is an hour ahead would take each new server for a warm one, and one whose clock is
// behind would take servers for new for as long.
//
// It follows from what cannot be: no server starts in the future, and none that discovery names for the first
// time, on a watch that has missed nothing, has run for long.
type StartTimes struct {
	offset      time.Duration // added to this agent's clock to give the servers'
	known       map[string]startTime
	hasList     bool          // discovery has answered since the start of this process
	currentAt   time.Duration // when the list was last known to be current, before an interruption
	interrupted bool          // changes may have been missed since currentAt
}

// startTime is the start of one process of a server, by the servers' clock and by the agent's.
type startTime struct{ listed, converted time.Duration }

// NewStartTimes returns a StartTimes without servers.
func NewStartTimes() *StartTimes { return &StartTimes{known: map[string]startTime{}} }

// Convert sets the start times of an update's servers to this agent's clock. It must be called with each
// update. An operator's update at this agent has them by this agent's clock, unless they are known from
// discovery.
func (t *StartTimes) Convert(now time.Duration, kind balancer.UpdateKind, watch balancer.WatchStatus,
	servers []balancer.Server,
) {
	if kind == balancer.UpdateFailed {
		if !t.interrupted {
			t.currentAt, t.interrupted = now, true
		}
		return
	}
	offset := time.Duration(0)
	if !watch.Local {
		for i := range servers {
			t.learnOffset(now, &servers[i])
		}
		offset = t.offset
	}
	for i := range servers {
		servers[i].StartedAt = t.convert(&servers[i], offset)
	}
	if len(servers) > 0 && kind != balancer.UpdateCached && !watch.Local {
		t.hasList, t.interrupted = true, false
	}
}

// learnOffset corrects the offset if the server's start contradicts it.
func (t *StartTimes) learnOffset(now time.Duration, s *balancer.Server) {
	if s.StartedAt == 0 || t.known[s.ID].listed == s.StartedAt {
		return
	}
	age := now + t.offset - s.StartedAt
	isFuture := age < -maxClockError
	if isFuture || t.isJustStarted(s) && age > t.maxAge(now) {
		t.offset -= age
	}
}

// isJustStarted reports whether the server has started since discovery's first answer to this process.
func (t *StartTimes) isJustStarted(s *balancer.Server) bool {
	return t.hasList && s.State != balancer.Gone
}

// maxAge returns how old a server can be that is named for the first time now.
func (t *StartTimes) maxAge(now time.Duration) time.Duration {
	if t.interrupted {
		return now - t.currentAt + maxTellDelay
	}
	return maxTellDelay
}

// convert returns the server's start by this agent's clock; zero: long ago. It stays the same for one
// process.
func (t *StartTimes) convert(s *balancer.Server, offset time.Duration) time.Duration {
	if s.State == balancer.Gone {
		return s.StartedAt
	}
	known, isKnown := t.known[s.ID]
	if !isKnown || known.listed != s.StartedAt {
		known = startTime{listed: s.StartedAt, converted: s.StartedAt}
		if s.StartedAt != 0 {
			known.converted = max(s.StartedAt-offset, 1)
		}
		t.known[s.ID] = known
	}
	return known.converted
}

// Forget forgets a server that is not listed any more.
func (t *StartTimes) Forget(id string) { delete(t.known, id) }
