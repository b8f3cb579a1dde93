package window

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/contract"
	"dunestep/decide"
	"dunestep/fleet/lease"
	"dunestep/policy"
)

// begin is a Monday noon, UTC.
const begin = 1798459200 * time.Second

func example(id string, at time.Duration) *Window {
	return &Window{
		ID: id, Nodes: []string{"n1", "n2"}, Tenants: []string{"east", "west"}, From: at,
		Drained: at + 100*time.Second, Back: at + time.Hour, To: at + time.Hour + 100*time.Second, Steps: 10,
	}
}

func accept(t require.TestingT, m *Machine, w *Window, now time.Duration) {
	data, err := Accept(Asking{Window: w, Now: now, Policy: 1, Revision: m.Revision()})
	require.NoError(t, err)
	m.Apply(0, data)
}

func say(m *Machine, kind kind, id string, now time.Duration, changes uint64) {
	m.Apply(0, marshal(record{Kind: kind, ID: id, Now: now, Changes: changes}))
}

func machine() *Machine { return NewMachine(func() uint64 { return 1 }) }

func TestAcceptedOnceAndOnlyAsItWasLookedAt(t *testing.T) {
	m, from := machine(), begin+time.Hour
	same, err := Accept(Asking{Window: example("a", from), Now: begin, Policy: 1})
	require.NoError(t, err)
	m.Apply(0, same)
	m.Apply(0, same)
	require.Len(t, m.Windows(), 1)
	require.Equal(t, policy.Taken, m.Outcome("a").End)
	for id, a := range map[string]Asking{
		"old windows": {Window: example("old windows", from), Now: begin, Policy: 1},
		"old policy":  {Window: example("old policy", from), Now: begin, Policy: 0, Revision: 1},
	} {
		data, err := Accept(a)
		require.NoError(t, err)
		m.Apply(0, data)
		require.Equal(t, policy.NotTaken, m.Outcome(id).End, id)
		require.NotEmpty(t, m.Outcome(id).Text())
	}
	_, err = Accept(Asking{Window: example("late", begin+LeastNotice-1), Now: begin, Policy: 1, Revision: 1})
	require.ErrorIs(t, err, ErrRecord)
	require.Len(t, m.Windows(), 1)
	m.Apply(0, Stop("a", 1, begin+10*365*day, "by a clock that is years off"))
	require.Equal(t, from+time.Hour+100*time.Second, m.st.Now)
	accept(t, m, example("after it", from), begin)
	require.Equal(t, policy.Taken, m.Outcome("after it").End)
	require.Equal(t, 2, m.Moved("east", from, from+1))
	require.Zero(t, m.Moved("north", from, from+1))
}

func TestCourseByRecords(t *testing.T) {
	m, from := machine(), begin+time.Hour
	accept(t, m, example("a", from), begin)
	f := func() *form { return m.st.Windows[0] }
	say(m, freed, "a", from+200*time.Second, 0)
	require.Equal(t, Planned, f().State, "not noted yet")
	say(m, noted, "a", begin, 0)
	say(m, freed, "a", from+50*time.Second, 1)
	require.Equal(t, Planned, f().State, "not all is moved")
	say(m, paused, "a", from+55*time.Second, 1)
	require.Equal(t, 5, f().moved(from+500*time.Second))
	require.Equal(t, 10, f().final(from+500*time.Second), "an agent without a lease does not know whether it goes on")
	say(m, resumed, "a", from+200*time.Second, 2)
	require.Equal(t, 5, f().moved(from+209*time.Second))
	require.Equal(t, 6, f().moved(from+210*time.Second))
	say(m, freed, "a", from+300*time.Second, 2)
	require.Equal(t, Planned, f().State, "proposed before the window was paused and went on")
	say(m, freed, "a", from+300*time.Second, 3)
	require.Equal(t, Free, f().State)
	say(m, paused, "a", from+301*time.Second, 4)
	require.Equal(t, Free, f().State)
	m.Apply(0, Stop("a", 3, from+400*time.Second, "enough"))
	require.Equal(t, 7, f().moved(from+430*time.Second))
	require.Equal(t, 7, f().final(from+430*time.Second))
	say(m, ended, "a", from+430*time.Second, 5)
	require.Equal(t, Returning, f().State)
	say(m, ended, "a", from+500*time.Second, 5)
	require.Equal(t, Ended, f().State)
	require.Equal(t, "enough", f().Reason)
	require.Equal(t, 1, m.Moved("east", from, from+1))
	accept(t, m, example("b", from+50*time.Hour), from+25*time.Hour)
	say(m, noted, "b", from+25*time.Hour, 0)
	require.Len(t, m.Windows(), 1, "a day later the first is shown no more")
	require.Equal(t, 1, m.Moved("east", from, from+1), "and still counts")
	m.Apply(0, Stop("b", 3, from+26*time.Hour, ""))
	require.Equal(t, Stopped, f().State)
	require.Zero(t, m.Moved("east", from+50*time.Hour, from+51*time.Hour), "it never began")
}

func TestTooLateAgreedIsEnded(t *testing.T) {
	m, from := machine(), begin+LeastNotice
	accept(t, m, example("a", from), begin)
	say(m, noted, "a", begin+LeastNotice/agreedBy+1, 0)
	require.Equal(t, Ended, m.st.Windows[0].State)
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
				data, err := Accept(Asking{Window: w, Now: now, Policy: 1, Revision: m.Revision()})
				if err == nil {
					m.Apply(0, data)
				}
			}
			k := kind(rapid.IntRange(0, 9).Draw(t, "kind"))
			say(m, k, id, now, uint64(rapid.IntRange(0, 4).Draw(t, "changes")))
			snapshot := m.Snapshot()
			require.LessOrEqual(t, len(snapshot), MaxSnapshot)
			other := machine()
			require.NoError(t, other.Restore(snapshot))
			require.Equal(t, snapshot, other.Snapshot())
			if m = other; len(m.st.Windows) > 0 {
				f, at := m.st.Windows[0], now+time.Duration(rapid.IntRange(-9999, 9999).Draw(t, "at"))*time.Second
				require.LessOrEqual(t, f.moved(at), f.final(at))
				require.LessOrEqual(t, f.final(at), f.planned(at))
				next := f.next(at)
				require.Greater(t, next, at)
				require.Equal(t, f.moved(at), f.moved(next-1))
				require.Equal(t, f.planned(at), f.planned(next-1))
			}
		}
		m.Apply(0, rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
		require.Error(t, m.Restore([]byte{0x80, 1}))
	})
}

func always(t require.TestingT) *contract.Contract {
	c, err := contract.Table{
		Zone: "UTC", Hours: []string{"mon-sun 00:00-24:00"}, NoticeMin: 20, LongestMin: 600,
		Monthly: 31, Keep: 0.1, Served: 0.9,
	}.Contract()
	require.NoError(t, err)
	return c
}

func TestAgentByItsStanding(t *testing.T) {
	m, from := machine(), begin+time.Hour
	accept(t, m, example("a", from), begin)
	say(m, noted, "a", begin, 0)
	say(m, paused, "a", from+55*time.Second, 1)
	a := NewAgent(4)
	a.Learn(m)
	east := &policy.Effect{Contracts: map[string]*contract.Contract{"east": always(t)}}
	full := policy.Acting{How: policy.Full, Version: 1, Effect: east}
	at := func(d time.Duration) lease.Reading { return lease.Reading{Unix: from + d, Mono: d} }
	require.Nil(t, a.Avoid(at(-time.Second), lease.Full, full))
	held := a.Avoid(at(99*time.Second), lease.Full, full)
	require.Equal(t, &decide.Avoid{Tenants: map[string]map[string]uint32{"east": {"n1": 1 << 31, "n2": 1 << 31}}}, held)
	require.Same(t, held, a.Avoid(at(2000*time.Second), lease.Full, full))
	a.Learn(m)
	require.Same(t, held, a.Avoid(at(2001*time.Second), lease.Full, full), "nothing has changed")
	require.Zero(t, testing.AllocsPerRun(100, func() { a.Avoid(at(2002*time.Second), lease.Full, full) }))

	within := policy.Acting{How: policy.Within, Version: 1, Effect: east}
	require.EqualValues(t, math.MaxUint32, a.Avoid(at(2000*time.Second), lease.Floor, within).Tenants["east"]["n1"])
	bottom := a.Avoid(at(2000*time.Second), lease.New, policy.Acting{Effect: &policy.Effect{}})
	require.EqualValues(t, math.MaxUint32, bottom.Tenants["west"]["n1"], "what was accepted is followed")
	turn, _ := Turns(4).At(from + 2000*time.Second)
	for _, zone := range []string{"a", "b", "c", "d", "e", ""} {
		require.Equal(t, Turns(4).Of("n1", zone) == turn, bottom.Turn("n1", zone))
	}
	require.Nil(t, a.Avoid(at(5000*time.Second), lease.Full, full))
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
	for _, id := range []string{"east", Rest} {
		w := example(id, from)
		w.Tenants, w.Nodes = []string{id}, []string{"n1", "n2"}
		if id == Rest {
			w.Nodes = []string{"n1"}
		}
		accept(t, m, w, begin)
		say(m, noted, id, begin, 0)
	}
	a := NewAgent(4)
	empty := func(d time.Duration, tenants ...string) map[string]bool {
		a.Learn(m)
		return Emptied(a.Avoid(lease.Reading{Unix: from + d, Mono: d}, lease.Full, policy.Acting{}), tenants)
	}
	require.Nil(t, empty(-time.Second, "east"))
	require.Nil(t, empty(99*time.Second, "east"), "not all is moved")
	require.Equal(t, map[string]bool{"n1": true}, empty(100*time.Second, "east"))
	require.Nil(t, empty(100*time.Second, "east", "west"))
	say(m, paused, Rest, from+100*time.Second, 1)
	require.NotNil(t, empty(110*time.Second, "east"), "all of it is held")
	m.Apply(0, Stop("east", 3, from+200*time.Second, "enough"))
	require.NotNil(t, empty(200*time.Second, "east"))
	require.Nil(t, empty(211*time.Second, "east"), "it returns early")
	require.NotNil(t, empty(211*time.Second), "the other does not")
	require.Nil(t, empty(2*time.Hour))
}
