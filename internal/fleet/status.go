package fleet

import (
	"time"

	"dunestep/internal/fleet/fragment"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/membership"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// Status describes a node and its view of the other agents, for operators.
type Status struct {
	Self, Agents   int
	Incarnation    uint64
	Voters         []int
	Applied        replica.Position
	Standing       lease.Standing
	IsClockOff     bool          // the Unix clock differs from those of most voters
	LeaseRemaining time.Duration // 0: no lease is held
	Ready          bool
	Connection     membership.Connection
	Voter          *raftlog.Status // nil: this agent is not a voter
	PresentAgents  int             // agents that count as present, including this one
	Peers          []Peer          // agents with a known status, in the order of their numbers
	Dropped        uint64          // messages that could not be decoded, processed or queued
	Transport      fragment.Stats
	Leases         lease.HolderStats
}

// Peer is this agent's view of another agent.
type Peer struct {
	Agent        int
	State        membership.Status
	IsPathClosed bool // this agent receives messages from it, but not the reverse
}

// Status returns the status at the time of the reading.
func (n *Node) Status(now ClockReading) Status {
	isReady, _ := n.Ready(now)
	s := Status{
		Self: n.settings.Self, Agents: n.settings.Agents, Incarnation: n.settings.Incarnation,
		Voters: n.settings.Voters, Applied: n.applied, Standing: n.Standing(now),
		IsClockOff: n.holder.IsClockOff(now), LeaseRemaining: n.holder.Remaining(now), Ready: isReady,
		Dropped: n.dropped, Transport: n.transport.Stats(), Leases: n.holder.Stats(),
	}
	if n.voter != nil {
		v := n.voterStatus()
		s.Voter = &v
	}
	s.Peers = n.peers(now)
	s.PresentAgents = n.members.PresentCount(now.Mono)
	s.Connection = n.members.Connection(now.Mono)
	return s
}

func (n *Node) peers(now ClockReading) (peers []Peer) {
	for a := range n.settings.Agents {
		if state := n.members.Status(now.Mono, a); a != n.settings.Self && state != membership.Unknown {
			peers = append(peers, Peer{Agent: a, State: state, IsPathClosed: n.members.IsPathClosed(now.Mono, a)})
		}
	}
	return peers
}

// Leave announces to other agents, with the next messages, that this process leaves.
func (n *Node) Leave() { n.members.Leave() }
