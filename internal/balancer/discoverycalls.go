package balancer

import (
	"time"

	"dunestep/internal/discovery/backoff"
)

// trackDiscoveryCall tracks the calls to discovery. The first update starts the rounds. What a call other
// than the latest watch receives is applied, but does not answer the latest one.
func (b *Balancer) trackDiscoveryCall(e *ServerListUpdate) {
	switch w := &e.Watch; {
	case !b.started:
		b.started = true
		b.setTimer(roundInterval, 0, timerRound)
		b.pollDiscovery()
	case w.Local:
	case w.OtherCall && e.Kind == UpdateFailed:
		b.discovery.OtherWatchEnded(b.now, w.SilentFor)
	case w.OtherCall:
	case e.Kind == UpdateFailed:
		b.onCallEnded(w)
	case w.AddressChanged:
		b.discovery.AddressChanged(b.now)
	case w.Opened:
		b.discovery.Accepted()
	default:
		b.discovery.Answered(len(e.Servers) > 0)
	}
	b.setPollTimer()
}

// onCallEnded plans another call to discovery after a backoff, unless one is planned.
func (b *Balancer) onCallEnded(w *WatchStatus) {
	if w.End == backoff.WatchSilent {
		b.discovery.RecordSilentWatch(b.now, w.SilentFor)
	}
	b.discovery.CallEnded(b.now, w.End, b.rng.Float64())
}

// setPollTimer sets a timer for the planned call to discovery, unless it has one.
func (b *Balancer) setPollTimer() {
	if at, isPlanned := b.discovery.NextCallAt(); isPlanned && at != b.pollTimerAt {
		b.pollTimerAt = at
		b.setTimer(at-b.now, 0, timerPoll)
	}
}

// onPollTimer calls discovery if a call is due. The timer may be one of a call that was planned before, or a
// moment early.
func (b *Balancer) onPollTimer() {
	b.pollTimerAt = 0
	b.pollIfDue()
	b.setPollTimer()
}

// pollIfDue calls discovery if a call is due.
func (b *Balancer) pollIfDue() {
	if b.discovery.IsDue(b.now) {
		b.pollDiscovery()
	}
}

// pollDiscovery starts a call to discovery, which sends the list without one unless it is on demand.
func (b *Balancer) pollDiscovery() {
	b.discovery.CallStarted(b.now)
	if b.settings.DiscoveryOnDemand {
		b.emit(Action{Kind: Subscribe})
	}
}

// NextDiscoveryCall returns the time until the next call to discovery; isPlanned is false if a call or watch
// is under way.
func (b *Balancer) NextDiscoveryCall() (in time.Duration, isPlanned bool) {
	at, isPlanned := b.discovery.NextCallAt()
	return at - b.now, isPlanned
}
