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

// leader simulates a leader without a fleet, with a clock, an endpoint list and the state machine.
type leader struct {
	t            *testing.T
	params       Parameters
	now          time.Duration
	tracker      ViewTracker
	fullyDrained map[string]bool
	list         map[string]*Server
	machine      *StateMachine
}

// newLeader returns a leader with 20 servers after 5 min of simulated time.
func newLeader(t *testing.T) *leader {
	x := &leader{t: t, now: 1e6 * time.Hour, list: map[string]*Server{}, machine: NewStateMachine(), params: Parameters{
		SlowStart: slowstart.Params{InitialCapacity: 0.31, Duration: 9 * time.Second, OverloadMultiple: 3, Margin: 0.4, MaxWarmMultiple: 1},
	}.WithDefaults()}
	for i := range 20 {
		x.list[fmt.Sprint("s-", 10+i)] = &Server{ID: fmt.Sprint("s-", 10+i), Ready: true, Capacity: 1}
	}
	x.advance(5 * time.Minute)
	return x
}

// advance advances the time, with a view each second and a generation as soon as one may be proposed.
func (x *leader) advance(d time.Duration) {
	for end := x.now + d; x.now < end; x.now += time.Second {
		v := View{Now: x.now, FullyDrained: x.fullyDrained}
		for _, s := range x.list {
			v.Servers = append(v.Servers, *s)
		}
		servers := x.tracker.Update(v)
		if x.now < x.machine.state.EffectiveAt+x.params.Terms.FenceWait() {
			continue
		}
		if c, found := NextChange(x.machine.state, servers, x.params, x.now); found {
			x.machine.Apply(1, c.Encode())
			require.Equal(x.t, c.Base+1, x.machine.state.Number)
		}
	}
}

func (x *leader) member(id string) Member {
	n := x.machine.state.find(id)
	require.NotNil(x.t, n, id)
	return *n
}

// TestPhaseTransitions checks the phases and points of servers that vanish, return, join, drain and restart.
func TestPhaseTransitions(t *testing.T) {
	x := newLeader(t)
	require.Equal(t, Member{ID: "s-10", Points: 200}, x.member("s-10"))
	vanished := *x.list["s-10"]
	delete(x.list, "s-10")
	x.advance(3 * time.Second)
	require.Equal(t, Suspect, x.member("s-10").Phase)
	n := x.member("s-10")
	require.Zero(t, n.PointsOnRing())
	require.EqualValues(t, 200, n.Points)

	x.list["s-10"] = &vanished
	x.advance(12 * time.Second)
	require.Equal(t, Complete, x.member("s-10").Phase)
	require.EqualValues(t, 200, x.member("s-10").Points)

	delete(x.list, "s-10")
	x.advance(50 * time.Second)
	require.Equal(t, Gone, x.member("s-10").Phase)
	x.advance(15 * time.Minute)
	require.Nil(t, x.machine.state.find("s-10"))

	x.list["new"] = &Server{ID: "new", Ready: true, Capacity: 2, StartedAt: x.now}
	x.advance(2 * time.Second)
	require.Equal(t, Joining, x.member("new").Phase)
	require.Less(t, x.member("new").Points, uint16(250))
	x.advance(2 * time.Minute)
	require.Equal(t, Member{ID: "new", Points: 400}, x.member("new"))

	x.list["s-11"].Draining = true
	x.advance(8 * time.Second)
	require.Equal(t, Away, x.member("s-11").Phase)
	require.Zero(t, x.member("s-11").Points)

	x.list["s-13"].StartedAt = x.now
	x.advance(6 * time.Second)
	require.Equal(t, Joining, x.member("s-13").Phase)
}

// TestFullyDrainedServersStay checks that a server that windows have fully drained keeps its phase and points through
// restarts, absence and a change of leader, and that after the window it is lost only if it has not returned.
func TestFullyDrainedServersStay(t *testing.T) {
	x := newLeader(t)
	number := x.machine.state.Number
	absent, draining := *x.list["s-10"], x.list["s-11"]
	x.fullyDrained = map[string]bool{"s-10": true, "s-11": true, "unknown": true}
	for range 5 { // restarts
		delete(x.list, "s-10")
		draining.Draining = true
		x.advance(10 * time.Second)
		absent.StartedAt, draining.StartedAt = x.now, x.now
		x.list["s-10"], draining.Draining = &absent, false
		x.advance(10 * time.Second)
	}
	delete(x.list, "s-10")
	x.advance(2 * time.Minute)
	x.tracker = ViewTracker{} // as at a new leader
	x.advance(10 * time.Second)
	require.Equal(t, number, x.machine.state.Number)

	x.fullyDrained = nil
	x.advance(8 * time.Second)
	require.Equal(t, Suspect, x.member("s-10").Phase)
	require.Equal(t, Member{ID: "s-11", Points: 200}, x.member("s-11"))
	require.Nil(t, x.machine.state.find("unknown"))
	x.fullyDrained = map[string]bool{"s-10": true}
	x.list["s-10"] = &absent
	x.advance(10 * time.Second)
	require.Equal(t, Complete, x.member("s-10").Phase, "a server that was lost before the window returns during the window")
}

// TestPacesChangePoints checks that an agreed pace changes points, even a first step of 10 %, and that without UsePaces only
// capacities determine points.
func TestPacesChangePoints(t *testing.T) {
	x := newLeader(t)
	for id := range x.list {
		x.list[id].Kind = "lent"
	}
	x.machine.state.Paces, x.machine.state.PacesChangedAt, x.params.UsePaces = []Pace{{Kind: "lent", Percent: 90}}, unixSeconds(x.now), true
	x.advance(2 * time.Minute)
	require.Equal(t, Member{ID: "s-10", Points: 180}, x.member("s-10"))
	x.params.UsePaces = false
	x.advance(5 * time.Minute)
	require.Equal(t, Member{ID: "s-10", Points: 200}, x.member("s-10"))
}

// TestFlappingServerIsHeldOff checks that a flapping server stays off the ring until it has been ready for long enough, and
// that this time grows with each flap.
func TestFlappingServerIsHeldOff(t *testing.T) {
	x := newLeader(t)
	s := x.list["s-10"]
	for range 10 {
		s.Ready = false
		x.advance(2 * time.Second)
		s.Ready = true
		x.advance(2 * time.Second)
		n := x.member("s-10")
		require.Zero(t, n.PointsOnRing())
	}
	waitForReturn := func() (after time.Duration) {
		for from := x.now; x.member("s-10").Phase != Complete; after = x.now - from {
			x.advance(time.Second)
		}
		return after
	}
	first := waitForReturn()
	for range 4 {
		s.Ready = false
		x.advance(10 * time.Second)
		s.Ready = true
		waitForReturn()
	}
	s.Ready = false
	x.advance(10 * time.Second)
	s.Ready = true
	require.Greater(t, waitForReturn(), 2*first)
}

// TestCapacityChanges checks that a short change of capacity moves no points, that a lasting one does, limited by the move
// rate, and that an invalid capacity counts as 1.
func TestCapacityChanges(t *testing.T) {
	x := newLeader(t)
	number := x.machine.state.Number
	for i := range 30 {
		x.list["s-10"].Capacity = []float64{0.5, 2, 1}[i%3]
		x.advance(5 * time.Second)
	}
	require.Equal(t, number, x.machine.state.Number)
	x.list["s-10"].Capacity = 2
	x.advance(40 * time.Second)
	require.Greater(t, x.member("s-10").Points, uint16(200))
	x.advance(time.Minute)
	require.Equal(t, Member{ID: "s-10", Points: 400}, x.member("s-10"))
	x.list["s-11"].Capacity = -1 // invalid: counts as 1
	x.advance(time.Minute)
	require.Equal(t, Member{ID: "s-11", Points: 200}, x.member("s-11"))
}

// TestDoubtfulListTakesNoServerOff checks that a list without more than half of the servers, or an empty list, takes no
// server off the ring.
func TestDoubtfulListTakesNoServerOff(t *testing.T) {
	x := newLeader(t)
	before := x.machine.state
	for i := range 11 {
		delete(x.list, fmt.Sprint("s-", 10+i))
	}
	x.advance(time.Minute)
	require.Equal(t, before.PointsOnRing(), x.machine.state.PointsOnRing())
	clear(x.list)
	x.advance(time.Minute)
	require.Equal(t, before.PointsOnRing(), x.machine.state.PointsOnRing())
}

// TestSuspendedWithTooManyServers checks that the assignment is suspended if the servers do not fit the snapshot, and
// resumes once they do.
func TestSuspendedWithTooManyServers(t *testing.T) {
	x := newLeader(t)
	for i := range 900 {
		x.list[fmt.Sprint("more-", i)] = &Server{ID: fmt.Sprint("more-", i), Ready: true, Capacity: 1}
	}
	x.advance(30 * time.Second)
	require.True(t, x.machine.state.Suspended)
	agent := NewAgent()
	agent.Learn(x.machine)
	require.Nil(t, agent.Assignment(lease.ClockReading{Unix: x.now}, lease.Full))
	for i := range 400 {
		delete(x.list, fmt.Sprint("more-", i))
	}
	x.advance(30 * time.Second)
	require.False(t, x.machine.state.Suspended)
	agent.Learn(x.machine)
	require.Len(t, agent.Assignment(lease.ClockReading{Unix: x.now}, lease.Full).Points, 520)
	require.Less(t, len(x.machine.Snapshot()), MaxServersSize)
}

// TestLargestStateFitsTheSnapshot checks that the largest state fits the log's snapshot beside the state of the other state
// machines.
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

// TestArbitraryRecords checks that arbitrary records leave the state valid, and that a restored snapshot gives the same
// state.
func TestArbitraryRecords(t *testing.T) {
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
				c.RemovedIDs = []string{rapid.StringN(0, 3, 9).Draw(t, "dropped")}
			}
			data := c.Encode()
			if rapid.IntRange(0, 9).Draw(t, "malformed") == 0 {
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

// BenchmarkNextChange measures NextChange for a view of 600 servers when no change is needed.
func BenchmarkNextChange(b *testing.B) {
	m, params, now, servers := NewStateMachine(), Parameters{}.WithDefaults(), time.Hour, []ObservedServer{}
	for i := range 600 {
		servers = append(servers, ObservedServer{Server: Server{ID: fmt.Sprintf("s-%08x", i), Ready: true, Capacity: 0.5}})
	}
	for range 2 {
		now += 10 * time.Second
		if c, found := NextChange(m.state, servers, params, now); found {
			m.Apply(1, c.Encode())
		}
	}
	for b.Loop() {
		NextChange(m.state, servers, params, now)
	}
}
