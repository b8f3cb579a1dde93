package routing

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/decide"
	"dunestep/internal/core"
	"dunestep/policy"
)

// timer is the note of a timer that is due.
var timer = fmt.Sprintf("%T", &decide.TimerDue{})

// noting is a module that notes what it is told, in order.
type noting struct{ notes []string }

func (n *noting) Step(_ time.Duration, ev decide.Event) []decide.Action {
	n.notes = append(n.notes, fmt.Sprintf("%T", ev))
	return nil
}

func (n *noting) Agree(quota []float64, classes []decide.Agreed, inVain float64) {
	n.notes = append(n.notes, fmt.Sprint(quota, classes, inVain))
}

func (n *noting) Avoid(a *decide.Avoid) { n.notes = append(n.notes, fmt.Sprintf("avoid %v", a != nil)) }

func (n *noting) Place(p *decide.Placed) {
	n.notes = append(n.notes, fmt.Sprintf("place %v", p != nil))
}

func (n *noting) Strain() []decide.Strain { return []decide.Strain{{Tenant: "a", Asked: 7}} }

// What is to be kept off, and how the ring is placed, is looked at before each message, and told where it has
// changed.
func TestAvoiding(t *testing.T) {
	module, avoid, placed := &noting{}, (*decide.Avoid)(nil), (*decide.Placed)(nil)
	a := &Agent{
		mail: newMailbox[any](), clock: newClock(), router: core.NewRouter(decide.Settings{}, module),
		avoiding: func() *decide.Avoid { return avoid }, placed: func() *decide.Placed { return placed },
	}
	a.handle(timerDue{1})
	avoid, placed = &decide.Avoid{}, &decide.Placed{}
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
	strain, damps := a.Strain(ctx)
	require.Equal(t, module.Strain(), strain)
	require.False(t, damps)
	a.mail.put(nil)
	cancel()
	strain, _ = a.Strain(ctx)
	require.Nil(t, strain, "an agent that has ended")
}

// What is agreed is a message to the module's actor, in its turn among the others; a module that can't take it
// over is not harmed.
func TestAgreed(t *testing.T) {
	module := &noting{}
	a := &Agent{mail: newMailbox[any](), clock: newClock(), router: core.NewRouter(decide.Settings{}, module)}
	a.mail.put(timerDue{1})
	a.Agree(&policy.Effect{
		Quota: []float64{3}, InVain: 0.2,
		Classes: []policy.ClassEffect{{Attempts: 2, Copies: true, Pace: time.Millisecond}},
	})
	a.mail.put(timerDue{2})
	a.Agree(nil)
	a.mail.put(nil)
	a.mail.receive(func(m any) bool { return m != nil && a.handle(m) })
	require.Equal(t, []string{timer, "[3] [{2 true 1ms}] 0.2", timer, "[] [] 0"}, module.notes)
	newStage(1).handle(agreed{})
}
