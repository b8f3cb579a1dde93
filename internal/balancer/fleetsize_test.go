package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/quota"
	"dunestep/internal/balancer/slowstart"
)

// Whatever is said, at least two thirds of the named agents count, so that no sum over them grows by more than half.
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

// probeRequestRate is how many probe requests a second so many agents, of 300 named, send a server that is down, where so many are
// said to be live.
func probeRequestRate(agents, said int) float64 {
	const length = 10 * time.Minute
	terms := slowstart.Params{
		InitialCapacity: 0.3, Duration: 9 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second, Margin: 0.5, MaxOfWarm: 1,
		Balancers: EffectiveFleetSize(said, 300),
	}
	rng, sent := rand.New(rand.NewPCG(1, 2)), 0
	for range agents {
		var b slowstart.Budget
		b.Start(0, rng.Float64())
		for at := time.Duration(0); at < length; at += time.Second {
			if b.HasCapacity(&terms, at, 1, 0.01, 1, slowstart.Probes) {
				b.Spend(1)
				sent++
			}
		}
	}
	return float64(sent) / length.Seconds()
}

// A third of 300 agents is not live: the others make the probe requests of all. A false number makes them half as many again.
func TestProbeRequestsByFleetSize(t *testing.T) {
	all, without, with, wrong := probeRequestRate(300, 0), probeRequestRate(200, 0), probeRequestRate(200, 200), probeRequestRate(300, 1)
	t.Logf("probe requests a second to a server that is down: all live %.2f; a third not live %.2f, if known %.2f; all live, 1 said %.2f", all,
		without, with, wrong)
	require.InDelta(t, all, with, 0.05)
	require.Less(t, without, 0.75*all)
	require.LessOrEqual(t, wrong, 1.5*all+0.05)
}

// overQuotaFraction is the part of a tenant's requests that so many agents, of 60 named, take to be over its quota, where it sends
// so much of its quota in all.
func overQuotaFraction(agents, said int, load float64) float64 {
	const perSecond = 600.0
	rng := rand.New(rand.NewPCG(3, 4))
	books := make([]*quota.Tracker, agents)
	for i := range books {
		books[i] = quota.New(60, true)
		books[i].Add("acme", perSecond)
		books[i].SetBalancers(EffectiveFleetSize(said, 60))
	}
	over, all := 0, 0
	for second := range 120 {
		for i := range int(perSecond * load) {
			now := time.Duration(second)*time.Second + time.Duration(float64(i)/(perSecond*load)*1e9)
			is := books[rng.IntN(agents)].IsOverQuota(now, "acme")
			if second >= 30 {
				all++
				if is {
					over++
				}
			}
		}
		for _, b := range books {
			if mean, tell := b.EndRound(); tell {
				books[rng.IntN(agents)].RecordPeerMean(mean)
			}
		}
	}
	return float64(over) / float64(all)
}

// A third of 60 agents is not live, and a tenant keeps to its quota: without the number a third of its requests look as if they
// were over it. What is over the quota looks so with the number too.
func TestQuotasByFleetSize(t *testing.T) {
	without, with, much := overQuotaFraction(40, 0, 0.9), overQuotaFraction(40, 40, 0.9), overQuotaFraction(40, 40, 1.5)
	t.Logf("over the quota at 0.9 of it: %.3f, with the number %.3f; at 1.5 of it %.3f", without, with, much)
	require.Greater(t, without, 0.15)
	require.Less(t, with, 0.05)
	require.Greater(t, much, 0.25)
}
