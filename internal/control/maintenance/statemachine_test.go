package maintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/control/policy"
)

// mondayNoon is 12:00 UTC on a Monday, as Unix time.
const mondayNoon = 1798459200 * time.Second

// exampleWindow returns a window of ten steps that begins at a time and starts to return an hour later.
func exampleWindow(id string, at time.Duration) *Window {
	return &Window{
		ID: id, Nodes: []string{"n1", "n2"}, Tenants: []string{"east", "west"}, From: at,
		DrainedAt: at + 100*time.Second, ReturnFrom: at + time.Hour, To: at + time.Hour + 100*time.Second, Steps: 10,
	}
}

// accept applies the record that proposes a window.
func accept(t require.TestingT, m *StateMachine, w *Window, now time.Duration) {
	data, err := EncodeProposal(Proposal{Window: w, Now: now, PolicyVersion: 1, Revision: m.Revision()})
	require.NoError(t, err)
	m.Apply(0, data)
}

// apply applies a record about a known window.
func apply(m *StateMachine, kind recordKind, id string, now time.Duration, changes uint64) {
	m.Apply(0, marshal(record{Kind: kind, ID: id, Now: now, ChangeCount: changes}))
}

// newTestMachine returns a state machine with version 1 of the policy in force.
func newTestMachine() *StateMachine { return NewStateMachine(func() uint64 { return 1 }) }

// TestProposalIsAcceptedOnce checks that a window is accepted once, and only if nothing has changed since it
// was planned.
func TestProposalIsAcceptedOnce(t *testing.T) {
	m, from := newTestMachine(), mondayNoon+time.Hour
	same, err := EncodeProposal(Proposal{Window: exampleWindow("a", from), Now: mondayNoon, PolicyVersion: 1})
	require.NoError(t, err)
	m.Apply(0, same)
	m.Apply(0, same)
	require.Len(t, m.Windows(), 1)
	require.Equal(t, policy.StatusAccepted, m.Outcome("a").Status)
	for id, a := range map[string]Proposal{
		"other windows": {Window: exampleWindow("other windows", from), Now: mondayNoon, PolicyVersion: 1},
		"older policy":  {Window: exampleWindow("older policy", from), Now: mondayNoon, PolicyVersion: 0, Revision: 1},
	} {
		data, encodeErr := EncodeProposal(a)
		require.NoError(t, encodeErr)
		m.Apply(0, data)
		require.Equal(t, policy.StatusRejected, m.Outcome(id).Status, id)
		require.NotEmpty(t, m.Outcome(id).Reason())
	}
	_, err = EncodeProposal(Proposal{Window: exampleWindow("late", mondayNoon+MinNotice-1), Now: mondayNoon, PolicyVersion: 1, Revision: 1})
	require.ErrorIs(t, err, ErrInvalidWindow)
	require.Len(t, m.Windows(), 1)
	m.Apply(0, EncodeStop("a", 1, mondayNoon+10*365*day, "by a clock that is years ahead"))
	require.Equal(t, from+time.Hour+100*time.Second, m.state.Now)
	accept(t, m, exampleWindow("after it", from), mondayNoon)
	require.Equal(t, policy.StatusAccepted, m.Outcome("after it").Status)
	require.Equal(t, 2, m.CountWindows("east", from, from+1))
	require.Zero(t, m.CountWindows("north", from, from+1))
}

// TestRecordsChangeWindowState checks that a window is paused, resumed, declared free, stopped and ended,
// each only in the states that allow it.
func TestRecordsChangeWindowState(t *testing.T) {
	m, from := newTestMachine(), mondayNoon+time.Hour
	accept(t, m, exampleWindow("a", from), mondayNoon)
	window := func() *storedWindow { return m.state.Windows[0] }
	apply(m, kindTrafficFree, "a", from+200*time.Second, 0)
	require.Equal(t, Planned, window().State, "a window that is not confirmed must not become free")
	apply(m, kindConfirmed, "a", mondayNoon, 0)
	apply(m, kindTrafficFree, "a", from+50*time.Second, 1)
	require.Equal(t, Planned, window().State, "a window must not become free before all steps are moved")
	apply(m, kindPaused, "a", from+55*time.Second, 1)
	require.Equal(t, 5, window().movedSteps(from+500*time.Second))
	require.Equal(t, 10, window().movedStepsWithoutLease(from+500*time.Second), "an agent without a lease must follow the plan while the window is paused")
	apply(m, kindResumed, "a", from+200*time.Second, 2)
	require.Equal(t, 5, window().movedSteps(from+209*time.Second))
	require.Equal(t, 6, window().movedSteps(from+210*time.Second))
	apply(m, kindTrafficFree, "a", from+300*time.Second, 2)
	require.Equal(t, Planned, window().State, "a record proposed before the pause must have no effect")
	apply(m, kindTrafficFree, "a", from+300*time.Second, 3)
	require.Equal(t, Free, window().State)
	apply(m, kindPaused, "a", from+301*time.Second, 4)
	require.Equal(t, Free, window().State)
	m.Apply(0, EncodeStop("a", 3, from+400*time.Second, "enough"))
	require.Equal(t, 7, window().movedSteps(from+430*time.Second))
	require.Equal(t, 7, window().movedStepsWithoutLease(from+430*time.Second))
	apply(m, kindEnded, "a", from+430*time.Second, 5)
	require.Equal(t, Returning, window().State)
	apply(m, kindEnded, "a", from+500*time.Second, 5)
	require.Equal(t, Ended, window().State)
	require.Equal(t, "enough", window().Reason)
	require.Equal(t, 1, m.CountWindows("east", from, from+1))
	accept(t, m, exampleWindow("b", from+50*time.Hour), from+25*time.Hour)
	apply(m, kindConfirmed, "b", from+25*time.Hour, 0)
	require.Len(t, m.Windows(), 1, "the first window must be dropped a day after its end")
	require.Equal(t, 1, m.CountWindows("east", from, from+1), "a dropped window must still count for its tenants")
	m.Apply(0, EncodeStop("b", 3, from+26*time.Hour, ""))
	require.Equal(t, Stopped, window().State)
	require.Zero(t, m.CountWindows("east", from+50*time.Hour, from+51*time.Hour), "a window stopped before it began must not count")
}

// TestConfirmedTooLateIsEnded checks that a window is ended if it is confirmed when too little of its notice
// is left.
func TestConfirmedTooLateIsEnded(t *testing.T) {
	m, from := newTestMachine(), mondayNoon+MinNotice
	accept(t, m, exampleWindow("a", from), mondayNoon)
	apply(m, kindConfirmed, "a", mondayNoon+MinNotice/confirmNoticeDivisor+1, 0)
	require.Equal(t, Ended, m.state.Windows[0].State)
}

// TestArbitraryRecordsKeepStateBounded checks that arbitrary records keep the state within its bounds, never
// move more steps than planned, and give a state that a snapshot restores.
func TestArbitraryRecordsKeepStateBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := newTestMachine(), mondayNoon
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "seconds")) * time.Second
			id := fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "id"))
			if rapid.IntRange(0, 2).Draw(t, "new") == 0 {
				w := exampleWindow(id, now+time.Hour)
				for i := range rapid.IntRange(0, 60).Draw(t, "nodes") {
					w.Nodes = append(w.Nodes, fmt.Sprintf("node-%020d", i))
					w.Tenants = append(w.Tenants, fmt.Sprintf("with-%04d", i))
				}
				data, err := EncodeProposal(Proposal{Window: w, Now: now, PolicyVersion: 1, Revision: m.Revision()})
				if err == nil {
					m.Apply(0, data)
				}
			}
			k := recordKind(rapid.IntRange(0, 9).Draw(t, "kind"))
			apply(m, k, id, now, uint64(rapid.IntRange(0, 4).Draw(t, "changes")))
			snapshot := m.Snapshot()
			require.LessOrEqual(t, len(snapshot), MaxSnapshot)
			other := newTestMachine()
			require.NoError(t, other.Restore(snapshot))
			require.Equal(t, snapshot, other.Snapshot())
			if m = other; len(m.state.Windows) > 0 {
				w, at := m.state.Windows[0], now+time.Duration(rapid.IntRange(-9999, 9999).Draw(t, "at"))*time.Second
				require.LessOrEqual(t, w.movedSteps(at), w.movedStepsWithoutLease(at))
				require.LessOrEqual(t, w.movedStepsWithoutLease(at), w.plannedSteps(at))
				next := w.nextChange(at)
				require.Greater(t, next, at)
				require.Equal(t, w.movedSteps(at), w.movedSteps(next-1))
				require.Equal(t, w.plannedSteps(at), w.plannedSteps(next-1))
			}
		}
		m.Apply(0, rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
		require.Error(t, m.Restore([]byte{0x80, 1}))
	})
}
