// Package policylog connects package policy to a fleet.Node. It implements the state machine for the agreed
// log's policy records (fleet.StateMachine), and restricts which agents are granted leases
// (fleet.Application).
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

// voterCheckInterval is the maximum interval between a voter's checks of who the voters are. Promise reports
// count only after a fence has passed since a change of voters was noticed. If it were noticed late, the next
// change of policy would have to wait for all leases to expire.
const voterCheckInterval = time.Second

// incarnationSize is the size of the sender's incarnation at the start of an answer message, in bytes. The
// encoded answer follows it.
const incarnationSize = 8

// Adapter connects one process's policy.Replica to its node. The node calls it as a fleet.StateMachine and as
// a fleet.Application. The goroutine that runs the node calls the other methods.
type Adapter struct {
	settings Settings
	replica  *policy.Replica
}

// Settings are the settings of one agent's Adapter.
type Settings struct {
	Self          int
	IsVoter       bool
	Incarnation   uint64 // incarnation of the node
	MachineNumber uint8  // number of this state machine in the log's records
	Local         policy.LocalSettings
	Times         policy.Times // zero values mean the defaults
}

// New returns the Adapter of a process that starts now.
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

// RecordsApplied implements fleet.Application. In a new epoch, when a new log has replaced the former one, it
// discards all promises made under the former log.
//
//nolint:revive // flag-parameter: fleet.Application has it
func (s *Adapter) RecordsApplied(now fleet.ClockReading, isNewEpoch bool) {
	if isNewEpoch {
		machine := s.replica.StateMachine
		s.replica = newReplica(s.settings, now)
		s.replica.StateMachine = machine
	}
	s.replica.Learn(now)
}

// LeaseNote implements fleet.Application. It returns the agent's answer, which lease requests carry.
func (s *Adapter) LeaseNote() []byte { return s.replica.Agent.EncodedAnswer() }

// MayGrantLease implements fleet.Application.
func (s *Adapter) MayGrantLease(now fleet.ClockReading, agent int, incarnation uint64, note []byte) bool {
	return s.replica.AllowLease(now, agent, incarnation, note)
}

// HandleMessage implements fleet.Application. At a voter it records an agent's answer and returns the answer
// as the acknowledgement. It returns nil for a malformed message and at an agent that is not a voter.
func (s *Adapter) HandleMessage(_ fleet.ClockReading, from int, data []byte) []byte {
	if s.replica.Voter == nil || len(data) < incarnationSize || len(data) > incarnationSize+lease.MaxNoteBytes {
		return nil
	}
	answer := data[incarnationSize:]
	s.replica.Voter.AnswerReceived(from, binary.BigEndian.Uint64(data), answer)
	return answer
}

// HandleReply implements fleet.Application. It records a voter's acknowledgement of an answer.
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
func (s *Adapter) SetLocalSettings(local policy.LocalSettings) {
	s.settings.Local = local
	s.replica.Agent.SetLocalSettings(local)
}

// Active returns the policy that a decision has to act on. The clock reading and the lease's standing must be
// taken for this decision.
func (s *Adapter) Active(now fleet.ClockReading, standing lease.Standing) policy.Active {
	return s.replica.Agent.Active(now, standing)
}

// State returns the agreed state. The caller must not modify it.
func (s *Adapter) State() policy.State { return s.replica.StateMachine.State() }

// Document returns the document of a version. It returns false if the version has none or is no longer
// stored.
func (s *Adapter) Document(version uint64) ([]byte, bool) {
	return s.replica.StateMachine.Document(version)
}

// Outcome returns the outcome of a proposal; see policy.StateMachine.Outcome.
func (s *Adapter) Outcome(id string) policy.Outcome { return s.replica.StateMachine.Outcome(id) }

// EncodeProposal returns the record that proposes a document with the version in force here as its base.
// The document takes effect at effectiveAt, a Unix time. The error is a policy.Rejection if the
// document does not fit this agent's own settings; otherwise it wraps policy.ErrProposal.
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
