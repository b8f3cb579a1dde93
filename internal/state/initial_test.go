package state

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// endpointList returns a list of servers, each given as id, port and start time in nanoseconds.
func endpointList(version int64, servers ...[3]int) protocol.EndpointList {
	list := protocol.EndpointList{Version: version, Full: true}
	for _, s := range servers {
		list.Endpoints = append(list.Endpoints, protocol.Endpoint{Server: balancer.Server{
			ID: fmt.Sprintf("s-%d", s[0]), Weight: 1,
			StartedAt: time.Duration(s[2]),
		}, Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.1:%d", s[1]))})
	}
	return list
}

// An agent starts with the newer list, and keeps the statistics of servers whose incarnation is unchanged in it.
func TestInitialPrefersTheNewerList(t *testing.T) {
	now := time.UnixMilli(1_796_000_000_000)
	stored := endpointList(41, [3]int{1, 9001}, [3]int{2, 9002}, [3]int{3, 9003, 7})
	f := &File{
		Header: Header{WrittenMS: now.Add(-time.Minute).UnixMilli()},
		Content: Content{
			List: NewStoredList(stored, now.Add(-2*time.Minute).UnixMilli()), IdleConnections: &routing.IdleSnapshot{},
			Balancer: &balancer.Snapshot{Servers: []balancer.ServerSnapshot{{ID: "s-1"}, {ID: "s-2"}, {ID: "s-3", StartedAt: 7}}},
		},
	}
	for name, c := range map[string]struct {
		configured protocol.EndpointList
		version    int64
		fromFile   bool
		servers    []string
	}{
		"older":    {endpointList(40, [3]int{1, 9001}), 41, true, []string{"s-1", "s-2", "s-3"}},
		"the same": {stored, 41, false, []string{"s-1", "s-2", "s-3"}},
		"newer, moved, replaced, restarted, gone": {
			endpointList(42, [3]int{1, 9009}, [3]int{3, 9003, 8}, [3]int{4, 9002}),
			42, false, nil,
		},
		"newer, two the same": {endpointList(42, [3]int{2, 9002}, [3]int{3, 9003, 7}), 42, false, []string{"s-2", "s-3"}},
	} {
		initial, err := NewInitial(c.configured, f, now)
		require.NoError(t, err)
		require.Equal(t, c.version, initial.List.Version, name)
		require.Equal(t, c.fromFile, initial.IsFromFile, name)
		require.Equal(t, 2*time.Minute, initial.ListAge)
		require.Equal(t, time.Minute, initial.Age)
		var servers []string
		for _, s := range initial.Balancer.Servers {
			servers = append(servers, s.ID)
		}
		require.Equal(t, c.servers, servers, name)
	}
	clockSetBack, err := NewInitial(stored, f, now.AddDate(-1, 0, 0))
	require.NoError(t, err)
	require.Negative(t, clockSetBack.Age)
	require.Negative(t, clockSetBack.ListAge)

	f.List.Endpoints[1].Addr = "nowhere"
	unusable, err := NewInitial(stored, f, now)
	require.Error(t, err)
	require.Equal(t, Initial{List: stored, ListAge: -1}, unusable)
	unusable, err = NewInitial(stored, nil, now)
	require.NoError(t, err)
	require.Equal(t, Initial{List: stored, ListAge: -1}, unusable)
}

// balancerSpy is a Balancer that records its calls.
type balancerSpy struct{ calls []string }

func (s *balancerSpy) Snapshot(time.Duration) balancer.Snapshot {
	return balancer.Snapshot{SendRate: 7}
}

func (s *balancerSpy) Restore(time.Duration, balancer.Snapshot, time.Duration) {
	s.calls = append(s.calls, "restore")
}

// gateSpy is an OverloadGate that records the age of the restored snapshot.
type gateSpy struct{ age time.Duration }

func (g *gateSpy) Snapshot(time.Duration) overload.Snapshot { return overload.Snapshot{InFlight: 5} }

func (g *gateSpy) Restore(_ time.Duration, m overload.Snapshot, age time.Duration) {
	g.age = age + time.Duration(m.InFlight)
}

func (s *balancerSpy) ForgetServer(id string) { s.calls = append(s.calls, "forget "+id) }
func (s *balancerSpy) StartProbation(trust float64) {
	s.calls = append(s.calls, fmt.Sprint("probation ", trust))
}
func (s *balancerSpy) ConfirmServerList() { s.calls = append(s.calls, "confirm") }

// Until discovery has confirmed the list, an update can show that a server was replaced, and its statistics are
// forgotten. Later updates forget nothing. A snapshot has the current list and the time of its last confirmation.
func TestRecorderForgetsReplacedServersBeforeConfirmation(t *testing.T) {
	b, gate, idle := &balancerSpy{}, &gateSpy{}, routing.NewIdleLimit(0, 10*time.Second)
	recorder := NewRecorder(Initial{
		List: endpointList(41, [3]int{1, 9001}, [3]int{2, 9002}, [3]int{3, 9003}), Balancer: &balancer.Snapshot{},
		Overload: &overload.Snapshot{InFlight: 7}, Age: time.Minute, ConfirmedAt: 5 * time.Millisecond, ListAge: 30 * time.Second,
	},
		b, gate, idle, ProbationSettings{Enabled: true, FullDeploy: time.Minute})
	recorder.RestoreLearned(time.Second)
	require.Equal(t, time.Minute+7, gate.age)
	require.False(t, recorder.ListUpdated(2*time.Second, balancer.UpdateFailed, protocol.EndpointList{}, routing.Unconfirmed))
	require.False(t, recorder.ListUpdated(3*time.Second, balancer.UpdateIncremental, protocol.EndpointList{}, routing.Unconfirmed)) // the watch call was accepted
	require.Equal(t, int64(5), recorder.Snapshot(4*time.Second).Content().List.ConfirmedMS)
	update := endpointList(43, [3]int{1, 9009}, [3]int{2, 9002, 6}, [3]int{4, 9001})
	update.Full = false
	removed := protocol.Endpoint{Server: balancer.Server{ID: "s-3", State: balancer.Gone}}
	update.Endpoints = append(update.Endpoints, removed)
	require.True(t, recorder.ListUpdated(5*time.Second, balancer.UpdateIncremental, update, routing.Confirmed))
	require.Equal(t, []string{"restore", "probation 0.5", "forget s-1", "forget s-2", "confirm"}, b.calls)
	require.False(t, recorder.ListUpdated(6*time.Second, balancer.UpdateFull, endpointList(44, [3]int{1, 9010}), routing.Confirmed))
	require.Len(t, b.calls, 5)

	content := recorder.Snapshot(9 * time.Second).Content()
	require.Equal(t, int64(44), content.List.Version)
	require.InDelta(t, 5.0, content.Overload.InFlight, 0)
	require.Equal(t, int64(9000), content.List.ConfirmedMS, "an open watch must confirm the list")
	ids := []string{}
	for _, s := range content.List.Endpoints {
		ids = append(ids, s.ID+" "+s.Addr)
	}
	require.Equal(t, []string{"s-1 10.0.0.1:9010"}, slices.Compact(ids), "a full update must replace the whole list")
	recorder.ListUpdated(10*time.Second, balancer.UpdateFailed, protocol.EndpointList{}, routing.Unconfirmed)
	require.Equal(t, int64(10000), recorder.Snapshot(20*time.Second).Content().List.ConfirmedMS)
}

// The learned limit on idle connections is restored and decays with the age of its snapshot.
func TestIdleLimitIsRestored(t *testing.T) {
	l := routing.NewIdleLimit(0, 15*time.Second)
	for range 20 {
		l.Record(time.Second, 100*time.Millisecond, false)
		l.Record(time.Second, 2*time.Second, true)
	}
	learned := l.Limit()
	require.Less(t, learned, 3*time.Second)
	m := l.Snapshot(2 * time.Second)
	for age, want := range map[time.Duration]time.Duration{
		0: learned, 20 * time.Second: learned,
		10 * time.Minute: 9 * time.Second, -time.Second: 9 * time.Second,
	} {
		again := routing.NewIdleLimit(time.Hour, 15*time.Second)
		again.Restore(m, age)
		require.Equal(t, want, again.Limit(), age)
	}
}

// Measures the time that the agent's actor spends on a snapshot of 1000 servers.
func BenchmarkSnapshot(b *testing.B) {
	var servers [][3]int
	for i := range 1000 {
		servers = append(servers, [3]int{i, 9000 + i})
	}
	list := endpointList(1, servers...)
	settings := balancer.Settings{Tick: time.Millisecond, Classes: []balancer.Class{{Deadline: time.Second}}}
	b0, _ := balancer.New(settings, 1)
	update := &balancer.ServerListUpdate{Kind: balancer.UpdateFull}
	for _, s := range list.Endpoints {
		update.Servers = append(update.Servers, s.Server)
	}
	gate, _ := overload.New(settings, overload.Config{}, b0, 1)
	gate.Step(time.Hour, update)
	recorder := NewRecorder(Initial{List: list}, b0, gate, routing.NewIdleLimit(0, time.Second), ProbationSettings{})
	for b.Loop() {
		recorder.Snapshot(time.Hour)
	}
}
