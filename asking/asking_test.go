package asking

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	grace = 3 * time.Second
	// binds is how long after a change that was not heard of sends may go on.
	binds = ToldAfter + grace
)

var terms = Terms{Agents: 318, AskWithin: 10 * time.Second, DrainGrace: grace}

// Guards against a rule on drains broken by waiting: whatever the draws, however many the agents, two calls have
// been made, each with time for its answer, before what a silent watch missed binds.
func TestSilence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Float64Range(0, 1)
		c := New(Terms{
			Agents: rapid.IntRange(1, 5000).Draw(t, "agents"), AskWithin: 10 * time.Second,
			DrainGrace: 3 * time.Second,
		})
		for range rapid.IntRange(0, 9).Draw(t, "refused before") {
			c.Ended(0, Refused, 0)
		}
		c.Answered(false)
		fell := time.Minute
		now := fell + rapid.SampledFrom([]time.Duration{750, 3000}).Draw(t, "quiet")*time.Millisecond
		c.Fell(now, now-fell)
		now += c.Ended(now, Silent, draw.Draw(t, "first"))
		require.LessOrEqual(t, now, fell+ToldAfter-time.Second, "its answer comes before what was missed counts")
		now += 2 * time.Second // it waits for its turn in vain
		now += c.Ended(now, Refused, draw.Draw(t, "second"))
		require.LessOrEqual(t, now, fell+ToldAfter+3*time.Second-answerTime)
		for range 9 { // and it goes on, at a rate that a discovery in trouble bears
			wait := c.Ended(now, Refused, draw.Draw(t, "later"))
			require.GreaterOrEqual(t, wait, Least/2)
			require.LessOrEqual(t, wait, 10*time.Second)
			now += wait
		}
	})
}

// Guards against a wait after a failed call that is longer than the rule on drains allows, whatever the page of
// settings gives for asking: discovery can't be reached for a while, for any reason, and from then on answers.
// What is changed at that moment, or later, is heard of before it binds.
func TestHeardInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Terms{
			Agents: rapid.IntRange(1, 5000).Draw(t, "agents"), DrainGrace: grace,
			AskWithin: rapid.SampledFrom([]time.Duration{0, ToldAfter, 10 * time.Second, time.Minute}).Draw(t, "ask within"),
		})
		cut := time.Minute
		back := cut + time.Duration(rapid.Int64Range(0, int64(40*time.Second)).Draw(t, "back after"))
		now, end := cut, rapid.SampledFrom([]End{Lost, Refused}).Draw(t, "end")
		c.Called(0)
		c.Answered(true)
		for now <= back { // the calls end at once, or as late as a call can
			now += c.Ended(now, end, rapid.Float64Range(0, 1).Draw(t, "draw"))
			c.Called(now)
			if end = Refused; now <= back && rapid.Bool().Draw(t, "hangs") {
				now += callTime
			}
		}
		require.LessOrEqual(t, now+answerTime, back+binds)
	})
}

// The first calls after a watch was lost, or could not be had: two more fit before what was missed binds.
func TestFurtherCallsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Float64Range(0, 1)
		c := New(Terms{Agents: rapid.IntRange(1, 5000).Draw(t, "agents"), AskWithin: 10 * time.Second, DrainGrace: grace})
		c.Called(0)
		now := time.Minute
		end := rapid.SampledFrom([]End{Lost, Refused, Moved}).Draw(t, "end")
		bound := now + binds
		switch end {
		case Refused: // of its own first call
			c, now, bound = New(c.terms), callTime, binds
			c.Called(0)
		case Moved: // what discovery has to tell counts as told 4 s after that
			c.Answered(true)
			now, bound = now+callTime, now+movedAfter+grace
		default:
			c.Answered(true)
		}
		for range 2 {
			now += c.Ended(now, end, draw.Draw(t, "draw"))
			require.LessOrEqual(t, now+answerTime, bound)
			now += time.Second // which is how long discovery lets a call wait
			end = Refused
		}
	})
}

// A fleet that calls all at once spreads its calls, and calls no more often than its number needs.
func TestFleetSpreads(t *testing.T) {
	for _, end := range []End{Lost, Refused} {
		c, early := New(terms), New(terms)
		require.Greater(t, c.Ended(time.Minute, end, 1)-early.Ended(time.Minute, end, 0), 1500*time.Millisecond)
	}
	c := New(terms)
	for now := time.Duration(0); now < time.Minute; { // an outage: each calls a few times while what is missed binds
		wait := c.Ended(now, Refused, 0.5)
		if now += wait; now > binds {
			require.Greater(t, wait, 2*time.Second)
		}
	}
	c = New(Terms{Agents: 6})
	require.Equal(t, Least*3/2, c.Ended(0, Lost, 1))
	require.Equal(t, time.Duration(127200)*time.Millisecond, longest(Unknown), "in the simulator nobody tells")
}

// longest is how long the wait after a call gets at the most that ends so time and again, ever so rarely.
func longest(end End) (most time.Duration) {
	c := New(Terms{Agents: 318, AskWithin: 10 * time.Second, DrainGrace: grace})
	for i := range 9 {
		c.Answered(false)
		most = max(most, c.Ended(time.Duration(i)*time.Hour, end, 1))
	}
	return most
}

// What was missed counts from the first time on, until a call is answered.
func TestMissing(t *testing.T) {
	c := New(terms)
	c.Fell(10*time.Second, 3*time.Second)
	c.Fell(14*time.Second, time.Second)
	require.Equal(t, 7*time.Second, c.since)
	c.Fell(15*time.Second, 9*time.Second)
	require.Equal(t, 6*time.Second, c.since)
	require.True(t, func() bool { c.Ended(15*time.Second, Silent, 0); return c.Deaf(16 * time.Second) }())
	c.Called(16 * time.Second)
	require.Equal(t, 6*time.Second, c.since)
	c.Answered(false)
	require.False(t, c.missing)
	require.True(t, c.Deaf(16*time.Second), "nothing was told")
	c.Called(20 * time.Second)
	require.Equal(t, 20*time.Second, c.since)
	c.Answered(true)
	require.False(t, c.Deaf(20*time.Second))
}
