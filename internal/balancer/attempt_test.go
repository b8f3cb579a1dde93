package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A client that reads a long answer slowly must not make its server look busy and silent: once an answer has begun, the
// server's work is done.
func TestStartedAnswersAreNotInFlight(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(1))
	s := b.servers["s0"]
	for id := range uint32(60) { // answers take 40 ms
		now := time.Duration(id) * 50 * ms
		b.Step(now, &Request{ID: id, Class: "safe", ClientTimeout: time.Second})
		b.Step(now+40*ms, &AttemptDone{ID: id, Server: "s0", Outcome: Served, Latency: 40 * ms, RequestDone: true})
	}
	const slow = 8
	for id := uint32(100); id < 100+slow; id++ {
		b.Step(3*time.Second, &Request{ID: id, Class: "safe", ClientTimeout: 30 * time.Second})
		require.NotEmpty(t, b.requests[id].attempts, "sent")
		b.Step(3*time.Second, &StreamStarted{ID: id})
		b.Step(3*time.Second, &StreamStarted{ID: id}) // once
	}
	require.Zero(t, s.inFlight)
	require.Zero(t, b.inFlight)
	b.Step(5*time.Second, &TimerDue{Tag: timerRound})
	require.Less(t, b.expectedLatency(s), 0.05, "it is fast and idle, as it was before")
	for id := uint32(100); id < 100+slow; id++ {
		b.Step(6*time.Second, &AttemptDone{
			ID: id, Server: "s0", Outcome: []Outcome{Served, ConnectionLost, Canceled}[id%3],
			Latency: 40 * ms, RequestDone: true,
		})
	}
	require.Zero(t, s.inFlight, "and none is counted down twice")
	require.Zero(t, b.inFlight)
	require.Empty(t, b.requests)
}
