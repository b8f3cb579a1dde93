package ringassignment

import (
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// Proposer proposes generations. Each voter has one, and the leader proposes what its own returns. A new
// leader continues from the log, and from when it applied the present generation itself.
type Proposer struct {
	params    Parameters
	state     State
	appliedAt lease.ClockReading // when the present generation was applied here

	tracker  ViewTracker
	servers  []ObservedServer
	viewedAt lease.ClockReading // valid if hasView
	hasView  bool

	holders      holders
	members      []int // the voters that may grant leases
	membership   uint64
	membersSince lease.ClockReading // valid if membersKnown
	membersKnown bool
	reports      map[int]Mark // by voter

	paceReports paceReports

	// All times from here on are by the monotonic clock.
	changeSince      time.Duration // since when there is a change that moves keys; zero: none
	minorChangeSince time.Duration // since when there is another change; zero: none
	nextLook         time.Duration // unless a view or a generation comes before: there was nothing to do
	retryAt          time.Duration // until then the last proposal may be on its way
}

const (
	// recheckInterval is how often the proposer checks whether there is something to propose.
	recheckInterval = 100 * time.Millisecond
	// idleRecheckInterval is how often where there was nothing and no new view has come: a check of 600 servers
	// takes some milliseconds.
	idleRecheckInterval = time.Second
	// proposeRetryInterval is how long after it was proposed a change that is not in the log is made anew.
	proposeRetryInterval = time.Second
)

// NewProposer returns a Proposer of a process that begins now. The present generation counts as applied now.
func NewProposer(params Parameters, now lease.ClockReading) *Proposer {
	params = params.WithDefaults()
	return &Proposer{
		params: params, appliedAt: now,
		holders: holders{terms: params.Terms, startedAt: now, agents: map[int][]holder{}},
	}
}

// Learn takes the present state as soon as records were applied.
func (p *Proposer) Learn(now lease.ClockReading, m *StateMachine) {
	if n := m.state.Number; n != p.state.Number {
		p.appliedAt, p.retryAt, p.nextLook, p.changeSince, p.minorChangeSince = now, 0, 0, 0, 0
	}
	p.state = m.state
}

// SetView takes what this agent sees. It is to be called at least every few seconds, and on each change.
func (p *Proposer) SetView(now lease.ClockReading, v View) {
	p.servers, p.viewedAt, p.hasView, p.nextLook = p.tracker.Update(v), now, true, 0
}

// SetMembers takes which voters may grant leases, and any number that changes with each of them. While those
// that were voters before may have granted leases that hold, only the fence counts.
func (p *Proposer) SetMembers(now lease.ClockReading, members []int, membership uint64) {
	if p.membersKnown && p.membership == membership && slices.Equal(p.members, members) {
		return
	}
	p.members, p.membership, p.membersSince, p.membersKnown = slices.Clone(members), membership, now, true
	p.reports = map[int]Mark{}
}

// LeaseGranted notes that this voter grants a lease now.
func (p *Proposer) LeaseGranted(now lease.ClockReading, agent int, incarnation uint64) {
	p.holders.leaseGranted(now, agent, incarnation)
}

// MarkReceived takes which generation an agent's process has applied.
func (p *Proposer) MarkReceived(now lease.ClockReading, agent int, incarnation uint64, m Mark) {
	p.holders.markReceived(now, agent, incarnation, m)
}

// Report is what this voter reports to the others: that all that hold its leases have applied the present
// generation. False: there is nothing to report, as not all have, or the fence has passed.
func (p *Proposer) Report(now lease.ClockReading) (m Mark, due bool) {
	m = p.state.mark()
	return m, p.state.Number > 0 && !p.params.Terms.FencePassed(p.appliedAt, now) &&
		p.holders.allApplied(now, p.appliedAt, m)
}

// ReportReceived takes another voter's report.
func (p *Proposer) ReportReceived(voter int, m Mark) {
	if slices.Contains(p.members, voter) && m.covers(p.reports[voter]) {
		p.reports[voter] = m
	}
}

// PaceReportReceived takes an agent's pace report; false: it is none, or paces do not count here.
func (p *Proposer) PaceReportReceived(now lease.ClockReading, from int, report []byte) bool {
	return p.params.UsePaces && p.paceReports.add(from, report, now.Mono)
}

// PaceReporters is how many agents have lately sent pace reports.
func (p *Proposer) PaceReporters(now lease.ClockReading) int {
	return p.paceReports.countFresh(now.Mono)
}

// Due returns what this voter is to propose if it leads, and the latest time at which to call it again, by
// the monotonic clock. A voter that wrongly believes that it leads does no harm.
func (p *Proposer) Due(now lease.ClockReading) (records [][]byte, next time.Duration) {
	next = now.Mono + recheckInterval
	if now.Mono < p.retryAt {
		return nil, p.retryAt
	}
	if now.Mono < p.nextLook || !p.mayPropose(now) {
		return nil, next
	}
	change, found := NextChange(p.state, p.servers, p.params, now.Unix)
	if p.params.UsePaces && p.state.Number > 0 && !p.state.Suspended && !change.Suspend {
		change.Paces = p.paceReports.agreedPaces(p.state, now, p.servers)
	}
	if !found && len(change.Paces) == 0 {
		p.changeSince, p.minorChangeSince, p.nextLook = 0, 0, now.Mono+idleRecheckInterval
		return nil, next
	}
	if !p.isDue(now, change) {
		return nil, next
	}
	p.retryAt = now.Mono + proposeRetryInterval
	return [][]byte{change.Encode()}, p.retryAt
}

// mayPropose tells whether the next generation may be proposed.
func (p *Proposer) mayPropose(now lease.ClockReading) bool {
	terms := p.params.Terms
	switch {
	case !p.hasView || now.Since(p.viewedAt) >= p.params.MaxViewAge: // what this agent sees is not fresh
		return false
	case now.Unix < p.state.EffectiveAt+2*terms.MaxClockError: // the present one is not in use everywhere
		return false
	}
	// No lease holder uses the generation before the present one any more.
	return terms.FencePassed(p.appliedAt, now) || p.allReported(now)
}

// allReported tells whether all voters have reported the present generation.
func (p *Proposer) allReported(now lease.ClockReading) bool {
	if !p.membersKnown || len(p.members) == 0 || !p.params.Terms.FencePassed(p.membersSince, now) {
		return false
	}
	for _, v := range p.members {
		if m, reported := p.reports[v]; !reported || !m.covers(p.state.mark()) {
			return false
		}
	}
	return true
}

// isDue tells whether a change has waited for others for long enough. One that is not urgent waits for the
// fence too.
func (p *Proposer) isDue(now lease.ClockReading, change Change) bool {
	since, wait := &p.changeSince, p.params.GatherTime
	if !change.MovesKeys && !change.Suspend && len(change.Paces) == 0 {
		since, wait = &p.minorChangeSince, p.params.BatchTime
	}
	if *since == 0 {
		*since = now.Mono
	}
	if !change.Urgent && !p.params.Terms.FencePassed(p.appliedAt, now) {
		return false
	}
	return now.Mono-*since >= wait
}
