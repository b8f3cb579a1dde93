package overload

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestThrottle: forty agents whose own limits never bind, before servers that become three times slower for 8
// s: without the throttle these work on attempts that have timed out. It ends soon after, and an agent of a
// small fleet has none.
func TestThrottle(t *testing.T) {
	served := func(inVain float64, sparse bool) (during, after int, logs string) {
		sim := newFleetSimulation(40, 20, nil)
		sim.timesOut = true
		for i, c := range sim.controllers {
			config := DefaultConfig()
			config.WastedFraction = inVain
			require.NoError(t, c.SetConfig(config))
			sim.balancers[i].maxInFlight, sim.balancers[i].sparse = 1e6, sparse
		}
		sim.rate = 0.75 * 20 * cores / mean.Seconds()
		sim.run(6 * time.Second)
		sim.slow, sim.served = 3, 0
		sim.run(8 * time.Second)
		during, sim.slow = sim.served, 1
		require.Equal(t, inVain < 1 && sparse, sim.balancers[0].saturated, "the balancer is told")
		sim.run(2 * time.Second)
		sim.rejected = 0
		sim.run(4 * time.Second)
		return during, sim.rejected, strings.Join(sim.logs, "\n")
	}
	with, refused, logs := served(0.25, true)
	without, _, _ := served(1, true)
	t.Log(with, without, refused)
	require.Greater(t, float64(with), 1.3*float64(without))
	require.Less(t, refused, 40, "of 2,000 once the servers are healthy")
	require.Contains(t, logs, "adaptive throttle on: servers respond too rarely in time, admitting ")
	require.Contains(t, logs, "adaptive throttle off: admitting all requests, ")
	_, _, logs = served(0.25, false)
	require.NotContains(t, logs, "too rarely in time")
}
