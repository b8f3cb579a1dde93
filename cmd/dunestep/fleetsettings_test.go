package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet"
)

// An agent with policies off also keeps the replicated state of policies, maintenance windows and the ring assignment. A
// replica that continues from its snapshot needs all of them.
func TestStateMachinesAreAddedWithPoliciesOff(t *testing.T) {
	p := &fleetMember{}
	set := fleet.Settings{Machines: []fleet.StateMachine{nil}}
	p.addStateMachines(&set)
	require.Len(t, set.Machines, 4)
	require.IsType(t, &policy.StateMachine{}, set.Machines[policyMachine])
	for _, m := range set.Machines[policyMachine:] {
		require.NoError(t, m.Restore(nil))
		require.NoError(t, m.Restore(m.Snapshot()))
	}
}
