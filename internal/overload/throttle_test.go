package overload

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Forty agents whose own limits never bind, before servers that become three times slower for 8 s: without
// the throttle what is sent keeps them at work that is given up. It is open again soon after, and an agent
// of a small fleet has none.
func TestThrottle(t *testing.T) {
	served := func(inVain float64, sparse bool) (during, after int, logs string) {
		l := newFleetSimulation(40, 20, nil)
		l.timesOut = true
		for i, g := range l.controllers {
			fig := DefaultConfig()
			fig.WastedFraction = inVain
			require.NoError(t, g.SetConfig(fig))
			l.balancers[i].most, l.balancers[i].sparse = 1e6, sparse
		}
		l.rate = 0.75 * 20 * cores / mean.Seconds()
		l.run(6 * time.Second)
		l.slow, l.served = 3, 0
		l.run(8 * time.Second)
		during, l.slow = l.served, 1
		require.Equal(t, inVain < 1 && sparse, l.balancers[0].full, "the module is told")
		l.run(2 * time.Second)
		l.rejected = 0
		l.run(4 * time.Second)
		return during, l.rejected, strings.Join(l.logs, "\n")
	}
	with, refused, logs := served(0.25, true)
	without, _, _ := served(1, true)
	t.Log(with, without, refused)
	require.Greater(t, float64(with), 1.3*float64(without))
	require.Less(t, refused, 40, "of 2,000 once the servers are well")
	require.Contains(t, logs, "servers answer too little in time: lets in ")
	require.Contains(t, logs, "lets all in again, after ")
	_, _, logs = served(0.25, false)
	require.NotContains(t, logs, "too little in time")
}
