package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A server may pause, but not for longer than its whole response may take.
func TestCheckServerStall(t *testing.T) {
	require.Equal(t, NotEnded, CheckServerStall(900*time.Millisecond, 100*time.Millisecond))
	require.Equal(t, TimedOut, CheckServerStall(1100*time.Millisecond, 100*time.Millisecond))
	require.Equal(t, NotEnded, CheckServerStall(2*time.Second, 3*time.Second))
	require.Equal(t, TimedOut, CheckServerStall(3100*time.Millisecond, 3*time.Second))
}
