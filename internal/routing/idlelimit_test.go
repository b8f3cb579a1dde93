package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// Idle connections may be forgotten on the way long before the settings say, which only the loss of the next attempt shows:
// after a few losses they are not reused, until that is tested again.
func TestForgottenConnections(t *testing.T) {
	d := newSimulation(testSettings(), 1)
	longest := d.limit.Limit()
	require.Equal(t, 9*time.Second, longest)
	forgottenAfter := 20 * time.Millisecond
	d.react = func(s *sentAttempt) reaction {
		if s.checkout.Reused && s.checkout.IdleFor > forgottenAfter {
			return broken(AwaitingResponse)
		}
		return completed(balancer.Served)
	}
	lost := 0
	for i := range 60 {
		n := d.arrive(notIdempotent, string(rune('a'+i)))
		d.run(50 * time.Millisecond)
		if d.answers[n][0].Result != protocol.Served {
			require.Less(t, i, 40, "learned by then")
			lost++
		}
	}
	require.Greater(t, lost, 2, "losses alone show it")
	require.LessOrEqual(t, d.limit.Limit(), 2*forgottenAfter)
	for range 600 { // half of the weight is lost every 30 s
		d.limit.Record(d.now, 0, false)
		d.now += time.Second
	}
	require.Equal(t, longest, d.limit.Limit())
}
