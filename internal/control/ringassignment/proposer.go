package ringassignment

import (
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// Proposer decides when the next generation is proposed. Each voter has a Proposer, and the leader proposes
// the records that its Proposer returns. A new leader continues from the log, and from the time at which it
// applied the current generation itself.
type Proposer struct {
	params    Parameters
	state     State
	appliedAt lease.ClockReading // when the current generation was applied here

	tracker  ViewTracker
	servers  []ObservedServer
	viewedAt lease.ClockReading // valid if hasView
	hasView  bool

	holders      holders
	members      []int              // the voters that may grant leases
	membership   uint64             // see SetMembers
	membersSince lease.ClockReading // valid if membersKnown
	membersKnown bool
	reports      map[int]GenerationID // by voter: generation that all holders of its leases have applied

	paceReports paceReports

	// The following times are by the monotonic clock.
	changeSince      time.Duration // when a change that moves keys was first found; zero if none is pending
	minorChangeSince time.Duration // when another change was first found; zero if none is pending
	nextCheckAt      time.Duration // next check, unless a new view or generation arrives earlier
	retryAt          time.Duration // when the last proposal may be made again
}

const (
	// recheckInterval is the interval between checks for changes to propose.
	recheckInterval = 100 * time.Millisecond
	// idleRecheckInterval is the interval between checks while there is nothing to propose and no new view has
	// arrived. It is longer because a check of 600 servers takes some milliseconds.
	idleRecheckInterval = time.Second
	// proposeRetryInterval is the time after which a new change is proposed if the last one is not in the log.
	proposeRetryInterval = time.Second
)

// NewProposer returns the Proposer of a process that starts now. The current generation counts as applied
// now.
func NewProposer(params Parameters, now lease.ClockReading) *Proposer {
	params = params.WithDefaults()
	return &Proposer{
		params: params, appliedAt: now,
		holders: holders{terms: params.Terms, startedAt: now, agents: map[int][]holder{}},
	}
}

// Learn updates the proposer with the current state. The caller calls it as soon as records were applied.
func (p *Proposer) Learn(now lease.ClockReading, m *StateMachine) {
	if n := m.state.Number; n != p.state.Number {
		p.appliedAt, p.retryAt, p.nextCheckAt, p.changeSince, p.minorChangeSince = now, 0, 0, 0, 0
	}
	p.state = m.state
}

// SetView sets this agent's view of the servers. The caller calls it at least every few seconds, and on each
// change of the view.
func (p *Proposer) SetView(now lease.ClockReading, v View) {
	p.servers, p.viewedAt, p.hasView, p.nextCheckAt = p.tracker.Update(v), now, true, 0
}

// SetMembers sets the voters that may grant leases. Membership is any number that changes whenever these
// voters change. After a change, the next generation waits for the fence until leases that the former voters
// may have granted have expired.
func (p *Proposer) SetMembers(now lease.ClockReading, members []int, membership uint64) {
	if p.membersKnown && p.membership == membership && slices.Equal(p.members, members) {
		return
	}
	p.members, p.membership, p.membersSince, p.membersKnown = slices.Clone(members), membership, now, true
	p.reports = map[int]GenerationID{}
}

// LeaseGranted records that this voter grants a lease now.
func (p *Proposer) LeaseGranted(now lease.ClockReading, agent int, incarnation uint64) {
	p.holders.leaseGranted(now, agent, incarnation)
}

// AppliedGenerationReceived records which generation an agent's process has applied.
func (p *Proposer) AppliedGenerationReceived(now lease.ClockReading, agent int, incarnation uint64,
	m GenerationID,
) {
	p.holders.appliedGenerationReceived(now, agent, incarnation, m)
}

// Report returns the current generation if all holders of this voter's leases have applied it, so that the
// voter can report that to the other voters. It returns false if there is nothing to report, because a holder
// has not applied it or the fence has passed.
func (p *Proposer) Report(now lease.ClockReading) (m GenerationID, due bool) {
	m = p.state.generationID()
	return m, p.state.Number > 0 && !p.params.Terms.FencePassed(p.appliedAt, now) &&
		p.holders.allApplied(now, p.appliedAt, m)
}

// ReportReceived records another voter's report.
func (p *Proposer) ReportReceived(voter int, m GenerationID) {
	if slices.Contains(p.members, voter) && m.covers(p.reports[voter]) {
		p.reports[voter] = m
	}
}

// PaceReportReceived records an agent's pace report. It returns false if the report is not valid, there are
// too many reporters, or Parameters.UsePaces is off.
func (p *Proposer) PaceReportReceived(now lease.ClockReading, from int, report []byte) bool {
	return p.params.UsePaces && p.paceReports.add(from, report, now.Mono)
}

// PaceReporters returns the number of agents with an unexpired pace report.
func (p *Proposer) PaceReporters(now lease.ClockReading) int {
	return p.paceReports.countFresh(now.Mono)
}

// Due returns the records that this voter has to propose as the leader, and the latest time of the next call,
// by the monotonic clock. Safety does not depend on the caller being the leader.
func (p *Proposer) Due(now lease.ClockReading) (records [][]byte, next time.Duration) {
	next = now.Mono + recheckInterval
	if now.Mono < p.retryAt {
		return nil, p.retryAt
	}
	if now.Mono < p.nextCheckAt || !p.mayPropose(now) {
		return nil, next
	}
	change, found := NextChange(p.state, p.servers, p.params, now.Unix)
	if p.params.UsePaces && p.state.Number > 0 && !p.state.Suspended && !change.Suspend {
		change.Paces = p.paceReports.agreedPaces(p.state, now, p.servers)
	}
	if !found && len(change.Paces) == 0 {
		p.changeSince, p.minorChangeSince, p.nextCheckAt = 0, 0, now.Mono+idleRecheckInterval
		return nil, next
	}
	if !p.isDue(now, change) {
		return nil, next
	}
	p.retryAt = now.Mono + proposeRetryInterval
	return [][]byte{change.Encode()}, p.retryAt
}

// mayPropose reports whether the next generation may be proposed now.
func (p *Proposer) mayPropose(now lease.ClockReading) bool {
	terms := p.params.Terms
	switch {
	case !p.hasView || now.Since(p.viewedAt) >= p.params.MaxViewAge: // no recent view
		return false
	case now.Unix < p.state.EffectiveAt+2*terms.MaxClockError: // not in effect by every clock
		return false
	}
	// In both cases no lease holder uses the previous generation any more.
	return terms.FencePassed(p.appliedAt, now) || p.allReported(now)
}

// allReported reports whether all voters have reported that the holders of their leases have applied the
// current generation. It returns false while such reports do not count; see SetMembers.
func (p *Proposer) allReported(now lease.ClockReading) bool {
	if !p.membersKnown || len(p.members) == 0 || !p.params.Terms.FencePassed(p.membersSince, now) {
		return false
	}
	for _, v := range p.members {
		if m, reported := p.reports[v]; !reported || !m.covers(p.state.generationID()) {
			return false
		}
	}
	return true
}

// isDue reports whether a change has waited long enough for other changes to join it. A change that is not
// urgent also waits for the fence.
func (p *Proposer) isDue(now lease.ClockReading, change Change) bool {
	foundAt, wait := &p.changeSince, p.params.GatherTime
	if !change.MovesKeys && !change.Suspend && len(change.Paces) == 0 {
		foundAt, wait = &p.minorChangeSince, p.params.BatchTime
	}
	if *foundAt == 0 {
		*foundAt = now.Mono
	}
	if !change.Urgent && !p.params.Terms.FencePassed(p.appliedAt, now) {
		return false
	}
	return now.Mono-*foundAt >= wait
}
