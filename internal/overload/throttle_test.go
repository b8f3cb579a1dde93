package overload

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestThrottle simulates forty agents whose own limits never bind, and servers that become three times
// slower for 8 s. Without the throttle, these work on attempts that have timed out. The throttle must end
// soon after, and must stay off in an agent of a small fleet.
func TestThrottle(t *testing.T) {
	run := func(wastedFraction float64, sparse bool) (during, after int, logs string) {
		sim := newFleetSimulation(40, 20, nil)
		sim.timesOut = true
		for i, c := range sim.controllers {
			config := DefaultConfig()
			config.WastedFraction = wastedFraction
			require.NoError(t, c.SetConfig(config))
			sim.balancers[i].maxInFlight, sim.balancers[i].sparse = 1e6, sparse
		}
		sim.rate = 0.75 * 20 * cores / meanWork.Seconds()
		sim.run(6 * time.Second)
		sim.slowdown, sim.served = 3, 0
		sim.run(8 * time.Second)
		during, sim.slowdown = sim.served, 1
		require.Equal(t, wastedFraction < 1 && sparse, sim.balancers[0].saturated, "the balancer must be notified")
		sim.run(2 * time.Second)
		sim.rejected = 0
		sim.run(4 * time.Second)
		return during, sim.rejected, strings.Join(sim.logs, "\n")
	}
	with, rejected, logs := run(0.25, true)
	without, _, _ := run(1, true)
	t.Log(with, without, rejected)
	require.Greater(t, float64(with), 1.3*float64(without))
	require.Less(t, rejected, 40, "of 2,000 requests once the servers are healthy")
	require.Contains(t, logs, "adaptive throttle on: servers respond too rarely in time, admitting ")
	require.Contains(t, logs, "adaptive throttle off: admitting all requests, ")
	_, _, logs = run(0.25, false)
	require.NotContains(t, logs, "too rarely in time")
}
