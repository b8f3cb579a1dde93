package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a client that reads a long response slowly making its server look busy and silent. Once a response has
// begun, the server's work is done and the attempt is not in flight.
func TestStartedResponsesAreNotInFlight(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(1))
	s := b.servers["s0"]
	for id := range uint32(60) { // each response takes 40 ms
		now := time.Duration(id) * 50 * ms
		b.Step(now, &Request{ID: id, Class: "safe", ClientTimeout: time.Second})
		b.Step(now+40*ms, &AttemptDone{ID: id, Server: "s0", Outcome: Served, Latency: 40 * ms, RequestDone: true})
	}
	const slow = 8
	for id := uint32(100); id < 100+slow; id++ {
		b.Step(3*time.Second, &Request{ID: id, Class: "safe", ClientTimeout: 30 * time.Second})
		require.NotEmpty(t, b.requests[id].attempts, "the request is sent")
		b.Step(3*time.Second, &StreamStarted{ID: id})
		b.Step(3*time.Second, &StreamStarted{ID: id}) // a duplicate must not count twice
	}
	require.Zero(t, s.inFlight)
	require.Zero(t, b.inFlight)
	b.Step(5*time.Second, &TimerDue{Tag: timerRound})
	require.Less(t, b.expectedLatency(s), 0.05, "the server is as fast and idle as before")
	for id := uint32(100); id < 100+slow; id++ {
		b.Step(6*time.Second, &AttemptDone{
			ID: id, Server: "s0", Outcome: []Outcome{Served, ConnectionLost, Canceled}[id%3],
			Latency: 40 * ms, RequestDone: true,
		})
	}
	require.Zero(t, s.inFlight, "the end of an attempt does not count down twice")
	require.Zero(t, b.inFlight)
	require.Empty(t, b.requests)
}
