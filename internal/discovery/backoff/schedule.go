package backoff

import (
	"math"
	"time"
)

// Schedule is one agent's: what became of its calls, and when the next one has to follow. Use New: the zero
// value has no settings.
type Schedule struct {
	settings     Settings
	failedCalls  int           // since one last brought entries
	failedAt     time.Duration // when the last of them failed
	isMissing    bool          // changes may have been made that were not received
	missingSince time.Duration // where isMissing: when the first of them can have been made
}

// New returns a Schedule of an agent that has made no call.
func New(settings Settings) Schedule { return Schedule{settings: settings} }

// ListContent is whether an answer brought entries of the list.
type ListContent bool

// The contents of an answer.
const (
	NoEntries  ListContent = false
	HasEntries ListContent = true
)

// CallStarted takes in that discovery is called. The first time, changes count as missed from then on.
func (s *Schedule) CallStarted(now time.Duration) { s.recordMissedSince(now) }

// Answered takes in that discovery has said what the list is.
func (s *Schedule) Answered(content ListContent) {
	s.isMissing = false
	if content == HasEntries {
		s.failedCalls = 0
	}
}

// IsMissingChanges reports whether changes may have been made that were not received: no call has been
// answered since.
func (s *Schedule) IsMissingChanges() bool { return s.isMissing }

// IsStale reports whether what has changed of late may not have been received.
func (s *Schedule) IsStale(now time.Duration) bool {
	return s.failedCalls > 0 && now-s.failedAt < staleFor
}

// WatchFellSilent takes in that nothing has come on a watch for so long, also where another call replaces it.
func (s *Schedule) WatchFellSilent(now, silentFor time.Duration) {
	s.recordMissedSince(now - silentFor)
}

// recordMissedSince takes in that changes made from a time on may have been missed. What was missed before is
// missing until a call is answered.
func (s *Schedule) recordMissedSince(since time.Duration) {
	if !s.isMissing || since < s.missingSince {
		s.isMissing, s.missingSince = true, since
	}
}

// CallEnded takes in that a call has ended, and returns how long the next one may wait. The draw, a random
// number from 0 to 1, spreads the agents' calls.
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
	return min(delay, s.maxDelay(now, result, draw))
}

// meanDelay is the mean delay that spares a discovery in trouble.
func (s *Schedule) meanDelay() time.Duration {
	delay := MinDelay << min(s.failedCalls, MaxDoublings)
	return time.Duration(float64(delay) * max(float64(s.settings.Agents)/SmallFleetAgents, 1))
}

// maxDelay is the longest delay by the rule of draining servers: a change that was not received counts as
// known after a while, whatever became of the calls, and a server that drains may be sent to for a grace from
// then on. Each agent takes a random place in a part of what is left of that, as all agents, whose watches
// end together, would call together otherwise; the part leaves time for another call.
func (s *Schedule) maxDelay(now time.Duration, result CallResult, draw float64) time.Duration {
	if result == ResultUnknown {
		return math.MaxInt64
	}
	knownAfter := s.settings.assumedKnownAfter()
	knownAt := s.missingSince + knownAfter
	if result == WatchSilent && now < knownAt {
		// The first call is answered before what was missed counts as known.
		return interpolate((knownAt-now)/6, (knownAt-now)/2, draw)
	}
	allowed := knownAfter + s.settings.DrainGrace - responseTime
	left := s.missingSince + allowed - now
	switch {
	case result == WatchLost && left > 0:
		return interpolate(left/4, left/2, draw)
	case left > 0:
		return max(interpolate(left/6, left/2, draw), interpolate(MinDelay/2, MinDelay*3/2, draw))
	}
	// Discovery may be back at any time, and what changes from then on counts.
	return interpolate(allowed/4, allowed/2, draw)
}

func interpolate(low, high time.Duration, draw float64) time.Duration {
	return low + time.Duration(draw*float64(high-low))
}
