// Package maintenancelog runs package maintenance on a fleet.Node: it is the state machine of the agreed
// log's records about windows (fleet.StateMachine), says what requests keep off, and brings windows through
// their course where its voter leads (fleet.Application).
//
// It does no input or output and reads no clock. An Adapter is not safe for concurrent use: the goroutine
// that runs the node owns it.
package maintenancelog

import (
	"errors"
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
)

// Adapter connects one process's part in maintenance windows to its node. The node calls it as a
// fleet.StateMachine and as a fleet.Application; Exclusions, EncodeProposal and the others are called from
// where the node is called.
type Adapter struct {
	settings Settings
	machine  *maintenance.StateMachine
	agent    *maintenance.Agent
	proposer *maintenance.Proposer // nil: not a voter

	counts       []maintenance.TenantCounts // for the next report
	overloaded   bool
	reportNumber uint64
	reportAt     time.Duration // by the monotonic clock
}

// Settings are one agent's.
type Settings struct {
	Self          int
	IsVoter       bool
	Incarnation   uint64 // the node's
	MachineNumber uint8  // the state machine's number in the log's records
	Times         policy.Times
	Turns         int           // the same at all agents; zero: none
	MaxInFlight   time.Duration // the longest that a request may be in flight; zero: 30 s
	ClockMargin   time.Duration // for clocks that differ; zero: 10 s
	MinNotice     time.Duration // of a window; zero: maintenance.MinNotice
	// InForce is the newest version of the policy that was activated by the records applied so far. The policy's
	// state machine has to come before this one.
	InForce func() uint64
	// View is what this process sees now. It is called at the voter that leads, while there are windows; nil:
	// nothing is seen.
	View func(now fleet.ClockReading) maintenance.LeaderView
}

// New returns the Adapter of a process that starts.
func New(settings Settings) *Adapter {
	s := &Adapter{settings: settings, machine: maintenance.NewStateMachine(settings.InForce)}
	s.start()
	return s
}

func (s *Adapter) start() {
	s.agent = maintenance.NewAgent(s.settings.Turns)
	if s.settings.IsVoter {
		s.proposer = maintenance.NewProposer(maintenance.ProposerSettings{
			Times: s.settings.Times, MaxInFlight: s.settings.MaxInFlight, ClockMargin: s.settings.ClockMargin,
		})
	}
}

// Apply implements fleet.StateMachine.
func (s *Adapter) Apply(seq uint64, data []byte) { s.machine.Apply(seq, data) }

// Snapshot implements fleet.StateMachine.
func (s *Adapter) Snapshot() []byte { return s.machine.Snapshot() }

// Restore implements fleet.StateMachine.
func (s *Adapter) Restore(data []byte) error { return s.machine.Restore(data) }

// RecordsApplied implements fleet.Application. Nothing of a log that was replaced by a new one counts.
//
//nolint:revive // flag-parameter: fleet.Application has it
func (s *Adapter) RecordsApplied(now fleet.ClockReading, anew bool) {
	if anew {
		s.start()
	}
	s.agent.Learn(s.machine)
	if s.proposer != nil {
		s.proposer.Learn(now, s.machine)
	}
}

// LeaseNote implements fleet.Application: windows need no note.
func (s *Adapter) LeaseNote() []byte { return nil }

// MayGrantLease implements fleet.Application: windows have no say in leases, but take note of who holds them.
func (s *Adapter) MayGrantLease(now fleet.ClockReading, agent int, _ uint64, _ []byte) bool {
	if s.proposer != nil {
		s.proposer.LeaseGranted(now, agent)
	}
	return true
}

// HandleMessage implements fleet.Application: a voter receives an agent's report. Nothing is answered.
func (s *Adapter) HandleMessage(now fleet.ClockReading, from int, data []byte) []byte {
	if s.proposer != nil {
		s.proposer.ReportReceived(now, from, data)
	}
	return nil
}

// HandleReply implements fleet.Application: there are no replies.
func (s *Adapter) HandleReply(fleet.ClockReading, int, []byte) {}

// NextActions implements fleet.Application. No reports are sent while no window moves traffic.
func (s *Adapter) NextActions(now fleet.ClockReading, v fleet.VoterState) (actions fleet.Actions) {
	moves, next := s.machine.MovesTraffic(now.Unix)
	actions.Next = now.Mono + min(max(next-now.Unix, maintenance.ReportInterval/4), time.Minute)
	if moves {
		actions.Messages = s.dueReports(now, v.Voters)
		actions.Next = min(actions.Next, s.reportAt)
	}
	if s.proposer == nil || !v.IsLeader || s.proposer.IsIdle() {
		return actions
	}
	records, again := s.proposer.Due(now, func() maintenance.LeaderView { return s.view(now) })
	for _, r := range records {
		actions.Proposals = append(actions.Proposals, fleet.Proposal{Machine: s.settings.MachineNumber, Data: r})
	}
	actions.Next = min(actions.Next, again)
	return actions
}

// dueReports is this agent's report to each voter, where it is time for one.
func (s *Adapter) dueReports(now fleet.ClockReading, voters []int) (messages []fleet.Message) {
	if now.Mono < s.reportAt {
		return nil
	}
	s.reportNumber++
	data := maintenance.EncodeReport(maintenance.Report{
		Incarnation: s.settings.Incarnation, Number: s.reportNumber, Overloaded: s.overloaded, Counts: s.counts,
	})
	s.counts = nil
	for _, voter := range voters {
		messages = append(messages, fleet.Message{To: voter, Data: data})
	}
	s.reportAt = now.Mono + maintenance.ReportInterval
	return messages
}

func (s *Adapter) view(now fleet.ClockReading) maintenance.LeaderView {
	if s.settings.View == nil {
		return maintenance.LeaderView{}
	}
	return s.settings.View(now)
}

// Exclusions is what requests keep off now; nil: nothing. It is the same pointer while nothing changes. The
// reading, the standing and what is acted on have to be taken for this decision.
func (s *Adapter) Exclusions(now fleet.ClockReading, standing lease.Standing,
	active policy.Active,
) *balancer.Exclusions {
	return s.agent.Exclusions(now, standing, active)
}

// MovesTraffic tells whether a window moves traffic now, so that AddCounts is to be called.
func (s *Adapter) MovesTraffic(now fleet.ClockReading) bool {
	moves, _ := s.machine.MovesTraffic(now.Unix)
	return moves
}

// SetOverloaded takes whether this agent sheds load.
func (s *Adapter) SetOverloaded(overloaded bool) { s.overloaded = overloaded }

// AddCounts takes how tenants' requests have fared since it was called last. Tenants that no window moves are
// left out.
func (s *Adapter) AddCounts(now fleet.ClockReading, counts []maintenance.TenantCounts) {
	for _, c := range counts {
		if !s.machine.AffectsTenant(c.Tenant, now.Unix) {
			continue
		}
		i := slices.IndexFunc(s.counts, func(o maintenance.TenantCounts) bool { return o.Tenant == c.Tenant })
		switch {
		case i >= 0:
			s.counts[i].Add(c)
		case len(s.counts) < maintenance.MaxCounts:
			s.counts = append(s.counts, c)
		}
	}
}

// Windows are the known windows, in the states that they are in now; those that are over are among them for a
// day. They must not be changed.
func (s *Adapter) Windows(now fleet.ClockReading) []*maintenance.Window {
	all := s.machine.Windows()
	for _, w := range all {
		w.State = w.StateAt(now.Unix)
	}
	return all
}

// AgreedWindows are the same, in the states that were agreed, whatever the clock shows.
func (s *Adapter) AgreedWindows() []*maintenance.Window { return s.machine.Windows() }

// Revision is what the next request is planned from.
func (s *Adapter) Revision() uint64 { return s.machine.Revision() }

// Outcome is what is known of a request.
func (s *Adapter) Outcome(id string) maintenance.Outcome { return s.machine.Outcome(id) }

// Outcomes are the requests that are remembered, the newest last.
func (s *Adapter) Outcomes() []maintenance.Outcome { return s.machine.Outcomes() }

// Plan is the window that a request would be, from this agent's input. Plan sets Now, Windows, CountWindows,
// IsInTurn, MinNotice and ClockMargin of the input; its contracts have to be those of its PolicyVersion. The
// error is maintenance.Plan's.
func (s *Adapter) Plan(now fleet.ClockReading, request maintenance.WindowRequest,
	input maintenance.PlanInput,
) (*maintenance.Window, error) {
	input.Now, input.Windows, input.CountWindows = now.Unix, s.openWindows(), s.machine.CountWindows
	input.MinNotice, input.ClockMargin = s.settings.MinNotice, s.settings.ClockMargin
	if turns := maintenance.Turns(s.settings.Turns); turns > 0 {
		input.IsInTurn = func(server maintenance.Server, from, to time.Duration) bool {
			return turns.Covers(server.ID, server.Zone, from, to)
		}
	}
	return maintenance.Plan(request, input)
}

// ErrPolicyChanged means that a newer version of the policy was activated than the one that this agent acts
// on.
var ErrPolicyChanged = errors.New("window: a newer policy takes hold; ask again in a moment")

// EncodeProposal returns the record that proposes a request, and the window that it would be. The error is
// ErrPolicyChanged, maintenance.Plan's, or wraps maintenance.ErrInvalidWindow.
func (s *Adapter) EncodeProposal(now fleet.ClockReading, request maintenance.WindowRequest,
	input maintenance.PlanInput,
) ([]byte, *maintenance.Window, error) {
	if input.PolicyVersion != s.settings.InForce() {
		return nil, nil, ErrPolicyChanged
	}
	w, err := s.Plan(now, request, input)
	if err != nil {
		return nil, nil, err
	}
	data, err := maintenance.EncodeProposal(maintenance.Proposal{
		Window: w, Agent: s.settings.Self, Now: now.Unix, PolicyVersion: input.PolicyVersion,
		Revision: s.machine.Revision(), MinNotice: s.settings.MinNotice,
	})
	return data, w, err
}

// EncodeStop returns the record by which a window returns at once, or, before it has begun, is ended.
func (s *Adapter) EncodeStop(now fleet.ClockReading, id, reason string) []byte {
	return maintenance.EncodeStop(id, s.settings.Self, now.Unix, reason)
}

func (s *Adapter) openWindows() []*maintenance.Window {
	return slices.DeleteFunc(s.machine.Windows(), func(w *maintenance.Window) bool {
		return w.State == maintenance.Ended || w.State == maintenance.Stopped
	})
}
