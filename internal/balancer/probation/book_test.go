package probation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// What must not run twice, or has been at a bad server, is careful until it has waited.
func TestCareful(t *testing.T) {
	require.False(t, Request{Idempotent: true}.NeedsAnsweringServer(0))
	for _, r := range []Request{{}, {Idempotent: true, HasEndedAttempt: true}} {
		require.True(t, r.NeedsAnsweringServer(time.Hour))
		r.WaitUntil = 10 * ms
		require.True(t, r.NeedsAnsweringServer(10*ms-1))
		require.False(t, r.NeedsAnsweringServer(10*ms))
	}
}

// A request goes to two servers at once, and for a part of its time, only where that does no harm.
func TestFirstAttempt(t *testing.T) {
	most := Request{LatencyObjective: 500 * ms, Idempotent: true, MayHedge: true, MaxAttempts: 3}
	silent, answers := NewServer(0), NewServer(0)
	answers.AttemptSent()
	answers.AttemptEnded(0, Served)
	require.True(t, silent.ShouldHedge(most))
	require.Equal(t, 200*ms, silent.AttemptTimeout(most, time.Second, 0))
	require.Equal(t, 100*ms, silent.AttemptTimeout(most, 100*ms, 0))
	require.False(t, answers.ShouldHedge(most))
	require.Equal(t, time.Second, answers.AttemptTimeout(most, time.Second, 0))
	for what, change := range map[string]func(*Request){
		"unsafe": func(r *Request) { r.Idempotent = false }, "no copies": func(r *Request) { r.MayHedge = false },
		"had one": func(r *Request) { r.Attempts = 1 }, "one only": func(r *Request) { r.MaxAttempts = 1 },
	} {
		r := most
		change(&r)
		require.False(t, silent.ShouldHedge(r), what)
	}
	last := most
	last.Attempts = 2
	require.Equal(t, time.Second, silent.AttemptTimeout(last, time.Second, 0), "the last attempt has all its time")
}

func TestBook(t *testing.T) {
	var b List
	r := Request{LatencyObjective: 500 * ms, MaxAttempts: 2}
	r.WaitUntil = b.WaitDeadline(r, 0, time.Second)
	require.Equal(t, 200*ms, r.WaitUntil)
	require.Equal(t, r.WaitUntil, b.WaitDeadline(r, 100*ms, time.Second), "what it was given first holds")
	require.False(t, b.ShouldWait(r, 0), "nothing is to be proved")
	b.Start(1)
	s := b.Add()
	require.True(t, b.ShouldWait(r, 0))
	require.False(t, b.ShouldWait(r, r.WaitUntil))
	require.False(t, b.ShouldWait(Request{LatencyObjective: r.LatencyObjective, MaxAttempts: 2, Attempts: 2, WaitUntil: r.WaitUntil}, 0))
	require.Equal(t, 50*ms, b.WaitDeadline(Request{LatencyObjective: r.LatencyObjective}, 0, 50*ms))
	require.Equal(t, recheckInterval, r.RecheckDelay(0, ms))
	require.Equal(t, 20*ms, r.RecheckDelay(0, 20*ms))
	require.Equal(t, ms, r.RecheckDelay(r.WaitUntil-ms, ms))
	for range 2 {
		s.AttemptSent()
	}
	require.False(t, b.AttemptEnded(s, 0, Served))
	require.True(t, b.AttemptEnded(s, 0, Served), "from room for four")
	require.False(t, b.ShouldWait(r, 0), "all are proved")
	b.Add()
	b.ListConfirmed()
	require.False(t, b.ShouldWait(r, 0))
}

// Any server that nothing was heard of is hoped for only while none answers: such a one would have been taken.
func TestOutlook(t *testing.T) {
	answers, silent, dead, busy := NewServer(0), NewServer(0), NewServer(0), NewServer(0)
	for _, s := range []*Server{answers, busy} {
		s.AttemptSent()
		s.AttemptEnded(0, Served)
	}
	busy.holdUntil, dead.holdUntil = time.Hour, time.Hour
	hope := func(lawful bool, servers ...*Server) bool {
		var o Outlook
		for _, s := range servers {
			o.Add(s, lawful, 100*ms)
		}
		return o.MayHaveCapacity()
	}
	require.False(t, hope(true))
	require.True(t, hope(true, answers))
	require.True(t, hope(true, nil, answers))
	require.False(t, hope(false, answers))
	require.True(t, hope(true, silent))
	require.False(t, hope(true, dead))
	require.False(t, hope(true, silent, nil), "the proved one would have had it")
	require.False(t, hope(true, silent, busy))
}
