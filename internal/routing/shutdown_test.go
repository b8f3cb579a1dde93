package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
)

// A shutdown accepts clients for a while, waits for the requests under way, and is over before the agent could be killed.
func TestShutdownPlanPhases(t *testing.T) {
	ms := time.Millisecond
	for deadline, until := range map[time.Duration][4]time.Duration{
		2500 * ms: {750 * ms, 2900 * ms, 3100 * ms, 3150 * ms},
		time.Hour: {750 * ms, 3400 * ms, 3600 * ms, 3650 * ms},
		100 * ms:  {500 * ms, 500 * ms, 700 * ms, 750 * ms},
	} {
		d, now := NewShutdownPlan(epoch, []balancer.Class{{Deadline: deadline}, {Deadline: ms}}), epoch
		for phase, end := range until {
			if now < epoch+end { // else the phase is empty
				got, next := d.PhaseAt(now)
				require.Equal(t, ShutdownPhase(phase), got)
				require.Equal(t, epoch+end, next)
				now = next
			}
		}
		got, _ := d.PhaseAt(now)
		require.Equal(t, ShutdownOver, got)
	}
}
