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

// timer is the note of a timer that is due.
var timer = fmt.Sprintf("%T", &balancer.TimerDue{})

// eventRecorder is a module that notes its calls, in order.
type eventRecorder struct{ notes []string }

func (n *eventRecorder) Step(_ time.Duration, ev balancer.Event) []balancer.Action {
	n.notes = append(n.notes, fmt.Sprintf("%T", ev))
	return nil
}

func (n *eventRecorder) ApplyFleetPolicy(quota []float64, classes []balancer.RetryPolicy, inVain float64) {
	n.notes = append(n.notes, fmt.Sprint(quota, classes, inVain))
}

func (n *eventRecorder) SetExclusions(x *balancer.Exclusions) {
	n.notes = append(n.notes, fmt.Sprintf("exclusions %v", x != nil))
}

func (n *eventRecorder) SetRingAssignment(p *balancer.RingAssignment) {
	n.notes = append(n.notes, fmt.Sprintf("ring %v", p != nil))
}

func (n *eventRecorder) TenantStats() []balancer.TenantStats {
	return []balancer.TenantStats{{Tenant: "a", Requests: 7}}
}

// Exclusions and ring assignment are looked at before each message, and the module is told where they have changed.
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
		timer, "exclusions true", "ring true", timer, timer, "exclusions false",
		"ring false", timer,
	}, module.notes)
	ctx, cancel := context.WithCancel(t.Context())
	go a.mail.receive(func(m any) bool { return m != nil && a.handle(m) })
	stats, shedding := a.TenantStats(ctx)
	require.Equal(t, module.TenantStats(), stats)
	require.False(t, shedding)
	a.mail.put(nil)
	cancel()
	stats, _ = a.TenantStats(ctx)
	require.Nil(t, stats, "an agent that has ended")
}

// A policy is a message to the agent's actor, in its turn among the others; a module without policies ignores it.
func TestSetFleetPolicy(t *testing.T) {
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
	require.Equal(t, []string{timer, "[3] [{2 true 1ms}] 0.2", timer, "[] [] 0"}, module.notes)
	newStage(1).handle(fleetPolicyChanged{})
}
