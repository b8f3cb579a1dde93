package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/fleet/internal/compact"
	"dunestep/internal/simnet"
)

// lab simulates the messages to which updates are added: each agent sends a digest to another agent every 1.5 s, and a
// request to one of five voters every 2 s, to which the voter replies with a grant.
type lab struct {
	*simnet.Network
	lists []*List
	down  []bool
	ticks []int // count of timer ticks, by agent
}

const (
	voters      = 5
	updateBytes = 64  // of the updates in digests and requests
	grantBytes  = 200 // of the updates in grants
)

func newLab(seed uint64, agents int, loss float64) *lab {
	faults := simnet.Faults{
		Loss: loss, Duplicate: loss / 10, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond, Late: loss / 10,
		Lateness: 2 * time.Second,
	}
	l := &lab{
		Network: simnet.NewNetwork(seed, agents, time.Hour, faults), lists: make([]*List, agents), down: make([]bool, agents),
		ticks: make([]int, agents),
	}
	l.OnMessage = func(to, from int, data []byte) {
		if l.down[to] {
			return
		}
		if err := l.lists[to].ApplyUpdate(l.SteadyTime(to), from, data[1:]); err != nil {
			panic(err)
		}
		if data[0] == 'r' {
			l.send(to, from, 'g')
		}
	}
	l.OnTimer = func(node int) {
		if l.down[node] {
			return
		}
		l.lists[node].PresentCount(l.SteadyTime(node))
		if l.ticks[node]++; l.ticks[node]%7 < 4 { // four digests and three requests in 6 s
			if to := l.Rand().IntN(agents); to != node {
				l.send(node, to, 'd')
			}
		} else if to := l.ticks[node] % voters; to != node {
			l.send(node, to, 'r')
		}
		l.SetTimer(node, l.SteadyTime(node)+857*time.Millisecond)
	}
	for a := range agents {
		l.start(a)
	}
	return l
}

func (l *lab) start(a int) {
	l.down[a] = false
	l.lists[a] = New(Settings{Agents: len(l.lists), Self: a, StartedAt: l.Now(), Seed: uint64(l.Now()) + uint64(a)}, l.SteadyTime(a))
	l.ticks[a] = l.Rand().IntN(100)
	l.SetTimer(a, l.SteadyTime(a)+time.Duration(l.Rand().Int64N(int64(time.Second))))
}

func (l *lab) send(from, to int, kind byte) {
	maxBytes := updateBytes
	if kind == 'g' {
		maxBytes = grantBytes
	}
	l.Send(from, to, append([]byte{kind}, l.lists[from].Update(l.SteadyTime(from), to, maxBytes)...))
	l.lists[from].NoteSent(l.SteadyTime(from), to)
}

// countStatus returns the number of running agents that see an agent in one of some statuses.
func (l *lab) countStatus(of int, status ...Status) (count int) {
	for a, list := range l.lists {
		for _, s := range status {
			if a != of && !l.down[a] && list.Status(l.SteadyTime(a), of) == s {
				count++
			}
		}
	}
	return count
}

// runUntil runs until count agents see an agent in one of some statuses, for at most 10 minutes, and returns the duration.
func (l *lab) runUntil(of, count int, status ...Status) time.Duration {
	begin := l.Now()
	for l.countStatus(of, status...) < count {
		if l.Now()-begin > 10*time.Minute {
			return l.Now() - begin
		}
		l.Run(l.Now() + 250*time.Millisecond)
	}
	return l.Now() - begin
}

// countFalse returns the number of pairs of agents of which one wrongly sees the other as Silent, Left or OneWay.
func (l *lab) countFalse() (count int) {
	for of := range l.lists {
		count += l.countStatus(of, Silent, Left, OneWay)
	}
	return count
}

// Live agents are never seen as silent, and agents that leave or end are detected, at several fleet sizes and packet
// losses.
func TestDetection(t *testing.T) {
	for _, n := range []int{6, 50, 300} {
		for _, loss := range []float64{0, 0.3} {
			l := newLab(uint64(n), n, loss)
			silence := l.lists[0].settings.SilenceTimeout
			for range 6 {
				l.Run(l.Now() + silence/2)
				require.Zero(t, l.countFalse(), "%d agents, loss %v", n, loss)
			}
			for a := range n {
				require.Equal(t, n, l.lists[a].PresentCount(l.SteadyTime(a)))
			}
			all := n - 1
			l.lists[n-1].Leave()
			l.send(n-1, 0, 'd')
			l.send(n-1, 1, 'd')
			l.Run(l.Now() + time.Second)
			l.down[n-1] = true
			left := l.runUntil(n-1, all, Left)
			l.start(n - 1)
			rejoined := l.runUntil(n-1, all, Alive, Suspect)
			l.Run(l.Now() + 20*time.Second)
			l.down[n-2] = true // without announcing it
			halfSilent := l.runUntil(n-2, (all+1)/2, Silent)
			allSilent := halfSilent + l.runUntil(n-2, all, Silent)
			t.Logf("%3d agents, loss %2.0f%%: leaving known to all after %v, return %v, end without announcement: half %v, all %v", n, loss*100,
				left, rejoined, halfSilent, allSilent)
			require.Less(t, left, time.Minute)
			require.Less(t, rejoined, time.Minute)
			require.Less(t, allSilent, silence*3/2)
			l.Run(l.Now() + 15*time.Second)
			require.Equal(t, all, l.lists[0].PresentCount(l.SteadyTime(0)))
		}
	}
}

// An agent that receives no messages, and one whose messages are not received, are detected by the other agents and by
// themselves. A single closed path does not make an agent OneWay.
func TestOneWayPaths(t *testing.T) {
	l := newLab(3, 50, 0.1)
	l.Run(l.Now() + time.Minute)
	const isolated, unreceived, single = 20, 21, 22
	for a := range 50 {
		l.SetCut(a, isolated, true)
		l.SetCut(unreceived, a, true)
	}
	l.SetCut(1, single, true)
	took := l.runUntil(isolated, 48, OneWay)
	t.Logf("the isolated agent is OneWay at all agents but one after %v", took)
	require.Less(t, took, 3*time.Minute)
	require.Equal(t, Isolated, l.lists[isolated].Connection(l.SteadyTime(isolated)))
	require.Less(t, l.runUntil(unreceived, 48, Silent), time.Minute)
	require.Equal(t, Unconfirmed, l.lists[unreceived].Connection(l.SteadyTime(unreceived)))
	require.Equal(t, Connected, l.lists[5].Connection(l.SteadyTime(5)))
	l.Run(l.Now() + time.Minute)
	require.Zero(t, l.countStatus(single, OneWay))
	require.True(t, l.lists[1].IsPathClosed(l.SteadyTime(1), single))
	require.False(t, l.lists[2].IsPathClosed(l.SteadyTime(2), single))
	for a := range 50 {
		l.SetCut(a, isolated, false)
		l.SetCut(unreceived, a, false)
	}
	l.SetCut(1, single, false)
	l.Run(l.Now() + 2*time.Minute)
	require.False(t, l.lists[1].IsPathClosed(l.SteadyTime(1), single))
	require.Zero(t, l.countFalse())
}

// While an agent repeats a false report that another one has left, some agents accept it. After the reports end, no agent
// does, as the other agent has refuted them.
func TestFalseLeaveReportsAreRefuted(t *testing.T) {
	l := newLab(4, 30, 0.1)
	l.Run(l.Now() + time.Minute)
	falselyLeft := 0
	for i := range 60 {
		of := l.lists[9].Incarnation() + uint64(i%3)<<refutationBits
		falseReport := update{Incarnation: l.lists[7].Incarnation(), Events: []event{{Agent: 9, Incarnation: of, Left: true, By: 9}}}
		l.Send(7, 8+i%20, append([]byte{'d'}, falseReport.encode(updateBytes)...))
		l.Run(l.Now() + 500*time.Millisecond)
		falselyLeft += l.countStatus(9, Left)
	}
	require.Positive(t, falselyLeft)
	l.Run(l.Now() + time.Minute)
	require.Zero(t, l.countFalse())
	require.Positive(t, l.lists[9].Stats().Refuted)
	l.start(9) // its start time is earlier than the incarnation with which it refuted the reports
	l.Run(l.Now() + time.Minute)
	require.Zero(t, l.countFalse())
}

// PresentCount reports all agents after the start, an increase at once, and a decrease only after a delay.
func TestPresentCountDecreasesAfterDelay(t *testing.T) {
	list := New(Settings{Agents: 4, SilenceTimeout: 20 * time.Second}, 0)
	require.Equal(t, 4, list.PresentCount(0))
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for _, c := range []struct {
		now      float64
		received int
		present  int
	}{{15, 1, 4}, {21, 1, 4}, {30, 1, 4}, {31.5, 2, 3}, {32, 3, 4}, {51.6, 1, 4}, {55, 2, 4}, {61.6, 1, 3}, {75, 1, 3}, {86, 1, 3}, {97, 1, 2}} {
		list.NoteReceived(at(c.now), c.received)
		require.Equal(t, c.present, list.PresentCount(at(c.now)), "%v", c.now)
	}
}

// TestApplyUpdate checks which updates and events are accepted, and their effect on statuses and closed paths.
func TestApplyUpdate(t *testing.T) {
	s := time.Second
	list := New(Settings{Agents: 6, SilenceTimeout: 40 * s, StartedAt: 1000 * s}, 0)
	incarnation := func(n uint64) uint64 { return (1000 + n) << refutationBits }
	apply := func(now time.Duration, from int, u update) {
		if u.Incarnation == 0 {
			u.Incarnation = incarnation(0)
		}
		require.NoError(t, list.ApplyUpdate(now, from, u.encode(200)))
	}
	left := func(of uint64) []event { return []event{{Agent: 2, By: 2, Incarnation: of, Left: true}} }
	ages := []byte{0, 0, 0}

	apply(1*s, 1, update{Incarnation: incarnation(5), Ages: ages, ReceivedAge: ageUnknown})
	apply(10*s, 1, update{Incarnation: incarnation(5), Events: left(incarnation(0)), ReceivedAge: ageUnknown})
	apply(12*s, 1, update{Incarnation: incarnation(5), Ages: ages, ReceivedAge: ageUnknown})
	require.Equal(t, Left, list.Status(12*s, 2), "a contact within leaveGrace does not count as a restart")
	apply(25*s, 1, update{Incarnation: incarnation(5), Ages: ages, ReceivedAge: ageUnknown})
	apply(26*s, 1, update{Incarnation: incarnation(5), Events: left(incarnation(0)), ReceivedAge: ageUnknown})
	require.Equal(t, Alive, list.Status(26*s, 2), "a contact after leaveGrace is of a later incarnation, to which the event does not apply")
	apply(30*s, 1, update{Incarnation: incarnation(5), Events: left(incarnation(9)), ReceivedAge: ageUnknown})
	require.Equal(t, Left, list.Status(30*s, 2))
	apply(31*s, 1, update{Incarnation: incarnation(4), ReceivedAge: 0})
	require.Equal(t, 30*s, list.agents[1].path.lastReceived, "a delayed update of an earlier incarnation is ignored")

	apply(31*s, 1, update{Incarnation: incarnation(5), Events: []event{{Incarnation: list.Incarnation(), Left: true}}, ReceivedAge: ageUnknown})
	require.Greater(t, list.Incarnation(), incarnation(0))
	apply(31*s, 1, update{Incarnation: incarnation(5), Events: left(incarnation(5000)), ReceivedAge: ageUnknown})
	apply(31*s, 1, update{Incarnation: incarnation(5), Events: []event{{Agent: 6}}, ReceivedAge: ageUnknown})
	require.ErrorIs(t, list.ApplyUpdate(31*s, 1, update{Incarnation: incarnation(5000)}.encode(200)), ErrInvalidUpdate)
	require.ErrorIs(t, list.ApplyUpdate(31*s, 1, update{Incarnation: incarnation(5), FirstAgent: 6}.encode(200)), ErrInvalidUpdate)
	require.ErrorIs(t, list.ApplyUpdate(31*s, 1, update{Incarnation: incarnation(5), Ages: make([]byte, 7)}.encode(200)), ErrInvalidUpdate)
	require.Equal(t, uint64(5), list.Stats().Dropped)

	apply(49*s, 3, update{ReceivedAge: ageUnknown})
	for range closedAfterSends {
		list.NoteSent(50*s, 3)
	}
	apply(51*s, 3, update{ReceivedAge: 2})
	require.False(t, list.IsPathClosed(51*s, 3), "the messages may still be in flight")
	apply(60*s, 3, update{ReceivedAge: 30})
	require.True(t, list.IsPathClosed(60*s, 3))
	list.agents[3].path.reports[0].announcements = 0
	apply(61*s, 3, update{ReceivedAge: 32})
	require.Zero(t, list.agents[3].path.reports[0].announcements, "a report of about the same time is not announced again")
	apply(62*s, 3, update{ReceivedAge: 0})
	require.False(t, list.IsPathClosed(62*s, 3))

	list = New(Settings{Agents: 4, SilenceTimeout: 20 * s}, 0)
	for _, c := range []struct {
		now               time.Duration
		received, present int
	}{{15 * s, 1, 4}, {21 * s, 1, 4}, {25 * s, 2, 4}, {26 * s, 2, 4}, {44 * s, 2, 3}} {
		list.NoteReceived(c.now, c.received)
		require.Equal(t, c.present, list.PresentCount(c.now), "the maximum count since the decrease began is reported; at %v", c.now)
	}
}

// Arbitrary bytes cause no panic, and an update never exceeds its maximum size.
func TestArbitraryUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 10, 300, 65535}).Draw(t, "agents")
		list := New(Settings{Agents: n, Self: n / 2, StartedAt: time.Duration(1 << 60)}, 0)
		number := rapid.SampledFrom([]uint16{0, 1, 9, 10, 299, 65535})
		incarnation := rapid.SampledFrom([]uint64{0, 1, list.Incarnation(), list.Incarnation() + 1<<20, 1<<64 - 1})
		for i := range 30 {
			now := time.Duration(i) * time.Second
			data := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "data")
			if rapid.Bool().Draw(t, "formed") {
				u := update{
					Incarnation: incarnation.Draw(t, "inc"), Leaving: rapid.Bool().Draw(t, "leaving"),
					ReceivedAge: rapid.Byte().Draw(t, "received"), FirstAgent: number.Draw(t, "start"), Ages: append([]byte{}, data...),
					Events: []event{{
						Agent: number.Draw(t, "agent"), Incarnation: incarnation.Draw(t, "inc"),
						Left: rapid.Bool().Draw(t, "left"), By: number.Draw(t, "by"),
					}},
				}
				data = u.encode(1000)
				require.Equal(t, compact.Marshal(u), data)
			}
			from := rapid.IntRange(-1, 400).Draw(t, "from")
			err := list.ApplyUpdate(now, from, data)
			if from < 0 || from >= n {
				require.ErrorIs(t, err, ErrInvalidUpdate)
			}
			list.NoteSent(now, from)
			maxBytes := rapid.IntRange(0, 200).Draw(t, "max bytes")
			require.LessOrEqual(t, len(list.Update(now, from, maxBytes)), maxBytes)
			require.Less(t, list.Incarnation(), uint64(1<<64-1))
			require.LessOrEqual(t, list.PresentCount(now), n)
			require.GreaterOrEqual(t, list.PresentCount(now), 1)
		}
	})
	list := New(Settings{Agents: 300, StartedAt: 1 << 60}, 0)
	require.Greater(t, len(list.Update(0, 1, updateBytes)), updateBytes-eventBytes, "the available bytes are used")
}
