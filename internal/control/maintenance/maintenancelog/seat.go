// Package maintenancelog gives package window its place above a fleet.Node: it is the machine of the log's records that
// are about windows, says what to keep off, and brings windows through their course where its voter leads.
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

// Adapter is one process's. It is called by its node alone, as a fleet.StateMachine and as fleet.Application; Exclusions, EncodeProposal
// and the others from where the node is called.
type Adapter struct {
	settings Settings
	machine  *maintenance.StateMachine
	agent    *maintenance.Agent
	proposer *maintenance.Proposer // nil: not a voter

	counts       []maintenance.TenantCounts
	overloaded   bool
	reportNumber uint64
	reportAt     time.Duration
}

// Settings are one agent's.
type Settings struct {
	Self          int
	IsVoter       bool
	Incarnation   uint64 // the node's
	MachineNumber uint8  // its number in records
	Times         policy.Times
	Turns         int // the same at all agents; zero: none
	// MaxInFlight is the longest that a request may still be on its way, 30 s; ClockMargin what is waited for beside, 10
	// s; MinNotice the least one of a window, maintenance.MinNotice: see maintenance.Proposal.
	MaxInFlight, ClockMargin, MinNotice time.Duration
	// InForce is the newest version of the policy that was activated, by the records applied so far: the
	// policy's seat is to be a machine before this one.
	InForce func() uint64
	// View is what this process sees now; asked at a voter that leads, while there are windows.
	View func(now fleet.ClockReading) maintenance.LeaderView
}

// New returns the seat of a process that starts.
func New(set Settings, now fleet.ClockReading) *Adapter {
	s := &Adapter{settings: set, machine: maintenance.NewStateMachine(set.InForce)}
	s.start(now)
	return s
}

func (s *Adapter) start(now fleet.ClockReading) {
	s.agent = maintenance.NewAgent(s.settings.Turns)
	if s.settings.IsVoter {
		s.proposer = maintenance.NewProposer(maintenance.ProposerSettings{
			Times: s.settings.Times, MaxInFlight: s.settings.MaxInFlight,
			ClockMargin: s.settings.ClockMargin,
		}, now)
	}
}

// Apply implements fleet.StateMachine.
func (s *Adapter) Apply(seq uint64, data []byte) { s.machine.Apply(seq, data) }

// Snapshot implements fleet.StateMachine.
func (s *Adapter) Snapshot() []byte { return s.machine.Snapshot() }

// Restore implements fleet.StateMachine.
func (s *Adapter) Restore(data []byte) error { return s.machine.Restore(data) }

// RecordsApplied implements fleet.Application. Of a log that began anew, nothing of the former counts.
func (s *Adapter) RecordsApplied(now fleet.ClockReading, anew bool) {
	if anew {
		s.start(now)
	}
	s.agent.Learn(s.machine)
	if s.proposer != nil {
		s.proposer.Learn(now, s.machine)
	}
}

// LeaseNote implements fleet.Application: windows need none.
func (s *Adapter) LeaseNote() []byte { return nil }

// MayGrantLease implements fleet.Application: windows have no say in leases, but note who holds them.
func (s *Adapter) MayGrantLease(now fleet.ClockReading, agent int, _ uint64, _ []byte) bool {
	if s.proposer != nil {
		s.proposer.LeaseGranted(now, agent)
	}
	return true
}

// HandleMessage implements fleet.Application: a voter is told how an agent's requests fare. Nothing is answered.
func (s *Adapter) HandleMessage(now fleet.ClockReading, from int, data []byte) []byte {
	if s.proposer != nil {
		s.proposer.ReportReceived(now, from, data)
	}
	return nil
}

// HandleReply implements fleet.Application.
func (s *Adapter) HandleReply(fleet.ClockReading, int, []byte) {}

// NextActions implements fleet.Application. Nothing is sent while no window moves anything.
func (s *Adapter) NextActions(now fleet.ClockReading, v fleet.VoterState) (due fleet.Actions) {
	moves, next := s.machine.MovesTraffic(now.Unix)
	due.Next = now.Mono + min(max(next-now.Unix, maintenance.ReportInterval/4), time.Minute)
	if moves && now.Mono >= s.reportAt {
		s.reportNumber++
		data := maintenance.EncodeReport(s.settings.Incarnation, s.reportNumber, s.takeCounts(), s.overloaded)
		for _, voter := range v.Voters {
			due.Messages = append(due.Messages, fleet.Message{To: voter, Data: data})
		}
		s.reportAt = now.Mono + maintenance.ReportInterval
	}
	if moves {
		due.Next = min(due.Next, s.reportAt)
	}
	if s.proposer == nil || !v.IsLeader || s.proposer.IsIdle() {
		return due
	}
	records, again := s.proposer.Due(now, func() maintenance.LeaderView { return s.view(now) })
	for _, r := range records {
		due.Proposals = append(due.Proposals, fleet.Proposal{Machine: s.settings.MachineNumber, Data: r})
	}
	due.Next = min(due.Next, again)
	return due
}

func (s *Adapter) view(now fleet.ClockReading) maintenance.LeaderView {
	if s.settings.View == nil {
		return maintenance.LeaderView{}
	}
	return s.settings.View(now)
}

// taken are the counts of the tenants that windows move, which are told now.
func (s *Adapter) takeCounts() (counts []maintenance.TenantCounts) {
	counts, s.counts = s.counts, nil
	return counts
}

// Exclusions is what requests keep off now; all three are read for this decision. The same one while nothing
// changes; nil: nothing.
func (s *Adapter) Exclusions(now fleet.ClockReading, standing lease.Standing, acting policy.Active) *balancer.Exclusions {
	return s.agent.Exclusions(now, standing, acting)
}

// MovesTraffic tells whether a window moves something now, so that AddCounts are wanted.
func (s *Adapter) MovesTraffic(now fleet.ClockReading) bool {
	moves, _ := s.machine.MovesTraffic(now.Unix)
	return moves
}

// AddCounts takes how tenants' requests have fared since it was called last, and whether the storm gate is on.
// Those of tenants that no window moves are left out.
func (s *Adapter) AddCounts(now fleet.ClockReading, counts []maintenance.TenantCounts, storm bool) {
	s.overloaded = storm
	for _, c := range counts {
		if !s.machine.AffectsTenant(c.Tenant, now.Unix) {
			continue
		}
		i := slices.IndexFunc(s.counts, func(o maintenance.TenantCounts) bool { return o.Tenant == c.Tenant })
		if i < 0 && len(s.counts) < maintenance.MaxCounts {
			s.counts = append(s.counts, c)
		} else if i >= 0 {
			s.counts[i].Requests, s.counts[i].Served = s.counts[i].Requests+c.Requests, s.counts[i].Served+c.Served
			s.counts[i].Failed, s.counts[i].ExclusionOverrides = s.counts[i].Failed+c.Failed, s.counts[i].ExclusionOverrides+c.ExclusionOverrides
		}
	}
}

// Windows is the windows that are known, as they stand now; those that are over for a day. They are not to be
// changed.
func (s *Adapter) Windows(now fleet.ClockReading) []*maintenance.Window {
	all := s.machine.Windows()
	for _, w := range all {
		w.State = w.StateAt(now.Unix)
	}
	return all
}

// AgreedWindows are the same, in the states that were agreed, whatever the clock shows.
func (s *Adapter) AgreedWindows() []*maintenance.Window { return s.machine.Windows() }

// Revision is what the next ask is made from.
func (s *Adapter) Revision() uint64 { return s.machine.Revision() }

// Outcome is what is known of an ask.
func (s *Adapter) Outcome(id string) maintenance.Outcome { return s.machine.Outcome(id) }

// Outcomes are the asks that are remembered, the newest last.
func (s *Adapter) Outcomes() []maintenance.Outcome { return s.machine.Outcomes() }

// Plan is the window that an ask would be, by this agent's scene, in which it sets Now, Windows, Moved,
// Turn, MinNotice and ClockMargin; the contracts have to be those of the scene's Policy. The error is maintenance.Plan's.
func (s *Adapter) Plan(now fleet.ClockReading, ask maintenance.WindowRequest, scene maintenance.PlanInput) (*maintenance.Window, error) {
	scene.Now, scene.Windows, scene.CountWindows = now.Unix, s.openWindows(), s.machine.CountWindows
	scene.MinNotice, scene.ClockMargin = s.settings.MinNotice, s.settings.ClockMargin
	if turns := maintenance.Turns(s.settings.Turns); turns > 0 {
		scene.IsInTurn = func(n maintenance.Server, from, to time.Duration) bool {
			return turns.Covers(n.ID, n.Zone, from, to)
		}
	}
	return maintenance.Plan(ask, scene)
}

// ErrPolicyChanged: a newer version of the policy was activated than the one that this agent acts on.
var ErrPolicyChanged = errors.New("window: a newer policy takes hold; ask again in a moment")

// EncodeProposal is what proposes an ask, as the window that it would be.
func (s *Adapter) EncodeProposal(now fleet.ClockReading, ask maintenance.WindowRequest, scene maintenance.PlanInput) ([]byte, *maintenance.Window, error) {
	if scene.PolicyVersion != s.settings.InForce() {
		return nil, nil, ErrPolicyChanged
	}
	w, err := s.Plan(now, ask, scene)
	if err != nil {
		return nil, nil, err
	}
	data, err := maintenance.EncodeProposal(maintenance.Proposal{
		Window: w, Agent: s.settings.Self, Now: now.Unix, PolicyVersion: scene.PolicyVersion,
		Revision: s.machine.Revision(), MinNotice: s.settings.MinNotice,
	})
	return data, w, err
}

// EncodeStop is what proposes that a window returns at once, or, before it has begun, is not to be.
func (s *Adapter) EncodeStop(now fleet.ClockReading, id, reason string) []byte {
	return maintenance.EncodeStop(id, s.settings.Self, now.Unix, reason)
}

func (s *Adapter) openWindows() []*maintenance.Window {
	return slices.DeleteFunc(s.machine.Windows(), func(w *maintenance.Window) bool {
		return w.State == maintenance.Ended || w.State == maintenance.Stopped
	})
}
