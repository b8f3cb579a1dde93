package maintenance

import (
	"slices"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// Proposer brings windows through their course. Each voter has one, and the leader proposes what its own
// returns. A new leader continues from the log, and from when it applied records itself.
type Proposer struct {
	settings      ProposerSettings
	windows       []*storedWindow
	progress      map[string]windowProgress // by window
	reports       reportLog
	totalCapacity float64               // the most capacity that was listed while windows were known
	lastProposed  map[string]lastRecord // by window
}

// ProposerSettings are the same at all voters; zero values stand for the defaults.
type ProposerSettings struct {
	Times policy.Times
	// MaxInFlight is the longest that a request may be in flight; 30 s.
	MaxInFlight time.Duration
	// ClockMargin is added to waits, for clocks that differ; 10 s.
	ClockMargin time.Duration
}

// WithDefaults returns the settings with the defaults in place of zero values.
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

// windowProgress is when a window's present state was applied here, and what was observed since.
type windowProgress struct {
	changeCount  uint64 // the window's
	appliedAt    lease.ClockReading
	fault        Fault
	faultSince   lease.ClockReading // valid while there is a fault
	healthySince lease.ClockReading // zero: not observed yet
}

// lastRecord is what was proposed last for a window; it is not proposed again before retryAt.
type lastRecord struct {
	kind        recordKind
	changeCount uint64
	retryAt     time.Duration // by the monotonic clock
}

// LeaderView is what the leader's own process sees.
type LeaderView struct {
	Standing   lease.Standing
	Active     policy.Active // by that standing
	InForce    uint64        // the newest version of the policy that was activated
	ChangeOpen bool          // a change of policy is open
	Servers    []Server      // its own endpoint list; servers that are not ready are Absent, or left out
}

const (
	// proposeRetryInterval is how long after it was proposed a record that is not in the log is proposed again.
	proposeRetryInterval = 200 * time.Millisecond
	// recheckInterval is how often windows that move traffic are checked.
	recheckInterval = 250 * time.Millisecond
	// idleRecheckInterval is how often the others are.
	idleRecheckInterval = 5 * time.Second
	// maxFaultTime is how long a fault may last before the window returns.
	maxFaultTime = 30 * time.Second
	// recoveryTime is how long there has to be no fault before a paused window is resumed.
	recoveryTime = 10 * time.Second
	// maxChanges is how often a window may change: one that is paused again and again returns.
	maxChanges = 24
)

// NewProposer returns the Proposer of a process that begins now.
func NewProposer(settings ProposerSettings) *Proposer {
	settings = settings.WithDefaults()
	return &Proposer{
		settings: settings, progress: map[string]windowProgress{}, lastProposed: map[string]lastRecord{},
		reports: newReportLog(settings.Times.Terms.Duration),
	}
}

// Learn takes the present state as soon as records were applied, at any voter.
func (p *Proposer) Learn(now lease.ClockReading, m *StateMachine) {
	p.windows = m.state.Windows
	progress := map[string]windowProgress{}
	for _, w := range p.windows {
		known, found := p.progress[w.ID]
		if !found || known.changeCount != w.ChangeCount {
			known.changeCount, known.appliedAt = w.ChangeCount, now
		}
		progress[w.ID] = known
	}
	p.progress = progress
	for id := range p.lastProposed {
		if _, found := progress[id]; !found {
			delete(p.lastProposed, id)
		}
	}
	if len(progress) == 0 {
		p.totalCapacity = 0
	}
}

// ReportReceived takes an agent's report; see EncodeReport. Bytes that are not a report are ignored.
func (p *Proposer) ReportReceived(now lease.ClockReading, agent int, data []byte) {
	p.reports.add(now, agent, data)
}

// LeaseGranted notes that this voter has granted an agent a lease.
func (p *Proposer) LeaseGranted(now lease.ClockReading, agent int) {
	if !p.IsIdle() {
		p.reports.leaseGranted(now, agent)
	}
}

// IsIdle tells whether no window is ahead or in progress.
func (p *Proposer) IsIdle() bool {
	return !slices.ContainsFunc(p.windows, func(w *storedWindow) bool { return !w.isOver() })
}

// Due returns what the leader is to propose to the log, and the latest time at which to call it again, by the
// monotonic clock. View is called only where there are windows.
func (p *Proposer) Due(now lease.ClockReading, view func() LeaderView) (records [][]byte,
	next time.Duration,
) {
	if p.IsIdle() {
		return nil, now.Mono + idleRecheckInterval
	}
	next = now.Mono + idleRecheckInterval
	p.reports.dropExpired(now)
	v := view()
	p.totalCapacity = max(p.totalCapacity, sumCapacity(v.Servers))
	for _, w := range p.windows {
		if w.isOver() {
			continue
		}
		if now.Unix >= w.From-idleRecheckInterval {
			next = min(next, now.Mono+recheckInterval)
		}
		if r, due := p.nextRecord(now, v, w); due {
			if data := p.encodeOnce(now, w, r); data != nil {
				records = append(records, data)
			}
			next = min(next, now.Mono+proposeRetryInterval)
		}
	}
	return records, next
}

// encodeOnce encodes a record about a window; nil while the same may be on its way.
func (p *Proposer) encodeOnce(now lease.ClockReading, w *storedWindow, r record) []byte {
	proposed := lastRecord{kind: r.Kind, changeCount: w.ChangeCount}
	last := p.lastProposed[w.ID]
	if last.kind == proposed.kind && last.changeCount == proposed.changeCount && now.Mono < last.retryAt {
		return nil
	}
	proposed.retryAt = now.Mono + proposeRetryInterval
	p.lastProposed[w.ID] = proposed
	r.ID, r.ChangeCount = w.ID, w.ChangeCount
	return marshal(r)
}

// nextRecord is what is to become of a window next; false: nothing yet.
func (p *Proposer) nextRecord(now lease.ClockReading, v LeaderView, w *storedWindow) (r record, due bool) {
	progress := p.progress[w.ID]
	r.Now = now.Unix
	switch {
	case w.ConfirmedAt == 0:
		r.Kind, r.Now = kindConfirmed, progress.appliedAt.Unix
		return r, true
	case now.Unix >= w.To+p.settings.ClockMargin, w.State == Returning && w.movedSteps(now.Unix) == 0:
		r.Kind = kindEnded
		return r, now.Unix >= w.To || now.Unix >= w.StateSince+p.settings.ClockMargin
	}
	if fault := contractFault(now.Unix, v, w); fault.Kind != NoFault && w.State != Returning {
		r.Kind, r.Reason = kindReturned, fault.String()
		return r, true
	}
	if now.Unix < w.From || now.Unix >= w.ReturnFrom || w.State == Returning {
		return r, false
	}
	p.observe(now, v, w, &progress)
	p.progress[w.ID] = progress
	return p.nextInProgress(now, v, w, progress, r)
}

// nextInProgress is what is to become next of a window that is in progress.
func (p *Proposer) nextInProgress(now lease.ClockReading, v LeaderView, w *storedWindow,
	progress windowProgress, r record,
) (record, bool) {
	fault := progress.fault
	healthy := fault.Kind == NoFault
	lasts := !healthy && minElapsed(progress.faultSince, now) >= maxFaultTime
	recovered := healthy && minElapsed(progress.healthySince, now) >= recoveryTime
	switch {
	case fault.Kind == ExclusionsOverridden && w.State == Free: // the servers are not free any more
		r.Kind, r.Reason = kindReturned, fault.String()
	case !healthy && w.ChangeCount >= maxChanges, lasts && w.State != Planned:
		r.Kind, r.Reason = kindReturned, fault.String()
	case !healthy && w.State == Planned && w.plannedSteps(now.Unix) > 0:
		r.Kind, r.Reason = kindPaused, fault.String()
	case recovered && w.State == Paused:
		r.Kind = kindResumed
	case healthy && w.State == Planned && p.isTrafficFree(now, v, w, progress):
		r.Kind = kindTrafficFree
	default:
		return r, false
	}
	return r, true
}

// isTrafficFree tells whether no request of the window's tenants can arrive at its servers any more.
//
// All keys have been moved, by the clock, for longer than clocks differ and a request may be in flight. An
// agent with a lease knows what was agreed up to the fence, so also that a paused window was resumed. An
// agent without one follows the plan, and knows the window, which was confirmed long before; one at
// policy.ModeBottom keeps off by turns. So nobody needs to be asked. But an agent of a build that knows no
// windows does none of this: it is found by the leases that it is granted while it sends no reports.
func (p *Proposer) isTrafficFree(now lease.ClockReading, v LeaderView, w *storedWindow,
	progress windowProgress,
) bool {
	movedAt, ok := w.fullyMovedAt()
	switch {
	case !ok || now.Unix < movedAt+p.settings.ClockMargin+p.settings.MaxInFlight:
		return false
	case minElapsed(progress.appliedAt, now) < p.settings.Times.Terms.FenceWait()+p.settings.MaxInFlight:
		return false
	case v.Standing != lease.Full || v.Active.Mode != policy.ModeFull:
		return false
	case v.ChangeOpen || v.Active.Version != v.InForce:
		return false
	case !p.reports.isComplete(now) || p.reports.hasSilentHolder(now):
		return false
	}
	return !p.areExclusionsOverridden(w)
}
