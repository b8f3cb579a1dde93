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

// fleet plays a leader's part alone: a clock, a list, the machine.
type fleet struct {
	t       *testing.T
	f       Parameters
	now     time.Duration
	watch   ViewTracker
	emptied map[string]bool
	list    map[string]*Server
	machine *StateMachine
}

func begin(t *testing.T, servers int) *fleet {
	x := &fleet{t: t, now: 1e6 * time.Hour, list: map[string]*Server{}, machine: NewStateMachine(), f: Parameters{
		SlowStart: slowstart.Params{InitialCapacity: 0.31, Duration: 9 * time.Second, OverloadMultiple: 3, Margin: 0.4, MaxOfWarm: 1},
	}.WithDefaults()}
	for i := range servers {
		x.list[fmt.Sprint("s-", 10+i)] = &Server{ID: fmt.Sprint("s-", 10+i), Ready: true, Capacity: 1}
	}
	x.pass(5 * time.Minute)
	return x
}

// pass has time go by, with a look each second and a generation as soon as one may be.
func (x *fleet) pass(d time.Duration) {
	for end := x.now + d; x.now < end; x.now += time.Second {
		v := View{Now: x.now, FullyDrained: x.emptied}
		for _, s := range x.list {
			v.Servers = append(v.Servers, *s)
		}
		sights := x.watch.Update(v)
		if x.now < x.machine.state.EffectiveAt+x.f.Terms.FenceWait() {
			continue
		}
		if c, is := NextChange(x.machine.state, sights, x.f, x.now); is {
			x.machine.Apply(1, c.Encode())
			require.Equal(x.t, c.Base+1, x.machine.state.Number)
		}
	}
}

func (x *fleet) node(id string) Member {
	n := x.machine.state.find(id)
	require.NotNil(x.t, n, id)
	return *n
}

// Each state is entered as the rules say.
func TestStates(t *testing.T) {
	x := begin(t, 20)
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

// A server that windows have emptied stays as it is, whatever becomes of it and whoever leads; when it is that no
// more it is lost only if it is not back.
func TestEmptied(t *testing.T) {
	x := begin(t, 20)
	number := x.machine.state.Number
	one, other := *x.list["s-10"], x.list["s-11"]
	x.emptied = map[string]bool{"s-10": true, "s-11": true, "unknown": true}
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
	x.watch = ViewTracker{} // of another leader
	x.pass(10 * time.Second)
	require.Equal(t, number, x.machine.state.Number)

	x.emptied = nil
	x.pass(8 * time.Second)
	require.Equal(t, Suspect, x.node("s-10").Phase)
	require.Equal(t, Member{ID: "s-11", Points: 200}, x.node("s-11"))
	require.Nil(t, x.machine.state.find("unknown"))
	x.emptied = map[string]bool{"s-10": true}
	x.list["s-10"] = &one
	x.pass(10 * time.Second)
	require.Equal(t, Complete, x.node("s-10").Phase, "one that was lost before comes back as any does")
}

// An agreed pace counts by what is agreed, also a first step of a tenth; switched off, capacities alone do.
func TestPacesCount(t *testing.T) {
	x := begin(t, 20)
	for id := range x.list {
		x.list[id].Kind = "lent"
	}
	x.machine.state.Paces, x.machine.state.PacesChangedAt, x.f.UsePaces = []Pace{{Kind: "lent", Percent: 90}}, unixSeconds(x.now), true
	x.pass(2 * time.Minute)
	require.Equal(t, Member{ID: "s-10", Points: 180}, x.node("s-10"))
	x.f.UsePaces = false
	x.pass(5 * time.Minute)
	require.Equal(t, Member{ID: "s-10", Points: 200}, x.node("s-10"))
}

// One that flaps stays off until it has been back for long enough, longer each time.
func TestHeldOff(t *testing.T) {
	x := begin(t, 20)
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

// What is told for a moment changes no points, what stays does, by the rate.
func TestCapacity(t *testing.T) {
	x := begin(t, 20)
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
	x.list["s-11"].Capacity = -1 // nonsense: the usual one
	x.pass(time.Minute)
	require.Equal(t, Member{ID: "s-11", Points: 200}, x.node("s-11"))
}

// A leader whose list has lost over half of the servers takes none off, nor does one that sees none.
func TestListNotBelieved(t *testing.T) {
	x := begin(t, 20)
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

// With more servers than the log's snapshot has room for, placement stands off, and comes back.
func TestStandsOff(t *testing.T) {
	x := begin(t, 20)
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

// The fullest state there may be has room in the log's snapshot beside the others.
func TestRoom(t *testing.T) {
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

// Whatever records come, the state stays one that could be, and a snapshot makes the same of it.
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

// A leader's look at 600 servers, where nothing is to be done.
func BenchmarkNext(b *testing.B) {
	m, f, now, sights := NewStateMachine(), Parameters{}.WithDefaults(), time.Hour, []ObservedServer{}
	for i := range 600 {
		sights = append(sights, ObservedServer{Server: Server{ID: fmt.Sprintf("s-%08x", i), Ready: true, Capacity: 0.5}})
	}
	for range 2 {
		now += 10 * time.Second
		if c, is := NextChange(m.state, sights, f, now); is {
			m.Apply(1, c.Encode())
		}
	}
	for b.Loop() {
		NextChange(m.state, sights, f, now)
	}
}
