package world

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// What the gate asks of is on record: how long a restarted agent took until it was ready, and the time that each
// attempt tells its server, which is no more than its client has left.
func TestRecordsStartTimesAndDeadlines(t *testing.T) {
	set := deployment(12 * time.Second)
	set.Agents.BackIn = 700 * time.Millisecond
	set.Troubles = []scenario.Trouble{
		{Kind: scenario.AgentsKilled, At: ms(2000, 2000), For: ms(3000, 3000), Count: 2},
		{Kind: scenario.Refusing, At: ms(6000, 6000), For: ms(4000, 4000), Part: span(0.5, 0.5)},
	} // so that there are further attempts
	d := play(t, set, 7, Options{})
	starts, took := 0, 0
	due := map[uint32]time.Duration{}
	further := 0
	for _, e := range d.events {
		switch e.Kind {
		case record.AgentStarts:
			starts++
			require.Equal(t, 5*time.Second, e.At)
		case record.AgentUp:
			if e.After == 700*time.Millisecond && e.At == 5700*time.Millisecond {
				took++
			}
		case record.Asked:
			due[e.Op] = e.At + e.Left
		case record.Sent:
			if e.Attempt > 0 {
				further++
			}
			require.Positive(t, e.Left)
			require.LessOrEqual(t, e.At+e.Left, due[e.Op])
		}
	}
	require.Equal(t, 2, starts)
	require.Equal(t, 2, took)
	require.Greater(t, further, 20)
}
