package judge

import (
	"fmt"
	"time"
)

// Window is one that takes a server for all tenants, true times: keys leave it from From to Drained, and come
// back from Back to To.
type Window struct {
	Server                  int32
	From, Drained, Back, To time.Duration
}

// planned is a window, and how many keys its server had at each agent when it was agreed on.
type planned struct {
	Window
	had map[int]int
}

const (
	// kept is the part of the keys that a server had, or would have by its capacity, which it is to have outside
	// of its window, though others join.
	kept = 0.25
	// few keys tell nothing.
	few = 12
	// after the window's end it is looked at for so long, from when all clocks show that it is over.
	after, clocks = 6 * time.Second, time.Second
)

// Planned hears that a window was agreed on.
func (j *Judge) Planned(w Window) {
	j.windows = append(j.windows, &planned{w, map[int]int{}})
}

// within: for a window's sake keys are off its server only from From to To, whatever becomes of the server
// while it has none, at all agents, with a lease or without.
func (j *Judge) within(s Sample) {
	for _, w := range j.windows {
		if s.At >= w.From && s.At < w.To+clocks || s.At >= w.To+after {
			continue
		}
		has := 0
		for _, c := range j.counted(s.Owners) {
			if c.server == w.Server {
				has = c.keys
			}
		}
		had, is := w.had[s.Agent]
		if !is {
			if s.At < w.From && s.Number > 0 { // by its list alone it may use what has only just joined
				w.had[s.Agent] = has
			}
			continue
		}
		part := min(float64(had), j.fair(w.Server, s.Owners)) // others may have been away when it had them
		off := had >= few && float64(has) < kept*part
		if off && j.truth.Steady(s.Agent, w.Server, w.Drained, w.Back) {
			j.breach(s, fmt.Sprintf("server %d has %d keys of %d, outside of its window from %v to %v", w.Server,
				has, had, w.From, w.To))
		}
	}
}

// byWindow tells whether a window may have moved a key from one server to another: those have a pace of their
// own.
func (j *Judge) byWindow(from, to int32, at time.Duration) bool {
	for _, w := range j.windows {
		if from == w.Server && at >= w.From && at < w.Drained+after ||
			to == w.Server && at >= w.Back && at < w.To+after {
			return true
		}
	}
	return false
}

// held is the part of the capacity that is in windows: those servers' keys go to the next of the walk, cold
// or not, and it may be next to more of them than others are.
func (j *Judge) held(at time.Duration, counts []count) float64 {
	held, all := 0.0, 0.0
	for _, w := range j.windows {
		if at >= w.From && at < w.To+after {
			held += j.truth.Capacity(w.Server)
		}
	}
	if held == 0 {
		return 0
	}
	for _, c := range counts {
		all += j.truth.Capacity(c.server)
	}
	return held / max(all, held)
}

// fair is how many keys a server would have by its capacity, among those that have some.
func (j *Judge) fair(server int32, owners *Owners) float64 {
	all := j.truth.Capacity(server)
	for _, c := range j.counted(owners) {
		if c.server != server {
			all += j.truth.Capacity(c.server)
		}
	}
	return j.truth.Capacity(server) / all * float64(len(*owners))
}
