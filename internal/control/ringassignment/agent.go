package ringassignment

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/fleet/lease"
)

// GenerationValidity is how long an agent without a lease keeps using its generation. After that it uses its
// own endpoint list, as without generations, because the generation may contain few of the remaining servers.
const GenerationValidity = 15 * time.Minute

// Agent is the part of the protocol that runs in every agent: it determines which generation the agent uses
// at a given moment.
type Agent struct {
	current, upcoming *usableGeneration
	applied           GenerationID // the newest generation that was applied
	hadLease          bool
	lastLeased        lease.ClockReading // valid if hadLease
}

// usableGeneration is a generation as the balancer uses it.
type usableGeneration struct {
	effectiveAt time.Duration
	assignment  *balancer.RingAssignment // nil if agents use their own endpoint lists
}

// NewAgent returns an Agent that knows no generation. A new log needs a new Agent.
func NewAgent() *Agent { return &Agent{current: &usableGeneration{}} }

// Learn updates the agent with the current state. The caller calls it after records or a snapshot were
// applied. An agent that missed generations, or had none, uses the new one at once, because its former one
// may be too old to be used any longer.
func (a *Agent) Learn(m *StateMachine) {
	st := &m.state
	if st.Number == a.applied.Number {
		return
	}
	next := &usableGeneration{effectiveAt: st.EffectiveAt, assignment: newAssignment(st)}
	if a.upcoming != nil {
		a.current = a.upcoming
	}
	a.upcoming = next
	if missed := st.Number != a.applied.Number+1; missed || a.applied.Number == 0 && !a.hadLease {
		a.current, a.upcoming = next, nil
	}
	a.applied = st.generationID()
}

// Applied returns the newest generation that was applied, which the agent reports to the voters.
func (a *Agent) Applied() GenerationID { return a.applied }

func newAssignment(st *State) *balancer.RingAssignment {
	if st.Suspended || st.Number == 0 {
		return nil
	}
	assignment := &balancer.RingAssignment{Generation: st.Number, Points: map[string]int{}}
	for i := range st.Members {
		if points := st.Members[i].PointsOnRing(); points > 0 {
			assignment.Points[st.Members[i].ID] = points
		}
	}
	return assignment
}

// Assignment returns the generation to use now, or nil if the agent has to use its own endpoint list. The
// pointer stays the same while nothing changes. The clock reading and the lease's standing must be taken for
// this decision. Without a lease, the agent keeps its generation for GenerationValidity.
func (a *Agent) Assignment(now lease.ClockReading, standing lease.Standing) *balancer.RingAssignment {
	switch {
	case standing == lease.New:
		return nil
	case standing == lease.Full:
		a.hadLease, a.lastLeased = true, now
	case !a.hadLease || now.Since(a.lastLeased) >= GenerationValidity:
		return nil
	}
	if a.upcoming != nil && now.Unix >= a.upcoming.effectiveAt {
		a.current, a.upcoming = a.upcoming, nil
	}
	return a.current.assignment
}
