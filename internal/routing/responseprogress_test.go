package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/outlier"
)

// A response that has begun continues while its endpoint sends, however late, and its client reads. Its end is the endpoint's
// fault only if the endpoint stopped sending.
func TestCheckLimits(t *testing.T) {
	ms := time.Millisecond
	for i, c := range []struct {
		p                 ResponseProgress
		sent, left, quiet time.Duration
		want              EndReason
		outcome           balancer.Outcome
	}{
		{ResponseProgress{Length: 70000, Received: 1, Receiving: 200 * ms}, 200 * ms, ms, 999 * ms, NotEnded, 0},
		{ResponseProgress{Length: 70000, Received: 1, Receiving: 200 * ms}, 200 * ms, -999 * ms, 29_999 * ms, NotEnded, 0},
		{ResponseProgress{Length: 70000, Received: 1, Receiving: 200 * ms}, 200 * ms, 1 * ms, 30_001 * ms, NotEnded, 0},
		{ResponseProgress{Length: 70000, Received: 1, Receiving: 200 * ms}, 200 * ms, 0, 30_001 * ms, TimedOut, balancer.TimedOut},
		{ResponseProgress{Length: -1, Received: 70000, Receiving: 200 * ms}, 200 * ms, 0, 30_001 * ms, TimedOut, balancer.TimedOut},
		{ResponseProgress{Length: 70000}, 2500 * ms, -999 * ms, 29_999 * ms, NotEnded, 0}, // nothing but the head
		{ResponseProgress{Length: 70000}, 2500 * ms, -999 * ms, 30_001 * ms, TimedOut, balancer.TimedOut},
		{ResponseProgress{Length: -1, Received: 70000, Receiving: 200 * ms}, 200 * ms, -999 * ms, 29_999 * ms, NotEnded, 0},
		// A short response must end within the request's time: its client gives it up half a second later.
		{ResponseProgress{Length: 1000, Received: 1, Receiving: 200 * ms}, 200 * ms, ms, 999 * ms, NotEnded, 0},
		{ResponseProgress{Length: 1000, Received: 1, Receiving: 200 * ms}, 200 * ms, 0, 200 * ms, NotEnded, 0},
		{ResponseProgress{Length: 1000, Received: 1, Receiving: 200 * ms}, 200 * ms, 0, 201 * ms, TimedOut, balancer.TimedOut},
		{ResponseProgress{Length: 65536, Received: 1, Receiving: 200 * ms}, 200 * ms, -400 * ms, 0, NotEnded, 0},
		{ResponseProgress{Length: 65536, Received: 1, Receiving: 200 * ms}, 200 * ms, -401 * ms, 0, TimedOut, balancer.TimedOut},
		// A response of unknown length may turn out to be long: it is not cut off while its endpoint sends.
		{ResponseProgress{Length: -1, Received: 1000, Receiving: 200 * ms}, 200 * ms, -401 * ms, 29_999 * ms, NotEnded, 0},
		{ResponseProgress{Length: -1, Received: 1000, Receiving: 200 * ms}, 200 * ms, -401 * ms, 30_001 * ms, TimedOut, balancer.TimedOut},
		{ResponseProgress{Length: 1000, Received: 1, Receiving: 200 * ms, Stream: true}, 200 * ms, -999 * ms, 29_999 * ms, NotEnded, 0},
		{ResponseProgress{Length: 1000, Received: 1, Receiving: 200 * ms, Stream: true}, 200 * ms, 0, 30_001 * ms, TimedOut, balancer.TimedOut},
		{ResponseProgress{Length: -1, Received: 1, Receiving: time.Hour}, time.Hour, -maxLongOverrun - 1, 0, TimedOut, balancer.TimedOut},
		{
			ResponseProgress{Length: 1000, Received: 1, Receiving: 99 * ms, Blocked: 100 * ms},
			999 * ms, 0, 3001 * ms, TimedOut,
			balancer.Canceled,
		},
		{ResponseProgress{Complete: true}, 99 * ms, -time.Hour, 0, NotEnded, 0},
		{ResponseProgress{Length: -1, Received: 1, Blocked: 300 * ms}, 500 * ms, ms, 0, NotEnded, 0}, // 200 ms that the endpoint took, and 100 ms of lag
		{ResponseProgress{Length: -1, Received: 1, Blocked: 301 * ms}, 500 * ms, ms, 0, ClientTooSlow, balancer.Canceled},
		{ResponseProgress{Length: -1, Received: 9000, Blocked: 500 * ms}, 501 * ms, ms, 0, NotEnded, 0}, // the client reads fast enough
		{ResponseProgress{Length: -1, Received: 1, Blocked: 300 * ms, DelayBefore: ms}, 500 * ms, ms, 0, ClientTooSlow, balancer.Canceled},
		{ResponseProgress{Complete: true, Blocked: 900 * ms}, 500 * ms, ms, 0, NotEnded, 0},
	} {
		reason := c.p.CheckLimits(c.sent, c.left, c.quiet, 100*ms)
		require.Equal(t, c.want, reason, i)
		if reason != NotEnded {
			require.Equal(t, c.outcome, AttemptResult{Phase: Responding, EndReason: reason, Streamed: true, Progress: c.p}.Outcome(), i)
		}
	}
	require.Equal(t, balancer.Canceled, AttemptResult{Phase: AwaitingResponse, EndReason: TimedOut, Progress: ResponseProgress{Complete: true}}.Outcome())
	for result, phase := range map[AttemptResult]outlier.Phase{
		{EndReason: TimedOut}:                         outlier.PhaseConnecting,
		{Phase: Writing, EndReason: BrokenByEndpoint}: outlier.PhaseWriting, {Phase: AwaitingResponse, EndReason: TimedOut}: outlier.PhaseAwaiting,
		{Phase: Responding, EndReason: Completed, Response: balancer.ServerError}: outlier.PhaseAwaiting, // a complete 500 is not invalid
		{Phase: Responding, EndReason: InvalidResponse}:                           outlier.PhaseAnswering,
		{Phase: Responding, EndReason: BrokenByEndpoint}:                          outlier.PhaseAnswering,
	} {
		result.Reused, result.IdleFor, result.Refused, result.LocalFault, result.LocalDelay = true, 1, true, true, 2
		require.Equal(t, outlier.Evidence{Phase: phase, ConnectionReused: true, IdleFor: 1, ConnectionRefused: true, LocalShortage: true, ActedLateBy: 2},
			result.Evidence())
	}
	_, lost, counts := AttemptResult{Phase: Responding, EndReason: BrokenByEndpoint, Streamed: true}.IdleEvidence()
	require.Equal(t, []bool{false, true}, []bool{lost, counts}, "the connection worked until then")
}
