package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
)

// TestAdmissionReasons checks that each step of the admission decision returns its own reason.
func TestAdmissionReasons(t *testing.T) {
	newController := func(t *testing.T) *Controller {
		c, err := New(deployment(1, 0), Config{}, &fakeBalancer{maxInFlight: 100, servers: 1, sparse: true}, 1)
		require.NoError(t, err)
		c.now = epoch
		c.throttle.arrivals.add(epoch, 1000)
		c.arrivals.add(epoch, 1000)
		return c
	}
	for name, tt := range map[string]struct {
		change func(c *Controller)
		class  string
		want   rejectReason
	}{
		"normal":           {func(*Controller) {}, "rezervare", notRejected},
		"early retry":      {func(c *Controller) { c.retryStorm.isActive = true }, "rezervare", rejectEarlyRetry},
		"throttled":        {func(c *Controller) { c.throttle.wasted.add(epoch, 50) }, "rezervare", rejectThrottled},
		"shedding":         {func(c *Controller) { c.planShedding(epoch) }, "rezervare", rejectShedding},
		"shedding planned": {func(c *Controller) { c.planShedding(epoch + time.Second) }, "rezervare", notRejected},
		"outage":           {func(c *Controller) { c.outage.phase = phaseOutage }, "rezervare", rejectOutage},
		"outage, trial":    {func(c *Controller) { c.outage.phase = phaseOutage }, "consult", notRejected},
		"recovering":       {func(c *Controller) { c.outage.phase = phaseRecovering }, "rezervare", rejectRecovering},
	} {
		t.Run(name, func(t *testing.T) {
			c := newController(t)
			tt.change(c)
			e := &balancer.Request{ID: 1, Class: tt.class, Key: "k", ClientTimeout: time.Second}
			a := arrival{priority: priority{ignoresRetryAfter: true}, tier: 3}
			c.fairness.add(epoch, a.tier)
			require.Equal(t, tt.want, c.checkAdmission(e, a))
		})
	}
}

// TestAttemptReasons checks that each step of the decision on an attempt returns its own reason.
func TestAttemptReasons(t *testing.T) {
	for name, tt := range map[string]struct {
		phase   phase
		started time.Duration
		budget  float64
		retry   bool
		want    suppressReason
	}{
		"normal":                    {phaseNormal, 0, 0, true, notSuppressed},
		"outage, trial":             {phaseOutage, 0, 5, false, notSuppressed},
		"outage, retry":             {phaseOutage, 0, 5, true, suppressOutage},
		"recovering, budget":        {phaseRecovering, 0, 1, true, notSuppressed},
		"recovering, no budget":     {phaseRecovering, 0, 0.9, true, suppressRetryBudget},
		"recovering, first attempt": {phaseRecovering, 0, 0, false, notSuppressed},
		"slow start, at its limit":  {phaseRecovering, epoch, 5, false, suppressSlowStart},
		"slow start, normal phase":  {phaseNormal, epoch, 5, false, notSuppressed},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := New(deployment(1, 0), Config{}, &fakeBalancer{}, 1)
			require.NoError(t, err)
			c.now, c.outage.phase, c.retryBudget = epoch, tt.phase, tt.budget
			c.onServerListUpdate(&balancer.ServerListUpdate{
				Kind: balancer.UpdateFull, Servers: []balancer.Server{{ID: "s", StartedAt: tt.started}},
			})
			s, r := c.server("s"), &request{}
			s.inFlight = 1
			if tt.retry {
				r.attempts = make([]attempt, 1)
			}
			require.Equal(t, tt.want, c.checkAttempt(r, s))
		})
	}
}
