package world

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// TestDiscoveryQueuesCalls: many agents begin at once; calls are taken up one after another, and those
// that waited too long fail and come again.
func TestDiscoveryQueuesCalls(t *testing.T) {
	set := deployment(30 * time.Second)
	set.Agents.Count, set.Load.PerS = 30, span(20, 20)
	set.Discovery.CallsPerS, set.Discovery.Timeout = span(4, 4), time.Second
	d := play(t, set, 7, Options{})
	watching := d.ofKind(record.Watching)
	taken := map[int32]bool{}
	for i, e := range watching {
		taken[e.Agent] = true
		if i > 0 {
			require.GreaterOrEqual(t, e.At-watching[i-1].At, 250*time.Millisecond)
		}
	}
	require.Len(t, taken, 30, "each agent's watch is taken up in the end")
	failed := d.ofKind(record.CallFailed)
	require.Greater(t, len(failed), 20)
	require.GreaterOrEqual(t, failed[0].At, time.Second, "a call fails when it has waited, not before")
}

// TestDiscoveryDelays follows processes that die and come back: discovery notices after its time, and its
// watches are told at the next of its periods, each a little apart.
func TestDiscoveryDelays(t *testing.T) {
	notice, join, period, spread := 2*time.Second, 1500*time.Millisecond, 700*time.Millisecond, 90*time.Millisecond
	d := playFault(t, scenario.Trouble{Kind: scenario.Crashed, Part: span(0.3, 0.3)}, func(set *scenario.Scenario) {
		set.Discovery.Notice, set.Discovery.Join = ms(2000, 2000), ms(1500, 1500)
		set.Discovery.Period, set.Discovery.Spread = ms(700, 700), ms(90, 90)
	})
	changed := d.ofKind(record.Changed)
	require.Len(t, changed, 2*4)
	for i, e := range changed {
		if i < 4 {
			require.Equal(t, record.Gone, e.State)
			require.Equal(t, faultStart+notice, e.At)
		} else {
			require.Equal(t, record.Active, e.State)
			require.Equal(t, faultEnd, e.Started)
			require.Equal(t, faultEnd+join, e.At)
		}
		told := map[int32]int{}
		for _, u := range d.ofKind(record.Told) {
			if u.Server == e.Server && u.State == e.State && u.Started == e.Started && u.At >= e.At {
				told[u.Agent]++
				next := e.At + period - e.At%period
				require.GreaterOrEqual(t, u.At, next)
				require.LessOrEqual(t, u.At, next+spread)
			}
		}
		require.Equal(t, map[int32]int{0: 1, 1: 1, 2: 1, 3: 1, 4: 1}, told, "each watch, once")
	}
}

// TestDiscoveryIgnoresStaleUpdates: a machine that vanishes and is back before its silence is noticed stays listed,
// and one whose process starts again is never listed as gone after that.
func TestDiscoveryIgnoresStaleUpdates(t *testing.T) {
	slowNotice := func(set *scenario.Scenario) {
		set.Discovery.Notice, set.Discovery.SilentNotice = ms(15000, 15000), ms(15000, 15000)
		set.Discovery.Join = ms(1000, 1000)
	}
	d := playFault(t, scenario.Trouble{Kind: scenario.Vanished, Part: span(0.3, 0.3)}, slowNotice)
	require.Empty(t, d.ofKind(record.Changed))
	d = playFault(t, scenario.Trouble{Kind: scenario.Crashed, Part: span(0.3, 0.3)}, slowNotice)
	require.Len(t, d.ofKind(record.Changed), 4)
	for _, e := range d.ofKind(record.Changed) {
		require.Equal(t, record.Active, e.State)
	}
}

// TestAgentStartsWithOlderList: an agent that comes back is told at first what discovery listed a while before.
func TestAgentStartsWithOlderList(t *testing.T) {
	set := deployment(runLength)
	set.Discovery.KnownAge, set.Discovery.Notice = ms(15000, 15000), ms(1000, 1000)
	set.Troubles = []scenario.Trouble{
		{Kind: scenario.Crashed, At: ms(10000, 10000), For: ms(25000, 25000), Part: span(0.3, 0.3)},
		{Kind: scenario.AgentsKilled, At: ms(15000, 15000), For: ms(1000, 1000), Count: 1},
	}
	d := play(t, set, 7, Options{})
	up := d.ofKind(record.AgentUp)
	require.Len(t, up, 6)
	first, later := map[int32]record.State{}, map[int32]record.State{}
	for _, e := range d.ofKind(record.Told) {
		if e.Agent == 0 && e.At == up[5].At {
			first[e.Server] = e.State
		} else if e.Agent == 0 && e.At > up[5].At && e.At < 30*time.Second {
			later[e.Server] = e.State
		}
	}
	require.Len(t, first, 13)
	gone := 0
	for server, state := range first {
		require.Equal(t, record.Active, state, "as it was 15 s before")
		if later[server] == record.Gone {
			gone++
		}
	}
	require.Equal(t, 4, gone, "and soon it is told better")
}
