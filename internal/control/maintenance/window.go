package maintenance

import "time"

// MinNotice is how long before it begins a window has to be accepted. It is longer than an agent that is cut
// off acts within the floor (policy.Times.FloorValidity, 15 min), the fence and the clocks' errors together:
// an agent within the floor knows every window that can have begun.
const MinNotice = 20 * time.Minute

const (
	// AllTenants stands for every tenant in a request.
	AllTenants = "*"
	// NoTenant is the tenant that requests of no tenant of the settings count to.
	NoTenant = "-"
)

// WindowRequest is what an operator asks for.
type WindowRequest struct {
	_       struct{} `cbor:",toarray"`
	ID      string   // 1 to 64 bytes, chosen by the operator
	Agent   int      // the agent that was asked
	Nodes   []string // ids of servers, beside those of Zone
	Zone    string   // all servers of this zone; empty: of none
	Tenants []string // AllTenants: every tenant, and NoTenant
	// From is when the first keys leave (Unix time), To when all are back.
	From, To time.Duration
	// MoveRate is the fraction of a server's keys that is moved in a second at most, 0.001 to 1; zero: 0.01.
	MoveRate float64
}

// State is how far a window is. The numbers are part of the agreed state.
type State uint8

const (
	// Planned means accepted, and not begun.
	Planned State = iota
	// Draining means that keys leave.
	Draining
	// Drained means that all keys have left.
	Drained
	// Free means that no request of the tenants can arrive at the servers any more.
	Free
	// Paused means that the moved fraction stays as it is.
	Paused
	// Returning means that keys come back.
	Returning
	// Ended means that no key is moved any more.
	Ended
	// Stopped means Ended by an operator before any key was moved.
	Stopped
)

// String is the word that the operators' interface shows; tools compare it.
func (s State) String() string {
	return [...]string{
		"planned", "draining", "drained", "free", "paused", "returning", "ended",
		"stopped",
	}[min(s, Stopped)]
}

// Window is an accepted window. Everything is absolute, so that an agent can follow it without a calendar or
// another agent's endpoint list. All times are Unix times.
type Window struct {
	_              struct{} `cbor:",toarray"`
	ID             string
	Agent          int      // the agent that was asked for it
	Nodes, Tenants []string // sorted: ids of servers, and names; AllTenants is resolved
	// From From to DrainedAt keys leave, from ReturnFrom to To they come back. None is moved before From or from
	// To on.
	From, DrainedAt, ReturnFrom, To time.Duration
	// Steps are the equal steps in which the moved fraction grows and falls, 1 to MaxSteps.
	Steps         int
	PolicyVersion uint64 // the version whose contracts it was accepted under
	State         State
	StateSince    time.Duration
	HeldFraction  float64 // the moved fraction at most, where it is paused; 0 to 1
	Reason        string  // for operators: why it is in this state
}

// PlannedFraction is the fraction of the keys that is moved at a time by the plan alone, 0 to 1, in steps.
func (w *Window) PlannedFraction(at time.Duration) float64 {
	if w.Steps <= 0 {
		return 0
	}
	return float64(w.schedule().stepsAt(at)) / float64(w.Steps)
}

func (w *Window) schedule() schedule {
	return schedule{w.From, w.DrainedAt, w.ReturnFrom, w.To, w.Steps}
}

// StateAt is the state to be shown at a time: what follows from the clock alone, and what was agreed.
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

// schedule is a window's plan: when keys leave and come back, and in how many steps.
type schedule struct {
	from, drainedAt, returnFrom, to time.Duration
	steps                           int
}

// stepsAt is how many steps are moved at a time. It is in whole numbers: products of fractions differ between
// machines, and the agreed state depends on it.
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
