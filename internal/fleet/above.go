package fleet

import (
	"time"

	"dunestep/internal/fleet/raftlog"
)

// Application is what stands on the ground at one agent, as the policy does: its machines are among the
// settings', and it has a say in who gets a lease. It is called from the node, one call after the other.
type Application interface {
	// RecordsApplied tells that records were applied, or a snapshot: before any lease holds, or is granted, that
	// rests on them. Anew: they are of a log that began anew.
	RecordsApplied(now ClockReading, anew bool)
	// LeaseNote goes with each request for a lease; 64 bytes at most.
	LeaseNote() []byte
	// MayGrantLease tells at a voter, at the moment of a grant, whether an agent may have it.
	MayGrantLease(now ClockReading, agent int, incarnation uint64, note []byte) bool
	// HandleMessage takes a message of another agent's, or this one's own, and returns what to answer; nil: nothing.
	HandleMessage(now ClockReading, from int, data []byte) (answer []byte)
	// HandleReply takes what came back.
	HandleReply(now ClockReading, from int, data []byte)
	// NextActions returns what is to be done now.
	NextActions(now ClockReading, v VoterState) Actions
}

// VoterState is how this agent stands with the voters.
type VoterState struct {
	IsVoter  bool
	IsLeader bool
	Voters   []int // named
	// Members are those of the log, by their agents, and Generation changes with them; of a voter alone.
	Members    []int
	Generation uint64
}

// NextActions is what is to be done for what stands above.
type Actions struct {
	Messages  []Message
	Proposals []Proposal // by this voter; asked for again while they are due
	Next      time.Duration
}

// Message is a message to an agent.
type Message struct {
	To   int
	Data []byte
}

// Proposal is a record of a machine's.
type Proposal struct {
	Machine uint8
	Data    []byte
}

// applicationProposalTimeout is how long a record that is due is tried, before it is withdrawn and due again.
const applicationProposalTimeout = time.Second

// above does what is due above.
func (n *Node) runApplication(now ClockReading) {
	if n.settings.Application == nil || now.Mono < n.applicationNext {
		return
	}
	due := n.settings.Application.NextActions(now, n.voterState())
	n.applicationNext = max(due.Next, now.Mono+time.Millisecond)
	for _, s := range due.Messages {
		n.send(now, s.To, channelApplication, s.Data)
	}
	for _, r := range due.Proposals {
		if _, err := n.startProposal(now, r.Machine, r.Data, applicationProposalTimeout); err != nil {
			n.dropped++ // due again
		}
	}
}

// voting is how this agent stands with the voters. The generation is a sum over who they are: a voter
// with a new store is another one.
func (n *Node) voterState() VoterState {
	v := VoterState{Voters: n.settings.Voters, IsVoter: n.voter != nil}
	if n.voter == nil {
		return v
	}
	s := n.voter.Status()
	v.IsLeader = s.Phase == raftlog.Leading
	for _, m := range s.Members {
		v.Members = append(v.Members, int(m.Agent))
		v.Generation = v.Generation*0x100000001b3 ^ m.ID<<20 ^ m.Nonce
	}
	return v
}

// may is the granter's question.
func (n *Node) mayGrantLease(now ClockReading, agent int, incarnation uint64, note []byte) bool {
	return n.settings.Application == nil || n.settings.Application.MayGrantLease(now, agent, incarnation, note)
}
