package membership

import (
	"errors"
	"time"

	"dunestep/internal/fleet/internal/compact"
)

// ErrInvalidUpdate reports that data is not a valid update, or is from an unknown agent.
var ErrInvalidUpdate = errors.New("not a membership update of another agent")

// ApplyUpdate processes the update in a message from another agent. It returns an error wrapping
// ErrInvalidUpdate if the update is dropped.
func (l *List) ApplyUpdate(now time.Duration, from int, data []byte) error {
	var u update
	err := compact.Unmarshal(data, &u)
	if err != nil || !l.isValid(now, from, u) {
		l.stats.Dropped++
		return errors.Join(ErrInvalidUpdate, err)
	}
	if u.Incarnation >= l.agents[from].incarnation {
		l.NoteReceived(now, from)
		l.noteIncarnation(now, from, agentIncarnation{u.Incarnation, u.Leaving})
		l.checkReachable(now, from, u.ReceivedAge)
	}
	number := int(u.FirstAgent)
	for _, age := range u.Ages {
		if age != ageUnknown {
			l.noteContact(number, now-time.Duration(age)*ageUnit)
		}
		if number++; number == len(l.agents) {
			number = 0
		}
	}
	for _, e := range u.Events {
		l.applyEvent(now, e)
	}
	return nil
}

// isValid reports whether a decoded update is consistent and from another agent of the fleet.
func (l *List) isValid(now time.Duration, from int, u update) bool {
	return l.isOther(from) && len(u.Events) <= maxEvents && l.isPlausible(now, u.Incarnation) &&
		int(u.FirstAgent) < len(l.agents) && len(u.Ages) <= len(l.agents)
}

// applyEvent processes an event of an agent, as another agent reports it. Invalid events are dropped.
func (l *List) applyEvent(now time.Duration, e event) {
	number := int(e.Agent)
	if number >= len(l.agents) || int(e.By) >= len(l.agents) || !l.isPlausible(now, e.Incarnation) {
		l.stats.Dropped++
		return
	}
	if number == l.settings.Self {
		l.refute(e)
		return
	}
	if c := &l.contacts[number]; !c.isKnown {
		c.isKnown, c.lastContact = true, now-l.settings.SilenceTimeout/2 // the agent has run, at an unknown time
	}
	if e.By == e.Agent {
		l.noteIncarnation(now, number, agentIncarnation{e.Incarnation, e.Left})
	} else if e.Incarnation >= l.agents[number].incarnation && int(e.By) != l.settings.Self {
		l.addReport(number, e.By, now-time.Duration(e.Age)*ageUnit)
	}
}

// refute raises the incarnation of this agent above that of a false report about it.
func (l *List) refute(e event) {
	self := &l.agents[l.settings.Self]
	isFalseLeave := e.Incarnation == self.incarnation && e.Left && !l.isLeaving
	if e.Incarnation > self.incarnation || isFalseLeave {
		self.incarnation = e.Incarnation + 1
		l.announce(l.settings.Self, l.announceTimes)
		l.stats.Refuted++
	}
}
