package world

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// Watches fall silent, each once and at its own time; nothing comes on them from then on, and each agent gives its own
// up 3 s after it last heard of it, an empty line every 2 s, and calls anew.
func TestSilentWatchesAreReplaced(t *testing.T) {
	d := playFault(t, scenario.Trouble{Kind: scenario.WatchesSilent}, func(set *scenario.Scenario) {
		set.Agents.Count = 8
		set.Discovery.CallsPerS = span(100, 100)
		set.Troubles = append(set.Troubles, scenario.Trouble{
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
	for _, e := range d.ofKind(record.Told) {
		_, again := d.next(record.Watching, e.Agent, silent[e.Agent])
		require.False(t, e.At > silent[e.Agent] && e.At < again, "agent %d was told in its silence", e.Agent)
	}
	for agent, at := range silent {
		is, again := d.next(record.Watching, agent, at)
		require.True(t, is, "agent %d never watches again", agent)
		require.Greater(t, again-at, time.Second) // 2 s at the most since the last line
		require.Less(t, again-at, 3*time.Second+maxRewatchTime, "and the module's own wait")
	}
}

// maxRewatchTime is longer than the module waits after a silence, with the calls of all.
const maxRewatchTime = 2 * time.Second

// next finds when an agent's next event of a kind is.
func (d *recordingSink) next(kind record.Kind, agent int32, after time.Duration) (is bool, at time.Duration) {
	for _, e := range d.ofKind(kind) {
		if e.Agent == agent && e.At > after {
			return true, e.At
		}
	}
	return false, 0
}
