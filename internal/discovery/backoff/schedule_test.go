package backoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	grace = 3 * time.Second
	// drainDeadline is the time after a change that was not received for which a draining server may get requests.
	drainDeadline = AssumedKnownAfter + grace
)

var largeFleet = Settings{Agents: 318, MaxPollInterval: 10 * time.Second, DrainGrace: grace}

// TestTwoCallsAfterSilentWatch checks for random draws and fleet sizes that two calls, each with time for its answer,
// fit in between the start of the silence and the drain deadline of the changes that the watch missed.
func TestTwoCallsAfterSilentWatch(t *testing.T) {
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
		silentSince := time.Minute
		now := silentSince + rapid.SampledFrom([]time.Duration{750, 3000}).Draw(t, "silence")*time.Millisecond
		c.RecordSilentWatch(now, now-silentSince)
		now += c.CallEnded(now, WatchSilent, draw.Draw(t, "first"))
		require.LessOrEqual(t, now, silentSince+AssumedKnownAfter-time.Second,
			"the answer arrives before the missed changes count as known")
		now += 2 * time.Second // the first call is not answered
		now += c.CallEnded(now, CallFailed, draw.Draw(t, "second"))
		require.LessOrEqual(t, now, silentSince+AssumedKnownAfter+3*time.Second-responseTime)
		for range 9 { // later calls are made at a rate that does not overload discovery
			wait := c.CallEnded(now, CallFailed, draw.Draw(t, "later"))
			require.GreaterOrEqual(t, wait, MinDelay/2)
			require.LessOrEqual(t, wait, 10*time.Second)
			now += wait
		}
	})
}

// TestChangesAreReceivedAfterOutage checks for random settings that changes made at or after the end of a discovery
// outage are received before their drain deadline.
func TestChangesAreReceivedAfterOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Settings{
			Agents: rapid.IntRange(1, 5000).Draw(t, "agents"), DrainGrace: grace,
			MaxPollInterval: rapid.SampledFrom([]time.Duration{0, AssumedKnownAfter, 10 * time.Second, time.Minute}).Draw(t, "max poll interval"),
		})
		outageStart := time.Minute
		outageEnd := outageStart + time.Duration(rapid.Int64Range(0, int64(40*time.Second)).Draw(t, "outage"))
		now, result := outageStart, rapid.SampledFrom([]CallResult{WatchLost, CallFailed}).Draw(t, "end")
		c.CallStarted(0)
		c.Answered(HasEntries)
		for now <= outageEnd { // a call ends at once or at its timeout
			now += c.CallEnded(now, result, rapid.Float64Range(0, 1).Draw(t, "draw"))
			c.CallStarted(now)
			if result = CallFailed; now <= outageEnd && rapid.Bool().Draw(t, "hangs") {
				now += callTimeout
			}
		}
		require.LessOrEqual(t, now+responseTime, outageEnd+drainDeadline)
	})
}

// TestTwoMoreCallsFitIn checks that after a lost watch or a failed call two more calls fit in before the drain
// deadline of the missed changes.
func TestTwoMoreCallsFitIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Float64Range(0, 1)
		c := New(Settings{Agents: rapid.IntRange(1, 5000).Draw(t, "agents"), MaxPollInterval: 10 * time.Second, DrainGrace: grace})
		c.CallStarted(0)
		now := time.Minute
		result := rapid.SampledFrom([]CallResult{WatchLost, CallFailed, AddressMoved}).Draw(t, "end")
		deadline := now + drainDeadline
		switch result {
		case CallFailed: // the first call of the agent
			c, now, deadline = New(c.settings), callTimeout, drainDeadline
			c.CallStarted(0)
		case AddressMoved: // changes count as known 4 s after the move
			c.Answered(HasEntries)
			now, deadline = now+callTimeout, now+movedKnownAfter+grace
		default:
			c.Answered(HasEntries)
		}
		for range 2 {
			now += c.CallEnded(now, result, draw.Draw(t, "draw"))
			require.LessOrEqual(t, now+responseTime, deadline)
			now += time.Second // the time until discovery ends a waiting call
			result = CallFailed
		}
	})
}

// TestCallsOfFleetSpread checks that the next calls of agents whose calls ended together are spread, and that a large
// fleet calls at longer intervals during an outage.
func TestCallsOfFleetSpread(t *testing.T) {
	for _, result := range []CallResult{WatchLost, CallFailed} {
		late, early := New(largeFleet), New(largeFleet)
		require.Greater(t, late.CallEnded(time.Minute, result, 1)-early.CallEnded(time.Minute, result, 0), 1500*time.Millisecond)
	}
	c := New(largeFleet)
	for now := time.Duration(0); now < time.Minute; { // an outage: an agent makes a few early calls, then fewer
		wait := c.CallEnded(now, CallFailed, 0.5)
		if now += wait; now > drainDeadline {
			require.Greater(t, wait, 2*time.Second)
		}
	}
	c = New(Settings{Agents: 6})
	require.Equal(t, MinDelay*3/2, c.CallEnded(0, WatchLost, 1))
	require.Equal(t, time.Duration(127200)*time.Millisecond, maxDelayAfter(ResultUnknown), "without an upper limit, as in the simulator")
}

// maxDelayAfter returns the maximum delay after repeated calls with the same result.
func maxDelayAfter(result CallResult) (longest time.Duration) {
	c := New(Settings{Agents: 318, MaxPollInterval: 10 * time.Second, DrainGrace: grace})
	for i := range 9 {
		c.Answered(NoEntries)
		longest = max(longest, c.CallEnded(time.Duration(i)*time.Hour, result, 1))
	}
	return longest
}

// TestMissedChanges checks that changes count as missed since the earliest recorded time until a call is answered.
func TestMissedChanges(t *testing.T) {
	c := New(largeFleet)
	c.RecordSilentWatch(10*time.Second, 3*time.Second)
	c.RecordSilentWatch(14*time.Second, time.Second)
	require.Equal(t, 7*time.Second, c.missedSince)
	c.RecordSilentWatch(15*time.Second, 9*time.Second)
	require.Equal(t, 6*time.Second, c.missedSince)
	require.True(t, func() bool { c.CallEnded(15*time.Second, WatchSilent, 0); return c.IsStale(16 * time.Second) }())
	c.CallStarted(16 * time.Second)
	require.Equal(t, 6*time.Second, c.missedSince)
	c.Answered(NoEntries)
	require.False(t, c.hasMissed)
	require.True(t, c.IsStale(16*time.Second), "the answer had no entries")
	c.CallStarted(20 * time.Second)
	require.Equal(t, 20*time.Second, c.missedSince)
	c.Answered(HasEntries)
	require.False(t, c.IsStale(20*time.Second))
}
