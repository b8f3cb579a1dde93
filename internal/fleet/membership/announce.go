package membership

import (
	"math/bits"
	"time"
)

const (
	// ageUnit is the unit of encoded ages; ageUnknown encodes ages that are too long, and agents without
	// contact.
	ageUnit    = 500 * time.Millisecond
	ageUnknown = 255
	// On average, one in repeatOneIn updates repeats an event that is no longer pending, for agents that missed
	// it.
	repeatOneIn = 4
)

// encodeAge returns the age of a time in ageUnit, rounded up, or ageUnknown if it is too long.
func encodeAge(now, then time.Duration) byte {
	return byte(min((max(now-then, 0)+ageUnit-1)/ageUnit, ageUnknown))
}

// Update returns the update for a message to another agent, of at most maxBytes, or nil if maxBytes is too
// small. An update of 64 bytes has the ages of some 40 agents. Updates in voters' grants should be longer,
// some 200 bytes, as voters exchange messages with all agents.
func (l *List) Update(now time.Duration, to, maxBytes int) []byte {
	if !l.isOther(to) || maxBytes < headerBytes {
		return nil
	}
	l.contacts[l.settings.Self].lastContact = now
	u := update{Incarnation: l.Incarnation(), Leaving: l.isLeaving, ReceivedAge: ageUnknown}
	if p := l.agents[to].pathOrEmpty(); p.hasReceived {
		u.ReceivedAge = encodeAge(now, p.lastReceived)
	}
	u.Events = l.pickEvents(now, min(maxEvents, (maxBytes-headerBytes)/eventBytes))
	first := l.rng.IntN(len(l.agents))
	u.FirstAgent = uint16(first)
	for i := range min(len(l.agents), maxBytes) {
		if i += first; i >= len(l.contacts) {
			i -= len(l.contacts)
		}
		age := byte(ageUnknown)
		if c := &l.contacts[i]; c.isKnown && !c.hasLeft {
			age = encodeAge(now, c.lastContact)
		}
		l.ageBuffer = append(l.ageBuffer, age)
	}
	u.Ages, l.ageBuffer = l.ageBuffer, l.ageBuffer[:0]
	return u.encode(maxBytes)
}

// announce sets how often the state of an agent is announced in the next updates.
func (l *List) announce(number int, times uint8) {
	l.agents[number].announcements = times
	l.markPending(number)
}

// markPending records that there may be something to be announced of an agent.
func (l *List) markPending(number int) { l.pendingAnnouncements[number/64] |= 1 << (number % 64) }

// nextPending returns the first agent, from a number on, of which something may have to be announced, or
// len(agents) if there is none.
func (l *List) nextPending(from int) int {
	for i := from / 64; i < len(l.pendingAnnouncements); i++ {
		set := l.pendingAnnouncements[i]
		if i == from/64 {
			set &= ^uint64(0) << (from % 64)
		}
		if set != 0 {
			return i*64 + bits.TrailingZeros64(set)
		}
	}
	return len(l.agents)
}

// urgency is the priority with which events are announced.
type urgency uint8

const (
	urgent    urgency = iota // closed paths, and agents that left or have a new incarnation
	notUrgent                // agents that were unknown before
)

// pickEvents returns pending events, up to half of maxCount, urgent ones first, beginning with an agent drawn
// at random. On average, one in repeatOneIn updates also contains an event that need not be pending.
func (l *List) pickEvents(now time.Duration, maxCount int) (events []event) {
	first, end := l.rng.IntN(len(l.agents)), len(l.agents)
	maxAnnouncements := (maxCount + 1) / 2
	for _, u := range []urgency{urgent, notUrgent} {
		for i := l.nextPending(first); i < end && len(events) < maxAnnouncements; i = l.nextPending(i + 1) {
			events = l.appendEventsOf(now, i, u, events, maxAnnouncements)
		}
		for i := l.nextPending(0); i < first && len(events) < maxAnnouncements; i = l.nextPending(i + 1) {
			events = l.appendEventsOf(now, i, u, events, maxAnnouncements)
		}
	}
	a, c := &l.agents[first], l.contacts[first]
	if c.isKnown && len(events) < maxCount && l.rng.IntN(repeatOneIn) == 0 {
		events = append(events, event{
			Agent: uint16(first), Incarnation: a.incarnation, Left: c.hasLeft, By: uint16(first),
		})
	}
	return events
}

// appendEventsOf appends the pending events of an agent that have the urgency u, up to maxCount events in
// total.
func (l *List) appendEventsOf(now time.Duration, i int, u urgency, events []event, maxCount int) []event {
	number, a, hasLeft := uint16(i), &l.agents[i], l.contacts[i].hasLeft
	own := notUrgent
	if hasLeft || a.announcements > firstAnnouncements {
		own = urgent
	}
	if a.announcements > 0 && own == u {
		a.announcements--
		events = append(events, event{Agent: number, Incarnation: a.incarnation, Left: hasLeft, By: number})
	}
	reports := &a.pathOrEmpty().reports
	for j := range reports {
		r := &reports[j]
		if u == urgent && r.announcements > 0 && l.isRecent(now, *r) && len(events) < maxCount {
			r.announcements--
			events = append(events, event{
				Agent: number, Incarnation: a.incarnation, By: r.reporter,
				Age: encodeAge(now, r.reportedAt),
			})
		}
	}
	if a.announcements == 0 && reports[0].announcements == 0 && reports[1].announcements == 0 {
		l.pendingAnnouncements[i/64] &^= 1 << (i % 64)
	}
	return events
}
