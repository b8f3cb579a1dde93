// Package maintenancelog runs package maintenance on a fleet.Node: it applies the agreed log's records about
// windows (fleet.StateMachine), computes which servers requests are kept off, and, at the leader, proposes
// the records that change the state of windows (fleet.Application).
//
// It does no I/O and reads no clock. An Adapter is not safe for concurrent use: the goroutine that runs the
// node owns it.
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

// Adapter connects the state machine, agent and proposer of maintenance windows in one process to its
// fleet.Node. The node calls it as a fleet.StateMachine and as a fleet.Application; the other methods are
// called by the goroutine that runs the node.
type Adapter struct {
	settings Settings
	machine  *maintenance.StateMachine
	agent    *maintenance.Agent
	proposer *maintenance.Proposer // nil if the process is not a voter

	counts       []maintenance.TenantCounts // for the next report
	overloaded   bool
	reportNumber uint64
	reportAt     time.Duration // time of the next report; monotonic clock
}

// Settings configures the Adapter of one agent.
type Settings struct {
	Self          int // number of this agent
	IsVoter       bool
	Incarnation   uint64 // incarnation of the node
	MachineNumber uint8  // number of the state machine in the log's records
	Times         policy.Times
	Groups        int           // number of turns, the same at all agents; zero: none
	MaxInFlight   time.Duration // maximum time of a request in flight; zero: 30 s
	ClockMargin   time.Duration // allowance for differing clocks; zero: 10 s
	MinNotice     time.Duration // minimum notice of a window; zero: maintenance.MinNotice
	// InForce returns the newest policy version that was activated by the records applied so far. The
	// policy's state machine must come before this one in fleet.Settings.Machines.
	InForce func() uint64
	// View returns the process's local state. It is called at the leader while a window is planned or in
	// progress; nil: the zero LeaderView is used.
	View func(now fleet.ClockReading) maintenance.LeaderView
}

// New returns the Adapter of a process that has just started.
func New(settings Settings) *Adapter {
	s := &Adapter{settings: settings, machine: maintenance.NewStateMachine(settings.InForce)}
	s.start()
	return s
}

func (s *Adapter) start() {
	s.agent = maintenance.NewAgent(s.settings.Groups)
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

// RecordsApplied implements fleet.Application. In a new epoch, when a new log has replaced the former one, it
// creates the agent and the proposer again, without what they derived from the former log.
//
//nolint:revive // flag-parameter: required by fleet.Application
func (s *Adapter) RecordsApplied(now fleet.ClockReading, isNewEpoch bool) {
	if isNewEpoch {
		s.start()
	}
	s.agent.Learn(s.machine)
	if s.proposer != nil {
		s.proposer.Learn(now, s.machine)
	}
}

// LeaseNote implements fleet.Application: maintenance windows attach no note to leases.
func (s *Adapter) LeaseNote() []byte { return nil }

// MayGrantLease implements fleet.Application: it always allows the lease, and records its holder at a voter.
func (s *Adapter) MayGrantLease(now fleet.ClockReading, agent int, _ uint64, _ []byte) bool {
	if s.proposer != nil {
		s.proposer.LeaseGranted(now, agent)
	}
	return true
}

// HandleMessage implements fleet.Application: a voter receives an agent's report. There is no reply.
func (s *Adapter) HandleMessage(now fleet.ClockReading, from int, data []byte) []byte {
	if s.proposer != nil {
		s.proposer.ReportReceived(now, from, data)
	}
	return nil
}

// HandleReply implements fleet.Application: there are no replies.
func (s *Adapter) HandleReply(fleet.ClockReading, int, []byte) {}

// NextActions implements fleet.Application. Reports are sent only while a window moves traffic or begins
// soon.
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

// dueReports returns this agent's report as a message to each voter, or nil if the next report is not due
// yet.
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

// Exclusions returns which servers requests are kept off now; nil if none. It returns the same pointer while
// nothing changes. The clock reading, the lease's standing and the active policy must be taken for this
// decision.
func (s *Adapter) Exclusions(now fleet.ClockReading, standing lease.Standing,
	active policy.Active,
) *balancer.Exclusions {
	return s.agent.Exclusions(now, standing, active)
}

// MovesTraffic reports whether a window moves traffic now or begins soon, so that AddCounts must be called.
func (s *Adapter) MovesTraffic(now fleet.ClockReading) bool {
	moves, _ := s.machine.MovesTraffic(now.Unix)
	return moves
}

// SetOverloaded sets Report.Overloaded of the next reports: whether this agent sheds load.
func (s *Adapter) SetOverloaded(overloaded bool) { s.overloaded = overloaded }

// AddCounts adds counts of tenants' requests, made since its previous call, to the next report. It ignores
// tenants that no window affects now, and tenants beyond the first maintenance.MaxCounts.
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

// Windows returns the known windows with their states at now, including windows that have been over for up to
// a day. The caller must not change them.
func (s *Adapter) Windows(now fleet.ClockReading) []*maintenance.Window {
	all := s.machine.Windows()
	for _, w := range all {
		w.State = w.StateAt(now.Unix)
	}
	return all
}

// AgreedWindows returns the same windows with their agreed states, independent of the clock.
func (s *Adapter) AgreedWindows() []*maintenance.Window { return s.machine.Windows() }

// Revision returns the state's revision; see maintenance.Proposal.
func (s *Adapter) Revision() uint64 { return s.machine.Revision() }

// Outcome returns the outcome of a request; see maintenance.StateMachine.Outcome.
func (s *Adapter) Outcome(id string) maintenance.Outcome { return s.machine.Outcome(id) }

// Outcomes returns the stored outcomes, oldest first.
func (s *Adapter) Outcomes() []maintenance.Outcome { return s.machine.Outcomes() }

// Plan returns the window for a request, without proposing it. It sets Now, Windows, CountWindows, IsInTurn,
// MinNotice and ClockMargin of the input; the input's contracts must be those of its PolicyVersion. The error
// is that of maintenance.Plan.
func (s *Adapter) Plan(now fleet.ClockReading, request maintenance.WindowRequest,
	input maintenance.PlanInput,
) (*maintenance.Window, error) {
	input.Now, input.Windows, input.CountWindows = now.Unix, s.openWindows(), s.machine.CountWindows
	input.MinNotice, input.ClockMargin = s.settings.MinNotice, s.settings.ClockMargin
	if turns := maintenance.Turns(s.settings.Groups); turns > 0 {
		input.IsInTurn = func(server maintenance.Server, from, to time.Duration) bool {
			return turns.Covers(server.ID, server.Zone, from, to)
		}
	}
	return maintenance.Plan(request, input)
}

// ErrPolicyChanged means that a policy version newer than the one that this agent acts on was activated.
var ErrPolicyChanged = errors.New("window: a newer policy is taking effect; try again in a moment")

// EncodeProposal plans a request and returns the record that proposes the window, and the window. The error
// is ErrPolicyChanged, that of maintenance.Plan, or wraps maintenance.ErrInvalidWindow.
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

// EncodeStop returns the record by which a window returns at once, or is ended if it has not begun.
func (s *Adapter) EncodeStop(now fleet.ClockReading, id, reason string) []byte {
	return maintenance.EncodeStop(id, s.settings.Self, now.Unix, reason)
}

func (s *Adapter) openWindows() []*maintenance.Window {
	return slices.DeleteFunc(s.machine.Windows(), func(w *maintenance.Window) bool {
		return w.State == maintenance.Ended || w.State == maintenance.Stopped
	})
}
