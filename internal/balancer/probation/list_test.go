package probation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestList: requests wait while servers are to be proved, until their deadline.
func TestList(t *testing.T) {
	var l List
	r := Request{LatencyObjective: 500 * ms, MaxAttempts: 2}
	r.WaitUntil = l.WaitDeadline(r, 0, time.Second)
	require.Equal(t, 200*ms, r.WaitUntil)
	require.Equal(t, r.WaitUntil, l.WaitDeadline(r, 100*ms, time.Second), "what it was given the first time holds")
	require.False(t, l.ShouldWait(r, 0), "nothing is to be proved")
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
	require.True(t, l.AttemptEnded(s, 0, Served), "from a limit of four")
	require.False(t, l.ShouldWait(r, 0), "all are proved")
	l.Add()
	l.ListConfirmed()
	require.False(t, l.ShouldWait(r, 0))
}

// TestOutlook: an untested server counts only while none responds: such a one would have been selected.
func TestOutlook(t *testing.T) {
	answers, silent, dead, busy := NewServer(0), NewServer(0), NewServer(0), NewServer(0)
	for _, s := range []*Server{answers, busy} {
		s.AttemptSent()
		s.AttemptEnded(0, Served)
	}
	busy.holdUntil, dead.holdUntil = time.Hour, time.Hour
	mayHave := func(permitted bool, servers ...*Server) bool {
		var o Outlook
		for _, s := range servers {
			o.Add(s, permitted, 100*ms)
		}
		return o.MayHaveCapacity()
	}
	require.False(t, mayHave(true))
	require.True(t, mayHave(true, answers))
	require.True(t, mayHave(true, nil, answers))
	require.False(t, mayHave(false, answers))
	require.True(t, mayHave(true, silent))
	require.False(t, mayHave(true, dead))
	require.False(t, mayHave(true, silent, nil), "the proved one would have had it")
	require.False(t, mayHave(true, silent, busy))
}
