package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/storm"
)

// A Router asks its module by type assertion for what only some have: the one that agents run has all of it.
func TestGateTakesFleetState(t *testing.T) {
	var module Module = (*storm.Gate)(nil)
	require.Implements(t, (*agreeing)(nil), module)
	require.Implements(t, (*avoiding)(nil), module)
	require.Implements(t, (*placing)(nil), module)
}
