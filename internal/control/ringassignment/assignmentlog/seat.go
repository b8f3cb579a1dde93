// Package assignmentlog gives package placement its place above a fleet.Node: it is the machine of the log's records
// that are about generations of the ring, and at the leader proposes them.
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

// Adapter is one process's. It is called by its node alone, as a fleet.StateMachine and as fleet.Application; SetView,
// SetPaces, Assignment and State from where the node is called.
type Adapter struct {
	settings     Settings
	machine      *ringassignment.StateMachine
	agent        *ringassignment.Agent
	proposer     *ringassignment.Proposer // nil: not a voter
	paceReport   []byte                   // of the kinds, for voters; nil: none
	paceReportAt time.Duration

	notifiedMark            ringassignment.Mark // what voters are told that this agent has
	acknowledgedBy          []int               // of them
	notifiedSince, notifyAt time.Duration
}

// Settings are one agent's.
type Settings struct {
	IsVoter       bool
	Incarnation   uint64 // the node's
	MachineNumber uint8  // its number in records
	Parameters    ringassignment.Parameters
}

// New returns the seat of a process that starts.
func New(set Settings, now fleet.ClockReading) *Adapter {
	s := &Adapter{settings: set, machine: ringassignment.NewStateMachine(), agent: ringassignment.NewAgent()}
	if set.IsVoter {
		s.proposer = ringassignment.NewProposer(set.Parameters, now)
	}
	return s
}

// Apply implements fleet.StateMachine.
func (s *Adapter) Apply(seq uint64, data []byte) { s.machine.Apply(seq, data) }

// Snapshot implements fleet.StateMachine.
func (s *Adapter) Snapshot() []byte { return s.machine.Snapshot() }

// Restore implements fleet.StateMachine.
func (s *Adapter) Restore(data []byte) error { return s.machine.Restore(data) }

// RecordsApplied implements fleet.Application. A log that began anew is another one, with other generations.
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

// LeaseNote implements fleet.Application: leases need none.
func (s *Adapter) LeaseNote() []byte { return nil }

// MayGrantLease implements fleet.Application: nothing here stands in the way of a lease. Above others that do, it counts
// some that were refused; these only have the next generation wait for the fence.
func (s *Adapter) MayGrantLease(now fleet.ClockReading, agent int, incarnation uint64, _ []byte) bool {
	if s.proposer != nil {
		s.proposer.LeaseGranted(now, agent, incarnation)
	}
	return true
}

// The kinds of messages: their first byte.
const (
	messagePaceReport  byte = 1 // how quick an agent finds the kinds of servers; a ringassignment.EncodePaceReport begins with it
	messageMark        byte = 2 // an agent's incarnation, and the generation that it has; answered with the same
	messageVoterReport byte = 3 // a voter's: all that go by its leases have a generation
)

// HandleMessage implements fleet.Application.
func (s *Adapter) HandleMessage(now fleet.ClockReading, from int, data []byte) []byte {
	if s.proposer == nil || len(data) == 0 {
		return nil
	}
	switch data[0] {
	case messagePaceReport:
		s.proposer.PaceReportReceived(now, from, data)
	case messageMark:
		if len(data) == 1+8+ringassignment.MarkSize {
			m, _ := ringassignment.DecodeMark(data[9:])
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

// HandleReply implements fleet.Application: a voter has heard what this agent has.
func (s *Adapter) HandleReply(_ fleet.ClockReading, from int, data []byte) {
	if bytes.Equal(data, s.encodedMark()) && !slices.Contains(s.acknowledgedBy, from) {
		s.acknowledgedBy = append(s.acknowledgedBy, from)
	}
}

func (s *Adapter) encodedMark() []byte {
	return s.agent.Applied().Encode(binary.BigEndian.AppendUint64([]byte{messageMark}, s.settings.Incarnation))
}

const (
	// paceReportInterval is after how long voters are told again of paces.
	paceReportInterval = 30 * time.Second
	// markInterval is after how long they are told again what this agent has, and reports are, as long as that
	// helps: for markPeriod. After that the fence has passed.
	markInterval = 200 * time.Millisecond
	markPeriod   = 5 * time.Second
)

// NextActions implements fleet.Application.
func (s *Adapter) NextActions(now fleet.ClockReading, v fleet.VoterState) (due fleet.Actions) {
	due.Next = now.Mono + time.Hour
	if s.proposer != nil {
		s.proposer.SetMembers(now, v.Members, v.Generation)
	}
	if s.proposer != nil && v.IsLeader {
		var records [][]byte
		records, due.Next = s.proposer.Due(now)
		for _, r := range records {
			due.Proposals = append(due.Proposals, fleet.Proposal{Machine: s.settings.MachineNumber, Data: r})
		}
	} else if s.proposer != nil {
		due.Next = now.Mono + time.Second // it may lead by then
	}
	due.Next = min(due.Next, s.sendMarks(now, v, &due))
	if s.paceReport != nil && now.Mono >= s.paceReportAt {
		s.paceReportAt = now.Mono + paceReportInterval
		for _, voter := range v.Voters {
			due.Messages = append(due.Messages, fleet.Message{To: voter, Data: s.paceReport})
		}
	}
	if s.paceReport != nil {
		due.Next = min(due.Next, s.paceReportAt)
	} else {
		due.Next = min(due.Next, now.Mono+paceReportInterval)
	}
	return due
}

// marks tells voters what this agent has, and other voters what all have that hold leases from here.
func (s *Adapter) sendMarks(now fleet.ClockReading, v fleet.VoterState, due *fleet.Actions) (next time.Duration) {
	if has := s.agent.Applied(); has != s.notifiedMark {
		s.notifiedMark, s.acknowledgedBy, s.notifiedSince, s.notifyAt = has, nil, now.Mono, now.Mono
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
			due.Messages = append(due.Messages, fleet.Message{To: voter, Data: s.encodedMark()})
		}
	}
	if s.proposer != nil {
		if m, tell := s.proposer.Report(now); tell {
			for _, voter := range v.Members {
				due.Messages = append(due.Messages, fleet.Message{To: voter, Data: m.Encode([]byte{messageVoterReport})})
			}
		}
	} else if len(s.acknowledgedBy) == len(v.Voters) {
		return now.Mono + time.Hour
	}
	return s.notifyAt
}

// SetView takes what this agent sees of the servers: on each change, and every few seconds. Only a leader's
// counts, and none that is older than Parameters.Stale.
func (s *Adapter) SetView(now fleet.ClockReading, v ringassignment.View) {
	if s.proposer != nil {
		s.proposer.SetView(now, v)
	}
}

// SetPaces takes how quick this agent finds each kind of server against its agreed capacity, 1 being just
// so: what a few requests show is left out. Voters are told every 30 s.
func (s *Adapter) SetPaces(paces map[string]float64) {
	s.paceReport = nil
	if len(paces) > 0 {
		s.paceReport = ringassignment.EncodePaceReport(paces)
	}
}

// Assignment is the generation to place by now; nil: none, as without. The same pointer while nothing changes.
func (s *Adapter) Assignment(now fleet.ClockReading, standing lease.Standing) *balancer.RingAssignment {
	return s.agent.Assignment(now, standing)
}

// PaceReporters is how many agents have told this voter of late how quick they find the kinds of servers; zero: it is
// none.
func (s *Adapter) PaceReporters(now fleet.ClockReading) int {
	if s.proposer == nil {
		return 0
	}
	return s.proposer.PaceReporters(now)
}

// State is the present generation, for staff. It is not to be changed.
func (s *Adapter) State() ringassignment.State {
	st := s.machine.State()
	st.Members = slices.Clone(st.Members)
	return st
}
