package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/overload"
)

// A Router finds a module's optional interfaces by type assertion, so a missing method would go unnoticed: the module that
// agents run must implement all of them.
func TestControllerImplementsFleetInterfaces(t *testing.T) {
	var module Module = (*overload.Controller)(nil)
	require.Implements(t, (*fleetPolicyUser)(nil), module)
	require.Implements(t, (*exclusionUser)(nil), module)
	require.Implements(t, (*ringAssignmentUser)(nil), module)
}
