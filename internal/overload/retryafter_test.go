package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
)

// TestRetryAfterSchedule checks that rejected clients are scheduled one after another, within the maximum,
// and are remembered until then.
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
		require.False(t, seen[after], "two clients must not get the same time")
		if seen[after] = true; i < 100 {
			require.Greater(t, after, last)
			last = after
		}
	}
	client := c.retryAfters.clientID("c1", "", "rezervare")
	entry := c.retryAfters.find(sim.now, client)
	require.NotNil(t, entry)
	require.Greater(t, entry.returnAt, sim.now+minRetryAfter)
	require.Nil(t, c.retryAfters.find(entry.returnAt+retryAfterGrace+1, client), "an entry must expire")
}

// TestRetryAfterTableIsBounded checks that the table does not grow with the number of rejected clients, and
// that few entries are lost.
func TestRetryAfterTableIsBounded(t *testing.T) {
	table := newRetryAfterTable(7)
	require.LessOrEqual(t, len(table.entries)*24, 2<<20)
	missed := 0
	for i := range 100_000 { // clients within a minute, each due after two seconds
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
