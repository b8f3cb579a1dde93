package maintenance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// begin is a Monday noon, UTC.
const begin = 1798459200 * time.Second

func example(id string, at time.Duration) *Window {
	return &Window{
		ID: id, Nodes: []string{"n1", "n2"}, Tenants: []string{"east", "west"}, From: at,
		DrainedAt: at + 100*time.Second, ReturnFrom: at + time.Hour, To: at + time.Hour + 100*time.Second, Steps: 10,
	}
}

func accept(t require.TestingT, m *StateMachine, w *Window, now time.Duration) {
	data, err := EncodeProposal(Proposal{Window: w, Now: now, PolicyVersion: 1, Revision: m.Revision()})
	require.NoError(t, err)
	m.Apply(0, data)
}

func say(m *StateMachine, kind recordKind, id string, now time.Duration, changes uint64) {
	m.Apply(0, marshal(record{Kind: kind, ID: id, Now: now, ChangeCount: changes}))
}

func machine() *StateMachine { return NewStateMachine(func() uint64 { return 1 }) }

func TestAcceptedOnceAndOnlyAsItWasLookedAt(t *testing.T) {
	m, from := machine(), begin+time.Hour
	same, err := EncodeProposal(Proposal{Window: example("a", from), Now: begin, PolicyVersion: 1})
	require.NoError(t, err)
	m.Apply(0, same)
	m.Apply(0, same)
	require.Len(t, m.Windows(), 1)
	require.Equal(t, policy.StatusAccepted, m.Outcome("a").Status)
	for id, a := range map[string]Proposal{
		"old windows": {Window: example("old windows", from), Now: begin, PolicyVersion: 1},
		"old policy":  {Window: example("old policy", from), Now: begin, PolicyVersion: 0, Revision: 1},
	} {
		data, err := EncodeProposal(a)
		require.NoError(t, err)
		m.Apply(0, data)
		require.Equal(t, policy.StatusRejected, m.Outcome(id).Status, id)
		require.NotEmpty(t, m.Outcome(id).Reason())
	}
	_, err = EncodeProposal(Proposal{Window: example("late", begin+MinNotice-1), Now: begin, PolicyVersion: 1, Revision: 1})
	require.ErrorIs(t, err, ErrInvalidWindow)
	require.Len(t, m.Windows(), 1)
	m.Apply(0, EncodeStop("a", 1, begin+10*365*day, "by a clock that is years off"))
	require.Equal(t, from+time.Hour+100*time.Second, m.state.Now)
	accept(t, m, example("after it", from), begin)
	require.Equal(t, policy.StatusAccepted, m.Outcome("after it").Status)
	require.Equal(t, 2, m.CountWindows("east", from, from+1))
	require.Zero(t, m.CountWindows("north", from, from+1))
}

func TestCourseByRecords(t *testing.T) {
	m, from := machine(), begin+time.Hour
	accept(t, m, example("a", from), begin)
	f := func() *storedWindow { return m.state.Windows[0] }
	say(m, kindTrafficFree, "a", from+200*time.Second, 0)
	require.Equal(t, Planned, f().State, "not noted yet")
	say(m, kindConfirmed, "a", begin, 0)
	say(m, kindTrafficFree, "a", from+50*time.Second, 1)
	require.Equal(t, Planned, f().State, "not all is moved")
	say(m, kindPaused, "a", from+55*time.Second, 1)
	require.Equal(t, 5, f().movedSteps(from+500*time.Second))
	require.Equal(t, 10, f().movedStepsWithoutLease(from+500*time.Second), "an agent without a lease does not know whether it goes on")
	say(m, kindResumed, "a", from+200*time.Second, 2)
	require.Equal(t, 5, f().movedSteps(from+209*time.Second))
	require.Equal(t, 6, f().movedSteps(from+210*time.Second))
	say(m, kindTrafficFree, "a", from+300*time.Second, 2)
	require.Equal(t, Planned, f().State, "proposed before the window was paused and went on")
	say(m, kindTrafficFree, "a", from+300*time.Second, 3)
	require.Equal(t, Free, f().State)
	say(m, kindPaused, "a", from+301*time.Second, 4)
	require.Equal(t, Free, f().State)
	m.Apply(0, EncodeStop("a", 3, from+400*time.Second, "enough"))
	require.Equal(t, 7, f().movedSteps(from+430*time.Second))
	require.Equal(t, 7, f().movedStepsWithoutLease(from+430*time.Second))
	say(m, kindEnded, "a", from+430*time.Second, 5)
	require.Equal(t, Returning, f().State)
	say(m, kindEnded, "a", from+500*time.Second, 5)
	require.Equal(t, Ended, f().State)
	require.Equal(t, "enough", f().Reason)
	require.Equal(t, 1, m.CountWindows("east", from, from+1))
	accept(t, m, example("b", from+50*time.Hour), from+25*time.Hour)
	say(m, kindConfirmed, "b", from+25*time.Hour, 0)
	require.Len(t, m.Windows(), 1, "a day later the first is shown no more")
	require.Equal(t, 1, m.CountWindows("east", from, from+1), "and still counts")
	m.Apply(0, EncodeStop("b", 3, from+26*time.Hour, ""))
	require.Equal(t, Stopped, f().State)
	require.Zero(t, m.CountWindows("east", from+50*time.Hour, from+51*time.Hour), "it never began")
}

func TestTooLateAgreedIsEnded(t *testing.T) {
	m, from := machine(), begin+MinNotice
	accept(t, m, example("a", from), begin)
	say(m, kindConfirmed, "a", begin+MinNotice/confirmFraction+1, 0)
	require.Equal(t, Ended, m.state.Windows[0].State)
}

// TestAnyRecords: whatever comes, the state is bounded, never moves more than the plan, and goes on from a
// snapshot as it would have.
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
			say(m, k, id, now, uint64(rapid.IntRange(0, 4).Draw(t, "changes")))
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

func always(t require.TestingT) *contract.Contract {
	c, err := contract.Table{
		Zone: "UTC", Hours: []string{"mon-sun 00:00-24:00"}, NoticeMin: 20, MaxLengthMin: 600,
		MaxPerMonth: 31, KeptCapacity: 0.1, MinServed: 0.9,
	}.Contract()
	require.NoError(t, err)
	return c
}

func TestAgentByItsStanding(t *testing.T) {
	m, from := machine(), begin+time.Hour
	accept(t, m, example("a", from), begin)
	say(m, kindConfirmed, "a", begin, 0)
	say(m, kindPaused, "a", from+55*time.Second, 1)
	a := NewAgent(4)
	a.Learn(m)
	east := &policy.Effect{Contracts: map[string]*contract.Contract{"east": always(t)}}
	full := policy.Active{Mode: policy.ModeFull, Version: 1, Effect: east}
	at := func(d time.Duration) lease.ClockReading { return lease.ClockReading{Unix: from + d, Mono: d} }
	require.Nil(t, a.Exclusions(at(-time.Second), lease.Full, full))
	held := a.Exclusions(at(99*time.Second), lease.Full, full)
	require.Equal(t, &balancer.Exclusions{Tenants: map[string]map[string]uint32{"east": {"n1": 1 << 31, "n2": 1 << 31}}}, held)
	require.Same(t, held, a.Exclusions(at(2000*time.Second), lease.Full, full))
	a.Learn(m)
	require.Same(t, held, a.Exclusions(at(2001*time.Second), lease.Full, full), "nothing has changed")
	require.Zero(t, testing.AllocsPerRun(100, func() { a.Exclusions(at(2002*time.Second), lease.Full, full) }))

	within := policy.Active{Mode: policy.ModeFloor, Version: 1, Effect: east}
	require.EqualValues(t, math.MaxUint32, a.Exclusions(at(2000*time.Second), lease.Floor, within).Tenants["east"]["n1"])
	bottom := a.Exclusions(at(2000*time.Second), lease.New, policy.Active{Effect: &policy.Effect{}})
	require.EqualValues(t, math.MaxUint32, bottom.Tenants["west"]["n1"], "what was accepted is followed")
	turn, _ := Turns(4).At(from + 2000*time.Second)
	for _, zone := range []string{"a", "b", "c", "d", "e", ""} {
		require.Equal(t, Turns(4).Of("n1", zone) == turn, bottom.AllTenants("n1", zone))
	}
	require.Nil(t, a.Exclusions(at(5000*time.Second), lease.Full, full))
}

// TestTurns: who may be in a window all the time is who is kept off all the time.
func TestTurns(t *testing.T) {
	for h := range 24 * 8 {
		from := begin + time.Duration(h)*time.Hour
		to := from + 3*time.Hour
		for _, id := range []string{"x", "y", "z"} {
			if Turns(4).Covers(id, "", from, to) {
				for at := from - TurnMargin; at < to+TurnMargin; at += 10 * time.Minute {
					turn, until := Turns(4).At(at)
					require.Equal(t, Turns(4).Of(id, ""), turn)
					require.Greater(t, until, at)
				}
			}
		}
	}
	require.True(t, Turns(0).Covers("x", "", begin, begin+100*time.Hour))
}

// TestEmptied: a server is empty where all tenants keep off all of it, by several windows together too, and only
// while all is moved.
func TestEmptied(t *testing.T) {
	m, from := machine(), begin+time.Hour
	for _, id := range []string{"east", NoTenant} {
		w := example(id, from)
		w.Tenants, w.Nodes = []string{id}, []string{"n1", "n2"}
		if id == NoTenant {
			w.Nodes = []string{"n1"}
		}
		accept(t, m, w, begin)
		say(m, kindConfirmed, id, begin, 0)
	}
	a := NewAgent(4)
	empty := func(d time.Duration, tenants ...string) map[string]bool {
		a.Learn(m)
		return FullyDrained(a.Exclusions(lease.ClockReading{Unix: from + d, Mono: d}, lease.Full, policy.Active{}), tenants)
	}
	require.Nil(t, empty(-time.Second, "east"))
	require.Nil(t, empty(99*time.Second, "east"), "not all is moved")
	require.Equal(t, map[string]bool{"n1": true}, empty(100*time.Second, "east"))
	require.Nil(t, empty(100*time.Second, "east", "west"))
	say(m, kindPaused, NoTenant, from+100*time.Second, 1)
	require.NotNil(t, empty(110*time.Second, "east"), "all of it is held")
	m.Apply(0, EncodeStop("east", 3, from+200*time.Second, "enough"))
	require.NotNil(t, empty(200*time.Second, "east"))
	require.Nil(t, empty(211*time.Second, "east"), "it returns early")
	require.NotNil(t, empty(211*time.Second), "the other does not")
	require.Nil(t, empty(2*time.Hour))
}
