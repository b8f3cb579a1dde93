package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/discovery/backoff"
)

// Guards against a fleet that keeps an overbooked discovery so busy that no call has its turn: what all its agents
// ask together, once calls fail, does not grow with their number.
func TestLargeFleetsAskNoMore(t *testing.T) {
	for balancers, each := range map[int]float64{1: 1, 6: 1, 36: 6, 600: 100} {
		set := settings()
		set.Balancers = balancers
		b := start(t, set, list(6))
		now, wait := time.Minute, time.Duration(0)
		for range backoff.MaxDoublings + 1 {
			now += time.Hour
			timer := find(b.Step(now, &ServerListUpdate{Kind: UpdateFailed}), SetTimer)
			require.NotNil(t, timer)
			wait = timer.After
			b.Step(now+wait, &TimerDue{Tag: timer.Tag})
		}
		most := each * float64(backoff.MinDelay<<backoff.MaxDoublings)
		require.GreaterOrEqual(t, float64(wait), most/2)
		require.LessOrEqual(t, float64(wait), most*3/2)
	}
}

// EjectedServers counts what gets nothing by choice, each once; what drains is not among it.
func TestAvoided(t *testing.T) {
	b := start(t, settings(), list(6))
	require.Zero(t, b.EjectedServers())
	i := 0
	for _, s := range b.servers {
		switch i++; i {
		case 1:
			s.dampedUntil = b.now + time.Second
		case 2, 3:
			s.dampedUntil, s.State = b.now+time.Second, Draining
		}
	}
	require.Equal(t, 1, b.EjectedServers())
}
