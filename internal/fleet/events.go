package fleet

import (
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events, with the fields of Event that each one uses.
const (
	LeadershipGained EventKind = iota // Position: this agent has become the leader of the voters
	LeadershipLost                    // Position: this agent is no longer the leader of the voters
	LogRestarted                      // Position: a log of a higher epoch has replaced the former one
	LogDiverged                       // Position, Agent, Err: another agent's log has different records
	VoterStopped                      // Err: this agent no longer takes part as a voter
	LeaseAcquired                     // Position: this agent has acquired a lease
	LeaseLost                         // Position: this agent no longer holds a lease
	UnknownRecord                     // Position, Err: a record of an unknown state machine
)

// Event is an event to be reported to operators.
type Event struct {
	Kind     EventKind
	Agent    int
	Position replica.Position
	Err      error
}

// maxEvents is the maximum number of events until the next call of Out; further ones are dropped.
const maxEvents = 64

func (n *Node) addEvent(e Event) {
	if len(n.output.Events) < maxEvents {
		n.output.Events = append(n.output.Events, e)
	}
}

// reportLeaseChange adds an event if a lease was acquired or lost.
func (n *Node) reportLeaseChange(now ClockReading) {
	isHolding := n.holder.Holds(now)
	if isHolding == n.hadLease {
		return
	}
	n.hadLease = isHolding
	kind := LeaseLost
	if isHolding {
		kind = LeaseAcquired
	}
	n.addEvent(Event{Kind: kind, Position: n.applied})
}

// reportVoterChange adds an event if this agent became the leader or is no longer the leader, and another one
// if its voter stopped.
func (n *Node) reportVoterChange(s raftlog.Status) {
	if isLeading := s.Phase == raftlog.Leading; isLeading != n.wasLeading {
		n.wasLeading = isLeading
		kind := LeadershipLost
		if isLeading {
			kind = LeadershipGained
		}
		n.addEvent(Event{Kind: kind, Position: n.applied})
	}
	if s.Phase == raftlog.Broken && !n.wasStopped {
		n.wasStopped = true
		n.addEvent(Event{Kind: VoterStopped, Err: s.Err})
	}
}
