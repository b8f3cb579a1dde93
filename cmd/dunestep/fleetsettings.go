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

// The numbers of the fleet log's state machines in records. All agents must use the same numbers.
const (
	commandMachine = iota
	policyMachine
	maintenanceMachine
	ringMachine
)

// nodeSettings returns the fleet node's settings, with the operators' commands as its first state machine.
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

// openStore opens a voter's store. If the store is damaged, missing or of another version, this agent runs
// without a vote: it can still serve requests, and a voter that treated its store as empty could break the
// log's consistency.
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

// addStateMachines adds the state machines of policies, maintenance windows and the ring, each wrapped in its
// adapter where the feature is enabled here. An agent keeps the state of disabled features too: other agents
// may restore from its snapshot.
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

// policyInForce returns the newest activated version of the policy; zero: none.
func (f *fleetMember) policyInForce() uint64 { return f.policies.State().InForce.Number }

// policyTimes returns the times that decide when policies take effect.
func (f *fleetMember) policyTimes(terms lease.Terms) policy.Times {
	return policy.Times{Terms: terms, FloorValidity: seconds(f.settings.operator.Fleet.FloorValidityS)}
}
