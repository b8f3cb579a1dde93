package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/overload"
)

// A Router asks its module by type assertion for what only some have: the one that agents run has all of it.
func TestControllerTakesFleetState(t *testing.T) {
	var module Module = (*overload.Controller)(nil)
	require.Implements(t, (*fleetPolicyUser)(nil), module)
	require.Implements(t, (*exclusionUser)(nil), module)
	require.Implements(t, (*ringAssignmentUser)(nil), module)
}
