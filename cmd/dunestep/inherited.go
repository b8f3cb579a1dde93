package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
)

// agreed is what the fleet had agreed on, as one process of an agent hands it to the next: snapshots of the
// machines. Of the two only one takes part, and until the new one does it would know nothing: it would act
// by its settings where a policy holds, send to servers that are said to be free, and place by other rings.
type fleetState struct {
	Held      bool   `json:"held"` // the process held a lease
	Policy    []byte `json:"policy,omitempty"`
	Windows   []byte `json:"windows,omitempty"`
	Placement []byte `json:"placement,omitempty"`
}

// handWait bounds how long a new process waits for what was agreed.
const handWait = 500 * time.Millisecond

// handed is what a new process gets; empty: nothing.
func (p *fleetMember) handed() (raw []byte) {
	if p == nil || p.seat == nil {
		return nil
	}
	actor := p.actor.Load()
	if actor == nil {
		return nil
	}
	done := make(chan fleetState, 1)
	ctx, cancel := context.WithTimeout(context.Background(), handWait)
	defer cancel()
	if !actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		a := fleetState{Held: n.Standing(now) == lease.Full, Policy: p.seat.Snapshot()}
		if p.windows != nil {
			a.Windows = p.windows.seat.Snapshot()
		}
		if p.places != nil {
			a.Placement = p.places.seat.Snapshot()
		}
		done <- a
	}) {
		return nil
	}
	raw, _ = json.Marshal(<-done)
	return raw
}

// inherited is that, at the new process, until it holds a lease of its own. It goes by it as an agent does
// that is cut off: within the floor, by the windows' plans, on the generation that there is. It is the
// module's actor's.
type inheritedState struct {
	policy  *policy.Agent
	windows *maintenance.Agent
	places  *ringassignment.Agent
}

// inherit takes in what was handed over; nil: nothing.
func (p *fleetMember) inherit(raw []byte, now fleet.ClockReading) *inheritedState {
	var a fleetState
	if len(raw) == 0 || !p.told.operator.Fleet.Policy {
		return nil
	}
	m := policy.NewStateMachine()
	err := json.Unmarshal(raw, &a)
	if err == nil {
		err = m.Restore(a.Policy)
	}
	if err != nil || !a.Held {
		slog.Warn("fleet: agreed state of the running process cannot be used", "held", a.Held,
			"error", err)
		return nil
	}
	h := &inheritedState{policy: policy.NewAgent(p.told.policyOwn(), p.policyTimes(p.settings().Terms))}
	h.policy.Learn(m)
	h.policy.Active(now, lease.Full) // the floor counts from here
	windows := maintenance.NewStateMachine(func() uint64 { return m.State().InForce.Number })
	if f := p.told.operator.Fleet; f.Windows && windows.Restore(a.Windows) == nil {
		h.windows = maintenance.NewAgent(int(f.Turns))
		h.windows.Learn(windows)
	}
	places := ringassignment.NewStateMachine()
	if p.told.operator.Fleet.Placement && places.Restore(a.Placement) == nil {
		h.places = ringassignment.NewAgent()
		h.places.Learn(places)
		h.places.Assignment(now, lease.Full)
	}
	return h
}

// standing reads the clocks and how this process may act, and whether it goes by what was handed to it: until
// it has held a lease.
func (p *fleetMember) standing(look func(now fleet.ClockReading, standing lease.Standing)) (inherits bool) {
	if p.actor.Load() == nil {
		return p.inherits != nil
	}
	p.actor.Load().Read(func(n *fleet.Node, now fleet.ClockReading) {
		standing := n.Standing(now)
		if inherits = standing == lease.New && p.inherits != nil; !inherits {
			look(now, standing)
		}
	})
	return inherits
}

// effect is what this agent goes by, at this moment; nil: by its settings alone.
func (p *fleetMember) effect() (e *policy.Effect) {
	if p == nil || !p.told.operator.Fleet.Policy {
		return nil
	}
	if p.standing(func(now fleet.ClockReading, standing lease.Standing) { e = p.seat.Active(now, standing).Effect }) {
		return p.inherits.policy.Active(agent.ReadClocks(), lease.Floor).Effect
	}
	return e
}

// avoiding is what requests keep off at this moment; nil: nothing.
func (p *fleetMember) avoiding() (a *balancer.Exclusions) {
	if p == nil || !p.told.operator.Fleet.Windows {
		return nil
	}
	if p.standing(func(now fleet.ClockReading, standing lease.Standing) {
		a = p.windows.seat.Exclusions(now, standing, p.seat.Active(now, standing))
	}) && p.inherits.windows != nil {
		now := agent.ReadClocks()
		return p.inherits.windows.Exclusions(now, lease.Floor, p.inherits.policy.Active(now, lease.Floor))
	}
	return a
}

// placed is the generation of the ring to place by at this moment; nil: none.
func (p *fleetMember) placed() (g *balancer.RingAssignment) {
	if p == nil || !p.told.operator.Fleet.Placement {
		return nil
	}
	look := func(now fleet.ClockReading, standing lease.Standing) { g = p.places.seat.Assignment(now, standing) }
	if p.standing(look) && p.inherits.places != nil {
		return p.inherits.places.Assignment(agent.ReadClocks(), lease.Floor)
	}
	return g
}
