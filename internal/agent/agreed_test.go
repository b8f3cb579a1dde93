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

// noting is a module that notes what it is told, in order.
type noting struct{ notes []string }

func (n *noting) Step(_ time.Duration, ev balancer.Event) []balancer.Action {
	n.notes = append(n.notes, fmt.Sprintf("%T", ev))
	return nil
}

func (n *noting) ApplyFleetPolicy(quota []float64, classes []balancer.RetryPolicy, inVain float64) {
	n.notes = append(n.notes, fmt.Sprint(quota, classes, inVain))
}

func (n *noting) SetExclusions(a *balancer.Exclusions) {
	n.notes = append(n.notes, fmt.Sprintf("avoid %v", a != nil))
}

func (n *noting) SetRingAssignment(p *balancer.RingAssignment) {
	n.notes = append(n.notes, fmt.Sprintf("place %v", p != nil))
}

func (n *noting) TenantStats() []balancer.TenantStats {
	return []balancer.TenantStats{{Tenant: "a", Requests: 7}}
}

// What is to be kept off, and how the ring is placed, is looked at before each message, and told where it has
// changed.
func TestAvoiding(t *testing.T) {
	module, avoid, placed := &noting{}, (*balancer.Exclusions)(nil), (*balancer.RingAssignment)(nil)
	a := &Agent{
		mail: newMailbox[any](), clock: newClock(), router: routing.NewRouter(balancer.Settings{}, module),
		exclusions: func() *balancer.Exclusions { return avoid }, ringAssignment: func() *balancer.RingAssignment { return placed },
	}
	a.handle(timerDue{1})
	avoid, placed = &balancer.Exclusions{}, &balancer.RingAssignment{}
	a.handle(timerDue{2})
	a.handle(timerDue{3})
	avoid, placed = nil, nil
	a.handle(timerDue{4})
	require.Equal(t, []string{
		timer, "avoid true", "place true", timer, timer, "avoid false",
		"place false", timer,
	}, module.notes)
	ctx, cancel := context.WithCancel(t.Context())
	go a.mail.receive(func(m any) bool { return m != nil && a.handle(m) })
	strain, damps := a.TenantStats(ctx)
	require.Equal(t, module.TenantStats(), strain)
	require.False(t, damps)
	a.mail.put(nil)
	cancel()
	strain, _ = a.TenantStats(ctx)
	require.Nil(t, strain, "an agent that has ended")
}

// What is agreed is a message to the module's actor, in its turn among the others; a module that can't take it
// over is not harmed.
func TestAgreed(t *testing.T) {
	module := &noting{}
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
