package backoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	grace = 3 * time.Second
	// binds is how long after a change that was not received a draining server may be sent to.
	binds = AssumedKnownAfter + grace
)

var largeFleet = Settings{Agents: 318, MaxPollInterval: 10 * time.Second, DrainGrace: grace}

// TestSilentWatch: whatever the draws, however many the agents, two calls have been made, each with time for its answer,
// before what a silent watch missed binds by the rule of draining servers.
func TestSilentWatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Float64Range(0, 1)
		c := New(Settings{
			Agents: rapid.IntRange(1, 5000).Draw(t, "agents"), MaxPollInterval: 10 * time.Second,
			DrainGrace: 3 * time.Second,
		})
		for range rapid.IntRange(0, 9).Draw(t, "failed before") {
			c.CallEnded(0, CallFailed, 0)
		}
		c.Answered(NoEntries)
		fell := time.Minute
		now := fell + rapid.SampledFrom([]time.Duration{750, 3000}).Draw(t, "quiet")*time.Millisecond
		c.WatchFellSilent(now, now-fell)
		now += c.CallEnded(now, WatchSilent, draw.Draw(t, "first"))
		require.LessOrEqual(t, now, fell+AssumedKnownAfter-time.Second, "its answer comes before what was missed counts as known")
		now += 2 * time.Second // it is not answered
		now += c.CallEnded(now, CallFailed, draw.Draw(t, "second"))
		require.LessOrEqual(t, now, fell+AssumedKnownAfter+3*time.Second-responseTime)
		for range 9 { // and it goes on, at a rate that a discovery in trouble can bear
			wait := c.CallEnded(now, CallFailed, draw.Draw(t, "later"))
			require.GreaterOrEqual(t, wait, MinDelay/2)
			require.LessOrEqual(t, wait, 10*time.Second)
			now += wait
		}
	})
}

// TestChangesAreReceivedInTime: whatever the settings allow for polling, where discovery cannot be reached for a while and
// answers from then on, what is changed at that moment or later is received before it binds.
func TestChangesAreReceivedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Settings{
			Agents: rapid.IntRange(1, 5000).Draw(t, "agents"), DrainGrace: grace,
			MaxPollInterval: rapid.SampledFrom([]time.Duration{0, AssumedKnownAfter, 10 * time.Second, time.Minute}).Draw(t, "max poll interval"),
		})
		cut := time.Minute
		back := cut + time.Duration(rapid.Int64Range(0, int64(40*time.Second)).Draw(t, "back after"))
		now, end := cut, rapid.SampledFrom([]CallResult{WatchLost, CallFailed}).Draw(t, "end")
		c.CallStarted(0)
		c.Answered(HasEntries)
		for now <= back { // the calls end at once, or as late as a call can
			now += c.CallEnded(now, end, rapid.Float64Range(0, 1).Draw(t, "draw"))
			c.CallStarted(now)
			if end = CallFailed; now <= back && rapid.Bool().Draw(t, "hangs") {
				now += callTimeout
			}
		}
		require.LessOrEqual(t, now+responseTime, back+binds)
	})
}

// TestMoreCallsFitIn: after a watch was lost, or a call failed, two more calls fit in before what was missed binds.
func TestMoreCallsFitIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Float64Range(0, 1)
		c := New(Settings{Agents: rapid.IntRange(1, 5000).Draw(t, "agents"), MaxPollInterval: 10 * time.Second, DrainGrace: grace})
		c.CallStarted(0)
		now := time.Minute
		end := rapid.SampledFrom([]CallResult{WatchLost, CallFailed, AddressMoved}).Draw(t, "end")
		bound := now + binds
		switch end {
		case CallFailed: // of its own first call
			c, now, bound = New(c.settings), callTimeout, binds
			c.CallStarted(0)
		case AddressMoved: // what discovery has to say counts as known 4 s after that
			c.Answered(HasEntries)
			now, bound = now+callTimeout, now+movedKnownAfter+grace
		default:
			c.Answered(HasEntries)
		}
		for range 2 {
			now += c.CallEnded(now, end, draw.Draw(t, "draw"))
			require.LessOrEqual(t, now+responseTime, bound)
			now += time.Second // which is how long discovery lets a call wait
			end = CallFailed
		}
	})
}

// TestFleetSpreads: a fleet whose agents call at once spreads its calls, and calls no more often than its number needs.
func TestFleetSpreads(t *testing.T) {
	for _, end := range []CallResult{WatchLost, CallFailed} {
		c, early := New(largeFleet), New(largeFleet)
		require.Greater(t, c.CallEnded(time.Minute, end, 1)-early.CallEnded(time.Minute, end, 0), 1500*time.Millisecond)
	}
	c := New(largeFleet)
	for now := time.Duration(0); now < time.Minute; { // an outage: each calls a few times while what is missed binds
		wait := c.CallEnded(now, CallFailed, 0.5)
		if now += wait; now > binds {
			require.Greater(t, wait, 2*time.Second)
		}
	}
	c = New(Settings{Agents: 6})
	require.Equal(t, MinDelay*3/2, c.CallEnded(0, WatchLost, 1))
	require.Equal(t, time.Duration(127200)*time.Millisecond, longest(ResultUnknown), "as in the simulator")
}

// longest is the longest delay after a call that ends so again and again.
func longest(end CallResult) (most time.Duration) {
	c := New(Settings{Agents: 318, MaxPollInterval: 10 * time.Second, DrainGrace: grace})
	for i := range 9 {
		c.Answered(NoEntries)
		most = max(most, c.CallEnded(time.Duration(i)*time.Hour, end, 1))
	}
	return most
}

// TestMissingChanges: what was missed counts from the first time on, until a call is answered.
func TestMissingChanges(t *testing.T) {
	c := New(largeFleet)
	c.WatchFellSilent(10*time.Second, 3*time.Second)
	c.WatchFellSilent(14*time.Second, time.Second)
	require.Equal(t, 7*time.Second, c.missingSince)
	c.WatchFellSilent(15*time.Second, 9*time.Second)
	require.Equal(t, 6*time.Second, c.missingSince)
	require.True(t, func() bool { c.CallEnded(15*time.Second, WatchSilent, 0); return c.IsStale(16 * time.Second) }())
	c.CallStarted(16 * time.Second)
	require.Equal(t, 6*time.Second, c.missingSince)
	c.Answered(NoEntries)
	require.False(t, c.isMissing)
	require.True(t, c.IsStale(16*time.Second), "it brought no entries")
	c.CallStarted(20 * time.Second)
	require.Equal(t, 20*time.Second, c.missingSince)
	c.Answered(HasEntries)
	require.False(t, c.IsStale(20*time.Second))
}
