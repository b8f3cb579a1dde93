package ringassignment

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/fleet/lease"
)

// StandstillLimit is how long an agent without a lease keeps the generation that it has. After that it uses
// its own endpoint list, as without generations: the generation may name few of the servers that are left.
const StandstillLimit = 15 * time.Minute

// Agent is the part of every agent: it says which generation the agent uses at a moment.
type Agent struct {
	current, coming *usedGeneration
	applied         Mark // the newest generation that was learnt
	hadLease        bool
	lastLeased      lease.ClockReading // valid if hadLease
}

// usedGeneration is a generation in the form that decisions use.
type usedGeneration struct {
	effectiveAt time.Duration
	assignment  *balancer.RingAssignment // nil: as without generations
}

// NewAgent returns an Agent that knows no generation. A log that is started anew needs a new one.
func NewAgent() *Agent { return &Agent{current: &usedGeneration{}} }

// Learn takes the present state: after records were applied, and after a snapshot. An agent that has missed
// generations, or had none, uses what it learns at once: what it has may be too old to be used any longer.
func (a *Agent) Learn(m *StateMachine) {
	st := &m.state
	if st.Number == a.applied.Number {
		return
	}
	next := &usedGeneration{effectiveAt: st.EffectiveAt, assignment: newAssignment(st)}
	if a.coming != nil {
		a.current = a.coming
	}
	a.coming = next
	if missed := st.Number != a.applied.Number+1; missed || a.applied.Number == 0 && !a.hadLease {
		a.current, a.coming = next, nil
	}
	a.applied = st.mark()
}

// Applied is the newest generation that was learnt, for the voters.
func (a *Agent) Applied() Mark { return a.applied }

func newAssignment(st *State) *balancer.RingAssignment {
	if st.Suspended || st.Number == 0 {
		return nil
	}
	p := &balancer.RingAssignment{Generation: st.Number, Points: map[string]int{}}
	for i := range st.Members {
		if points := st.Members[i].OnRing(); points > 0 {
			p.Points[st.Members[i].ID] = points
		}
	}
	return p
}

// Assignment is the generation to use now; nil: none, as without generations. It is the same pointer while
// nothing changes. The reading and the lease's standing have to be taken for this decision. Without a lease
// the generation stays the same.
func (a *Agent) Assignment(now lease.ClockReading, standing lease.Standing) *balancer.RingAssignment {
	switch {
	case standing == lease.New:
		return nil
	case standing == lease.Full:
		a.hadLease, a.lastLeased = true, now
	case !a.hadLease || now.Since(a.lastLeased) >= StandstillLimit:
		return nil
	}
	if a.coming != nil && now.Unix >= a.coming.effectiveAt {
		a.current, a.coming = a.coming, nil
	}
	return a.current.assignment
}
