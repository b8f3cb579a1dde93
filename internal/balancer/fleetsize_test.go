package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/quota"
	"dunestep/internal/balancer/slowstart"
)

// Whatever number is reported, the result is between two thirds of the named agents and all of them, so that no sum over
// them grows by more than half.
func TestEffectiveFleetSizeIsBounded(t *testing.T) {
	for named := 1; named <= 300; named += 23 {
		for live := -5; live < 1000; live++ {
			n := EffectiveFleetSize(live, named)
			require.LessOrEqual(t, n, named)
			require.GreaterOrEqual(t, 3*n, 2*named)
		}
	}
	require.Equal(t, 200, EffectiveFleetSize(200, 300))
	require.Equal(t, 300, EffectiveFleetSize(0, 300))
}

// probeRequestRate returns how many probe requests a second the agents together send to a server that is down. The
// settings name 300 agents, and live is the number reported live.
func probeRequestRate(agents, live int) float64 {
	const length = 10 * time.Minute
	params := slowstart.Params{
		InitialCapacity: 0.3, Duration: 9 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second, Margin: 0.5, MaxWarmMultiple: 1,
		Balancers: EffectiveFleetSize(live, 300),
	}
	rng, sent := rand.New(rand.NewPCG(1, 2)), 0
	for range agents {
		var b slowstart.Budget
		b.Start(0, rng.Float64())
		for at := time.Duration(0); at < length; at += time.Second {
			if b.HasCapacity(&params, at, 1, 0.01, 1, slowstart.Probes) {
				b.Spend(1)
				sent++
			}
		}
	}
	return float64(sent) / length.Seconds()
}

// If a third of 300 agents is not live and that is known, the others together send as many probe requests as all would. A
// wrong number causes at most 1.5 times as many.
func TestProbeRequestsByFleetSize(t *testing.T) {
	all, without, with, wrong := probeRequestRate(300, 0), probeRequestRate(200, 0), probeRequestRate(200, 200), probeRequestRate(300, 1)
	t.Logf("probe requests a second to a server that is down: all live %.2f; a third not live %.2f, if known %.2f; all live, 1 reported %.2f", all,
		without, with, wrong)
	require.InDelta(t, all, with, 0.05)
	require.Less(t, without, 0.75*all)
	require.LessOrEqual(t, wrong, 1.5*all+0.05)
}

// overQuotaFraction returns the fraction of a tenant's requests that the agents count as over its quota. The settings name
// 60 agents, live is the number reported live, and load is the tenant's rate as a multiple of its quota.
func overQuotaFraction(agents, live int, load float64) float64 {
	const perSecond = 600.0
	rng := rand.New(rand.NewPCG(3, 4))
	trackers := make([]*quota.Tracker, agents)
	for i := range trackers {
		trackers[i] = quota.New(60, true)
		trackers[i].Add("acme", perSecond)
		trackers[i].SetBalancers(EffectiveFleetSize(live, 60))
	}
	over, all := 0, 0
	for second := range 120 {
		for i := range int(perSecond * load) {
			now := time.Duration(second)*time.Second + time.Duration(float64(i)/(perSecond*load)*1e9)
			isOver := trackers[rng.IntN(agents)].IsOverQuota(now, "acme")
			if second >= 30 {
				all++
				if isOver {
					over++
				}
			}
		}
		for _, b := range trackers {
			if mean, send := b.EndRound(); send {
				trackers[rng.IntN(agents)].RecordPeerMean(mean)
			}
		}
	}
	return float64(over) / float64(all)
}

// A third of 60 agents is not live, and a tenant stays below its quota. If the agents do not know that, many of its
// requests count as over the quota; if they do, few. Requests that really exceed the quota are still detected.
func TestQuotasByFleetSize(t *testing.T) {
	without, with, overloaded := overQuotaFraction(40, 0, 0.9), overQuotaFraction(40, 40, 0.9), overQuotaFraction(40, 40, 1.5)
	t.Logf("fraction over quota at 0.9 of it: %.3f, with the number known %.3f; at 1.5 of it %.3f", without, with, overloaded)
	require.Greater(t, without, 0.15)
	require.Less(t, with, 0.05)
	require.Greater(t, overloaded, 0.25)
}
