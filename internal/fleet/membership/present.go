package membership

import "time"

// Status returns the status of an agent at a time. The status of this agent is Alive until it leaves, and
// that of a number outside the fleet is Silent.
func (l *List) Status(now time.Duration, number int) Status {
	if number < 0 || number >= len(l.agents) {
		return Silent
	}
	c := l.contacts[number]
	isSilent := now-c.lastContact > l.settings.SilenceTimeout
	switch {
	case number == l.settings.Self && l.isLeaving, c.hasLeft:
		return Left
	case number == l.settings.Self:
		return Alive
	case !c.isKnown && now-l.startedAt <= l.settings.SilenceTimeout:
		return Unknown
	case !c.isKnown || isSilent:
		return Silent
	case l.isOneWay(now, &l.agents[number]):
		return OneWay
	case now-c.lastContact > l.settings.SilenceTimeout/2:
		return Suspect
	}
	return Alive
}

// Connection returns the state of this agent's own connection.
func (l *List) Connection(now time.Duration) Connection {
	switch {
	case !l.isReceiving(now):
		return Isolated
	case now-l.selfConfirmedAt > l.settings.SilenceTimeout:
		return Unconfirmed
	}
	return Connected
}

// isReceiving reports whether this agent received a message, or started, within the silence timeout.
func (l *List) isReceiving(now time.Duration) bool {
	if now-l.startedAt <= l.settings.SilenceTimeout {
		return true
	}
	for i := range l.agents {
		p := l.agents[i].pathOrEmpty()
		if i != l.settings.Self && p.hasReceived && now-p.lastReceived <= l.settings.SilenceTimeout {
			return true
		}
	}
	return false
}

// PresentCount returns the number of agents that count as present, including this one: those with a contact
// within the silence timeout, and Unknown agents, which exist only after the start. An increase is reported
// at once, and a decrease only after it has lasted for Settings.ShrinkDelay, so that a short silence does not
// increase the shares of the other agents.
func (l *List) PresentCount(now time.Duration) int {
	count := 0
	for i := range l.agents {
		if l.Status(now, i).isPresent() {
			count++
		}
	}
	switch {
	case count >= l.presentCount:
		l.presentCount, l.isShrinking = count, false
	case !l.isShrinking:
		l.isShrinking, l.shrinkSeenAt, l.maxSinceShrink = true, now, count
	default:
		l.maxSinceShrink = max(l.maxSinceShrink, count)
		if now-l.shrinkSeenAt >= l.settings.ShrinkDelay {
			l.presentCount, l.isShrinking = max(l.maxSinceShrink, 1), false
		}
	}
	return l.presentCount
}
