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

// config is a list whose servers are written as id, port and start.
func config(version int64, servers ...[3]int) protocol.EndpointList {
	c := protocol.EndpointList{Version: version, Full: true}
	for _, s := range servers {
		c.Endpoints = append(c.Endpoints, protocol.Endpoint{Server: balancer.Server{
			ID: fmt.Sprintf("s-%d", s[0]), Weight: 1,
			StartedAt: time.Duration(s[2]),
		}, Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.1:%d", s[1]))})
	}
	return c
}

// The newer list is the one to start from; what was learned holds for the servers that are the same in it.
func TestBegin(t *testing.T) {
	now := time.UnixMilli(1_796_000_000_000)
	kept := config(41, [3]int{1, 9001}, [3]int{2, 9002}, [3]int{3, 9003, 7})
	f := &File{
		Header: Header{WrittenMS: now.Add(-time.Minute).UnixMilli()},
		Content: Content{
			List: NewStoredList(kept, now.Add(-2*time.Minute).UnixMilli()), IdleConnections: &routing.IdleSnapshot{},
			Balancer: &balancer.Snapshot{Servers: []balancer.ServerSnapshot{{ID: "s-1"}, {ID: "s-2"}, {ID: "s-3", StartedAt: 7}}},
		},
	}
	for name, c := range map[string]struct {
		known protocol.EndpointList
		list  int64
		file  bool
		holds []string
	}{
		"older":    {config(40, [3]int{1, 9001}), 41, true, []string{"s-1", "s-2", "s-3"}},
		"the same": {kept, 41, false, []string{"s-1", "s-2", "s-3"}},
		"newer, moved, replaced, restarted, gone": {
			config(42, [3]int{1, 9009}, [3]int{3, 9003, 8}, [3]int{4, 9002}),
			42, false, nil,
		},
		"newer, two the same": {config(42, [3]int{2, 9002}, [3]int{3, 9003, 7}), 42, false, []string{"s-2", "s-3"}},
	} {
		b, err := NewInitial(c.known, f, now)
		require.NoError(t, err)
		require.Equal(t, c.list, b.List.Version, name)
		require.Equal(t, c.file, b.IsFromFile, name)
		require.Equal(t, 2*time.Minute, b.ListAge)
		require.Equal(t, time.Minute, b.Age)
		var holds []string
		for _, s := range b.Balancer.Servers {
			holds = append(holds, s.ID)
		}
		require.Equal(t, c.holds, holds, name)
	}
	back, err := NewInitial(kept, f, now.AddDate(-1, 0, 0))
	require.NoError(t, err)
	require.Negative(t, back.Age)
	require.Negative(t, back.ListAge)

	f.List.Endpoints[1].Addr = "nowhere"
	none, err := NewInitial(kept, f, now)
	require.Error(t, err)
	require.Equal(t, Initial{List: kept, ListAge: -1}, none)
	none, err = NewInitial(kept, nil, now)
	require.NoError(t, err)
	require.Equal(t, Initial{List: kept, ListAge: -1}, none)
}

// spy is a module that notes what it is told.
type spy struct{ told []string }

func (s *spy) Snapshot(time.Duration) balancer.Snapshot { return balancer.Snapshot{SendRate: 7} }
func (s *spy) Restore(time.Duration, balancer.Snapshot, time.Duration) {
	s.told = append(s.told, "recall")
}

// spyGate is a gate that notes what it takes back.
type spyGate struct{ age time.Duration }

func (g *spyGate) Snapshot(time.Duration) overload.Snapshot { return overload.Snapshot{InFlight: 5} }

func (g *spyGate) Restore(_ time.Duration, m overload.Snapshot, age time.Duration) {
	g.age = age + time.Duration(m.InFlight)
}

func (s *spy) ForgetServer(id string)       { s.told = append(s.told, "disown "+id) }
func (s *spy) StartProbation(trust float64) { s.told = append(s.told, fmt.Sprint("doubt ", trust)) }
func (s *spy) ConfirmServerList()           { s.told = append(s.told, "confirm") }

// Until discovery confirms the list, what it tells may show that a server is another one than was known; after
// that nothing more comes of it. What is kept is the list as it is by then, and when it was last confirmed.
func TestSession(t *testing.T) {
	m, gate, idle := &spy{}, &spyGate{}, routing.NewIdleLimit(0, 10*time.Second)
	s := NewRecorder(Initial{
		List: config(41, [3]int{1, 9001}, [3]int{2, 9002}, [3]int{3, 9003}), Balancer: &balancer.Snapshot{},
		Overload: &overload.Snapshot{InFlight: 7}, Age: time.Minute, ConfirmedAt: 5 * time.Millisecond, ListAge: 30 * time.Second,
	},
		m, gate, idle, ProbationSettings{Enabled: true, FullDeploy: time.Minute})
	s.RestoreLearned(time.Second)
	require.Equal(t, time.Minute+7, gate.age)
	require.False(t, s.ListUpdated(2*time.Second, balancer.UpdateFailed, protocol.EndpointList{}, false))
	require.False(t, s.ListUpdated(3*time.Second, balancer.UpdateIncremental, protocol.EndpointList{}, false)) // a call has begun
	require.Equal(t, int64(5), s.Snapshot(4*time.Second).Content().List.ConfirmedMS)
	news := config(43, [3]int{1, 9009}, [3]int{2, 9002, 6}, [3]int{4, 9001})
	news.Full = false
	left := protocol.Endpoint{Server: balancer.Server{ID: "s-3", State: balancer.Gone}}
	news.Endpoints = append(news.Endpoints, left)
	require.True(t, s.ListUpdated(5*time.Second, balancer.UpdateIncremental, news, true))
	require.Equal(t, []string{"recall", "doubt 0.5", "disown s-1", "disown s-2", "confirm"}, m.told)
	require.False(t, s.ListUpdated(6*time.Second, balancer.UpdateFull, config(44, [3]int{1, 9010}), true))
	require.Len(t, m.told, 5)

	c := s.Snapshot(9 * time.Second).Content()
	require.Equal(t, int64(44), c.List.Version)
	require.Equal(t, 5.0, c.Overload.InFlight)
	require.Equal(t, int64(9000), c.List.ConfirmedMS, "the watch goes on")
	ids := []string{}
	for _, s := range c.List.Endpoints {
		ids = append(ids, s.ID+" "+s.Addr)
	}
	require.Equal(t, []string{"s-1 10.0.0.1:9010"}, slices.Compact(ids), "the last list was a whole one")
	s.ListUpdated(10*time.Second, balancer.UpdateFailed, protocol.EndpointList{}, false)
	require.Equal(t, int64(10000), s.Snapshot(20*time.Second).Content().List.ConfirmedMS)
}

// The limit on idle connections that was learned is there again, and fades as it would have.
func TestIdleIsTakenBack(t *testing.T) {
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

// What the module's actor spends on handing over what is known of a thousand servers.
func BenchmarkSnapshot(b *testing.B) {
	var servers [][3]int
	for i := range 1000 {
		servers = append(servers, [3]int{i, 9000 + i})
	}
	list := config(1, servers...)
	set := balancer.Settings{Tick: time.Millisecond, Classes: []balancer.Class{{Deadline: time.Second}}}
	module, _ := balancer.New(set, 1)
	news := &balancer.ServerListUpdate{Kind: balancer.UpdateFull}
	for _, s := range list.Endpoints {
		news.Servers = append(news.Servers, s.Server)
	}
	gate, _ := overload.New(set, overload.Config{}, module, 1)
	gate.Step(time.Hour, news)
	s := NewRecorder(Initial{List: list}, module, gate, routing.NewIdleLimit(0, time.Second), ProbationSettings{})
	for b.Loop() {
		s.Snapshot(time.Hour)
	}
}
