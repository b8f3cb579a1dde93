// Package window has maintenance windows: a tenant's traffic leaves nodes for a while, only in the hours that
// its contract allows, and by a plan in absolute time, so that no agent needs a calendar, or anybody's word,
// to end it.
package window

import (
	"time"
)

// LeastNotice is how long before it begins a window has to be accepted at the least. It is more than an agent
// that is cut off goes by the floor (policy.Times.Floor, 15 min), the fence and the clocks' errors: one that
// is on the floor knows every window that can have begun.
const LeastNotice = 20 * time.Minute

// All, in an ask, stands for all tenants.
const All = "*"

// Rest is the tenant that requests of no tenant of the settings are counted to.
const Rest = "-"

// Ask is what staff ask for.
type Ask struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Who     int      // the agent that was asked
	Nodes   []string // these, and
	Zone    string   // all of this zone; empty: of none
	Tenants []string // All: each one, Rest with them
	// From is when the first keys leave (Unix time), To when all are back.
	From, To time.Duration
	// Pace is the part of a node's keys that is moved in a second at most, 0.001 to 1; zero: 0.01.
	Pace float64
}

// State is how far a window is.
type State uint8

// The course of a window.
const (
	Planned   State = iota // accepted, not begun
	Draining               // keys leave
	Drained                // all have left
	Free                   // no request of the tenants arrives at the nodes any more
	Paused                 // the moved part stays as it is held
	Returning              // keys come back
	Ended                  // none is moved
	Stopped                // by staff: none is moved
)

func (s State) String() string {
	return [...]string{
		"planned", "draining", "drained", "free", "paused", "returning", "ended",
		"stopped",
	}[min(s, Stopped)]
}

// Window is one that was accepted. Everything is absolute, so that no agent needs a calendar or another's
// list to follow it. All times are Unix times.
type Window struct {
	_              struct{} `cbor:",toarray"`
	ID             string
	Who            int
	Nodes, Tenants []string // sorted; by name, All in none
	// From to Drained keys leave, from Back to To they come back: none is moved before From or from To on.
	From, Drained, Back, To time.Duration
	// Steps in which the moved part grows and falls, each the same part of the keys.
	Steps  int
	Policy uint64 // the version whose contracts it was accepted under
	State  State
	Since  time.Duration // it has been in this state
	Held   float64       // the moved part at most, where it is paused
	Reason string        // for staff: why it is in this state
}

// Planned is the part of the keys that is moved at a time by the plan alone, 0 to 1, in steps.
func (w *Window) Planned(at time.Duration) float64 {
	if w.Steps <= 0 {
		return 0
	}
	return float64(w.planned(at)) / float64(w.Steps)
}

// planned are the steps that are moved: in whole numbers, so that each machine comes to the same.
func (w *Window) planned(at time.Duration) int {
	switch steps := time.Duration(w.Steps); {
	case at < w.From || at >= w.To:
		return 0
	case at < w.Drained:
		return int((at - w.From) * steps / (w.Drained - w.From))
	case at < w.Back:
		return w.Steps
	default:
		return w.Steps - int((at-w.Back)*steps/(w.To-w.Back))
	}
}
