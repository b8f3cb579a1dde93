package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet"
)

// An agent at which policies are off keeps their state, the windows' and the ring's, as who goes on from its snapshot
// needs them.
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
