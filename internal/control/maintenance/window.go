// Package maintenance has maintenance windows: a tenant's traffic leaves nodes for a while, only in the hours that
// its contract allows, and by a plan in absolute time, so that no agent needs a calendar, or anybody's word,
// to end it.
package maintenance

import (
	"time"
)

// MinNotice is how long before it begins a window has to be accepted at the least. It is more than an agent
// that is cut off goes by the floor (policy.Times.Floor, 15 min), the fence and the clocks' errors: one that
// is on the floor knows every window that can have begun.
const MinNotice = 20 * time.Minute

// AllTenants, in an ask, stands for all tenants.
const AllTenants = "*"

// NoTenant is the tenant that requests of no tenant of the settings are counted to.
const NoTenant = "-"

// WindowRequest is what staff ask for.
type WindowRequest struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Agent   int      // the agent that was asked
	Nodes   []string // these, and
	Zone    string   // all of this zone; empty: of none
	Tenants []string // AllTenants: each one, NoTenant with them
	// From is when the first keys leave (Unix time), To when all are back.
	From, To time.Duration
	// MoveRate is the part of a node's keys that is moved in a second at most, 0.001 to 1; zero: 0.01.
	MoveRate float64
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
// list to follow it. AllTenants times are Unix times.
type Window struct {
	_              struct{} `cbor:",toarray"`
	ID             string
	Agent          int
	Nodes, Tenants []string // sorted; by name, AllTenants in none
	// From to DrainedAt keys leave, from ReturnFrom to To they come back: none is moved before From or from To on.
	From, DrainedAt, ReturnFrom, To time.Duration
	// Steps in which the moved part grows and falls, each the same part of the keys.
	Steps         int
	PolicyVersion uint64 // the version whose contracts it was accepted under
	State         State
	StateSince    time.Duration // it has been in this state
	HeldFraction  float64       // the moved part at most, where it is paused
	Reason        string        // for staff: why it is in this state
}

// PlannedFraction is the part of the keys that is moved at a time by the plan alone, 0 to 1, in steps.
func (w *Window) PlannedFraction(at time.Duration) float64 {
	if w.Steps <= 0 {
		return 0
	}
	return float64(w.plannedSteps(at)) / float64(w.Steps)
}

// planned are the steps that are moved: in whole numbers, so that each machine comes to the same.
func (w *Window) plannedSteps(at time.Duration) int {
	switch steps := time.Duration(w.Steps); {
	case at < w.From || at >= w.To:
		return 0
	case at < w.DrainedAt:
		return int((at - w.From) * steps / (w.DrainedAt - w.From))
	case at < w.ReturnFrom:
		return w.Steps
	default:
		return w.Steps - int((at-w.ReturnFrom)*steps/(w.To-w.ReturnFrom))
	}
}
