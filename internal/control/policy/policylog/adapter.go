// Package policylog runs package policy on a fleet.Node: it is the state machine of the agreed log's records
// about policies (fleet.StateMachine) and has its say in leases (fleet.Application).
//
// It does no input or output and reads no clock. An Adapter is not safe for concurrent use: the goroutine
// that runs the node owns it.
package policylog

import (
	"encoding/binary"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
)

// voterCheckInterval is how often a voter checks who the voters are while nothing else is due. Reports count
// only from a fence after a change of voters was seen, so a change of policy would wait for all leases to
// expire where it was seen late.
const voterCheckInterval = time.Second

// incarnationSize is how many bytes of an answer's message are the sender's incarnation; the answer follows.
const incarnationSize = 8

// Adapter connects one process's policy.Replica to its node. The node calls it as a fleet.StateMachine and as
// a fleet.Application; Active, EncodeProposal and the others are called from where the node is called.
type Adapter struct {
	settings Settings
	replica  *policy.Replica
}

// Settings are one agent's.
type Settings struct {
	Self          int
	IsVoter       bool
	Incarnation   uint64 // the node's
	MachineNumber uint8  // the state machine's number in the log's records
	Local         policy.LocalSettings
	Times         policy.Times // zero values stand for the defaults
}

// New returns the Adapter of a process that starts.
func New(settings Settings, now fleet.ClockReading) *Adapter {
	settings.Times = settings.Times.WithDefaults()
	return &Adapter{settings: settings, replica: newReplica(settings, now)}
}

func newReplica(set Settings, now fleet.ClockReading) *policy.Replica {
	if set.IsVoter {
		return policy.NewVoterReplica(set.Self, set.Local, set.Times, now)
	}
	return policy.NewReplica(set.Local, set.Times, now)
}

// Apply implements fleet.StateMachine.
func (s *Adapter) Apply(seq uint64, data []byte) { s.replica.StateMachine.Apply(seq, data) }

// Snapshot implements fleet.StateMachine.
func (s *Adapter) Snapshot() []byte { return s.replica.StateMachine.Snapshot() }

// Restore implements fleet.StateMachine.
func (s *Adapter) Restore(data []byte) error { return s.replica.StateMachine.Restore(data) }

// RecordsApplied implements fleet.Application. Nothing that was promised under a log that was replaced by a
// new one counts.
//
//nolint:revive // flag-parameter: fleet.Application has it
func (s *Adapter) RecordsApplied(now fleet.ClockReading, anew bool) {
	if anew {
		machine := s.replica.StateMachine
		s.replica = newReplica(s.settings, now)
		s.replica.StateMachine = machine
	}
	s.replica.Learn(now)
}

// LeaseNote implements fleet.Application: the agent's answer goes with its requests for leases.
func (s *Adapter) LeaseNote() []byte { return s.replica.Agent.EncodedAnswer() }

// MayGrantLease implements fleet.Application.
func (s *Adapter) MayGrantLease(now fleet.ClockReading, agent int, incarnation uint64, note []byte) bool {
	return s.replica.AllowLease(now, agent, incarnation, note)
}

// HandleMessage implements fleet.Application: a voter receives an agent's answer and returns it as the
// acknowledgement.
func (s *Adapter) HandleMessage(_ fleet.ClockReading, from int, data []byte) []byte {
	if s.replica.Voter == nil || len(data) < incarnationSize || len(data) > incarnationSize+lease.MaxNoteBytes {
		return nil
	}
	answer := data[incarnationSize:]
	s.replica.Voter.AnswerReceived(from, binary.BigEndian.Uint64(data), answer)
	return answer
}

// HandleReply implements fleet.Application: a voter has acknowledged an answer.
func (s *Adapter) HandleReply(_ fleet.ClockReading, from int, data []byte) {
	s.replica.Agent.Acknowledged(from, data)
}

// NextActions implements fleet.Application.
func (s *Adapter) NextActions(now fleet.ClockReading, v fleet.VoterState) (actions fleet.Actions) {
	if s.replica.Proposer != nil {
		s.replica.Proposer.SetVoters(now, v.Members, v.Generation)
	}
	due := s.replica.Due
	if v.IsLeader {
		due = s.replica.DueAsLeader
	}
	records, next := due(now)
	if s.replica.Proposer != nil {
		next = min(next, now.Mono+voterCheckInterval)
	}
	for _, r := range records {
		actions.Proposals = append(actions.Proposals, fleet.Proposal{Machine: s.settings.MachineNumber, Data: r})
	}
	actions.Next = next
	if s.replica.StateMachine.State().OpenChange == nil {
		return actions
	}
	message := append(binary.BigEndian.AppendUint64(nil, s.settings.Incarnation), s.LeaseNote()...)
	for _, voter := range s.replica.Agent.VotersToNotify(now, v.Voters) {
		actions.Messages = append(actions.Messages, fleet.Message{To: voter, Data: message})
	}
	actions.Next = min(next, s.replica.Agent.NextNotification())
	return actions
}

// SetLocalSettings replaces the settings that this agent checks documents against.
func (s *Adapter) SetLocalSettings(own policy.LocalSettings) {
	s.settings.Local = own
	s.replica.Agent.SetLocalSettings(own)
}

// Active is what a decision is to act on. The reading and the lease's standing have to be taken for this
// decision.
func (s *Adapter) Active(now fleet.ClockReading, standing lease.Standing) policy.Active {
	return s.replica.Agent.Active(now, standing)
}

// State is the agreed state. It must not be changed.
func (s *Adapter) State() policy.State { return s.replica.StateMachine.State() }

// Document is the document of a version, as long as it is stored.
func (s *Adapter) Document(version uint64) ([]byte, bool) {
	return s.replica.StateMachine.Document(version)
}

// Outcome is what is known of a proposal.
func (s *Adapter) Outcome(id string) policy.Outcome { return s.replica.StateMachine.Outcome(id) }

// EncodeProposal returns the record that proposes a document, made from the version in force here, to take
// effect at a Unix time. The document is checked against this agent's own settings first: the error is then a
// policy.Rejection. Other errors wrap policy.ErrProposal.
func (s *Adapter) EncodeProposal(now fleet.ClockReading, id string, document []byte,
	effectiveAt time.Duration,
) ([]byte, error) {
	if err := policy.CheckDocument(document, s.settings.Local); err != nil {
		return nil, err
	}
	return policy.EncodeProposal(policy.Proposal{
		ID: id, Agent: s.settings.Self, BaseVersion: s.State().InForce.Number,
		Now: now.Unix, EffectiveAt: effectiveAt, Document: document,
	})
}
