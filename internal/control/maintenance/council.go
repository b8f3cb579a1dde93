package maintenance

import (
	"slices"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// Proposer brings windows through their course. Each voter has one, and the leader proposes what its says;
// whoever becomes leader goes on from the log, and from when it applied things itself.
type Proposer struct {
	settings      ProposerSettings
	startedAt     lease.ClockReading
	windows       []*storedWindow
	progress      map[string]windowProgress
	reports       reportLog
	totalCapacity float64 // the most capacity that was listed while windows were known
	lastProposed  map[string]lastRecord
}

// ProposerSettings are the same at all voters.
type ProposerSettings struct {
	Times policy.Times
	// MaxInFlight is the longest that a request may still be on its way; 30 s.
	MaxInFlight time.Duration
	// ClockMargin is waited for beside, for clocks that differ; 10 s.
	ClockMargin time.Duration
}

// WithDefaults returns the settings with the defaults for what is zero.
func (s ProposerSettings) WithDefaults() ProposerSettings {
	s.Times = s.Times.WithDefaults()
	if s.MaxInFlight == 0 {
		s.MaxInFlight = 30 * time.Second
	}
	if s.ClockMargin == 0 {
		s.ClockMargin = 10 * time.Second
	}
	return s
}

// learnt is when a window was applied here, as it is now, and what has come of it since.
type windowProgress struct {
	changeCount  uint64
	appliedAt    lease.ClockReading
	fault        string
	overridden   bool               // the trouble is that no other server is left
	faultSince   lease.ClockReading // since when there has been some
	healthySince lease.ClockReading // since when there has been none
}

// proposed is what was proposed last: not again before a while.
type lastRecord struct {
	kind        recordKind
	changeCount uint64
	retryAt     time.Duration
}

// LeaderView is what the leader's own process sees.
type LeaderView struct {
	Standing   lease.Standing
	Active     policy.Active // by it
	InForce    uint64        // the newest version that was activated
	ChangeOpen bool          // a change of policy is open
	Servers    []Server      // its own list; those that are not ready are Absent, or left out
}

const (
	// proposeRetryInterval is after how long what was proposed and is not in the log is proposed again; recheckInterval how
	// often windows that move something are looked at, idleRecheckInterval the others.
	proposeRetryInterval = 200 * time.Millisecond
	recheckInterval      = 250 * time.Millisecond
	idleRecheckInterval  = 5 * time.Second
	// patience is for how long there may be trouble until a window returns, calmed how long there has to be none
	// until one that was paused goes on.
	maxFaultTime = 30 * time.Second
	recoveryTime = 10 * time.Second
	// restless is how often a window may change: one that is paused ever again returns.
	maxChanges = 24
)

// NewProposer returns the Proposer of a process that begins now.
func NewProposer(set ProposerSettings, now lease.ClockReading) *Proposer {
	set = set.WithDefaults()
	return &Proposer{
		settings: set, startedAt: now, progress: map[string]windowProgress{}, lastProposed: map[string]lastRecord{},
		reports: reportLog{
			agents: map[int][]receivedReport{}, leases: map[int]lease.ClockReading{},
			leaseLength: set.Times.Terms.Duration,
		},
	}
}

// Learn takes what the log says now, as soon as records were applied, by any voter.
func (c *Proposer) Learn(now lease.ClockReading, m *StateMachine) {
	c.windows = m.state.Windows
	known := map[string]windowProgress{}
	for _, f := range c.windows {
		l, was := c.progress[f.ID]
		if !was || l.changeCount != f.ChangeCount {
			l.changeCount, l.appliedAt = f.ChangeCount, now
		}
		known[f.ID] = l
	}
	c.progress = known
	for id := range c.lastProposed {
		if _, is := known[id]; !is {
			delete(c.lastProposed, id)
		}
	}
	if len(known) == 0 {
		c.totalCapacity = 0
	}
}

// ReportReceived takes what an agent told.
func (c *Proposer) ReportReceived(now lease.ClockReading, agent int, data []byte) {
	c.reports.add(now, agent, data)
}

// LeaseGranted takes that this voter has granted an agent a lease.
func (c *Proposer) LeaseGranted(now lease.ClockReading, agent int) {
	if !c.IsIdle() {
		c.reports.leaseGranted(now, agent)
	}
}

// IsIdle tells whether no window is ahead or under way.
func (c *Proposer) IsIdle() bool {
	return !slices.ContainsFunc(c.windows, func(f *storedWindow) bool { return !f.isOver() })
}

// Due returns what the leader is to propose to the log, and when to ask again at the latest, by the steady
// clock. See is asked only where there are windows.
func (c *Proposer) Due(now lease.ClockReading, see func() LeaderView) (records [][]byte, next time.Duration) {
	if c.IsIdle() {
		return nil, now.Mono + idleRecheckInterval
	}
	next = now.Mono + idleRecheckInterval
	c.reports.dropExpired(now)
	v := see()
	c.totalCapacity = max(c.totalCapacity, sumCapacity(v.Servers))
	for _, f := range c.windows {
		if f.isOver() {
			continue
		}
		if now.Unix >= f.From-idleRecheckInterval {
			next = min(next, now.Mono+recheckInterval)
		}
		if r, is := c.nextRecord(now, v, f); is {
			if data := c.encodeOnce(now, f, r); data != nil {
				records = append(records, data)
			}
			next = min(next, now.Mono+proposeRetryInterval)
		}
	}
	return records, next
}

// once gives the record, unless it may be on its way.
func (c *Proposer) encodeOnce(now lease.ClockReading, f *storedWindow, r record) []byte {
	p := lastRecord{kind: r.Kind, changeCount: f.ChangeCount}
	if was := c.lastProposed[f.ID]; was.kind == p.kind && was.changeCount == p.changeCount && now.Mono < was.retryAt {
		return nil
	}
	p.retryAt = now.Mono + proposeRetryInterval
	c.lastProposed[f.ID] = p
	r.ID, r.ChangeCount = f.ID, f.ChangeCount
	return marshal(r)
}

// step is what is to become of a window next; is false: nothing yet.
func (c *Proposer) nextRecord(now lease.ClockReading, v LeaderView, f *storedWindow) (r record, is bool) {
	l := c.progress[f.ID]
	r.Now = now.Unix
	switch {
	case f.ConfirmedAt == 0:
		r.Kind, r.Now = kindConfirmed, l.appliedAt.Unix
		return r, true
	case now.Unix >= f.To+c.settings.ClockMargin, f.State == Returning && f.movedSteps(now.Unix) == 0:
		r.Kind = kindEnded
		return r, now.Unix >= f.To || now.Unix >= f.StateSince+c.settings.ClockMargin
	}
	if reason := c.contractViolation(now.Unix, v, f); reason != "" && f.State != Returning {
		r.Kind, r.Reason = kindReturned, reason
		return r, true
	}
	if now.Unix < f.From || now.Unix >= f.ReturnFrom || f.State == Returning {
		return r, false
	}
	c.observe(now, v, f, &l)
	c.progress[f.ID] = l
	return c.nextInProgress(now, v, f, l, r)
}

// under is what is to become of one that is under way.
func (c *Proposer) nextInProgress(now lease.ClockReading, v LeaderView, f *storedWindow, l windowProgress, r record) (record, bool) {
	switch {
	case l.overridden && f.State == Free:
		r.Kind, r.Reason = kindReturned, l.fault // it is not true any more
	case l.fault != "" && (f.ChangeCount >= maxChanges || minElapsed(l.faultSince, now) >= maxFaultTime && f.State != Planned):
		r.Kind, r.Reason = kindReturned, l.fault
	case l.fault != "" && f.State == Planned && f.plannedSteps(now.Unix) > 0:
		r.Kind, r.Reason = kindPaused, l.fault
	case l.fault == "" && f.State == Paused && minElapsed(l.healthySince, now) >= recoveryTime:
		r.Kind = kindResumed
	case l.fault == "" && f.State == Planned && c.isTrafficFree(now, v, f, l):
		r.Kind = kindTrafficFree
	default:
		return r, false
	}
	return r, true
}

// forbidden tells why a contract does not allow the rest of a window any more; empty: all do.
func (c *Proposer) contractViolation(at time.Duration, v LeaderView, f *storedWindow) string {
	if v.Standing != lease.Full || v.Active.Mode == policy.ModeBottom || v.Active.Version < f.PolicyVersion ||
		v.Active.Effect == nil || v.Active.Mode == policy.ModeFloor && v.Active.Effect.Contracts == nil {
		return "" // not known here
	}
	at = max(at, f.From)
	for _, t := range f.Tenants {
		k := v.Active.Effect.Contracts[t]
		if k == nil {
			return "tenant " + t + " has no contract any more"
		}
		if _, to, ok := k.RunAt(at); at < f.To && (!ok || to < f.To) {
			return "the contract of tenant " + t + " does not allow it any more"
		}
	}
	return ""
}

// look notes whether there is trouble, and since when.
func (c *Proposer) observe(now lease.ClockReading, v LeaderView, f *storedWindow, l *windowProgress) {
	was := l.fault
	l.fault, l.overridden = c.findFault(now, v, f), false
	if c.exclusionsOverridden(f) {
		l.fault, l.overridden = "requests were sent there, as no other server was left", true
	}
	if l.fault != "" && was == "" {
		l.faultSince = now
	}
	if l.fault == "" && (was != "" || l.healthySince == (lease.ClockReading{})) {
		l.healthySince = now
	}
}

// trouble tells what is wrong while a window is under way; empty: nothing.
func (c *Proposer) findFault(now lease.ClockReading, v LeaderView, f *storedWindow) string {
	if len(c.reports.agents) > 0 && c.reports.isOverloaded() {
		return "a storm"
	}
	for _, t := range f.Tenants {
		var least, keep float64
		if v.Active.Effect != nil && v.Active.Effect.Contracts[t] != nil {
			least, keep = v.Active.Effect.Contracts[t].MinServed(), v.Active.Effect.Contracts[t].KeptCapacity()
		}
		if s := c.reports.sum(t); s.Requests >= minRequests && float64(s.Served) < least*float64(s.Served+s.Failed) {
			return "tenant " + t + " is served less than its contract keeps"
		}
		if left := c.remainingCapacity(now.Unix, v, t); left < keep*c.totalCapacity*(1-1e-9) {
			return "less capacity remains for tenant " + t + " than its contract keeps"
		}
	}
	return ""
}

// capacity is the fleet's, what is not ready with it.
func sumCapacity(nodes []Server) (sum float64) {
	for _, n := range nodes {
		sum += n.Capacity
	}
	return sum
}

// left is the capacity that a tenant has, without nodes that a window holds.
func (c *Proposer) remainingCapacity(at time.Duration, v LeaderView, tenant string) (sum float64) {
	held := map[string]bool{}
	for _, f := range c.windows {
		if !f.isOver() && f.plannedSteps(at) > 0 && slices.Contains(f.Tenants, tenant) {
			for _, n := range f.Nodes {
				held[n] = true
			}
		}
	}
	for _, n := range v.Servers {
		if !held[n.ID] && !n.Absent {
			sum += n.Capacity
		}
	}
	return sum
}

// clear tells whether no request of its tenants can arrive at the nodes any more.
//
// AllTenants has been moved, by the clock, for longer than clocks differ and a request may be on its way. An agent
// with a lease knows what has been agreed since the fence, so also that a paused window went on; one without
// goes by the plan, and knows the window, as it was noted long before; one at the bottom keeps off by turns.
// So nobody needs to be asked. But an agent of a build that knows no windows does none of it: it is found by
// its leases, as it tells nothing.
func (c *Proposer) isTrafficFree(now lease.ClockReading, v LeaderView, f *storedWindow, l windowProgress) bool {
	full, ok := f.fullyMovedAt()
	if !ok || now.Unix < full+c.settings.ClockMargin+c.settings.MaxInFlight {
		return false
	}
	if minElapsed(l.appliedAt, now) < c.settings.Times.Terms.FenceWait()+c.settings.MaxInFlight {
		return false
	}
	if v.Standing != lease.Full || v.Active.Mode != policy.ModeFull || v.ChangeOpen || v.Active.Version != v.InForce ||
		!c.reports.isComplete(now) {
		return false
	}
	_, strange := c.reports.silentHolder(now)
	return !strange && !c.exclusionsOverridden(f)
}

// first tells whether serving went first of late.
func (c *Proposer) exclusionsOverridden(f *storedWindow) bool {
	return slices.ContainsFunc(f.Tenants, func(t string) bool { return c.reports.sum(t).ExclusionOverrides > 0 })
}
