package ringassignment

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer/slowstart"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/operatorcommand"
	"dunestep/internal/fleet/raftlog"
)

// leader plays a leader alone: a clock, an endpoint list, the state machine.
type leader struct {
	t            *testing.T
	params       Parameters
	now          time.Duration
	tracker      ViewTracker
	fullyDrained map[string]bool
	list         map[string]*Server
	machine      *StateMachine
}

// begin is a leader of 20 servers after five minutes.
func begin(t *testing.T) *leader {
	x := &leader{t: t, now: 1e6 * time.Hour, list: map[string]*Server{}, machine: NewStateMachine(), params: Parameters{
		SlowStart: slowstart.Params{InitialCapacity: 0.31, Duration: 9 * time.Second, OverloadMultiple: 3, Margin: 0.4, MaxOfWarm: 1},
	}.WithDefaults()}
	for i := range 20 {
		x.list[fmt.Sprint("s-", 10+i)] = &Server{ID: fmt.Sprint("s-", 10+i), Ready: true, Capacity: 1}
	}
	x.pass(5 * time.Minute)
	return x
}

// pass has time pass, with a view each second and a generation as soon as one may be proposed.
func (x *leader) pass(d time.Duration) {
	for end := x.now + d; x.now < end; x.now += time.Second {
		v := View{Now: x.now, FullyDrained: x.fullyDrained}
		for _, s := range x.list {
			v.Servers = append(v.Servers, *s)
		}
		servers := x.tracker.Update(v)
		if x.now < x.machine.state.EffectiveAt+x.params.Terms.FenceWait() {
			continue
		}
		if c, is := NextChange(x.machine.state, servers, x.params, x.now); is {
			x.machine.Apply(1, c.Encode())
			require.Equal(x.t, c.Base+1, x.machine.state.Number)
		}
	}
}

func (x *leader) node(id string) Member {
	n := x.machine.state.find(id)
	require.NotNil(x.t, n, id)
	return *n
}

// TestPhases: each phase is entered as the rules say.
func TestPhases(t *testing.T) {
	x := begin(t)
	require.Equal(t, Member{ID: "s-10", Points: 200}, x.node("s-10"))
	vanished := *x.list["s-10"]
	delete(x.list, "s-10")
	x.pass(3 * time.Second)
	require.Equal(t, Suspect, x.node("s-10").Phase)
	n := x.node("s-10")
	require.Zero(t, n.OnRing())
	require.EqualValues(t, 200, n.Points)

	x.list["s-10"] = &vanished
	x.pass(12 * time.Second)
	require.Equal(t, Complete, x.node("s-10").Phase)
	require.EqualValues(t, 200, x.node("s-10").Points)

	delete(x.list, "s-10")
	x.pass(50 * time.Second)
	require.Equal(t, Gone, x.node("s-10").Phase)
	x.pass(15 * time.Minute)
	require.Nil(t, x.machine.state.find("s-10"))

	x.list["new"] = &Server{ID: "new", Ready: true, Capacity: 2, StartedAt: x.now}
	x.pass(2 * time.Second)
	require.Equal(t, Joining, x.node("new").Phase)
	require.Less(t, x.node("new").Points, uint16(250))
	x.pass(2 * time.Minute)
	require.Equal(t, Member{ID: "new", Points: 400}, x.node("new"))

	x.list["s-11"].Draining = true
	x.pass(8 * time.Second)
	require.Equal(t, Away, x.node("s-11").Phase)
	require.Zero(t, x.node("s-11").Points)

	x.list["s-13"].StartedAt = x.now
	x.pass(6 * time.Second)
	require.Equal(t, Joining, x.node("s-13").Phase)
}

// TestFullyDrainedServersStay: a server that windows have fully drained stays as it is, whatever becomes of it and whoever
// leads; afterwards it is lost only if it is not back.
func TestFullyDrainedServersStay(t *testing.T) {
	x := begin(t)
	number := x.machine.state.Number
	one, other := *x.list["s-10"], x.list["s-11"]
	x.fullyDrained = map[string]bool{"s-10": true, "s-11": true, "unknown": true}
	for range 5 { // restarts
		delete(x.list, "s-10")
		other.Draining = true
		x.pass(10 * time.Second)
		one.StartedAt, other.StartedAt = x.now, x.now
		x.list["s-10"], other.Draining = &one, false
		x.pass(10 * time.Second)
	}
	delete(x.list, "s-10")
	x.pass(2 * time.Minute)
	x.tracker = ViewTracker{} // of another leader
	x.pass(10 * time.Second)
	require.Equal(t, number, x.machine.state.Number)

	x.fullyDrained = nil
	x.pass(8 * time.Second)
	require.Equal(t, Suspect, x.node("s-10").Phase)
	require.Equal(t, Member{ID: "s-11", Points: 200}, x.node("s-11"))
	require.Nil(t, x.machine.state.find("unknown"))
	x.fullyDrained = map[string]bool{"s-10": true}
	x.list["s-10"] = &one
	x.pass(10 * time.Second)
	require.Equal(t, Complete, x.node("s-10").Phase, "one that was lost before returns as any other does")
}

// TestPacesChangePoints: an agreed pace counts, also a first step of a tenth; switched off, capacities alone do.
func TestPacesChangePoints(t *testing.T) {
	x := begin(t)
	for id := range x.list {
		x.list[id].Kind = "lent"
	}
	x.machine.state.Paces, x.machine.state.PacesChangedAt, x.params.UsePaces = []Pace{{Kind: "lent", Percent: 90}}, unixSeconds(x.now), true
	x.pass(2 * time.Minute)
	require.Equal(t, Member{ID: "s-10", Points: 180}, x.node("s-10"))
	x.params.UsePaces = false
	x.pass(5 * time.Minute)
	require.Equal(t, Member{ID: "s-10", Points: 200}, x.node("s-10"))
}

// TestFlappingServerIsHeldOff: it stays off until it has been ready for long enough, longer each time.
func TestFlappingServerIsHeldOff(t *testing.T) {
	x := begin(t)
	s := x.list["s-10"]
	for range 10 {
		s.Ready = false
		x.pass(2 * time.Second)
		s.Ready = true
		x.pass(2 * time.Second)
		n := x.node("s-10")
		require.Zero(t, n.OnRing())
	}
	back := func() (after time.Duration) {
		for from := x.now; x.node("s-10").Phase != Complete; after = x.now - from {
			x.pass(time.Second)
		}
		return after
	}
	first := back()
	for range 4 {
		s.Ready = false
		x.pass(10 * time.Second)
		s.Ready = true
		back()
	}
	s.Ready = false
	x.pass(10 * time.Second)
	s.Ready = true
	require.Greater(t, back(), 2*first)
}

// TestCapacityChanges: a capacity that lasts a moment changes no points, one that stays does, by the rate.
func TestCapacityChanges(t *testing.T) {
	x := begin(t)
	number := x.machine.state.Number
	for i := range 30 {
		x.list["s-10"].Capacity = []float64{0.5, 2, 1}[i%3]
		x.pass(5 * time.Second)
	}
	require.Equal(t, number, x.machine.state.Number)
	x.list["s-10"].Capacity = 2
	x.pass(40 * time.Second)
	require.Greater(t, x.node("s-10").Points, uint16(200))
	x.pass(time.Minute)
	require.Equal(t, Member{ID: "s-10", Points: 400}, x.node("s-10"))
	x.list["s-11"].Capacity = -1 // invalid: the usual capacity
	x.pass(time.Minute)
	require.Equal(t, Member{ID: "s-11", Points: 200}, x.node("s-11"))
}

// TestDoubtfulListTakesNoServerOff: nor does one that is empty.
func TestDoubtfulListTakesNoServerOff(t *testing.T) {
	x := begin(t)
	was := x.machine.state
	for i := range 11 {
		delete(x.list, fmt.Sprint("s-", 10+i))
	}
	x.pass(time.Minute)
	require.Equal(t, was.OnRing(), x.machine.state.OnRing())
	clear(x.list)
	x.pass(time.Minute)
	require.Equal(t, was.OnRing(), x.machine.state.OnRing())
}

// TestSuspendedWithTooManyServers: and resumed once the snapshot has room again.
func TestSuspendedWithTooManyServers(t *testing.T) {
	x := begin(t)
	for i := range 900 {
		x.list[fmt.Sprint("more-", i)] = &Server{ID: fmt.Sprint("more-", i), Ready: true, Capacity: 1}
	}
	x.pass(30 * time.Second)
	require.True(t, x.machine.state.Suspended)
	agent := NewAgent()
	agent.Learn(x.machine)
	require.Nil(t, agent.Assignment(lease.ClockReading{Unix: x.now}, lease.Full))
	for i := range 400 {
		delete(x.list, fmt.Sprint("more-", i))
	}
	x.pass(30 * time.Second)
	require.False(t, x.machine.state.Suspended)
	agent.Learn(x.machine)
	require.Len(t, agent.Assignment(lease.ClockReading{Unix: x.now}, lease.Full).Points, 520)
	require.Less(t, len(x.machine.Snapshot()), MaxServersSize)
}

// TestLargestStateFitsTheSnapshot: beside the state of the other state machines.
func TestLargestStateFitsTheSnapshot(t *testing.T) {
	m, size := NewStateMachine(), 0
	for i := 0; ; i++ {
		n := Member{
			ID: fmt.Sprintf("%03d%s", i, strings.Repeat("x", i%100)), Phase: Suspect, Points: 1999, FullPoints: 2000,
			Since: 1 << 31, Penalty: 2000,
		}
		if size += len(n.ID) + BytesPerServer; size > MaxServersSize {
			break
		}
		m.state.Members = append(m.state.Members, n)
	}
	require.True(t, m.state.isValid())
	require.Less(t, len(m.Snapshot()), MaxServersSize+100)
	require.LessOrEqual(t, 50<<10+operatorcommand.MaxBytes+16<<10+MaxServersSize+1<<10, raftlog.MaxSnapshotBytes)
}

// TestAnyRecords: any records leave the state valid, and a snapshot gives the same state.
func TestAnyRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewStateMachine()
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			c := Change{Base: rapid.Uint64Range(0, 5).Draw(t, "base"), Now: m.state.EffectiveAt, EffectiveAt: m.state.EffectiveAt + 1}
			for range rapid.IntRange(0, 4).Draw(t, "nodes") {
				c.Members = append(c.Members, Member{
					ID:    rapid.StringN(0, 3, 200).Draw(t, "id"),
					Phase: Phase(rapid.IntRange(0, 9).Draw(t, "phase")), Points: rapid.Uint16Range(0, 3000).Draw(t, "points"),
				})
			}
			if rapid.Bool().Draw(t, "drop") {
				c.Forgotten = []string{rapid.StringN(0, 3, 9).Draw(t, "dropped")}
			}
			data := c.Encode()
			if rapid.IntRange(0, 9).Draw(t, "spoilt") == 0 {
				data = rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
			}
			m.Apply(1, data)
			require.True(t, m.state.isValid())
			other := NewStateMachine()
			require.NoError(t, other.Restore(m.Snapshot()))
			require.Equal(t, m.Snapshot(), other.Snapshot())
		}
		require.Error(t, m.Restore([]byte("x")))
	})
}

// BenchmarkNextChange is of a leader's view of 600 servers, where nothing is to be done.
func BenchmarkNextChange(b *testing.B) {
	m, f, now, servers := NewStateMachine(), Parameters{}.WithDefaults(), time.Hour, []ObservedServer{}
	for i := range 600 {
		servers = append(servers, ObservedServer{Server: Server{ID: fmt.Sprintf("s-%08x", i), Ready: true, Capacity: 0.5}})
	}
	for range 2 {
		now += 10 * time.Second
		if c, is := NextChange(m.state, servers, f, now); is {
			m.Apply(1, c.Encode())
		}
	}
	for b.Loop() {
		NextChange(m.state, servers, f, now)
	}
}
