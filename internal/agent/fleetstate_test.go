package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/routing"
)

// timerCall is the recorded call for a timer that is due.
var timerCall = fmt.Sprintf("%T", &balancer.TimerDue{})

// eventRecorder is a module that records its calls, in order.
type eventRecorder struct{ calls []string }

func (n *eventRecorder) Step(_ time.Duration, ev balancer.Event) []balancer.Action {
	n.calls = append(n.calls, fmt.Sprintf("%T", ev))
	return nil
}

func (n *eventRecorder) ApplyFleetPolicy(quota []float64, classes []balancer.RetryPolicy, maxFailedRatio float64) {
	n.calls = append(n.calls, fmt.Sprint(quota, classes, maxFailedRatio))
}

func (n *eventRecorder) SetExclusions(x *balancer.Exclusions) {
	n.calls = append(n.calls, fmt.Sprintf("exclusions %v", x != nil))
}

func (n *eventRecorder) SetRingAssignment(a *balancer.RingAssignment) {
	n.calls = append(n.calls, fmt.Sprintf("ring %v", a != nil))
}

func (n *eventRecorder) TenantStats() []balancer.TenantStats {
	return []balancer.TenantStats{{Tenant: "a", Requests: 7}}
}

// Exclusions and ring assignment are read before each message, and passed to the module only if they have changed.
func TestFleetStateIsAppliedBeforeEachMessage(t *testing.T) {
	module, exclusions, ring := &eventRecorder{}, (*balancer.Exclusions)(nil), (*balancer.RingAssignment)(nil)
	a := &Agent{
		mail: newMailbox[any](), clock: newClock(), router: routing.NewRouter(balancer.Settings{}, module),
		fleet: fleetSources{
			exclusions: func() *balancer.Exclusions { return exclusions },
			ring:       func() *balancer.RingAssignment { return ring },
		},
	}
	a.handle(timerDue{1})
	exclusions, ring = &balancer.Exclusions{}, &balancer.RingAssignment{}
	a.handle(timerDue{2})
	a.handle(timerDue{3})
	exclusions, ring = nil, nil
	a.handle(timerDue{4})
	require.Equal(t, []string{
		timerCall, "exclusions true", "ring true", timerCall, timerCall, "exclusions false",
		"ring false", timerCall,
	}, module.calls)
	ctx, cancel := context.WithCancel(t.Context())
	go a.mail.receive(func(m any) bool { return m != nil && a.handle(m) })
	stats, shedding := a.TenantStats(ctx)
	require.Equal(t, module.TenantStats(), stats)
	require.False(t, shedding)
	a.mail.put(nil)
	cancel()
	stats, _ = a.TenantStats(ctx)
	require.Nil(t, stats, "the actor has ended")
}

// A policy is applied in the order of the actor's messages. A module that takes no policies ignores it.
func TestFleetPolicyIsAppliedInOrder(t *testing.T) {
	module := &eventRecorder{}
	a := &Agent{mail: newMailbox[any](), clock: newClock(), router: routing.NewRouter(balancer.Settings{}, module)}
	a.mail.put(timerDue{1})
	a.SetFleetPolicy(&policy.Effect{
		Quota: []float64{3}, MaxFailedRatio: 0.2,
		Classes: []policy.ClassEffect{{MaxAttempts: 2, Hedging: true, MinAttemptInterval: time.Millisecond}},
	})
	a.mail.put(timerDue{2})
	a.SetFleetPolicy(nil)
	a.mail.put(nil)
	a.mail.receive(func(m any) bool { return m != nil && a.handle(m) })
	require.Equal(t, []string{timerCall, "[3] [{2 true 1ms}] 0.2", timerCall, "[] [] 0"}, module.calls)
	newActorHarness(1).handle(fleetPolicyChanged{})
}
