package ringassignment

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/fleet/lease"
)

// StandstillLimit is for how long an agent without a lease stands still on the generation that it has. After that it
// places by its own list, as without generations: what it has may name few of the servers that are left.
const StandstillLimit = 15 * time.Minute

// Agent is what each agent has: by which generation it places at a moment.
type Agent struct {
	current, coming *usedGeneration
	applied         Mark // that was learnt last
	hadLease        bool // it has held a lease
	lastLeased      lease.ClockReading
}

// taken is a generation as it is used.
type usedGeneration struct {
	effectiveAt time.Duration
	assignment  *balancer.RingAssignment // nil: as without generations
}

// NewAgent returns an Agent that knows nothing yet. A log that began anew needs a new one.
func NewAgent() *Agent { return &Agent{current: &usedGeneration{}} }

// Learn takes what the log says now: after records were applied, and after a snapshot. One that has missed
// generations, or had none, takes up what it learns at once: what it has may be too old to go by any longer.
func (a *Agent) Learn(m *StateMachine) {
	st := &m.state
	if st.Number == a.applied.Number {
		return
	}
	next := &usedGeneration{effectiveAt: st.EffectiveAt, assignment: newAssignment(st)}
	if a.coming != nil {
		a.current = a.coming
	}
	if a.coming = next; st.Number != a.applied.Number+1 || a.applied.Number == 0 && !a.hadLease {
		a.current, a.coming = next, nil
	}
	a.applied = st.mark()
}

// Applied is the generation that was learnt last, to be told to voters.
func (a *Agent) Applied() Mark { return a.applied }

func newAssignment(st *State) *balancer.RingAssignment {
	if st.Suspended || st.Number == 0 {
		return nil
	}
	p := &balancer.RingAssignment{Generation: st.Number, Points: map[string]int{}}
	for i := range st.Members {
		if n := st.Members[i].OnRing(); n > 0 {
			p.Points[st.Members[i].ID] = n
		}
	}
	return p
}

// Assignment is the generation to place by; nil: none, as without. Now is read for this decision, and the
// standing by it. It is the same pointer while nothing changes. Without a lease the generation stands still.
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
