package probation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// TestNeedsAnsweringServer checks that a request that is not idempotent, or of which an attempt has ended, needs an
// answering server until its wait is over.
func TestNeedsAnsweringServer(t *testing.T) {
	require.False(t, Request{Idempotent: true}.NeedsAnsweringServer(0))
	for _, r := range []Request{{}, {Idempotent: true, HasEndedAttempt: true}} {
		require.True(t, r.NeedsAnsweringServer(time.Hour))
		r.WaitUntil = 10 * ms
		require.True(t, r.NeedsAnsweringServer(10*ms-1))
		require.False(t, r.NeedsAnsweringServer(10*ms))
	}
}
