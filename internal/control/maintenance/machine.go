package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"dunestep/internal/control/policy"
)

// RejectionCause is why a window was not accepted.
type RejectionCause uint8

// The reasons. Their numbers are part of the state that all agents share.
const (
	NotRejected    RejectionCause = iota
	Malformed                     // malformed, or no notice
	PolicyChanged                 // another version came into force since it was looked at
	WindowsChanged                // another window was accepted since
	TooManyWindows                // too many of them
)

// Outcome is what is known of an ask. Proposal the same again, by its name, changes nothing.
type Outcome struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Status policy.ProposalStatus
	Cause  RejectionCause
	Found  uint64 // the version, or the revision, that was found
}

// Reason tells staff why it was not accepted.
func (o Outcome) Reason() string {
	switch o.Cause {
	case Malformed:
		return "malformed, or too little notice"
	case PolicyChanged:
		return fmt.Sprintf("version %d came into force meanwhile; ask again", o.Found)
	case WindowsChanged:
		return "another window was accepted meanwhile; ask again"
	case TooManyWindows:
		return "there are too many windows, or too many nodes in them; ask again when one has ended"
	}
	return ""
}

// had is how often a tenant was in windows of late.
type tenantHistory struct {
	_            struct{} `cbor:",toarray"`
	Tenant       string
	BeginMinutes []uint32 // Unix time, minutes
}

// state is what all records together have made.
type state struct {
	_        struct{}        `cbor:",toarray"`
	Revision uint64          // rises with each window that is accepted, or for which there is no room
	Now      time.Duration   // the newest time that a record told
	Windows  []*storedWindow // in the order in which they were accepted
	History  []tenantHistory // by tenant, sorted
	Outcomes []Outcome       // the newest last
}

const (
	maxOutcomes = 24
	// maxWindows are kept at once, those that are over too; maxWindowsSize is the most bytes that they have.
	maxWindows     = 24
	maxWindowsSize = 8 << 10
	// maxHistorySize is the most bytes that tell how often tenants were in windows, with those that will.
	maxHistorySize = 4 << 10
	// keep is how long a window that is over is shown, keepHistory how long it counts: more than a month.
	keepEnded   = 24 * time.Hour
	keepHistory = 33 * 24 * time.Hour
	// MaxSnapshot is the most bytes that a snapshot has.
	MaxSnapshot = 16 << 10
)

// StateMachine makes the state out of records. It goes by the records alone, and by which version of the policy is
// in force, which does the same: agents of several builds have to come to the same state.
type StateMachine struct {
	state      state
	inForce    func() uint64
	unreadable uint64
	changes    uint64 // rises with each change of the state, for those who look at it again and again
}

// NewStateMachine returns a StateMachine without windows. InForce is asked within Apply only, and has to be by the
// records up to that one.
func NewStateMachine(inForce func() uint64) *StateMachine { return &StateMachine{inForce: inForce} }

// UnreadableRecords counts records that could not be read.
func (m *StateMachine) UnreadableRecords() uint64 { return m.unreadable }

// Revision is what an ask is made from.
func (m *StateMachine) Revision() uint64 { return m.state.Revision }

// Windows are those that are known, the ones that are over for a day. They are not to be changed.
func (m *StateMachine) Windows() (all []*Window) {
	for _, f := range m.state.Windows {
		all = append(all, f.window())
	}
	return all
}

// CountWindows counts the windows of a tenant that begin in a time, over or not; those that ended before they began
// do not count.
func (m *StateMachine) CountWindows(tenant string, from, to time.Duration) (n int) {
	in := func(at time.Duration) bool { return at >= from && at < to }
	for _, f := range m.state.Windows {
		if !f.isOver() && in(f.From) && slices.Contains(f.Tenants, tenant) {
			n++
		}
	}
	for _, h := range m.state.History {
		for _, minute := range h.BeginMinutes {
			if h.Tenant == tenant && in(time.Duration(minute)*time.Minute) {
				n++
			}
		}
	}
	return n
}

// MovesTraffic tells whether a window moves something at a time, and when that may change next.
func (m *StateMachine) MovesTraffic(at time.Duration) (moves bool, next time.Duration) {
	next = at + time.Hour
	for _, f := range m.state.Windows {
		if f.isOver() || at >= f.To {
			continue
		}
		next = min(next, f.nextChange(at))
		moves = moves || at >= f.From-SumPeriod
		if begins := f.From - SumPeriod; begins > at {
			next = min(next, begins)
		}
	}
	return moves, next
}

// AffectsTenant tells whether a window that moves something at a time is about a tenant.
func (m *StateMachine) AffectsTenant(tenant string, at time.Duration) bool {
	return slices.ContainsFunc(m.state.Windows, func(f *storedWindow) bool {
		return !f.isOver() && at >= f.From-SumPeriod && at < f.To && slices.Contains(f.Tenants, tenant)
	})
}

func (f *storedWindow) isOver() bool { return f.State == Ended || f.State == Stopped }

// Apply takes the next record. What does not fit the state changes nothing: it came too late, or twice.
func (m *StateMachine) Apply(_ uint64, data []byte) {
	var r record
	if decoding.Unmarshal(data, &r) != nil {
		m.unreadable++
		return
	}
	if r.Kind == kindAccepted {
		m.applyProposal(&r)
		return
	}
	i := slices.IndexFunc(m.state.Windows, func(f *storedWindow) bool { return f.ID == r.ID })
	if i < 0 || m.state.Windows[i].isOver() || r.Kind != kindStopped && r.ChangeCount != m.state.Windows[i].ChangeCount {
		return
	}
	f := *m.state.Windows[i]
	r.Now = min(r.Now, f.To) // a clock that is years off does no more than one that is at the end
	if r.Reason != "" || r.Kind == kindResumed {
		f.Reason = truncate(strings.ToValidUTF8(r.Reason, "?"), maxReasonSize)
	}
	if !f.applyRecord(&r) {
		return
	}
	f.ChangeCount++
	m.state.Windows = slices.Clone(m.state.Windows)
	m.state.Windows[i] = &f
	if f.isOver() && r.Now >= f.From {
		m.addToHistory(&f)
	}
	m.advanceTime(r.Now)
	m.changes++
}

// change has one of the later records be. What was proposed from an older state never gets here: a `free`
// that is on its way while the window is paused and resumed would else hold for agents that missed that.
func (f *storedWindow) applyRecord(r *record) bool {
	at := r.Now
	switch r.Kind {
	case kindConfirmed:
		if f.ConfirmedAt != 0 || at <= 0 {
			return false
		}
		if f.ConfirmedAt = at; at > f.From-f.MinNotice+f.MinNotice/confirmFraction {
			f.State, f.StateSince, f.Reason = Ended, at, "it was agreed on too late for its notice"
		}
	case kindTrafficFree:
		if f.State != Planned || f.ConfirmedAt == 0 || f.movedSteps(at) < f.Steps || at >= f.ReturnFrom {
			return false
		}
		f.State = Free // StateSince still tells a resumed one's rise, which is over
	case kindPaused:
		if f.State != Planned || f.plannedSteps(at) == 0 || at >= f.ReturnFrom {
			return false
		}
		f.HeldSteps, f.State, f.StateSince = f.movedSteps(at), Paused, at
	case kindResumed:
		if f.State != Paused {
			return false
		}
		f.State, f.StateSince = Planned, at
	case kindReturned, kindStopped:
		return f.returnEarly(r)
	case kindEnded:
		if at < f.To && !(f.State == Returning && f.movedSteps(at) == 0) {
			return false
		}
		if f.State != Returning { // agents without a lease still fall from then
			f.StateSince = at
		}
		f.State = Ended
	default:
		return false
	}
	return true
}

// returnEarly has a window return from now on, or end where nothing is moved.
func (f *storedWindow) returnEarly(r *record) bool {
	if f.State == Returning {
		return false
	}
	f.HeldSteps = f.movedSteps(r.Now)
	f.State, f.StateSince = Returning, r.Now
	if f.HeldSteps == 0 && (r.Now < f.From || r.Now >= f.To) {
		f.State = Ended
		if r.Kind == kindStopped {
			f.State = Stopped
		}
	}
	return true
}

// ask accepts a window, or notes why not. One that is known by its name is passed over; one that is forgotten
// is never accepted twice, as its revision is not that any more.
func (m *StateMachine) applyProposal(r *record) {
	if !isValidName(r.ID) || m.Outcome(r.ID).Status != policy.StatusUnknown {
		return
	}
	o := Outcome{ID: r.ID, Status: policy.StatusRejected}
	if o.Cause, o.Found = m.rejectionCause(r); o.Cause == NotRejected {
		o.Status = policy.StatusAccepted
		m.state.Revision++
		f := newStoredWindow(r.Window.window()) // without what only records change
		f.PolicyVersion, f.Agent, f.MinNotice = r.PolicyVersion, r.Agent, r.Window.MinNotice
		m.state.Windows = append(slices.Clone(m.state.Windows), f)
	}
	all := m.state.Outcomes
	m.state.Outcomes = append(slices.Clone(all[max(len(all)-maxOutcomes+1, 0):]), o)
	m.changes++
}

func (m *StateMachine) rejectionCause(r *record) (why RejectionCause, other uint64) {
	switch in := m.inForce(); {
	case invalidReason(r) != "":
		return Malformed, 0
	case r.PolicyVersion != in:
		return PolicyChanged, in
	case r.Revision != m.state.Revision:
		return WindowsChanged, m.state.Revision
	}
	m.dropExpired(m.state.Now)
	if all := append(slices.Clone(m.state.Windows), r.Window); len(all) > maxWindows || maxWindowBytes(all) > maxWindowsSize ||
		m.maxHistoryBytes(all) > maxHistorySize {
		m.state.Revision++ // so that it is not taken later either, when this is forgotten
		return TooManyWindows, 0
	}
	return NotRejected, 0
}

// size is the most bytes that windows may come to have in a snapshot.
func maxWindowBytes(all []*storedWindow) (n int) {
	for _, f := range all {
		n += len(marshal(f)) + maxReasonSize + 40 // its reason and times may grow
	}
	return n
}

// maxHistoryBytes is the most that may come to be kept of windows that are over.
func (m *StateMachine) maxHistoryBytes(all []*storedWindow) int {
	n := len(marshal(m.state.History))
	for _, f := range all {
		for _, t := range f.Tenants {
			n += len(t) + 12
		}
	}
	return n
}

// pass has the time that records tell go on, and forgets what is long over. It goes no further than windows
// do, whatever clocks say.
func (m *StateMachine) advanceTime(now time.Duration) {
	m.state.Now = max(m.state.Now, now)
	m.dropExpired(m.state.Now)
}

func (m *StateMachine) dropExpired(now time.Duration) {
	m.state.Windows = slices.DeleteFunc(slices.Clone(m.state.Windows), func(f *storedWindow) bool {
		return f.isOver() && f.StateSince < now-keepEnded
	})
	var kept []tenantHistory
	for _, h := range m.state.History {
		begun := slices.DeleteFunc(slices.Clone(h.BeginMinutes), func(minute uint32) bool {
			return time.Duration(minute)*time.Minute < now-keepHistory
		})
		if len(begun) > 0 {
			kept = append(kept, tenantHistory{Tenant: h.Tenant, BeginMinutes: begun})
		}
	}
	m.state.History = kept
}

// count has a window that has begun count for its tenants.
func (m *StateMachine) addToHistory(f *storedWindow) {
	all := slices.Clone(m.state.History)
	for _, tenant := range f.Tenants {
		i, is := slices.BinarySearchFunc(all, tenant, compareTenant)
		if !is {
			all = slices.Insert(all, i, tenantHistory{Tenant: tenant})
		}
		all[i].BeginMinutes = append(slices.Clone(all[i].BeginMinutes), uint32(f.From/time.Minute))
	}
	m.state.History = all
}

func compareTenant(h tenantHistory, tenant string) int { return strings.Compare(h.Tenant, tenant) }

// Outcome is what is known here of an ask.
func (m *StateMachine) Outcome(id string) Outcome {
	for _, o := range m.state.Outcomes {
		if o.ID == id {
			return o
		}
	}
	for _, f := range m.state.Windows {
		if f.ID == id {
			return Outcome{ID: id, Status: policy.StatusAccepted}
		}
	}
	return Outcome{ID: id}
}

// Outcomes are those that are remembered, the newest last.
func (m *StateMachine) Outcomes() []Outcome { return slices.Clone(m.state.Outcomes) }

// Snapshot returns all of the state; the same records give the same bytes.
func (m *StateMachine) Snapshot() []byte { return marshal(m.state) }

// ErrSnapshot: it is none of this build's.
var ErrSnapshot = errors.New("window: a snapshot that cannot be read")

// Restore goes on from a snapshot; none is without windows. With an error nothing has changed.
func (m *StateMachine) Restore(data []byte) error {
	var st state
	if len(data) > 0 {
		if err := decoding.Unmarshal(data, &st); err != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
		if len(data) > MaxSnapshot || len(st.Windows) > maxWindows || len(st.Outcomes) > maxOutcomes ||
			slices.ContainsFunc(st.Windows, func(f *storedWindow) bool { return f == nil || f.isInvalid() }) {
			return ErrSnapshot
		}
	}
	m.state = st
	m.changes++
	return nil
}

// broken tells whether a form would not be followed.
func (f *storedWindow) isInvalid() bool {
	return invalidReason(&record{ID: f.ID, Now: f.From - f.MinNotice, Window: f}) != ""
}
