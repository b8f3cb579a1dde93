package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
)

// TestRetryAfterSchedule: rejected clients are to come back one after another, within the bound, and are
// remembered until then.
func TestRetryAfterSchedule(t *testing.T) {
	sim := newFleetSimulation(1, 6, nil)
	sim.rate = 100
	sim.run(5 * time.Second)
	c := sim.controllers[0]
	c.outage.phase, c.outage.startedAt = phaseOutage, sim.now
	var last time.Duration
	seen := map[time.Duration]bool{}
	for i := range 500 {
		id := uint32(1e6 + 2*i)
		var after time.Duration
		for _, a := range c.Step(sim.now, &balancer.Request{ID: id, Class: "rezervare", Key: fmt.Sprint("c", i), ClientTimeout: time.Second}) {
			if a.Kind == balancer.Reject && a.ID == id {
				after = a.After
			}
		}
		require.Positive(t, after)
		require.LessOrEqual(t, after, c.settings.Limits.MaxRetryAfter)
		require.False(t, seen[after], "two are to come back at once")
		if seen[after] = true; i < 100 {
			require.Greater(t, after, last)
			last = after
		}
	}
	client := c.retryAfters.clientID("c1", "", "rezervare")
	p := c.retryAfters.find(sim.now, client)
	require.NotNil(t, p)
	require.Greater(t, p.returnAt, sim.now+minRetryAfter)
	require.Nil(t, c.retryAfters.find(p.returnAt+retryAfterGrace+1, client), "a client is remembered for a while only")
}

// TestRetryAfterTableIsBounded: however many clients are rejected, the memory is that of the start, and few
// entries are lost.
func TestRetryAfterTableIsBounded(t *testing.T) {
	table := newRetryAfterTable(7)
	require.LessOrEqual(t, len(table.entries)*24, 2<<20)
	missed := 0
	for i := range 100_000 { // of a minute, each with two seconds
		now := epoch + time.Duration(i)*600*time.Microsecond
		client := table.clientID(fmt.Sprint("k", i), "t", "consult")
		table.record(now, client, now+2*time.Second)
		if i >= 3000 {
			if table.find(now, table.clientID(fmt.Sprint("k", i-3000), "t", "consult")) == nil {
				missed++
			}
		}
	}
	require.Less(t, missed, 100)
	n := testing.AllocsPerRun(100, func() { table.record(epoch, 12345, epoch); table.find(epoch, 77) })
	require.Zero(t, n)
}
