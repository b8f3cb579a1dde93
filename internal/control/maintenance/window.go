package maintenance

import "time"

// MinNotice is the minimum time between the proposal and the beginning of a window. It is longer than the sum
// of the time for which a partitioned agent acts within the floor (policy.Times.FloorValidity, 15 min), the
// fence and the clock errors, so that an agent within the floor knows every window that can have begun.
const MinNotice = 20 * time.Minute

const (
	// AllTenants means every tenant in a request, including NoTenant.
	AllTenants = "*"
	// NoTenant is the tenant of requests that belong to no tenant in the settings.
	NoTenant = "-"
)

// WindowRequest is an operator's request for a window.
type WindowRequest struct {
	_       struct{} `cbor:",toarray"`
	ID      string   // 1 to 64 bytes, chosen by the operator
	Agent   int      // agent that received the request
	Nodes   []string // ids of servers, in addition to those of Zone
	Zone    string   // includes all servers of this zone; empty: no zone
	Tenants []string // names of tenants, or AllTenants
	// From is when the first keys leave, To when all have returned (Unix time).
	From, To time.Duration
	// MoveRate is the maximum fraction of a server's keys that is moved per second, 0.001 to 1; zero: 0.01.
	MoveRate float64
}

// State is the state of a window in its lifecycle. The numeric values are part of the agreed state.
type State uint8

const (
	// Planned means that the window is accepted and has not begun.
	Planned State = iota
	// Draining means that keys leave.
	Draining
	// Drained means that all keys have left, but requests may still arrive.
	Drained
	// Free means that no more requests of the tenants can arrive at the servers.
	Free
	// Paused means that the moved fraction stays constant.
	Paused
	// Returning means that keys return.
	Returning
	// Ended means that no key is moved any more.
	Ended
	// Stopped means that an operator ended the window before any key was moved.
	Stopped
)

// String returns the name that the operators' interface shows; tools match it.
func (s State) String() string {
	return [...]string{
		"planned", "draining", "drained", "free", "paused", "returning", "ended",
		"stopped",
	}[min(s, Stopped)]
}

// Window is a planned or accepted window. It has only absolute times and resolved names, so that an agent can
// follow it without a calendar or another agent's endpoint list. All times are Unix times.
type Window struct {
	_              struct{} `cbor:",toarray"`
	ID             string
	Agent          int      // agent that received the request
	Nodes, Tenants []string // ids of servers and names of tenants, sorted; AllTenants is resolved
	// Keys leave from From to DrainedAt and return from ReturnFrom to To. None are moved before From or from
	// To on.
	From, DrainedAt, ReturnFrom, To time.Duration
	// Steps is the number of equal steps in which the moved fraction grows and falls, 1 to MaxSteps.
	Steps         int
	PolicyVersion uint64 // policy version whose contracts it was accepted under
	State         State
	StateSince    time.Duration
	HeldFraction  float64 // moved fraction when it was last paused, resumed or returned; 0 to 1
	Reason        string  // why it is in this state, for operators
}

// PlannedFraction returns the fraction of the keys, 0 to 1, that is moved at a time according to the plan
// alone.
func (w *Window) PlannedFraction(at time.Duration) float64 {
	if w.Steps <= 0 {
		return 0
	}
	return float64(w.schedule().stepsAt(at)) / float64(w.Steps)
}

func (w *Window) schedule() schedule {
	return schedule{w.From, w.DrainedAt, w.ReturnFrom, w.To, w.Steps}
}

// StateAt returns the state to show at a time, derived from the agreed state and the time.
func (w *Window) StateAt(at time.Duration) State {
	switch {
	case w.State != Planned && w.State != Free && w.State != Paused:
		return w.State
	case at >= w.To:
		return Ended
	case at >= w.ReturnFrom:
		return Returning
	case w.State != Planned || at < w.From:
		return w.State
	case at < w.DrainedAt,
		w.StateSince != 0 && w.HeldFraction+float64(at-w.StateSince)/float64(w.DrainedAt-w.From) < 1:
		return Draining
	}
	return Drained
}

// schedule is a window's plan: when keys leave and return, and in how many steps.
type schedule struct {
	from, drainedAt, returnFrom, to time.Duration
	steps                           int
}

// stepsAt returns how many steps are moved at a time. It uses integers only: the agreed state depends on the
// result, and floating-point products can differ between machines.
func (s schedule) stepsAt(at time.Duration) int {
	switch steps := time.Duration(s.steps); {
	case at < s.from || at >= s.to:
		return 0
	case at < s.drainedAt:
		return int((at - s.from) * steps / (s.drainedAt - s.from))
	case at < s.returnFrom:
		return s.steps
	default:
		return s.steps - int((at-s.returnFrom)*steps/(s.to-s.returnFrom))
	}
}
