// Package assignmentlog runs package ringassignment on a fleet.Node: it is the state machine of the agreed
// log's records about generations of the ring (fleet.StateMachine), and proposes generations at the leader
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

// Adapter connects one process's part in the ring's generations to its node. The node calls it as a
// fleet.StateMachine and as a fleet.Application; SetView, SetPaces, Assignment and State are called from
// where the node is called.
type Adapter struct {
	settings     Settings
	machine      *ringassignment.StateMachine
	agent        *ringassignment.Agent
	proposer     *ringassignment.Proposer // nil: not a voter
	paceReport   []byte                   // for voters; nil: none
	paceReportAt time.Duration            // by the monotonic clock

	notifiedMark   ringassignment.Mark // the generation that voters are notified of
	acknowledgedBy []int               // voters that have acknowledged it
	notifiedSince  time.Duration       // by the monotonic clock, as notifyAt
	notifyAt       time.Duration
}

// Settings are one agent's.
type Settings struct {
	IsVoter       bool
	Incarnation   uint64 // the node's
	MachineNumber uint8  // the state machine's number in the log's records
	Parameters    ringassignment.Parameters
}

// New returns the Adapter of a process that starts.
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

// RecordsApplied implements fleet.Application. A log that was started anew has other generations.
//
//nolint:revive // flag-parameter: fleet.Application has it
func (s *Adapter) RecordsApplied(now fleet.ClockReading, anew bool) {
	if anew {
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

// LeaseNote implements fleet.Application: leases need no note.
func (s *Adapter) LeaseNote() []byte { return nil }

// MayGrantLease implements fleet.Application: nothing here stands in the way of a lease. Where another
// application refuses it, it is counted here all the same, which only has the next generation wait for the
// fence.
func (s *Adapter) MayGrantLease(now fleet.ClockReading, agent int, incarnation uint64, _ []byte) bool {
	if s.proposer != nil {
		s.proposer.LeaseGranted(now, agent, incarnation)
	}
	return true
}

// The first byte of a message is its kind.
const (
	messagePaceReport  byte = 1 // an agent's; the first byte of ringassignment.EncodePaceReport
	messageMark        byte = 2 // an agent's incarnation, and the generation that it has applied; it is returned
	messageVoterReport byte = 3 // a voter's: all that hold its leases have applied a generation

	incarnationSize = 8 // bytes
	markMessageSize = 1 + incarnationSize + ringassignment.MarkSize
)

// HandleMessage implements fleet.Application. Bytes that are not a message are ignored.
func (s *Adapter) HandleMessage(now fleet.ClockReading, from int, data []byte) []byte {
	if s.proposer == nil || len(data) == 0 {
		return nil
	}
	switch data[0] {
	case messagePaceReport:
		s.proposer.PaceReportReceived(now, from, data)
	case messageMark:
		if len(data) == markMessageSize {
			m, _ := ringassignment.DecodeMark(data[1+incarnationSize:]) // its length is right
			s.proposer.MarkReceived(now, from, binary.BigEndian.Uint64(data[1:]), m)
			return data
		}
	case messageVoterReport:
		if m, ok := ringassignment.DecodeMark(data[1:]); ok {
			s.proposer.ReportReceived(from, m)
		}
	}
	return nil
}

// HandleReply implements fleet.Application: a voter has acknowledged what this agent has applied.
func (s *Adapter) HandleReply(_ fleet.ClockReading, from int, data []byte) {
	if bytes.Equal(data, s.encodedMark()) && !slices.Contains(s.acknowledgedBy, from) {
		s.acknowledgedBy = append(s.acknowledgedBy, from)
	}
}

func (s *Adapter) encodedMark() []byte {
	return s.agent.Applied().Encode(binary.BigEndian.AppendUint64([]byte{messageMark}, s.settings.Incarnation))
}

const (
	// paceReportInterval is how often voters get a pace report.
	paceReportInterval = 30 * time.Second
	// markInterval is how often voters that have not acknowledged the applied generation are notified of it, and
	// voters report to each other.
	markInterval = 200 * time.Millisecond
	// markPeriod is how long they do so. After that the fence has passed, and it does not help any more.
	markPeriod = 5 * time.Second
	// followerInterval is how often a voter that does not lead is asked: it may lead by then.
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
	actions.Next = min(actions.Next, s.sendMarks(now, v, &actions))
	actions.Next = min(actions.Next, s.sendPaceReport(now, v, &actions))
	return actions
}

// sendPaceReport sends voters the pace report where it is time for it, and returns when it is again.
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

// sendMarks notifies voters of what this agent has applied, and other voters of what all have applied that
// hold leases from here. It returns when it is time again.
func (s *Adapter) sendMarks(now fleet.ClockReading, v fleet.VoterState,
	actions *fleet.Actions,
) (next time.Duration) {
	if applied := s.agent.Applied(); applied != s.notifiedMark {
		s.notifiedMark, s.acknowledgedBy, s.notifiedSince, s.notifyAt = applied, nil, now.Mono, now.Mono
	}
	if s.notifiedMark.Number == 0 || now.Mono-s.notifiedSince >= markPeriod {
		return now.Mono + time.Hour
	}
	if now.Mono < s.notifyAt {
		return s.notifyAt
	}
	s.notifyAt = now.Mono + markInterval
	for _, voter := range v.Voters {
		if !slices.Contains(s.acknowledgedBy, voter) {
			actions.Messages = append(actions.Messages, fleet.Message{To: voter, Data: s.encodedMark()})
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

// SetView takes what this agent sees of the servers: on each change, and every few seconds. Only a leader's
// view counts, and none that is older than Parameters.MaxViewAge.
func (s *Adapter) SetView(now fleet.ClockReading, v ringassignment.View) {
	if s.proposer != nil {
		s.proposer.SetView(now, v)
	}
}

// SetPaces takes how fast this agent finds each kind of machine against its agreed capacity, 1 being as
// agreed; kinds with few answers are left out. Voters get it every 30 s.
func (s *Adapter) SetPaces(paces map[string]float64) {
	s.paceReport = nil
	if len(paces) > 0 {
		s.paceReport = ringassignment.EncodePaceReport(paces)
	}
}

// Assignment is the generation to use now; nil: none, as without generations. It is the same pointer while
// nothing changes. The reading and the standing have to be taken for this decision.
func (s *Adapter) Assignment(now fleet.ClockReading, standing lease.Standing) *balancer.RingAssignment {
	return s.agent.Assignment(now, standing)
}

// PaceReporters is how many agents have lately sent this voter pace reports; zero: it is none.
func (s *Adapter) PaceReporters(now fleet.ClockReading) int {
	if s.proposer == nil {
		return 0
	}
	return s.proposer.PaceReporters(now)
}

// State is the present generation. Its members are a copy; the rest must not be changed.
func (s *Adapter) State() ringassignment.State {
	st := s.machine.State()
	st.Members = slices.Clone(st.Members)
	return st
}
