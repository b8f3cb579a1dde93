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

// fleetState is the agreed state that one process of an agent hands over to the next: snapshots of the state
// machines. Only one of the two processes is a member of the fleet at a time. Without this state, the next
// process would ignore the policy in force, send to endpoints under maintenance, and use another ring until
// it is a member itself.
type fleetState struct {
	HeldLease   bool   `json:"held"`
	Policy      []byte `json:"policy,omitempty"`
	Maintenance []byte `json:"windows,omitempty"`
	Ring        []byte `json:"placement,omitempty"`
}

// encodeStateTimeout bounds how long the handover waits for the fleet's state.
const encodeStateTimeout = 500 * time.Millisecond

// encodeState returns the fleet's state for the next process; empty: there is none.
func (f *fleetMember) encodeState() (raw []byte) {
	if f == nil || f.policies == nil {
		return nil
	}
	actor := f.actor.Load()
	if actor == nil {
		return nil
	}
	done := make(chan fleetState, 1)
	ctx, cancel := context.WithTimeout(context.Background(), encodeStateTimeout)
	defer cancel()
	if !actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		s := fleetState{HeldLease: n.Standing(now) == lease.Full, Policy: f.policies.Snapshot()}
		if f.maintenance != nil {
			s.Maintenance = f.maintenance.adapter.Snapshot()
		}
		if f.ring != nil {
			s.Ring = f.ring.adapter.Snapshot()
		}
		done <- s
	}) {
		return nil
	}
	raw, _ = json.Marshal(<-done) // a struct of bytes can always be encoded
	return raw
}

// inheritedState is the fleet's state that a new process applies until it has held a lease itself. Like an
// agent that is cut off from the fleet, the process applies the policy's floor, the planned windows and the
// agreed ring assignment. Only the agent's actor accesses it.
type inheritedState struct {
	policy      *policy.Agent
	maintenance *maintenance.Agent    // nil: disabled, or not handed over
	ring        *ringassignment.Agent // nil: disabled, or not handed over
}

// inherit decodes the fleet's state that the previous process has handed over. It returns nil where there is
// none, or where it cannot be used.
func (f *fleetMember) inherit(raw []byte, now fleet.ClockReading) *inheritedState {
	if len(raw) == 0 || !f.settings.operator.Fleet.Policy {
		return nil
	}
	var s fleetState
	policies := policy.NewStateMachine()
	err := json.Unmarshal(raw, &s)
	if err == nil {
		err = policies.Restore(s.Policy)
	}
	if err != nil || !s.HeldLease {
		slog.Warn("fleet: agreed state of the running process cannot be used", "held", s.HeldLease, "error", err)
		return nil
	}
	inherited := &inheritedState{
		policy: policy.NewAgent(f.settings.localPolicySettings(), f.policyTimes(f.nodeSettings().Terms)),
	}
	inherited.policy.Learn(policies)
	inherited.policy.Active(now, lease.Full) // the floor's validity period starts now
	windows := maintenance.NewStateMachine(func() uint64 { return policies.State().InForce.Number })
	if o := f.settings.operator.Fleet; o.Windows && windows.Restore(s.Maintenance) == nil {
		inherited.maintenance = maintenance.NewAgent(int(o.MaintenanceGroups))
		inherited.maintenance.Learn(windows)
	}
	assignments := ringassignment.NewStateMachine()
	if f.settings.operator.Fleet.RingAssignment && assignments.Restore(s.Ring) == nil {
		inherited.ring = ringassignment.NewAgent()
		inherited.ring.Learn(assignments)
		inherited.ring.Assignment(now, lease.Full)
	}
	return inherited
}

// readStanding calls read with the clocks and this process's lease standing. While the process still applies
// the inherited state, which is until it has held a lease, it returns true instead of calling read.
func (f *fleetMember) readStanding(
	read func(now fleet.ClockReading, standing lease.Standing),
) (usesInherited bool) {
	actor := f.actor.Load()
	if actor == nil {
		return f.inherited != nil
	}
	actor.Read(func(n *fleet.Node, now fleet.ClockReading) {
		standing := n.Standing(now)
		if usesInherited = standing == lease.New && f.inherited != nil; !usesInherited {
			read(now, standing)
		}
	})
	return usesInherited
}

// policyEffect returns the effect of the policy that this agent applies now; nil: only its settings apply.
func (f *fleetMember) policyEffect() (e *policy.Effect) {
	if f == nil || !f.settings.operator.Fleet.Policy {
		return nil
	}
	if f.readStanding(func(now fleet.ClockReading, standing lease.Standing) {
		e = f.policies.Active(now, standing).Effect
	}) {
		return f.inherited.policy.Active(agent.ReadClocks(), lease.Floor).Effect
	}
	return e
}

// exclusions returns the endpoints that tenants' requests avoid now; nil: none.
func (f *fleetMember) exclusions() (x *balancer.Exclusions) {
	if f == nil || !f.settings.operator.Fleet.Windows {
		return nil
	}
	if f.readStanding(func(now fleet.ClockReading, standing lease.Standing) {
		x = f.maintenance.adapter.Exclusions(now, standing, f.policies.Active(now, standing))
	}) && f.inherited.maintenance != nil {
		now := agent.ReadClocks()
		return f.inherited.maintenance.Exclusions(now, lease.Floor, f.inherited.policy.Active(now, lease.Floor))
	}
	return x
}

// ringAssignment returns the agreed ring assignment that applies now; nil: none.
func (f *fleetMember) ringAssignment() (a *balancer.RingAssignment) {
	if f == nil || !f.settings.operator.Fleet.RingAssignment {
		return nil
	}
	read := func(now fleet.ClockReading, standing lease.Standing) {
		a = f.ring.adapter.Assignment(now, standing)
	}
	if f.readStanding(read) && f.inherited.ring != nil {
		return f.inherited.ring.Assignment(agent.ReadClocks(), lease.Floor)
	}
	return a
}
