package probation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestsWaitForProvenServers checks that requests wait while servers are unproven, until their deadline.
func TestRequestsWaitForProvenServers(t *testing.T) {
	var l List
	r := Request{LatencyObjective: 500 * ms, MaxAttempts: 2}
	r.WaitUntil = l.WaitDeadline(r, 0, time.Second)
	require.Equal(t, 200*ms, r.WaitUntil)
	require.Equal(t, r.WaitUntil, l.WaitDeadline(r, 100*ms, time.Second), "a request keeps its first deadline")
	require.False(t, l.ShouldWait(r, 0), "there is no unproven server")
	l.Start(1)
	s := l.Add()
	require.True(t, l.ShouldWait(r, 0))
	require.False(t, l.ShouldWait(r, r.WaitUntil))
	require.False(t, l.ShouldWait(Request{LatencyObjective: r.LatencyObjective, MaxAttempts: 2, Attempts: 2, WaitUntil: r.WaitUntil}, 0))
	require.Equal(t, 50*ms, l.WaitDeadline(Request{LatencyObjective: r.LatencyObjective}, 0, 50*ms))
	require.Equal(t, recheckInterval, r.RecheckDelay(0, ms))
	require.Equal(t, 20*ms, r.RecheckDelay(0, 20*ms))
	require.Equal(t, ms, r.RecheckDelay(r.WaitUntil-ms, ms))
	for range 2 {
		s.AttemptSent()
	}
	require.False(t, l.AttemptEnded(s, 0, Served))
	require.True(t, l.AttemptEnded(s, 0, Served), "two responses prove a server whose limit starts at four")
	require.False(t, l.ShouldWait(r, 0), "all servers are proven")
	l.Add()
	l.ListConfirmed()
	require.False(t, l.ShouldWait(r, 0))
}

// TestOutlook checks that an untested server counts only while no server responds.
func TestOutlook(t *testing.T) {
	answering, untested, held, busy := NewServer(0), NewServer(0), NewServer(0), NewServer(0)
	for _, s := range []*Server{answering, busy} {
		s.AttemptSent()
		s.AttemptEnded(0, Served)
	}
	busy.holdUntil, held.holdUntil = time.Hour, time.Hour
	mayHaveCapacity := func(permitted bool, servers ...*Server) bool {
		var o Outlook
		for _, s := range servers {
			o.Add(s, permitted, 100*ms)
		}
		return o.MayHaveCapacity()
	}
	require.False(t, mayHaveCapacity(true))
	require.True(t, mayHaveCapacity(true, answering))
	require.True(t, mayHaveCapacity(true, nil, answering))
	require.False(t, mayHaveCapacity(false, answering))
	require.True(t, mayHaveCapacity(true, untested))
	require.False(t, mayHaveCapacity(true, held))
	require.False(t, mayHaveCapacity(true, untested, nil), "a proven server responds, so that untested servers do not count")
	require.False(t, mayHaveCapacity(true, untested, busy))
}
