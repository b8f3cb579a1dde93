// Package assignmentlog connects package ringassignment to a fleet.Node. It implements the state machine for
// the agreed log's records of ring generations (fleet.StateMachine), and proposes generations at the leader
// (fleet.Application).
//
// It does no input or output and reads no clock. An Adapter is not safe for concurrent use: the goroutine
// that runs the node owns it.
package assignmentlog

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
)

// Adapter connects one process's part of the ring assignment to its node. The node calls it as a
// fleet.StateMachine and as a fleet.Application. The goroutine that runs the node calls the other methods.
type Adapter struct {
	settings     Settings
	machine      *ringassignment.StateMachine
	agent        *ringassignment.Agent
	proposer     *ringassignment.Proposer // nil if the agent is not a voter
	paceReport   []byte                   // encoded report for voters; nil if there is none
	paceReportAt time.Duration            // when it is next sent, by the monotonic clock

	notifiedGeneration ringassignment.GenerationID // the generation that voters are notified of
	acknowledgedBy     []int                       // voters that have acknowledged notifiedGeneration
	notifiedSince      time.Duration               // when notifications of it began, by the monotonic clock
	notifyAt           time.Duration               // when they are next sent, by the monotonic clock
}

// Settings are the settings of one agent's Adapter.
type Settings struct {
	IsVoter       bool
	Incarnation   uint64 // incarnation of the node
	MachineNumber uint8  // number of this state machine in the log's records
	Parameters    ringassignment.Parameters
}

// New returns the Adapter of a process that starts now.
func New(settings Settings, now fleet.ClockReading) *Adapter {
	s := &Adapter{
		settings: settings, machine: ringassignment.NewStateMachine(),
		agent: ringassignment.NewAgent(),
	}
	if settings.IsVoter {
		s.proposer = ringassignment.NewProposer(settings.Parameters, now)
	}
	return s
}

// Apply implements fleet.StateMachine.
func (s *Adapter) Apply(seq uint64, data []byte) { s.machine.Apply(seq, data) }

// Snapshot implements fleet.StateMachine.
func (s *Adapter) Snapshot() []byte { return s.machine.Snapshot() }

// Restore implements fleet.StateMachine.
func (s *Adapter) Restore(data []byte) error { return s.machine.Restore(data) }

// RecordsApplied implements fleet.Application. In a new epoch, when a new log has replaced the former one, it
// discards what is known of the former log's generations.
//
//nolint:revive // flag-parameter: fleet.Application has it
func (s *Adapter) RecordsApplied(now fleet.ClockReading, isNewEpoch bool) {
	if isNewEpoch {
		s.agent = ringassignment.NewAgent()
		if s.proposer != nil {
			s.proposer = ringassignment.NewProposer(s.settings.Parameters, now)
		}
	}
	s.agent.Learn(s.machine)
	if s.proposer != nil {
		s.proposer.Learn(now, s.machine)
	}
}

// LeaseNote implements fleet.Application. It returns nil, because leases need no note here.
func (s *Adapter) LeaseNote() []byte { return nil }

// MayGrantLease implements fleet.Application. It always returns true and records the lease as granted. If
// another application refuses the lease, the record only makes the next generation wait for the fence.
func (s *Adapter) MayGrantLease(now fleet.ClockReading, agent int, incarnation uint64, _ []byte) bool {
	if s.proposer != nil {
		s.proposer.LeaseGranted(now, agent, incarnation)
	}
	return true
}

// The first byte of a message is its kind.
const (
	messagePaceReport        byte = 1 // an agent's pace report, as ringassignment.EncodePaceReport returns it
	messageAppliedGeneration byte = 2 // an agent's incarnation and its applied generation; echoed as the reply
	messageVoterReport       byte = 3 // a generation that all holders of the voter's leases have applied

	incarnationSize       = 8 // bytes
	appliedGenerationSize = 1 + incarnationSize + ringassignment.GenerationIDSize
)

// HandleMessage implements fleet.Application. It ignores malformed messages. An agent's report of its applied
// generation is returned as its own acknowledgement; other messages have no reply.
func (s *Adapter) HandleMessage(now fleet.ClockReading, from int, data []byte) []byte {
	if s.proposer == nil || len(data) == 0 {
		return nil
	}
	switch data[0] {
	case messagePaceReport:
		s.proposer.PaceReportReceived(now, from, data)
	case messageAppliedGeneration:
		if len(data) == appliedGenerationSize {
			// This always succeeds, because the length was checked.
			m, _ := ringassignment.DecodeGenerationID(data[1+incarnationSize:])
			s.proposer.AppliedGenerationReceived(now, from, binary.BigEndian.Uint64(data[1:]), m)
			return data
		}
	case messageVoterReport:
		if m, ok := ringassignment.DecodeGenerationID(data[1:]); ok {
			s.proposer.ReportReceived(from, m)
		}
	}
	return nil
}

// HandleReply implements fleet.Application. It records a voter's acknowledgement of the applied generation.
func (s *Adapter) HandleReply(_ fleet.ClockReading, from int, data []byte) {
	if bytes.Equal(data, s.encodedAppliedGeneration()) && !slices.Contains(s.acknowledgedBy, from) {
		s.acknowledgedBy = append(s.acknowledgedBy, from)
	}
}

func (s *Adapter) encodedAppliedGeneration() []byte {
	return s.agent.Applied().Encode(
		binary.BigEndian.AppendUint64([]byte{messageAppliedGeneration}, s.settings.Incarnation))
}

const (
	// paceReportInterval is the interval between pace reports to voters.
	paceReportInterval = 30 * time.Second
	// generationReportInterval is the interval at which voters that have not acknowledged the applied
	// generation are notified again, and at which voters report to each other.
	generationReportInterval = 200 * time.Millisecond
	// generationReportPeriod is the time for which these messages are repeated. After that the fence has
	// passed, and they are not needed any more.
	generationReportPeriod = 5 * time.Second
	// followerInterval is the maximum time to the next call of NextActions at a voter that is not the leader, as
	// it may become the leader.
	followerInterval = time.Second
)

// NextActions implements fleet.Application.
func (s *Adapter) NextActions(now fleet.ClockReading, v fleet.VoterState) (actions fleet.Actions) {
	actions.Next = now.Mono + time.Hour
	if s.proposer != nil {
		s.proposer.SetMembers(now, v.Members, v.Generation)
		actions.Next = now.Mono + followerInterval
	}
	if s.proposer != nil && v.IsLeader {
		var records [][]byte
		records, actions.Next = s.proposer.Due(now)
		for _, r := range records {
			actions.Proposals = append(actions.Proposals, fleet.Proposal{Machine: s.settings.MachineNumber, Data: r})
		}
	}
	actions.Next = min(actions.Next, s.sendGenerationReports(now, v, &actions))
	actions.Next = min(actions.Next, s.sendPaceReport(now, v, &actions))
	return actions
}

// sendPaceReport adds messages with the pace report for the voters, if it is due. It returns when it is next
// due.
func (s *Adapter) sendPaceReport(now fleet.ClockReading, v fleet.VoterState,
	actions *fleet.Actions,
) (next time.Duration) {
	if s.paceReport == nil {
		return now.Mono + paceReportInterval
	}
	if now.Mono >= s.paceReportAt {
		s.paceReportAt = now.Mono + paceReportInterval
		for _, voter := range v.Voters {
			actions.Messages = append(actions.Messages, fleet.Message{To: voter, Data: s.paceReport})
		}
	}
	return s.paceReportAt
}

// sendGenerationReports adds messages that notify voters of the generation that this agent has applied and,
// at a voter, of the generation that all holders of its leases have applied. It returns when it is next
// due.
func (s *Adapter) sendGenerationReports(now fleet.ClockReading, v fleet.VoterState,
	actions *fleet.Actions,
) (next time.Duration) {
	if applied := s.agent.Applied(); applied != s.notifiedGeneration {
		s.notifiedGeneration, s.acknowledgedBy, s.notifiedSince, s.notifyAt = applied, nil, now.Mono, now.Mono
	}
	if s.notifiedGeneration.Number == 0 || now.Mono-s.notifiedSince >= generationReportPeriod {
		return now.Mono + time.Hour
	}
	if now.Mono < s.notifyAt {
		return s.notifyAt
	}
	s.notifyAt = now.Mono + generationReportInterval
	for _, voter := range v.Voters {
		if !slices.Contains(s.acknowledgedBy, voter) {
			actions.Messages = append(actions.Messages, fleet.Message{To: voter, Data: s.encodedAppliedGeneration()})
		}
	}
	if s.proposer == nil {
		if len(s.acknowledgedBy) == len(v.Voters) {
			return now.Mono + time.Hour
		}
		return s.notifyAt
	}
	if m, due := s.proposer.Report(now); due {
		for _, voter := range v.Members {
			report := fleet.Message{To: voter, Data: m.Encode([]byte{messageVoterReport})}
			actions.Messages = append(actions.Messages, report)
		}
	}
	return s.notifyAt
}

// SetView sets this agent's view of the servers. The caller calls it on each change and every few seconds.
// Only the leader's view is used, and only until it is older than Parameters.MaxViewAge.
func (s *Adapter) SetView(now fleet.ClockReading, v ringassignment.View) {
	if s.proposer != nil {
		s.proposer.SetView(now, v)
	}
}

// SetPaces sets the paces that this agent reports to voters every 30 s: the speed of each machine kind
// relative to its agreed capacity, 1 being as agreed. Kinds with too few answers are left out.
func (s *Adapter) SetPaces(paces map[string]float64) {
	s.paceReport = nil
	if len(paces) > 0 {
		s.paceReport = ringassignment.EncodePaceReport(paces)
	}
}

// Assignment returns the generation to use now, or nil if the agent has to use its own endpoint list. The
// pointer stays the same while nothing changes. The clock reading and the standing must be taken for this
// decision.
func (s *Adapter) Assignment(now fleet.ClockReading, standing lease.Standing) *balancer.RingAssignment {
	return s.agent.Assignment(now, standing)
}

// PaceReporters returns the number of agents with an unexpired pace report at this voter; zero if the agent
// is not a voter.
func (s *Adapter) PaceReporters(now fleet.ClockReading) int {
	if s.proposer == nil {
		return 0
	}
	return s.proposer.PaceReporters(now)
}

// State returns the current generation. Its members are a copy; the caller must not modify the rest.
func (s *Adapter) State() ringassignment.State {
	st := s.machine.State()
	st.Members = slices.Clone(st.Members)
	return st
}
