package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"dunestep/internal/control/policy"
)

// state is the result of all applied records. It is encoded as an array.
type state struct {
	_        struct{}        `cbor:",toarray"`
	Revision uint64          // incremented by each window that is accepted, or rejected for lack of room
	Now      time.Duration   // newest time of a record; Unix time
	Windows  []*storedWindow // in order of acceptance; elements are immutable
	History  []tenantHistory // sorted by tenant
	Outcomes []Outcome       // oldest first
}

// Bounds of the state, so that it fits into a snapshot of the log.
const (
	maxOutcomes    = 24
	maxWindows     = 24      // including windows that are over
	maxWindowsSize = 8 << 10 // bytes of all windows
	maxHistorySize = 4 << 10 // bytes of the history, including what the present windows will add
	// MaxSnapshot is the maximum size of a snapshot in bytes.
	MaxSnapshot = 16 << 10
)

// confirmNoticeDivisor limits how late a window is confirmed: a leader has to apply its acceptance within the
// window's notice divided by this number. The rest of the notice must be longer than the time for which any
// agent may act within the floor that it knows.
const confirmNoticeDivisor = 10

// StateMachine applies the records of the agreed log to the state of all windows. The state depends only on
// the records and on the policy version in force, which itself depends only on records: agents of different
// builds must reach the same state.
type StateMachine struct {
	state      state
	inForce    func() uint64
	unreadable uint64
}

// NewStateMachine returns a StateMachine without windows. InForce returns the policy version in force after
// the records up to the one being applied; it is called only within Apply.
func NewStateMachine(inForce func() uint64) *StateMachine { return &StateMachine{inForce: inForce} }

// UnreadableRecords returns the number of records that this build could not decode.
func (m *StateMachine) UnreadableRecords() uint64 { return m.unreadable }

// Revision returns the state's revision; see Proposal.Revision. It changes with each accepted window.
func (m *StateMachine) Revision() uint64 { return m.state.Revision }

// Windows returns copies of the known windows, including those that have been over for up to a day. The
// caller must not change their slices, which are shared.
func (m *StateMachine) Windows() (all []*Window) {
	for _, w := range m.state.Windows {
		all = append(all, w.window())
	}
	return all
}

// MovesTraffic reports whether a window moves traffic at a time or begins within SumPeriod after it. Next is
// the latest time at which to call it again, at most an hour ahead.
func (m *StateMachine) MovesTraffic(at time.Duration) (moves bool, next time.Duration) {
	next = at + time.Hour
	for _, w := range m.state.Windows {
		if w.isOver() || at >= w.To {
			continue
		}
		next = min(next, w.nextChange(at))
		begins := w.From - SumPeriod
		moves = moves || at >= begins
		if begins > at {
			next = min(next, begins)
		}
	}
	return moves, next
}

// AffectsTenant reports whether a window of a tenant moves traffic at a time or begins within SumPeriod after
// it.
func (m *StateMachine) AffectsTenant(tenant string, at time.Duration) bool {
	return slices.ContainsFunc(m.state.Windows, func(w *storedWindow) bool {
		return !w.isOver() && at >= w.From-SumPeriod && at < w.To && slices.Contains(w.Tenants, tenant)
	})
}

// Apply applies the next record. A record that is not valid in the present state, because it is late or a
// duplicate, changes nothing.
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
	i := slices.IndexFunc(m.state.Windows, func(w *storedWindow) bool { return w.ID == r.ID })
	if i < 0 || m.state.Windows[i].isOver() {
		return
	}
	if r.Kind != kindStopped && r.ChangeCount != m.state.Windows[i].ChangeCount {
		return // proposed from an older state
	}
	w := *m.state.Windows[i]
	r.Now = min(r.Now, w.To) // bounds the effect of a clock that is years ahead
	if r.Reason != "" || r.Kind == kindResumed {
		w.Reason = truncate(strings.ToValidUTF8(r.Reason, "?"), maxReasonSize)
	}
	if !w.applyRecord(&r) {
		return
	}
	w.ChangeCount++
	m.state.Windows = slices.Clone(m.state.Windows)
	m.state.Windows[i] = &w
	if w.isOver() && r.Now >= w.From {
		m.addToHistory(&w)
	}
	m.advanceTime(r.Now)
}

// applyProposal accepts a window, or records why it is rejected. A proposal with a known ID is ignored. A
// proposal whose outcome is no longer stored is not accepted a second time, because its revision is outdated.
func (m *StateMachine) applyProposal(r *record) {
	if !isValidName(r.ID) || m.Outcome(r.ID).Status != policy.StatusUnknown {
		return
	}
	o := Outcome{ID: r.ID, Status: policy.StatusRejected}
	if o.Cause, o.Found = m.rejectionCause(r); o.Cause == NotRejected {
		o.Status = policy.StatusAccepted
		m.state.Revision++
		w := newStoredWindow(r.Window.window()) // without the fields that only later records set
		w.PolicyVersion, w.Agent, w.MinNotice = r.PolicyVersion, r.Agent, r.Window.MinNotice
		m.state.Windows = append(slices.Clone(m.state.Windows), w)
	}
	all := m.state.Outcomes
	m.state.Outcomes = append(slices.Clone(all[max(len(all)-maxOutcomes+1, 0):]), o)
}

// rejectionCause returns the first reason to reject a proposed window, with the actual policy version or
// revision where the cause is that it differs. It returns NotRejected if there is no reason.
func (m *StateMachine) rejectionCause(r *record) (cause RejectionCause, found uint64) {
	switch inForce := m.inForce(); {
	case invalidReason(r) != "":
		return Malformed, 0
	case r.PolicyVersion != inForce:
		return PolicyChanged, inForce
	case r.Revision != m.state.Revision:
		return WindowsChanged, m.state.Revision
	}
	m.dropExpired(m.state.Now)
	if !m.hasRoom(r.Window) {
		m.state.Revision++ // prevents acceptance of a duplicate once this outcome is no longer stored
		return TooManyWindows, 0
	}
	return NotRejected, 0
}

// Outcome returns the outcome of a request; its status is policy.StatusUnknown if the ID is not known.
func (m *StateMachine) Outcome(id string) Outcome {
	for _, o := range m.state.Outcomes {
		if o.ID == id {
			return o
		}
	}
	for _, w := range m.state.Windows {
		if w.ID == id {
			return Outcome{ID: id, Status: policy.StatusAccepted}
		}
	}
	return Outcome{ID: id}
}

// Outcomes returns the stored outcomes, oldest first; at most the latest 24.
func (m *StateMachine) Outcomes() []Outcome { return slices.Clone(m.state.Outcomes) }

// Snapshot returns the encoded state. The same sequence of records gives the same bytes.
func (m *StateMachine) Snapshot() []byte { return marshal(m.state) }

// ErrSnapshot is wrapped by the error for a snapshot that this build cannot read.
var ErrSnapshot = errors.New("window: cannot read the snapshot")

// Restore replaces the state by that of a snapshot; an empty snapshot gives a state without windows. On an
// error, which wraps ErrSnapshot, the state is unchanged.
func (m *StateMachine) Restore(data []byte) error {
	var st state
	if len(data) > 0 {
		if err := decoding.Unmarshal(data, &st); err != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
		if len(data) > MaxSnapshot || len(st.Windows) > maxWindows || len(st.Outcomes) > maxOutcomes {
			return fmt.Errorf("%w: %d bytes, %d windows, %d outcomes", ErrSnapshot, len(data), len(st.Windows),
				len(st.Outcomes))
		}
		for i, w := range st.Windows {
			if w == nil || w.isInvalid() {
				return fmt.Errorf("%w: window %d in it is invalid", ErrSnapshot, i)
			}
		}
	}
	m.state = st
	return nil
}
