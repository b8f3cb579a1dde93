package openids

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRegistry(t *testing.T) {
	var r Registry
	require.False(t, r.Close("a", ThisProcess))
	require.True(t, r.Open("a", ThisProcess))
	require.False(t, r.Open("a", ThisProcess))
	require.False(t, r.Open("a", NextProcess), "it is open at the other process")
	require.False(t, r.Close("a", NextProcess), "it is not that process's")
	require.True(t, r.Open("b", NextProcess))
	require.True(t, r.Open("c", NextProcess))
	require.False(t, r.Open("b", ThisProcess))
	require.True(t, r.Close("b", NextProcess))
	require.True(t, r.Open("b", ThisProcess))
	require.Equal(t, []string{"c"}, r.CloseAll(NextProcess))
	require.True(t, r.Open("c", ThisProcess))
	require.False(t, r.Open("a", NextProcess))
}
