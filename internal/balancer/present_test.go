package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/quota"
	"dunestep/internal/balancer/slowstart"
)

// Whatever agents are told, two thirds of those that are named count, so that no sum over them grows by more than half.
func TestPresentIsBounded(t *testing.T) {
	for named := 1; named <= 300; named += 23 {
		for there := -5; there < 1000; there++ {
			n := EffectiveFleetSize(there, named)
			require.LessOrEqual(t, n, named)
			require.GreaterOrEqual(t, 3*n, 2*named)
		}
	}
	require.Equal(t, 200, EffectiveFleetSize(200, 300))
	require.Equal(t, 300, EffectiveFleetSize(0, 300))
}

// trials is how many requests a second so many agents, which send little, send a server that is down, of 300 that are
// named, where so many are said to be there.
func trials(agents, said int) float64 {
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
			if b.HasCapacity(&terms, at, 1, 0.01, 1, true) {
				b.Spend(1)
				sent++
			}
		}
	}
	return float64(sent) / length.Seconds()
}

// A third of 300 agents is away: those that are there make the trials of all. A lie makes them half as many again.
func TestPresentTrials(t *testing.T) {
	all, without, with, lie := trials(300, 0), trials(200, 0), trials(200, 200), trials(300, 1)
	t.Logf("trials a second of a down server: all there %.2f; a third away %.2f, told so %.2f; all there, told 1 %.2f", all,
		without, with, lie)
	require.InDelta(t, all, with, 0.05)
	require.Less(t, without, 0.75*all)
	require.LessOrEqual(t, lie, 1.5*all+0.05)
}

// beyond is the part of a tenant's requests that so many agents hold to be beyond its share, of 60 that are named, where it
// sends so much of its share in all.
func beyond(agents, said int, load float64) float64 {
	const perS = 600.0
	rng := rand.New(rand.NewPCG(3, 4))
	books := make([]*quota.Tracker, agents)
	for i := range books {
		books[i] = quota.New(60, true)
		books[i].Add("acme", perS)
		books[i].SetBalancers(EffectiveFleetSize(said, 60))
	}
	over, asked := 0, 0
	for second := range 120 {
		for i := range int(perS * load) {
			now := time.Duration(second)*time.Second + time.Duration(float64(i)/(perS*load)*1e9)
			is := books[rng.IntN(agents)].IsOverQuota(now, "acme")
			if second >= 30 {
				asked++
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
	return float64(over) / float64(asked)
}

// A third of 60 agents is away, and a tenant keeps to its share: without the number a third of its requests look as if they
// were beyond it. What is beyond the share looks so with the number too.
func TestPresentShares(t *testing.T) {
	without, with, much := beyond(40, 0, 0.9), beyond(40, 40, 0.9), beyond(40, 40, 1.5)
	t.Logf("beyond the share at 0.9 of it: %.3f, told who is there %.3f; at 1.5 of it %.3f", without, with, much)
	require.Greater(t, without, 0.15)
	require.Less(t, with, 0.05)
	require.Greater(t, much, 0.25)
}
