package fleet

import (
	"time"

	"dunestep/fleet/chronicle"
	"dunestep/fleet/consensus"
	"dunestep/fleet/lease"
	"dunestep/fleet/pieces"
	"dunestep/fleet/roster"
)

// Status is what a node knows of itself and of the others, for staff.
type Status struct {
	Self, Agents int
	Incarnation  uint64
	Voters       []int
	At           chronicle.Position // what is applied here
	Standing     lease.Standing
	ClockOff     bool          // the Unix clock differs from those of most voters
	LeaseLeft    time.Duration // zero: no lease holds
	Ready        bool
	Connection   roster.Standing   // what it knows of its own way to others
	Voter        *consensus.Status // nil: this agent is none
	Here         int               // agents that take part, this one included
	Others       []Peer            // those of which anything is known, by number
	Dropped      uint64            // messages that could not be read or had no room
	Carried      pieces.Counts
	Leases       lease.HolderFigures
}

// Peer is what is known of another agent.
type Peer struct {
	Agent int
	State roster.Status
	// Closed: this agent hears it, and is not heard by it.
	Closed bool
}

// Status returns what the node knows now.
func (n *Node) Status(now Reading) Status {
	ready, _ := n.Ready(now)
	s := Status{
		Self: n.set.Self, Agents: n.set.Agents, Incarnation: n.set.Incarnation, Voters: n.set.Voters,
		At: n.at, Standing: n.Standing(now), ClockOff: n.holder.ClockOff(now),
		LeaseLeft: n.holder.Left(now), Ready: ready,
		Dropped: n.dropped, Carried: n.carrier.Counts(), Leases: n.holder.Figures(),
	}
	if n.voter != nil {
		v := n.voter.Status()
		s.Voter = &v
	}
	s.Here, s.Others = n.present(now)
	s.Connection = n.roster.Self(now.Mono)
	return s
}

// present is who is there by now.
func (n *Node) present(now Reading) (here int, others []Peer) {
	for a := range n.set.Agents {
		if state := n.roster.Status(now.Mono, a); a != n.set.Self && state != roster.Unheard {
			others = append(others, Peer{Agent: a, State: state, Closed: n.roster.Closed(now.Mono, a)})
		}
	}
	return n.roster.Here(now.Mono), others
}

// Here is how many agents have to be counted with, this one included, as far as it is known; zero: this agent
// holds no lease or is cut off on a side, and what it hears tells nothing of who is there.
func (n *Node) Here(now Reading) int {
	if n.Standing(now) != lease.Full || n.roster.Self(now.Mono) != roster.Connected {
		return 0
	}
	return n.roster.Here(now.Mono)
}

// Leave has the others told that this process goes.
func (n *Node) Leave() { n.roster.Leave() }

// Passed tells whether no agent acts any more without what was seen to be taken at a reading.
func (n *Node) Passed(taken, now Reading) bool { return n.set.Terms.Passed(taken, now) }

// Standing is how the agent may act; now is read for this decision. Where something above goes by Unix
// time an agent whose clock is off acts within the floor only.
func (n *Node) Standing(now Reading) lease.Standing {
	s := n.holder.Standing(now)
	if s == lease.Full && n.set.Above != nil && n.holder.ClockOff(now) {
		return lease.Floor
	}
	return s
}

// At is what is applied here.
func (n *Node) At() chronicle.Position { return n.at }
