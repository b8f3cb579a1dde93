package world

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// TestWindowMovesTenants checks that a window moves its tenants' requests off its servers and back,
// also at an agent that starts during the window, while requests of other tenants still reach these
// servers.
func TestWindowMovesTenants(t *testing.T) {
	sc := deployment(60 * time.Second)
	sc.Faults = []scenario.FaultSpec{
		{
			Kind: scenario.Window, At: scenario.ExactTime(5 * time.Second), For: scenario.ExactTime(50 * time.Second),
			Part: span(0.3, 0.3), Tenants: []string{sc.Tenants[0].Name}, MoveTime: scenario.ExactTime(10 * time.Second),
		},
		{Kind: scenario.AgentsKilled, At: scenario.ExactTime(20 * time.Second), For: scenario.ExactTime(2 * time.Second), Count: 1},
	}
	d := play(t, sc, 1, Options{})
	requireBalanced(t, d)
	emptied := map[int32]time.Duration{}
	for _, e := range d.ofKind(record.WindowEmptied) {
		emptied[e.Server] = e.At
	}
	require.Len(t, emptied, 4, "of 13")
	returned := d.ofKind(record.WindowReturning)
	require.Len(t, returned, 4)
	require.Equal(t, 45*time.Second, returned[0].At)
	tenant := map[uint32]uint8{}
	var moved, others [60]int // attempts that reached these servers, by second
	for _, e := range d.events {
		switch at := emptied[e.Server]; {
		case e.Kind == record.RequestReceived:
			tenant[e.RequestID] = e.Tenant
		case e.Kind == record.AttemptReached && at > 0 && e.At < time.Minute && tenant[e.RequestID] == 0:
			moved[e.At/time.Second]++
		case e.Kind == record.AttemptReached && at > 0 && e.At < time.Minute:
			others[e.At/time.Second]++
		}
	}
	sum := func(n []int) (sum int) {
		for _, x := range n {
			sum += x
		}
		return sum
	}
	require.Zero(t, sum(moved[19:45]), "no moved request while its servers are drained")
	require.Greater(t, sum(moved[:5]), 2*sum(moved[10:15]))
	require.Greater(t, sum(moved[55:]), sum(moved[45:50]))
	require.Greater(t, sum(others[19:45])/26, sum(others[:5])/10)
}
