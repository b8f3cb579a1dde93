package fleet

import (
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// EventKind is what has happened.
type EventKind uint8

// The kinds of events, with the fields of Event that each one uses.
const (
	LeadershipGained EventKind = iota // Position: this agent leads the voters from now on
	LeadershipLost                    // Position: this agent does not lead the voters any more
	LogRestarted                      // Position: a log of a higher epoch has replaced the former one
	LogDiverged                       // Position, Agent, Err: an agent has other records of the same numbers
	VoterStopped                      // Err: this voter takes no part any more
	LeaseAcquired                     // Position: a lease is held again, or for the first time
	LeaseLost                         // Position: no lease is held any more
	UnknownRecord                     // Position, Err: a record of an unknown state machine
)

// Event is something to be reported to operators.
type Event struct {
	Kind     EventKind
	Agent    int
	Position replica.Position
	Err      error
}

// maxEvents bounds the events that wait to be taken by Out; later ones are dropped.
const maxEvents = 64

func (n *Node) addEvent(e Event) {
	if len(n.output.Events) < maxEvents {
		n.output.Events = append(n.output.Events, e)
	}
}

// reportLeaseChange reports when a lease was acquired or lost.
func (n *Node) reportLeaseChange(now ClockReading) {
	isHolding := n.holder.Holds(now)
	if isHolding == n.isHolding {
		return
	}
	n.isHolding = isHolding
	kind := LeaseLost
	if isHolding {
		kind = LeaseAcquired
	}
	n.addEvent(Event{Kind: kind, Position: n.applied})
}

// reportVoterChange reports when this agent gained or lost the leadership, and when its voter stopped.
func (n *Node) reportVoterChange(s raftlog.Status) {
	if isLeading := s.Phase == raftlog.Leading; isLeading != n.isLeading {
		n.isLeading = isLeading
		kind := LeadershipLost
		if isLeading {
			kind = LeadershipGained
		}
		n.addEvent(Event{Kind: kind, Position: n.applied})
	}
	if s.Phase == raftlog.Broken && !n.isStopped {
		n.isStopped = true
		n.addEvent(Event{Kind: VoterStopped, Err: s.Err})
	}
}
