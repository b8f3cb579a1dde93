package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// Machines on the network path may drop idle connections long before the configured timeout, which shows only when the next
// attempt is lost. After a few losses such connections are not reused, until the decay of the losses raises the limit.
func TestIdleLimitAfterDroppedConnections(t *testing.T) {
	d := newSimulation(testSettings(), 1)
	longest := d.limit.Limit()
	require.Equal(t, 9*time.Second, longest)
	droppedAfter := 20 * time.Millisecond
	d.react = func(s *sentAttempt) reaction {
		if s.checkout.Reused && s.checkout.IdleFor > droppedAfter {
			return broken(AwaitingResponse)
		}
		return completed(balancer.Served)
	}
	lost := 0
	for i := range 60 {
		n := d.arrive(notIdempotent, string(rune('a'+i)))
		d.run(50 * time.Millisecond)
		if d.responses[n][0].Result != protocol.Served {
			require.Less(t, i, 40, "the limit is learned within 40 requests")
			lost++
		}
	}
	require.Greater(t, lost, 2, "the limit is learned only from losses")
	require.LessOrEqual(t, d.limit.Limit(), 2*droppedAfter)
	for range 600 { // the weights halve every 30 s
		d.limit.Record(d.now, 0, false)
		d.now += time.Second
	}
	require.Equal(t, longest, d.limit.Limit())
}
