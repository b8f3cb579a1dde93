// Package policylog gives package policy its place above a fleet.Node: it is the machine of the log's records
// that are about policies, and has its say in leases.
package policylog

import (
	"encoding/binary"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
)

// voterCheckInterval is how often a voter looks who the voters are while nothing else is due: reports count only
// from a fence after that was first seen, so a change would wait for all leases where it was seen late.
const voterCheckInterval = time.Second

// Adapter is one process's. It is called by its node alone, as a fleet.StateMachine and as fleet.Application; Active,
// Propose and the others from where the node is called.
type Adapter struct {
	settings Settings
	replica  *policy.Replica
}

// Settings are one agent's.
type Settings struct {
	Self          int
	IsVoter       bool
	Incarnation   uint64 // the node's
	MachineNumber uint8  // its number in records
	Local         policy.LocalSettings
	Times         policy.Times
}

// New returns the seat of a process that starts.
func New(set Settings, now fleet.ClockReading) *Adapter {
	set.Times = set.Times.WithDefaults()
	return &Adapter{settings: set, replica: policy.NewReplica(set.Self, set.IsVoter, set.Local, set.Times, now)}
}

// Apply implements fleet.StateMachine.
func (s *Adapter) Apply(seq uint64, data []byte) { s.replica.StateMachine.Apply(seq, data) }

// Snapshot implements fleet.StateMachine.
func (s *Adapter) Snapshot() []byte { return s.replica.StateMachine.Snapshot() }

// Restore implements fleet.StateMachine.
func (s *Adapter) Restore(data []byte) error {
	if len(data) == 0 {
		data = nil
	}
	return s.replica.StateMachine.Restore(data)
}

// RecordsApplied implements fleet.Application. A log that began anew is another one: nothing that was promised in the
// former counts.
func (s *Adapter) RecordsApplied(now fleet.ClockReading, anew bool) {
	if anew {
		machine := s.replica.StateMachine
		s.replica = policy.NewReplica(s.settings.Self, s.settings.IsVoter, s.settings.Local, s.settings.Times, now)
		s.replica.StateMachine = machine
	}
	s.replica.Learn(now)
}

// LeaseNote implements fleet.Application.
func (s *Adapter) LeaseNote() []byte { return s.replica.Agent.EncodedAnswer() }

// MayGrantLease implements fleet.Application.
func (s *Adapter) MayGrantLease(now fleet.ClockReading, agent int, incarnation uint64, note []byte) bool {
	return s.replica.AllowLease(now, agent, incarnation, note)
}

// HandleMessage implements fleet.Application: a voter is told an agent's answer, and says that it was.
func (s *Adapter) HandleMessage(_ fleet.ClockReading, from int, data []byte) []byte {
	if s.replica.Voter == nil || len(data) < 8 || len(data) > 8+lease.MaxNoteBytes {
		return nil
	}
	s.replica.Voter.AnswerReceived(from, binary.BigEndian.Uint64(data), data[8:])
	return data[8:]
}

// HandleReply implements fleet.Application.
func (s *Adapter) HandleReply(_ fleet.ClockReading, from int, data []byte) {
	s.replica.Agent.Acknowledged(from, data)
}

// NextActions implements fleet.Application.
func (s *Adapter) NextActions(now fleet.ClockReading, v fleet.VoterState) (due fleet.Actions) {
	if s.replica.Proposer != nil {
		s.replica.Proposer.SetVoters(now, v.Members, v.Generation)
	}
	records, next := s.replica.Due(now, v.IsLeader)
	if s.replica.Proposer != nil {
		next = min(next, now.Mono+voterCheckInterval)
	}
	for _, r := range records {
		due.Proposals = append(due.Proposals, fleet.Proposal{Machine: s.settings.MachineNumber, Data: r})
	}
	due.Next = next
	if s.replica.StateMachine.State().OpenChange == nil {
		return due
	}
	word := append(binary.BigEndian.AppendUint64(nil, s.settings.Incarnation), s.LeaseNote()...)
	for _, voter := range s.replica.Agent.VotersToNotify(now, v.Voters) {
		due.Messages = append(due.Messages, fleet.Message{To: voter, Data: word})
	}
	due.Next = min(next, s.replica.Agent.NextNotification())
	return due
}

// SetLocalSettings takes in that what this agent holds documents against has changed.
func (s *Adapter) SetLocalSettings(own policy.LocalSettings) {
	s.settings.Local = own
	s.replica.Agent.SetLocalSettings(own)
}

// Active is how one decision is to be made; both are read for it.
func (s *Adapter) Active(now fleet.ClockReading, standing lease.Standing) policy.Active {
	return s.replica.Agent.Active(now, standing)
}

// State is what is agreed. It is not to be changed.
func (s *Adapter) State() policy.State { return s.replica.StateMachine.State() }

// Document is a version's, as far as it is kept.
func (s *Adapter) Document(version uint64) ([]byte, bool) {
	return s.replica.StateMachine.Document(version)
}

// Outcome is what is known of a proposal.
func (s *Adapter) Outcome(id string) policy.Outcome { return s.replica.StateMachine.Outcome(id) }

// EncodeProposal is what proposes a document, made from the version in force here, to take hold at a Unix time.
// It is checked against this agent's own settings first.
func (s *Adapter) EncodeProposal(now fleet.ClockReading, id string, document []byte, by time.Duration) ([]byte, error) {
	if err := policy.CheckDocument(document, s.settings.Local); err != nil {
		return nil, err
	}
	return policy.EncodeProposal(policy.Proposal{
		ID: id, Agent: s.settings.Self, BaseVersion: s.State().InForce.Number,
		Now: now.Unix, EffectiveAt: by,
		Document: document,
	})
}
