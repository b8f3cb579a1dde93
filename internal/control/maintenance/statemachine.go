package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"dunestep/internal/control/policy"
)

// state is what all records together have made. It is encoded as an array.
type state struct {
	_        struct{}        `cbor:",toarray"`
	Revision uint64          // grows with each window that is accepted, or that there is no room for
	Now      time.Duration   // the newest Unix time of a record
	Windows  []*storedWindow // in the order in which they were accepted; a stored one is never changed
	History  []tenantHistory // by tenant, sorted
	Outcomes []Outcome       // the newest last
}

// Bounds of the state, so that it fits the log's snapshot.
const (
	maxOutcomes    = 24
	maxWindows     = 24      // those that are over with them
	maxWindowsSize = 8 << 10 // bytes of all windows
	maxHistorySize = 4 << 10 // bytes of the history, with what the present windows will add
	// MaxSnapshot is the most bytes of a snapshot.
	MaxSnapshot = 16 << 10
)

// confirmFraction: one part in so many of its notice may pass before a leader has applied a window's
// acceptance. What is left has to be longer than any agent acts within the floor that it knows.
const confirmFraction = 10

// StateMachine makes the state out of the records of the agreed log. It depends on the records alone, and on
// which version of the policy is in force, which does too: agents of several builds have to reach the same
// state.
type StateMachine struct {
	state      state
	inForce    func() uint64
	unreadable uint64
}

// NewStateMachine returns a StateMachine without windows. InForce is the version of the policy that is in
// force by the records up to the one that is applied; it is called within Apply only.
func NewStateMachine(inForce func() uint64) *StateMachine { return &StateMachine{inForce: inForce} }

// UnreadableRecords counts the records that this build could not read.
func (m *StateMachine) UnreadableRecords() uint64 { return m.unreadable }

// Revision is what the next request is planned from.
func (m *StateMachine) Revision() uint64 { return m.state.Revision }

// Windows are the known windows; those that are over are among them for a day. They are copies, but for their
// lists, which must not be changed.
func (m *StateMachine) Windows() (all []*Window) {
	for _, w := range m.state.Windows {
		all = append(all, w.window())
	}
	return all
}

// MovesTraffic tells whether a window moves traffic at a time, or is about to, and when that may change next.
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

// AffectsTenant tells whether a window that moves traffic at a time, or is about to, is about a tenant.
func (m *StateMachine) AffectsTenant(tenant string, at time.Duration) bool {
	return slices.ContainsFunc(m.state.Windows, func(w *storedWindow) bool {
		return !w.isOver() && at >= w.From-SumPeriod && at < w.To && slices.Contains(w.Tenants, tenant)
	})
}

// Apply applies the next record. A record that does not fit the state changes nothing: it came too late, or
// twice.
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
		return // made from an older state
	}
	w := *m.state.Windows[i]
	r.Now = min(r.Now, w.To) // a clock that is years ahead does no more than one that is at the window's end
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

// applyProposal accepts a window, or notes why not. A proposal whose ID is known is passed over. One that is
// no longer remembered is never accepted twice, as its revision is an older one.
func (m *StateMachine) applyProposal(r *record) {
	if !isValidName(r.ID) || m.Outcome(r.ID).Status != policy.StatusUnknown {
		return
	}
	o := Outcome{ID: r.ID, Status: policy.StatusRejected}
	if o.Cause, o.Found = m.rejectionCause(r); o.Cause == NotRejected {
		o.Status = policy.StatusAccepted
		m.state.Revision++
		w := newStoredWindow(r.Window.window()) // without what only later records set
		w.PolicyVersion, w.Agent, w.MinNotice = r.PolicyVersion, r.Agent, r.Window.MinNotice
		m.state.Windows = append(slices.Clone(m.state.Windows), w)
	}
	all := m.state.Outcomes
	m.state.Outcomes = append(slices.Clone(all[max(len(all)-maxOutcomes+1, 0):]), o)
}

// rejectionCause is the first reason to reject a proposed window, with the version or revision that was
// found.
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
		m.state.Revision++ // so that it is not accepted later either, once this outcome is no longer remembered
		return TooManyWindows, 0
	}
	return NotRejected, 0
}

// Outcome is what is known here of a request; the status of one that is not known is policy.StatusUnknown.
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

// Outcomes are those that are remembered, the newest last.
func (m *StateMachine) Outcomes() []Outcome { return slices.Clone(m.state.Outcomes) }

// Snapshot returns the encoded state; the same records give the same bytes.
func (m *StateMachine) Snapshot() []byte { return marshal(m.state) }

// ErrSnapshot is wrapped by the error of a snapshot that this build cannot read.
var ErrSnapshot = errors.New("window: cannot read the snapshot")

// Restore replaces the state by a snapshot's; an empty snapshot has no windows. With an error, which wraps
// ErrSnapshot, nothing has changed.
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
				return fmt.Errorf("%w: window %d of it could never have been accepted", ErrSnapshot, i)
			}
		}
	}
	m.state = st
	return nil
}
