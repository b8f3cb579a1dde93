package main

import (
	"log/slog"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/policy/policylog"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleetstore"
)

// The state machines of the fleet's log, by their number in records. The numbers are part of what is agreed.
const (
	commandMachine = iota
	policyMachine
	maintenanceMachine
	ringMachine
)

// nodeSettings are those of the fleet's node, with the operators' commands as its first state machine.
func (f *fleetMember) nodeSettings() fleet.Settings {
	o := f.settings.operator.Fleet
	set := fleet.Settings{
		Self:   f.settings.Settings.Self,
		Agents: f.settings.Settings.Balancers,
		Incarnation: uint64(
			time.Now().UnixMilli(),
		),
		Seed:           f.settings.Seed,
		ReadyTimeout:   milliseconds(o.ReadyTimeoutMS),
		BytesPerSecond: int(o.MaxSendRateKB << 10),
		Machines:       []fleet.StateMachine{commandMachine: f.commands},
		Terms: lease.Terms{
			Duration:        milliseconds(o.LeaseMS),
			MaxKnowledgeAge: milliseconds(o.MaxKnowledgeAgeMS),
		},
	}
	for _, v := range o.Voters {
		set.Voters = append(set.Voters, int(v))
	}
	return set
}

// openStore opens a voter's store. Where it can't be used, because it is damaged, of another version or
// missing, this agent runs without a vote: that is no reason to reject requests, and a voter that took its
// store for an empty one could break the log.
func (f *fleetMember) openStore(set *agent.FleetSettings) {
	folder := f.settings.operator.Fleet.Folder
	if folder == "" || !set.Node.IsVoter() {
		return
	}
	store, err := fleetstore.Open(folder)
	if err != nil {
		slog.Error("fleet: the voter's store cannot be used, this agent runs without a vote until it starts "+
			"with an empty folder", "folder", folder, "error", err)
		set.Node.NonVoting = true
		return
	}
	set.Store, set.Node.Stored, set.Node.IsDurable = store, store.Stored(), true
}

// addStateMachines adds the state machines of policies, maintenance windows and the ring, and for those that
// are on here the adapters that act on them. An agent at which one is off has its state all the same: others
// may go on from a snapshot of this agent.
func (f *fleetMember) addStateMachines(n *fleet.Settings) {
	if !f.settings.operator.Fleet.Policy {
		policies := policy.NewStateMachine()
		n.Machines = append(n.Machines, policies,
			maintenance.NewStateMachine(func() uint64 { return policies.State().InForce.Number }),
			ringassignment.NewStateMachine())
		return
	}
	f.policies = policylog.New(policylog.Settings{
		Self: n.Self, IsVoter: n.IsVoter(), Incarnation: n.Incarnation, MachineNumber: policyMachine,
		Local: f.settings.localPolicySettings(), Times: f.policyTimes(n.Terms),
	}, agent.ReadClocks())
	var applications [2]fleet.Application
	var windows fleet.StateMachine = maintenance.NewStateMachine(f.policyInForce)
	var assignments fleet.StateMachine = ringassignment.NewStateMachine()
	if f.settings.operator.Fleet.Windows {
		adapter := f.startMaintenance(n)
		windows, applications[0] = adapter, adapter
	}
	if f.settings.operator.Fleet.RingAssignment {
		adapter := f.startRing(n)
		assignments, applications[1] = adapter, adapter
	}
	n.Machines = append(n.Machines, f.policies, windows, assignments)
	n.Application = fleet.StackApplications(f.policies, applications[0], applications[1])
}

// policyInForce is the newest version of the policy that was activated; zero: none.
func (f *fleetMember) policyInForce() uint64 { return f.policies.State().InForce.Number }

// policyTimes are those by which policies take effect.
func (f *fleetMember) policyTimes(terms lease.Terms) policy.Times {
	return policy.Times{Terms: terms, FloorValidity: seconds(f.settings.operator.Fleet.FloorValidityS)}
}
