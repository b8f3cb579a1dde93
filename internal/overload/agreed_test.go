package overload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
)

// What is agreed reaches the gate and its module, an operator's new figures leave it in force, and it can be taken
// back.
func TestFleetPolicy(t *testing.T) {
	l := newFleetSimulation(2, 4, func(set *balancer.Settings) {
		set.Tenants = []balancer.Tenant{{Name: "a", QuotaPerSecond: 40}, {Name: "b"}}
	})
	g, id := l.controllers[0], uint32(0)
	over := func(tenant string) (n int) { // of 100 in 5 s; the module says that a quarter of the share is here
		for range 100 {
			l.now += 50 * time.Millisecond
			id++
			acts := g.Step(l.now, &balancer.Request{
				ID: id, Key: fmt.Sprint(id), Tenant: tenant, Class: "consult",
				ClientTimeout: time.Second,
			})
			require.NotEmpty(t, acts)
			if r := g.requests[id]; r != nil && r.overQuota {
				n++
			}
			g.Step(l.now, &balancer.AttemptDone{ID: id, Outcome: balancer.Served, Latency: time.Millisecond, RequestDone: true})
		}
		return n
	}
	over("a") // its bucket is empty from here on
	require.Equal(t, 50, over("a"))
	require.Zero(t, over("b"))
	classes := []balancer.RetryPolicy{{MaxAttempts: 1}}
	g.ApplyFleetPolicy([]float64{8, 20}, classes, 0.2)
	require.Equal(t, classes, l.balancers[0].agreed)
	require.Equal(t, 88, over("a"), "2 a second, and a bucket of 3 that is as full as the one of 10 was")
	require.InDelta(t, 75, over("b"), 5, "it begins with a full bucket")

	s := newTenantQuota(40)
	s.tokens = 5 // of 10
	s.setRate(0, 80, 0.25)
	require.Equal(t, 10.0, s.tokens, "of 20")

	require.Equal(t, 0.2, g.config.WastedFraction)
	fig := DefaultConfig()
	for _, c := range []struct{ own, agreed, holds float64 }{
		{0.25, 0.2, 0.2}, {0.15, 0.2, 0.15}, {0.3, 0, 0.3}, {0.3, math.NaN(), 0.3}, {0.3, -1, 0.3}, {0.25, 1, 0.25},
	} {
		g.ApplyFleetPolicy(nil, nil, c.agreed)
		fig.WastedFraction = c.own
		require.NoError(t, g.SetConfig(fig))
		require.Equal(t, c.holds, g.config.WastedFraction, "%+v", c)
	}
	require.Nil(t, l.balancers[0].agreed)
	over("a")
	require.Equal(t, 50, over("a"))
	require.Zero(t, over("b"))
}

// Servers to be kept off reach the module, repeats keep their tenant on the way there, and what the gate turns
// away itself is among what the module tells.
func TestExclusionsAndAssignmentArePassedOn(t *testing.T) {
	l := newFleetSimulation(1, 4, func(set *balancer.Settings) { set.Tenants = []balancer.Tenant{{Name: "a", QuotaPerSecond: 40}} })
	g, m := l.controllers[0], l.balancers[0]
	a := &balancer.Exclusions{}
	g.SetExclusions(a)
	require.Same(t, a, m.avoid)
	p := &balancer.RingAssignment{}
	g.SetRingAssignment(p)
	require.Same(t, p, m.placed)
	for _, retry := range []bool{false, true} {
		if retry {
			g.outage.phase, g.outage.trialTokens = phaseOutage, maxSavedTrials // only then they count once
		}
		e := g.admit(&balancer.Request{ID: 1, Tenant: "a", Class: "consult", ClientTimeout: time.Second, ClientRetry: retry})
		require.Equal(t, "a", e.(*balancer.Request).Tenant)
		require.Equal(t, retry, e.(*balancer.Request).QuotaCounted)
		g.onFinalAnswer(1)
	}
	m.strain = []balancer.TenantStats{{Tenant: balancer.NoTenant, Requests: 1, Failed: 1}, {Tenant: "a", Requests: 9, Served: 9}}
	for _, tenant := range []string{"a", "a", "", "invented", "invented too"} {
		g.reject(&balancer.Request{ID: 2, Tenant: tenant}, 0, false)
	}
	require.Len(t, g.rejected, 2)
	require.Equal(t, []balancer.TenantStats{
		{Tenant: balancer.NoTenant, Requests: 4, Rejected: 3, Failed: 1},
		{Tenant: "a", Requests: 11, Served: 9, Rejected: 2},
	}, g.TenantStats())
}
