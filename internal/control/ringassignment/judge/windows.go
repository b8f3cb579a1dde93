package judge

import (
	"fmt"
	"time"
)

// Window is a maintenance window that takes a server from all tenants, in true times: keys leave it from From
// to DrainedAt, and come back from ReturnFrom to To.
type Window struct {
	Server                          int32
	From, DrainedAt, ReturnFrom, To time.Duration
}

// plannedWindow is a window, and how many keys its server had at each agent when the window was accepted.
type plannedWindow struct {
	Window
	keysBefore map[int]int
}

const (
	// minKeysFraction is the fraction of the keys that a server had, or would have by its capacity, which it has
	// to have outside of its window, though others join.
	minKeysFraction = 0.25
	// minKeys is how many keys it has to have had: fewer tell nothing.
	minKeys = 12
	// afterWindow is how long after its end a window is checked.
	afterWindow = 6 * time.Second
	// clockMargin is how long after its end all clocks show that it is over.
	clockMargin = time.Second
)

// WindowPlanned takes that a window was accepted.
func (j *Judge) WindowPlanned(w Window) {
	j.windows = append(j.windows, &plannedWindow{w, map[int]int{}})
}

// checkWindows: a window has keys off its server only from From to To, whatever becomes of the server while
// it has none, at all agents, with a lease or without.
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
			if s.At < w.From && s.Generation > 0 { // by its list alone it may use what has only just joined
				w.keysBefore[s.Agent] = has
			}
			continue
		}
		expected := min(float64(had), j.fairKeys(w.Server, s.Owners)) // others may have been away when it had them
		isOff := had >= minKeys && float64(has) < minKeysFraction*expected
		if isOff && j.truth.IsSteady(s.Agent, w.Server, w.DrainedAt, w.ReturnFrom) {
			j.addViolation(s, fmt.Sprintf("server %d has %d keys of %d, outside of its window from %v to %v", w.Server,
				has, had, w.From, w.To))
		}
	}
}

// mayBeMovedByWindow tells whether a window may have moved a key from one server to another. Such moves have
// a rate of their own.
func (j *Judge) mayBeMovedByWindow(from, to int32, at time.Duration) bool {
	for _, w := range j.windows {
		if from == w.Server && at >= w.From && at < w.DrainedAt+afterWindow ||
			to == w.Server && at >= w.ReturnFrom && at < w.To+afterWindow {
			return true
		}
	}
	return false
}

// fractionInWindows is the fraction of the capacity that is in windows. The keys of these servers go to the
// next one on the ring, whether it is in slow start or not, and some are next to more of them than others
// are.
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

// fairKeys is how many keys a server would have by its capacity, among the servers that have some.
func (j *Judge) fairKeys(server int32, owners *Owners) float64 {
	all := j.truth.Capacity(server)
	for _, c := range j.keyCounts(owners) {
		if c.server != server {
			all += j.truth.Capacity(c.server)
		}
	}
	return j.truth.Capacity(server) / all * float64(len(*owners))
}
