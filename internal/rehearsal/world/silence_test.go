package world

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// TestSilentWatchesAreReplaced checks that watches fall silent once each, at different times, and carry
// nothing from then on. Each agent ends its watch 3 s after the last message, with a keep-alive every 2
// s, and opens a new one.
func TestSilentWatchesAreReplaced(t *testing.T) {
	d := playFault(t, scenario.FaultSpec{Kind: scenario.WatchesSilent}, func(sc *scenario.Scenario) {
		sc.Agents.Count = 8
		sc.Discovery.CallsPerS = span(100, 100)
		sc.Faults = append(sc.Faults, scenario.FaultSpec{
			Kind: scenario.Deploy, At: ms(5000, 5000),
			For: ms(25000, 25000), Part: span(0.8, 0.8), Size: span(0.1, 0.1), Drain: ms(3000, 3000),
		})
	})
	silent := map[int32]time.Duration{}
	for _, e := range d.ofKind(record.WatchSilent) {
		require.NotContains(t, silent, e.Agent)
		require.True(t, e.At >= faultStart && e.At <= faultEnd)
		silent[e.Agent] = e.At
	}
	require.Len(t, silent, 8)
	for _, e := range d.ofKind(record.Notified) {
		_, rewatched := d.next(record.WatchOpened, e.Agent, silent[e.Agent])
		require.False(t, e.At > silent[e.Agent] && e.At < rewatched, "agent %d was sent an update on a silent watch", e.Agent)
	}
	for agent, at := range silent {
		ok, rewatched := d.next(record.WatchOpened, agent, at)
		require.True(t, ok, "agent %d opens no new watch", agent)
		require.Greater(t, rewatched-at, time.Second) // the last keep-alive is at most 2 s old
		require.Less(t, rewatched-at, 3*time.Second+maxRewatchTime, "and the balancer's own wait")
	}
}

// maxRewatchTime is longer than the balancer waits after a silent watch, with the calls of all agents.
const maxRewatchTime = 2 * time.Second

// next returns the time of an agent's next event of a kind.
func (d *recordingSink) next(kind record.Kind, agent int32, after time.Duration) (ok bool, at time.Duration) {
	for _, e := range d.ofKind(kind) {
		if e.Agent == agent && e.At > after {
			return true, e.At
		}
	}
	return false, 0
}
