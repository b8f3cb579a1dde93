package membership

import "time"

// Status returns what is known of an agent now. This agent is Alive to itself until it leaves.
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

// Connection returns what this agent knows of its own connection.
func (l *List) Connection(now time.Duration) Connection {
	switch {
	case !l.isReceiving(now):
		return Isolated
	case now-l.selfConfirmedAt > l.settings.SilenceTimeout:
		return Unconfirmed
	}
	return Connected
}

// isReceiving reports whether this agent received something lately, or has just started.
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

// PresentCount returns how many agents have to be reckoned with, including this one: those with contact
// lately, and after the start all of which nothing is known yet. An increase is reported at once, a decrease
// only after it has lasted for Settings.ShrinkDelay, so that no agent takes a larger share because of a short
// silence.
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
