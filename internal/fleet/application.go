package fleet

import (
	"time"

	"dunestep/internal/fleet/raftlog"
)

// Application is what stands on top of the log at one agent, such as the policies: its state machines are
// among the settings', and it takes part in granting leases. The node calls it, one call at a time.
type Application interface {
	// RecordsApplied reports that records were applied, or a snapshot restored, before any lease is held or
	// granted that rests on them. isNewEpoch: they are of a log that was founded anew.
	RecordsApplied(now ClockReading, isNewEpoch bool)
	// LeaseNote returns the note for the next lease request, of at most lease.MaxNoteBytes.
	LeaseNote() []byte
	// MayGrantLease decides at a voter, at the time of a grant, whether an agent may have a lease.
	MayGrantLease(now ClockReading, agent int, incarnation uint64, note []byte) bool
	// HandleMessage processes a message of another agent, or this one's own, and returns the reply; nil: none.
	HandleMessage(now ClockReading, from int, data []byte) (reply []byte)
	// HandleReply processes a reply.
	HandleReply(now ClockReading, from int, data []byte)
	// NextActions returns what is to be done now.
	NextActions(now ClockReading, v VoterState) Actions
}

// VoterState is this agent's relation to the voters.
type VoterState struct {
	IsVoter  bool
	IsLeader bool
	Voters   []int // configured
	// Members are the agents of the log's members, and Generation changes with them; known to a voter only.
	Members    []int
	Generation uint64
}

// Actions are what an application asks for.
type Actions struct {
	Messages  []Message
	Proposals []Proposal    // by this agent; repeated by the application until they are committed
	Next      time.Duration // when to ask again, by the steady clock
}

// Message is a message to an agent.
type Message struct {
	To   int
	Data []byte
}

// Proposal is a record of a state machine.
type Proposal struct {
	Machine uint8
	Data    []byte
}

const (
	// applicationProposalTimeout is how long a proposal of the application is tried before it is withdrawn.
	applicationProposalTimeout = time.Second
	// minApplicationInterval is the minimum time between two calls of NextActions without new records.
	minApplicationInterval = time.Millisecond
)

// runApplication does what the application asks for, if it is due.
func (n *Node) runApplication(now ClockReading) {
	if n.settings.Application == nil || now.Mono < n.applicationNext {
		return
	}
	actions := n.settings.Application.NextActions(now, n.voterState())
	n.applicationNext = max(actions.Next, now.Mono+minApplicationInterval)
	for _, m := range actions.Messages {
		n.send(now, m.To, channelApplication, m.Data)
	}
	for _, p := range actions.Proposals {
		if _, err := n.startProposal(now, p.Machine, p.Data, applicationProposalTimeout); err != nil {
			n.dropped++ // the application repeats it
		}
	}
}

func (n *Node) handleApplicationMessage(now ClockReading, from int, b []byte) {
	if n.settings.Application == nil {
		n.dropped++
		return
	}
	if reply := n.settings.Application.HandleMessage(now, from, b); reply != nil {
		n.send(now, from, channelApplicationReply, reply)
	}
}

// generationPrime is the prime of 64-bit FNV hashes.
const generationPrime = 0x100000001b3

// voterState returns this agent's relation to the voters. The generation is a hash of the members: a voter
// with a new store is another one.
func (n *Node) voterState() VoterState {
	v := VoterState{Voters: n.settings.Voters, IsVoter: n.voter != nil}
	if n.voter == nil {
		return v
	}
	s := n.voterStatus()
	v.IsLeader = s.Phase == raftlog.Leading
	for _, m := range s.Members {
		v.Members = append(v.Members, int(m.Agent))
		v.Generation = v.Generation*generationPrime ^ m.ID<<20 ^ m.Nonce
	}
	return v
}
