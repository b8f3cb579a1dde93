package world

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// TestDiscoveryQueuesCalls checks that discovery handles the calls of many starting agents one after
// another, and that calls which wait too long fail and are repeated.
func TestDiscoveryQueuesCalls(t *testing.T) {
	sc := deployment(30 * time.Second)
	sc.Agents.Count, sc.Load.PerS = 30, span(20, 20)
	sc.Discovery.CallsPerS, sc.Discovery.Timeout = span(4, 4), time.Second
	d := play(t, sc, 7, Options{})
	watching := d.ofKind(record.WatchOpened)
	accepted := map[int32]bool{}
	for i, e := range watching {
		accepted[e.Agent] = true
		if i > 0 {
			require.GreaterOrEqual(t, e.At-watching[i-1].At, 250*time.Millisecond)
		}
	}
	require.Len(t, accepted, 30, "each agent's watch is accepted eventually")
	failed := d.ofKind(record.CallFailed)
	require.Greater(t, len(failed), 20)
	require.GreaterOrEqual(t, failed[0].At, time.Second, "a call fails only after the timeout")
}

// TestDiscoveryDelays checks that discovery learns of crashed and restarted processes after its delays,
// and updates its watches at the next period, spread over a short time.
func TestDiscoveryDelays(t *testing.T) {
	notice, join, period, spread := 2*time.Second, 1500*time.Millisecond, 700*time.Millisecond, 90*time.Millisecond
	d := playFault(t, scenario.FaultSpec{Kind: scenario.Crashed, Part: span(0.3, 0.3)}, func(sc *scenario.Scenario) {
		sc.Discovery.Notice, sc.Discovery.Join = ms(2000, 2000), ms(1500, 1500)
		sc.Discovery.Period, sc.Discovery.Spread = ms(700, 700), ms(90, 90)
	})
	changed := d.ofKind(record.ListChanged)
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
		updates := map[int32]int{}
		for _, u := range d.ofKind(record.Notified) {
			if u.Server == e.Server && u.State == e.State && u.Started == e.Started && u.At >= e.At {
				updates[u.Agent]++
				next := e.At + period - e.At%period
				require.GreaterOrEqual(t, u.At, next)
				require.LessOrEqual(t, u.At, next+spread)
			}
		}
		require.Equal(t, map[int32]int{0: 1, 1: 1, 2: 1, 3: 1, 4: 1}, updates, "each watch is updated once")
	}
}

// TestDiscoveryIgnoresStaleUpdates checks that a machine which vanishes and returns before discovery
// learns of it stays listed, and that a restarted process is not listed as gone afterwards.
func TestDiscoveryIgnoresStaleUpdates(t *testing.T) {
	slowNotice := func(sc *scenario.Scenario) {
		sc.Discovery.Notice, sc.Discovery.SilentNotice = ms(15000, 15000), ms(15000, 15000)
		sc.Discovery.Join = ms(1000, 1000)
	}
	d := playFault(t, scenario.FaultSpec{Kind: scenario.MachinesUnreachable, Part: span(0.3, 0.3)}, slowNotice)
	require.Empty(t, d.ofKind(record.ListChanged))
	d = playFault(t, scenario.FaultSpec{Kind: scenario.Crashed, Part: span(0.3, 0.3)}, slowNotice)
	require.Len(t, d.ofKind(record.ListChanged), 4)
	for _, e := range d.ofKind(record.ListChanged) {
		require.Equal(t, record.Active, e.State)
	}
}

// TestAgentStartsWithOlderList checks that a restarted agent first gets the list as discovery published
// it some time before.
func TestAgentStartsWithOlderList(t *testing.T) {
	sc := deployment(runLength)
	sc.Discovery.KnownAge, sc.Discovery.Notice = ms(15000, 15000), ms(1000, 1000)
	sc.Faults = []scenario.FaultSpec{
		{Kind: scenario.Crashed, At: ms(10000, 10000), For: ms(25000, 25000), Part: span(0.3, 0.3)},
		{Kind: scenario.AgentsKilled, At: ms(15000, 15000), For: ms(1000, 1000), Count: 1},
	}
	d := play(t, sc, 7, Options{})
	up := d.ofKind(record.AgentUp)
	require.Len(t, up, 6)
	first, later := map[int32]record.State{}, map[int32]record.State{}
	for _, e := range d.ofKind(record.Notified) {
		if e.Agent == 0 && e.At == up[5].At {
			first[e.Server] = e.State
		} else if e.Agent == 0 && e.At > up[5].At && e.At < 30*time.Second {
			later[e.Server] = e.State
		}
	}
	require.Len(t, first, 13)
	gone := 0
	for server, state := range first {
		require.Equal(t, record.Active, state, "the list of 15 s before")
		if later[server] == record.Gone {
			gone++
		}
	}
	require.Equal(t, 4, gone, "later updates correct the list")
}
