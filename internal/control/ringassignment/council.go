package ringassignment

import (
	"time"

	"dunestep/internal/fleet/lease"
)

// Proposer proposes generations. Each voter has one; the leader's does. Whoever becomes leader goes on from
// the log, and from when it applied the present generation itself.
type Proposer struct {
	params    Parameters
	state     State
	appliedAt lease.ClockReading // when the present generation was
	tracker   ViewTracker
	servers   []ObservedServer
	viewedAt  lease.ClockReading
	hasView   bool // a view was taken

	holders      holders
	members      []int
	membership   uint64
	membersSince lease.ClockReading // since when these are the members
	membersKnown bool               // members are
	reports      map[int]Mark

	paceReports      paceReports
	changeSince      time.Duration // since when there is a change to propose, by the steady clock; zero: none
	minorChangeSince time.Duration // since when there is one that moves nothing
	nextLook         time.Duration // not before, but for a new view or generation: there was nothing to do
	retryAt          time.Duration
}

// NewProposer returns a Proposer of a process that begins now: the present generation counts as applied now.
func NewProposer(f Parameters, now lease.ClockReading) *Proposer {
	f = f.WithDefaults()
	return &Proposer{params: f, appliedAt: now, holders: holders{terms: f.Terms, startedAt: now, agents: map[int][]holder{}}}
}

// Learn takes what the log says now, as soon as records were applied.
func (c *Proposer) Learn(now lease.ClockReading, m *StateMachine) {
	if n := m.state.Number; n != c.state.Number {
		c.appliedAt, c.retryAt, c.nextLook, c.changeSince, c.minorChangeSince = now, 0, 0, 0, 0
	}
	c.state = m.state
}

// SetView takes what this agent sees, at least every few seconds and on each change.
func (c *Proposer) SetView(now lease.ClockReading, v View) {
	c.servers, c.viewedAt, c.hasView, c.nextLook = c.tracker.Update(v), now, true, 0
}

// PaceReportReceived takes what an agent tells of the kinds of servers; false: it is no EncodePaceReport, or paces do not count here.
func (c *Proposer) PaceReportReceived(now lease.ClockReading, from int, word []byte) bool {
	return c.params.UsePaces && c.paceReports.add(from, word, now.Mono)
}

// recheckInterval is after how long the council looks again whether there is something to propose.
const recheckInterval = 100 * time.Millisecond

// idleRecheckInterval is after how long where there was nothing, and no new view has come: a look at 600 servers takes
// some milliseconds.
const idleRecheckInterval = time.Second

// Due returns what this voter is to propose if it leads, and when to ask again at the latest, by the steady
// clock. Where it wrongly believes that it leads nothing is broken.
func (c *Proposer) Due(now lease.ClockReading) (records [][]byte, next time.Duration) {
	next = now.Mono + recheckInterval
	if now.Mono < c.retryAt {
		return nil, c.retryAt
	}
	if now.Mono < c.nextLook || !c.mayPropose(now) {
		return nil, next
	}
	change, is := NextChange(c.state, c.servers, c.params, now.Unix)
	if c.params.UsePaces && c.state.Number > 0 && !c.state.Suspended && !change.Suspend {
		change.Paces = c.paceReports.agreedPaces(c.state, now, c.servers)
	}
	if !is && len(change.Paces) == 0 {
		c.changeSince, c.minorChangeSince, c.nextLook = 0, 0, now.Mono+idleRecheckInterval
		return nil, next
	}
	if !c.isDue(now, change) {
		return nil, next
	}
	c.retryAt = now.Mono + proposeRetryInterval
	return [][]byte{change.Encode()}, c.retryAt
}

// proposeRetryInterval is after how long what was proposed and is not in the log is made anew.
const proposeRetryInterval = time.Second

// may tells whether the next generation may be proposed: none that holds a lease goes by the one before the
// present any more, and what this agent sees is fresh.
func (c *Proposer) mayPropose(now lease.ClockReading) bool {
	return c.hasView && now.Since(c.viewedAt) < c.params.MaxViewAge && now.Unix >= c.state.EffectiveAt+2*c.params.Terms.MaxClockError &&
		(c.params.Terms.FencePassed(c.appliedAt, now) || c.allReported(now))
}

// ripe has what comes together be one generation, and what moves nothing wait for others. What is in no hurry
// waits for the fence.
func (c *Proposer) isDue(now lease.ClockReading, change Change) bool {
	since, wait := &c.changeSince, c.params.GatherTime
	if !change.MovesKeys && !change.Suspend && len(change.Paces) == 0 {
		since, wait = &c.minorChangeSince, c.params.BatchTime
	}
	if *since == 0 {
		*since = now.Mono
	}
	if !change.Urgent && !c.params.Terms.FencePassed(c.appliedAt, now) {
		return false
	}
	return now.Mono-*since >= wait
}

// PaceReporters is how many agents have told of late how quick they find the kinds of servers.
func (c *Proposer) PaceReporters(now lease.ClockReading) int {
	return c.paceReports.countFresh(now.Mono)
}
