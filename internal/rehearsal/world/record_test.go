package world

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// TestRecordsStartTimesAndDeadlines checks two figures that the rehearsal gate uses: how long a
// restarted agent took until it was ready, and the time limit that each attempt sends to its server,
// which is at most what its client has left.
func TestRecordsStartTimesAndDeadlines(t *testing.T) {
	sc := deployment(12 * time.Second)
	sc.Agents.RestartTime = 700 * time.Millisecond
	sc.Faults = []scenario.FaultSpec{
		{Kind: scenario.AgentsKilled, At: ms(2000, 2000), For: ms(3000, 3000), Count: 2},
		{Kind: scenario.Refusing, At: ms(6000, 6000), For: ms(4000, 4000), Part: span(0.5, 0.5)},
	} // rejections lead to further attempts
	d := play(t, sc, 7, Options{})
	starts, timed := 0, 0
	deadlines := map[uint32]time.Duration{}
	further := 0
	for _, e := range d.events {
		switch e.Kind {
		case record.AgentStarts:
			starts++
			require.Equal(t, 5*time.Second, e.At)
		case record.AgentUp:
			if e.After == 700*time.Millisecond && e.At == 5700*time.Millisecond {
				timed++
			}
		case record.RequestReceived:
			deadlines[e.RequestID] = e.At + e.Left
		case record.AttemptSent:
			if e.Attempt > 0 {
				further++
			}
			require.Positive(t, e.Left)
			require.LessOrEqual(t, e.At+e.Left, deadlines[e.RequestID])
		}
	}
	require.Equal(t, 2, starts)
	require.Equal(t, 2, timed)
	require.Greater(t, further, 20)
}
