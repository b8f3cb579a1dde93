package maintenance

import (
	"slices"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// Proposer decides which records change the state of accepted windows. Each voter has one, and the leader
// proposes the records that its own Proposer returns. A new leader continues from the state in the log and
// from the times at which it applied the records itself.
type Proposer struct {
	settings      ProposerSettings
	windows       []*storedWindow
	progress      map[string]windowProgress // by window
	reports       reportLog
	totalCapacity float64               // maximum listed capacity since windows have been known
	lastProposed  map[string]lastRecord // by window
}

// ProposerSettings must be the same at all voters; zero values mean the defaults.
type ProposerSettings struct {
	Times policy.Times
	// MaxInFlight is the maximum time for which a request is in flight; default 30 s.
	MaxInFlight time.Duration
	// ClockMargin is added to waits because clocks differ; default 10 s.
	ClockMargin time.Duration
}

// WithDefaults returns the settings with zero values replaced by the defaults.
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

// windowProgress has when this voter applied a window's present state, and what it has observed since.
type windowProgress struct {
	changeCount  uint64 // ChangeCount of the window's present state
	appliedAt    lease.ClockReading
	fault        Fault
	faultSince   lease.ClockReading // valid while there is a fault
	healthySince lease.ClockReading // valid while there is no fault; zero: not observed yet
}

// lastRecord identifies the last record proposed for a window. It is not proposed again before retryAt.
type lastRecord struct {
	kind        recordKind
	changeCount uint64
	retryAt     time.Duration // monotonic clock
}

// LeaderView is the local state of the leader's process that the Proposer depends on.
type LeaderView struct {
	Standing   lease.Standing
	Active     policy.Active // policy that the process acts on with that standing
	InForce    uint64        // newest activated version of the policy
	ChangeOpen bool          // whether a policy change is in progress
	Servers    []Server      // its own endpoint list; servers that are not ready are Absent, or left out
}

const (
	// proposeRetryInterval is the time after which a proposed record that is not yet in the log is proposed
	// again.
	proposeRetryInterval = 200 * time.Millisecond
	// recheckInterval is the interval between checks of windows that move traffic.
	recheckInterval = 250 * time.Millisecond
	// idleRecheckInterval is the interval between checks of other windows.
	idleRecheckInterval = 5 * time.Second
	// maxFaultTime is the duration of a fault after which the window is returned early.
	maxFaultTime = 30 * time.Second
	// recoveryTime is the time without a fault after which a paused window is resumed.
	recoveryTime = 10 * time.Second
	// maxChanges is the number of state changes after which a window is returned at the next fault, so that
	// it is not paused and resumed forever.
	maxChanges = 24
)

// NewProposer returns the Proposer of a process that has just started.
func NewProposer(settings ProposerSettings) *Proposer {
	settings = settings.WithDefaults()
	return &Proposer{
		settings: settings, progress: map[string]windowProgress{}, lastProposed: map[string]lastRecord{},
		reports: newReportLog(settings.Times.Terms.Duration),
	}
}

// Learn updates the proposer to the present state. Every voter must call it right after it applied records.
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

// ReportReceived adds an agent's report as encoded by EncodeReport. Malformed data are ignored.
func (p *Proposer) ReportReceived(now lease.ClockReading, agent int, data []byte) {
	p.reports.add(now, agent, data)
}

// LeaseGranted records that this voter has granted an agent a lease. It does nothing while IsIdle.
func (p *Proposer) LeaseGranted(now lease.ClockReading, agent int) {
	if !p.IsIdle() {
		p.reports.leaseGranted(now, agent)
	}
}

// IsIdle reports whether no window is planned or in progress.
func (p *Proposer) IsIdle() bool {
	return !slices.ContainsFunc(p.windows, func(w *storedWindow) bool { return !w.isOver() })
}

// Due returns the records that the leader must propose to the log now, and the latest time (monotonic clock)
// at which it must be called again. It calls view only if a window is planned or in progress.
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

// encodeOnce returns an encoded record about a window, or nil if the same record was proposed less than
// proposeRetryInterval ago.
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

// nextRecord returns the next record for a window; due is false if there is none yet.
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
	return p.nextRecordInProgress(now, v, w, progress, r)
}

// nextRecordInProgress returns the next record for a window whose keys are moving or have moved; false if
// there is none yet.
func (p *Proposer) nextRecordInProgress(now lease.ClockReading, v LeaderView, w *storedWindow,
	progress windowProgress, r record,
) (record, bool) {
	fault := progress.fault
	healthy := fault.Kind == NoFault
	persists := !healthy && minElapsed(progress.faultSince, now) >= maxFaultTime
	recovered := healthy && minElapsed(progress.healthySince, now) >= recoveryTime
	switch {
	case fault.Kind == ExclusionsOverridden && w.State == Free: // the servers are no longer free
		r.Kind, r.Reason = kindReturned, fault.String()
	case !healthy && w.ChangeCount >= maxChanges, persists && w.State != Planned:
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

// isTrafficFree reports whether no request of the window's tenants can arrive at its servers any more.
//
// It requires that, by the clock, all keys have been moved for longer than the clock error and the maximum
// time of a request in flight. An agent with a lease knows the log up to the fence, so it also knows that a
// paused window was resumed. An agent without a lease follows the plan, and knows the window, which was
// confirmed long before; an agent at policy.ModeBottom excludes the servers whose turn it is. So no agent
// has to be polled. An agent whose build does not support windows does not exclude servers: it is detected
// because it is granted leases and sends no reports.
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
	case !p.reports.isComplete(now) || p.reports.hasNonReportingHolder(now):
		return false
	}
	return !p.areExclusionsOverridden(w)
}
