package fleet

import (
	"time"

	"dunestep/internal/fleet/raftlog"
)

// Application uses the log at one agent, as the fleet policy does: its state machines are listed in
// Settings.Machines, and it decides on lease requests. The node makes one call at a time.
type Application interface {
	// RecordsApplied reports that records were applied or a snapshot was restored. It is called before any lease
	// that depends on these records is held or granted. With isNewEpoch they belong to a new log, which replaces
	// the former one.
	RecordsApplied(now ClockReading, isNewEpoch bool)
	// LeaseNote returns the note to be sent with the next lease request, at most lease.MaxNoteBytes long.
	LeaseNote() []byte
	// MayGrantLease reports whether a voter may grant a lease to an agent. It is called at the time of the
	// grant.
	MayGrantLease(now ClockReading, agent int, incarnation uint64, note []byte) bool
	// HandleMessage processes a message from any agent, including this one, and returns the reply, or nil if
	// there is none.
	HandleMessage(now ClockReading, from int, data []byte) (reply []byte)
	// HandleReply processes a reply to a message that this agent sent.
	HandleReply(now ClockReading, from int, data []byte)
	// NextActions returns the messages and proposals to be sent now, and when to call it again.
	NextActions(now ClockReading, v VoterState) Actions
}

// VoterState describes this agent's role among the voters.
type VoterState struct {
	IsVoter  bool
	IsLeader bool
	Voters   []int // configured
	// Members are the agents in the log's configuration, and Generation changes whenever they do. Both are set
	// at a voter only.
	Members    []int
	Generation uint64
}

// Actions are the messages and proposals that an application requests.
type Actions struct {
	Messages  []Message
	Proposals []Proposal    // by this agent; repeated by the application until they are committed
	Next      time.Duration // time of the next call of NextActions, by the steady clock
}

// Message is a message of an application to an agent.
type Message struct {
	To   int
	Data []byte
}

// Proposal is a record to be proposed for a state machine.
type Proposal struct {
	Machine uint8 // index in Settings.Machines
	Data    []byte
}

const (
	// applicationProposalTimeout is the time after which a proposal of the application is withdrawn.
	applicationProposalTimeout = time.Second
	// minApplicationInterval is the minimum time between two calls of NextActions without new records.
	minApplicationInterval = time.Millisecond
)

// runApplication calls the application's NextActions if it is due, and sends the messages and proposals that
// it returns.
func (n *Node) runApplication(now ClockReading) {
	if n.settings.Application == nil || now.Mono < n.nextApplicationCall {
		return
	}
	actions := n.settings.Application.NextActions(now, n.voterState())
	n.nextApplicationCall = max(actions.Next, now.Mono+minApplicationInterval)
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

// voterState returns this agent's role among the voters. The generation is a hash of the members' IDs and
// nonces, so it also changes when a voter returns with a new store.
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
