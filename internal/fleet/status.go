package fleet

import (
	"time"

	"dunestep/internal/fleet/fragment"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/membership"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// Status is what a node knows of itself and of the others, for staff.
type Status struct {
	Self, Agents   int
	Incarnation    uint64
	Voters         []int
	Applied        replica.Position // what is applied here
	Standing       lease.Standing
	IsClockOff     bool          // the Unix clock differs from those of most voters
	LeaseRemaining time.Duration // zero: no lease holds
	Ready          bool
	Connection     membership.Connection // what it knows of its own way to others
	Voter          *raftlog.Status       // nil: this agent is none
	PresentAgents  int                   // agents that take part, this one included
	Peers          []Peer                // those of which anything is known, by number
	Dropped        uint64                // messages that could not be read or had no room
	Transport      fragment.Stats
	Leases         lease.HolderStats
}

// Peer is what is known of another agent.
type Peer struct {
	Agent int
	State membership.Status
	// IsPathClosed: this agent hears it, and is not heard by it.
	IsPathClosed bool
}

// Status returns what the node knows now.
func (n *Node) Status(now ClockReading) Status {
	ready, _ := n.Ready(now)
	s := Status{
		Self: n.settings.Self, Agents: n.settings.Agents, Incarnation: n.settings.Incarnation, Voters: n.settings.Voters,
		Applied: n.applied, Standing: n.Standing(now), IsClockOff: n.holder.IsClockOff(now),
		LeaseRemaining: n.holder.Remaining(now), Ready: ready,
		Dropped: n.dropped, Transport: n.transport.Stats(), Leases: n.holder.Stats(),
	}
	if n.voter != nil {
		v := n.voter.Status()
		s.Voter = &v
	}
	s.PresentAgents, s.Peers = n.peers(now)
	s.Connection = n.members.Connection(now.Mono)
	return s
}

// present is who is there by now.
func (n *Node) peers(now ClockReading) (here int, others []Peer) {
	for a := range n.settings.Agents {
		if state := n.members.Status(now.Mono, a); a != n.settings.Self && state != membership.Unknown {
			others = append(others, Peer{Agent: a, State: state, IsPathClosed: n.members.IsPathClosed(now.Mono, a)})
		}
	}
	return n.members.PresentCount(now.Mono), others
}

// PresentAgents is how many agents have to be counted with, this one included, as far as it is known; zero: this agent
// holds no lease or is cut off on a side, and what it hears tells nothing of who is there.
func (n *Node) PresentAgents(now ClockReading) int {
	if n.Standing(now) != lease.Full || n.members.Connection(now.Mono) != membership.Connected {
		return 0
	}
	return n.members.PresentCount(now.Mono)
}

// Leave has the others told that this process goes.
func (n *Node) Leave() { n.members.Leave() }

// FencePassed tells whether no agent acts any more without what was seen to be taken at a reading.
func (n *Node) FencePassed(taken, now ClockReading) bool {
	return n.settings.Terms.FencePassed(taken, now)
}

// Standing is how the agent may act; now is read for this decision. Where something above goes by Unix
// time an agent whose clock is off acts within the floor only.
func (n *Node) Standing(now ClockReading) lease.Standing {
	s := n.holder.Standing(now)
	if s == lease.Full && n.settings.Application != nil && n.holder.IsClockOff(now) {
		return lease.Floor
	}
	return s
}

// Position is what is applied here.
func (n *Node) Applied() replica.Position { return n.applied }
