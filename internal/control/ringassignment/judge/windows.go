package judge

import (
	"fmt"
	"time"
)

// Window is a maintenance window that drains a server for all tenants, in true times. Keys leave the server
// between From and DrainedAt, and return to it between ReturnFrom and To.
type Window struct {
	Server                          int32
	From, DrainedAt, ReturnFrom, To time.Duration
}

// plannedWindow is a window with the number of keys that its server had at each agent when the window was
// accepted.
type plannedWindow struct {
	Window
	keysBefore map[int]int
}

const (
	// minKeysFraction is the minimum number of keys that a server must have outside of its window, as a fraction
	// of its keys before or of its fair share, whichever is lower. It allows for other servers that join.
	minKeysFraction = 0.25
	// minKeys is the minimum number of keys that a server must have had before its window for the check to
	// apply, because fewer are not significant.
	minKeys = 12
	// afterWindow is the time after the end of a window until which the window is checked.
	afterWindow = 6 * time.Second
	// clockMargin is the time after the end of a window until all clocks show that it is over.
	clockMargin = time.Second
)

// WindowPlanned records that a window was accepted.
func (j *Judge) WindowPlanned(w Window) {
	j.windows = append(j.windows, &plannedWindow{w, map[int]int{}})
}

// checkWindows checks that a window keeps keys off its server only from From to To, at all agents, with and
// without a lease, and whatever happens to the server while it has no keys.
func (j *Judge) checkWindows(s Sample) {
	for _, w := range j.windows {
		if s.At >= w.From && s.At < w.To+clockMargin || s.At >= w.To+afterWindow {
			continue
		}
		has := 0
		for _, c := range j.keyCounts(s.Owners) {
			if c.server == w.Server {
				has = c.keys
			}
		}
		had, known := w.keysBefore[s.Agent]
		if !known {
			if s.At < w.From && s.Generation > 0 { // without a generation, it may use a server that has just joined
				w.keysBefore[s.Agent] = has
			}
			continue
		}
		expected := min(float64(had), j.fairKeys(w.Server, s.Owners)) // other servers may have been away then
		isOff := had >= minKeys && float64(has) < minKeysFraction*expected
		if isOff && j.truth.IsSteady(s.Agent, w.Server, w.DrainedAt, w.ReturnFrom) {
			j.addViolation(s, fmt.Sprintf("server %d has %d of %d keys outside of its window from %v to %v", w.Server,
				has, had, w.From, w.To))
		}
	}
}

// mayBeMovedByWindow reports whether a window may have moved a key from one server to another. Such moves
// have a separate rate limit.
func (j *Judge) mayBeMovedByWindow(from, to int32, at time.Duration) bool {
	for _, w := range j.windows {
		if from == w.Server && at >= w.From && at < w.DrainedAt+afterWindow ||
			to == w.Server && at >= w.ReturnFrom && at < w.To+afterWindow {
			return true
		}
	}
	return false
}

// fractionInWindows returns the fraction of the total capacity that is in windows. The keys of a server in a
// window move to the next server on the ring, even one in slow start, and some servers are next to more of
// them than others.
func (j *Judge) fractionInWindows(at time.Duration, counts []keyCount) float64 {
	inWindows, all := 0.0, 0.0
	for _, w := range j.windows {
		if at >= w.From && at < w.To+afterWindow {
			inWindows += j.truth.Capacity(w.Server)
		}
	}
	if inWindows == 0 {
		return 0
	}
	for _, c := range counts {
		all += j.truth.Capacity(c.server)
	}
	return inWindows / max(all, inWindows)
}

// fairKeys returns the number of keys that a server would have by its capacity, among the servers that own
// keys.
func (j *Judge) fairKeys(server int32, owners *Owners) float64 {
	all := j.truth.Capacity(server)
	for _, c := range j.keyCounts(owners) {
		if c.server != server {
			all += j.truth.Capacity(c.server)
		}
	}
	return j.truth.Capacity(server) / all * float64(len(*owners))
}
