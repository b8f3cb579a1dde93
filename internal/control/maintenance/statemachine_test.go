package maintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/control/policy"
)

// begin is a Monday noon, UTC.
const begin = 1798459200 * time.Second

// example is a window of ten steps, and an hour from its beginning to its return.
func example(id string, at time.Duration) *Window {
	return &Window{
		ID: id, Nodes: []string{"n1", "n2"}, Tenants: []string{"east", "west"}, From: at,
		DrainedAt: at + 100*time.Second, ReturnFrom: at + time.Hour, To: at + time.Hour + 100*time.Second, Steps: 10,
	}
}

// accept has a window accepted by a record.
func accept(t require.TestingT, m *StateMachine, w *Window, now time.Duration) {
	data, err := EncodeProposal(Proposal{Window: w, Now: now, PolicyVersion: 1, Revision: m.Revision()})
	require.NoError(t, err)
	m.Apply(0, data)
}

// apply applies a record about a window.
func apply(m *StateMachine, kind recordKind, id string, now time.Duration, changes uint64) {
	m.Apply(0, marshal(record{Kind: kind, ID: id, Now: now, ChangeCount: changes}))
}

// machine is a state machine with version 1 of the policy in force.
func machine() *StateMachine { return NewStateMachine(func() uint64 { return 1 }) }

// TestAcceptance: a window is accepted once, and only if nothing has changed since it was planned.
func TestAcceptance(t *testing.T) {
	m, from := machine(), begin+time.Hour
	same, err := EncodeProposal(Proposal{Window: example("a", from), Now: begin, PolicyVersion: 1})
	require.NoError(t, err)
	m.Apply(0, same)
	m.Apply(0, same)
	require.Len(t, m.Windows(), 1)
	require.Equal(t, policy.StatusAccepted, m.Outcome("a").Status)
	for id, a := range map[string]Proposal{
		"other windows": {Window: example("other windows", from), Now: begin, PolicyVersion: 1},
		"older policy":  {Window: example("older policy", from), Now: begin, PolicyVersion: 0, Revision: 1},
	} {
		data, encodeErr := EncodeProposal(a)
		require.NoError(t, encodeErr)
		m.Apply(0, data)
		require.Equal(t, policy.StatusRejected, m.Outcome(id).Status, id)
		require.NotEmpty(t, m.Outcome(id).Reason())
	}
	_, err = EncodeProposal(Proposal{Window: example("late", begin+MinNotice-1), Now: begin, PolicyVersion: 1, Revision: 1})
	require.ErrorIs(t, err, ErrInvalidWindow)
	require.Len(t, m.Windows(), 1)
	m.Apply(0, EncodeStop("a", 1, begin+10*365*day, "by a clock that is years ahead"))
	require.Equal(t, from+time.Hour+100*time.Second, m.state.Now)
	accept(t, m, example("after it", from), begin)
	require.Equal(t, policy.StatusAccepted, m.Outcome("after it").Status)
	require.Equal(t, 2, m.CountWindows("east", from, from+1))
	require.Zero(t, m.CountWindows("north", from, from+1))
}

// TestStatesByRecords: a window is paused, resumed, declared free, stopped and ended, each where it may be.
func TestStatesByRecords(t *testing.T) {
	m, from := machine(), begin+time.Hour
	accept(t, m, example("a", from), begin)
	f := func() *storedWindow { return m.state.Windows[0] }
	apply(m, kindTrafficFree, "a", from+200*time.Second, 0)
	require.Equal(t, Planned, f().State, "not confirmed yet")
	apply(m, kindConfirmed, "a", begin, 0)
	apply(m, kindTrafficFree, "a", from+50*time.Second, 1)
	require.Equal(t, Planned, f().State, "not all steps are moved")
	apply(m, kindPaused, "a", from+55*time.Second, 1)
	require.Equal(t, 5, f().movedSteps(from+500*time.Second))
	require.Equal(t, 10, f().movedStepsWithoutLease(from+500*time.Second), "an agent without a lease does not know whether it was resumed")
	apply(m, kindResumed, "a", from+200*time.Second, 2)
	require.Equal(t, 5, f().movedSteps(from+209*time.Second))
	require.Equal(t, 6, f().movedSteps(from+210*time.Second))
	apply(m, kindTrafficFree, "a", from+300*time.Second, 2)
	require.Equal(t, Planned, f().State, "proposed before the window was paused and resumed")
	apply(m, kindTrafficFree, "a", from+300*time.Second, 3)
	require.Equal(t, Free, f().State)
	apply(m, kindPaused, "a", from+301*time.Second, 4)
	require.Equal(t, Free, f().State)
	m.Apply(0, EncodeStop("a", 3, from+400*time.Second, "enough"))
	require.Equal(t, 7, f().movedSteps(from+430*time.Second))
	require.Equal(t, 7, f().movedStepsWithoutLease(from+430*time.Second))
	apply(m, kindEnded, "a", from+430*time.Second, 5)
	require.Equal(t, Returning, f().State)
	apply(m, kindEnded, "a", from+500*time.Second, 5)
	require.Equal(t, Ended, f().State)
	require.Equal(t, "enough", f().Reason)
	require.Equal(t, 1, m.CountWindows("east", from, from+1))
	accept(t, m, example("b", from+50*time.Hour), from+25*time.Hour)
	apply(m, kindConfirmed, "b", from+25*time.Hour, 0)
	require.Len(t, m.Windows(), 1, "a day later the first is not shown any more")
	require.Equal(t, 1, m.CountWindows("east", from, from+1), "but still counts")
	m.Apply(0, EncodeStop("b", 3, from+26*time.Hour, ""))
	require.Equal(t, Stopped, f().State)
	require.Zero(t, m.CountWindows("east", from+50*time.Hour, from+51*time.Hour), "it never began")
}

// TestConfirmedTooLateIsEnded: too little of the notice is left.
func TestConfirmedTooLateIsEnded(t *testing.T) {
	m, from := machine(), begin+MinNotice
	accept(t, m, example("a", from), begin)
	apply(m, kindConfirmed, "a", begin+MinNotice/confirmFraction+1, 0)
	require.Equal(t, Ended, m.state.Windows[0].State)
}

// TestAnyRecords: any records leave the state bounded, never move more than the plan, and give the same state over a
// snapshot.
func TestAnyRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := machine(), begin
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "seconds")) * time.Second
			id := fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "id"))
			if rapid.IntRange(0, 2).Draw(t, "new") == 0 {
				w := example(id, now+time.Hour)
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
			other := machine()
			require.NoError(t, other.Restore(snapshot))
			require.Equal(t, snapshot, other.Snapshot())
			if m = other; len(m.state.Windows) > 0 {
				f, at := m.state.Windows[0], now+time.Duration(rapid.IntRange(-9999, 9999).Draw(t, "at"))*time.Second
				require.LessOrEqual(t, f.movedSteps(at), f.movedStepsWithoutLease(at))
				require.LessOrEqual(t, f.movedStepsWithoutLease(at), f.plannedSteps(at))
				next := f.nextChange(at)
				require.Greater(t, next, at)
				require.Equal(t, f.movedSteps(at), f.movedSteps(next-1))
				require.Equal(t, f.plannedSteps(at), f.plannedSteps(next-1))
			}
		}
		m.Apply(0, rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
		require.Error(t, m.Restore([]byte{0x80, 1}))
	})
}
