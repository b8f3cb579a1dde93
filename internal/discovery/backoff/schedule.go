package backoff

import (
	"math"
	"time"
)

// phase is how far an agent is with its watch of the endpoint list. Each phase is left by an event that is
// certain to come: the end of a call, which its caller reports, or a time at which IsDue becomes true.
type phase uint8

const (
	notCalled phase = iota // before the first call
	calling                // a call is under way; IsDue if it is not accepted by answerDue
	watching               // discovery has accepted the call; its end is reported
	waiting                // no call is under way; IsDue at nextCallAt
)

// Schedule is one agent's schedule of calls to discovery. It follows the results of the calls and determines
// when the next one must be made. Use New: the zero value has no settings.
//
// It is the only owner of the answer to whether there is a watch and, if not, when the next call is made. It
// follows one call, the latest that was started for the watch; what other calls receive does not change the
// phase.
type Schedule struct {
	settings    Settings
	phase       phase
	answerDue   time.Duration // calling: when the call is repeated
	nextCallAt  time.Duration // waiting: when the next call is made
	failedCalls int           // since the last answer with entries
	failedAt    time.Duration // end of the last failed call
	hasMissed   bool          // changes may have been made that were not received
	missedSince time.Duration // if hasMissed: the earliest time of such a change
}

// New returns the Schedule of an agent that has not made a call.
func New(settings Settings) Schedule { return Schedule{settings: settings} }

// ListContent is whether an answer contains entries of the endpoint list.
type ListContent bool

// The contents of an answer.
const (
	NoEntries  ListContent = false
	HasEntries ListContent = true
)

// CallStarted records the start of a call to discovery. From now on changes count as missed, unless
// they already do.
func (s *Schedule) CallStarted(now time.Duration) {
	s.phase, s.answerDue = calling, now+s.settings.answerTimeout()
	s.recordMissedSince(now)
}

// AddressChanged records the start of a call to a new address of discovery, which replaces the call before.
// Changes that the agent has not received by then count as known movedKnownAfter later.
func (s *Schedule) AddressChanged(now time.Duration) {
	s.CallStarted(now)
	s.recordMissedSince(now + movedKnownAfter - AssumedKnownAfter)
}

// Accepted records that discovery has accepted the call.
func (s *Schedule) Accepted() { s.phase = watching }

// Answered records that discovery has sent the endpoint list, or that there is nothing new, on the watch.
func (s *Schedule) Answered(content ListContent) {
	s.phase = watching
	s.hasMissed = false
	if content == HasEntries {
		s.failedCalls = 0
	}
}

// IsDue reports whether a call must be made now: one was planned for now, or is under way without an answer.
func (s *Schedule) IsDue(now time.Duration) bool {
	return s.phase == waiting && now > s.nextCallAt-timerPrecision || s.phase == calling && now >= s.answerDue
}

// NextCallAt returns when the next call is made; isPlanned is false if one is under way.
func (s *Schedule) NextCallAt() (at time.Duration, isPlanned bool) {
	return s.nextCallAt, s.phase == waiting
}

// IsStale reports whether recent changes may not have been received, because a call failed recently.
func (s *Schedule) IsStale(now time.Duration) bool {
	return s.failedCalls > 0 && now-s.failedAt < staleFor
}

// RecordSilentWatch records that a watch has received nothing for a time.
func (s *Schedule) RecordSilentWatch(now, silentFor time.Duration) {
	s.recordMissedSince(now - silentFor)
}

// OtherWatchEnded records the end of a watch that another call has replaced, and that had received nothing
// for a time. If the other call has been answered, nothing was missed.
func (s *Schedule) OtherWatchEnded(now, silentFor time.Duration) {
	if s.phase == watching && !s.hasMissed {
		return
	}
	s.recordMissedSince(now - silentFor)
	s.hasten(now, CallFailed)
}

// recordMissedSince records that changes made since a time may have been missed. An earlier recorded time
// stays until a call is answered.
func (s *Schedule) recordMissedSince(since time.Duration) {
	if !s.hasMissed || since < s.missedSince {
		s.hasMissed, s.missedSince = true, since
	}
}

// CallEnded records the result of the call and returns the delay until the next one, which is planned unless
// one is already. The draw, a random number from 0 to 1, spreads the calls of the agents.
func (s *Schedule) CallEnded(now time.Duration, result CallResult, draw float64) time.Duration {
	switch result {
	case Unreadable:
		s.recordMissedSince(now - AssumedKnownAfter)
	case AddressMoved:
		s.recordMissedSince(now - callTimeout - AssumedKnownAfter + movedKnownAfter)
	default:
		s.recordMissedSince(now)
	}
	delay := interpolate(s.meanDelay()/2, s.meanDelay()*3/2, draw)
	s.failedCalls++
	s.failedAt = now
	if s.phase == waiting && now < s.nextCallAt {
		s.hasten(now, result)
		return s.nextCallAt - now
	}
	delay = min(delay, s.maxDelay(now, result, draw))
	s.phase, s.nextCallAt = waiting, now+delay
	return delay
}

// hasten makes a planned call at the latest when the rule for draining servers allows.
func (s *Schedule) hasten(now time.Duration, result CallResult) {
	if latest := s.maxDelay(now, result, 1); s.phase == waiting && s.nextCallAt-now > latest {
		s.nextCallAt = now + latest
	}
}

// meanDelay returns the mean delay that limits the load of an overloaded or failed discovery service.
func (s *Schedule) meanDelay() time.Duration {
	delay := MinDelay << min(s.failedCalls, MaxDoublings)
	return time.Duration(float64(delay) * max(float64(s.settings.Agents)/SmallFleetAgents, 1))
}

// maxDelay returns the maximum delay under the rule for draining servers: a change that was not received
// counts as known after a while, whatever the results of the calls, and a draining server may get requests
// for a grace period from then on. Each agent draws a random delay within a part of the time that is left,
// because the watches of all agents end together and their calls would otherwise coincide. The part leaves
// time for another call.
func (s *Schedule) maxDelay(now time.Duration, result CallResult, draw float64) time.Duration {
	if result == ResultUnknown {
		return math.MaxInt64
	}
	knownAfter := s.settings.assumedKnownAfter()
	knownAt := s.missedSince + knownAfter
	if result == WatchSilent && now < knownAt {
		// The next call is answered before the missed changes count as known.
		return interpolate((knownAt-now)/6, (knownAt-now)/2, draw)
	}
	allowed := knownAfter + s.settings.DrainGrace - responseTime
	left := s.missedSince + allowed - now
	switch {
	case result == WatchLost && left > 0:
		return interpolate(left/4, left/2, draw)
	case left > 0:
		return max(interpolate(left/6, left/2, draw), interpolate(MinDelay/2, MinDelay*3/2, draw))
	}
	// Discovery may be reachable again at any time, and changes count from then on.
	return interpolate(allowed/4, allowed/2, draw)
}

// interpolate returns the duration at the fraction draw of the way from low to high.
func interpolate(low, high time.Duration, draw float64) time.Duration {
	return low + time.Duration(draw*float64(high-low))
}
