package membership

import (
	"slices"
	"time"
)

const (
	// A path to another agent counts as closed if the agent has received none of the last closedAfterSends
	// messages to it, the first of which was sent more than closedAfter after the message that it received last.
	closedAfterSends = 8
	closedAfter      = 3 * time.Second
	// sentUnit is the unit of path.sentAt, which counts from the start.
	sentUnit = 100 * time.Millisecond
	// maxReports is the maximum number of reporters that are remembered for an agent. An agent with as many
	// recent reports is OneWay.
	maxReports = 2
	// reportTimeouts is the number of silence timeouts for which a report counts as recent.
	reportTimeouts = 2
)

// path is the state of the network paths between this agent and another one. It is allocated when needed, as
// most pairs of agents in a large fleet exchange no messages for a long time.
type path struct {
	lastReceived time.Duration
	hasReceived  bool
	nextSent     uint8                    // index of the oldest entry in sentAt
	sentAt       [closedAfterSends]uint32 // times of the last messages, in sentUnits, plus 1; 0: none
	reports      [maxReports]oneWayReport
}

// emptyPath is the path of an agent without an allocated one; it must not be modified.
var emptyPath path

// pathOrEmpty returns the path for reading.
func (a *agent) pathOrEmpty() *path {
	if a.path == nil {
		return &emptyPath
	}
	return a.path
}

// ensurePath returns the path for writing, and allocates it if necessary.
func (a *agent) ensurePath() *path {
	if a.path == nil {
		a.path = &path{}
	}
	return a.path
}

// oneWayReport is the report of an agent that it receives messages from another one, but not the reverse.
type oneWayReport struct {
	reporter      uint16
	reportedAt    time.Duration
	isSet         bool
	announcements uint8 // number of times that it is still to be announced
}

// isRecent reports whether a report is set and not too old to count.
func (l *List) isRecent(now time.Duration, r oneWayReport) bool {
	return r.isSet && now-r.reportedAt <= reportTimeouts*l.settings.SilenceTimeout
}

// NoteSent records that a message, with or without an update, is sent to another agent.
func (l *List) NoteSent(now time.Duration, to int) {
	if !l.isOther(to) {
		return
	}
	p := l.agents[to].ensurePath()
	p.sentAt[p.nextSent] = uint32((now-l.startedAt)/sentUnit) + 1
	p.nextSent = (p.nextSent + 1) % closedAfterSends
}

// checkReachable compares the time at which another agent last received a message from this one, as reported
// in its update, with the times of the messages sent to it, and adds or removes this agent's report of a
// closed path.
func (l *List) checkReachable(now time.Duration, from int, receivedAge byte) {
	received := now - time.Duration(receivedAge)*ageUnit // or earlier, if the age is unknown
	if receivedAge != ageUnknown {
		l.selfConfirmedAt = max(l.selfConfirmedAt, received)
	}
	p := l.agents[from].pathOrEmpty()
	oldest := p.sentAt[p.nextSent]
	if oldest > 0 && l.startedAt+time.Duration(oldest)*sentUnit > received+closedAfter {
		l.addReport(from, uint16(l.settings.Self), now)
		return
	}
	for i := range p.reports {
		r := &p.reports[i]
		if r.isSet && int(r.reporter) == l.settings.Self && now-received < l.settings.SilenceTimeout/2 {
			r.isSet = false
		}
	}
}

// addReport remembers a report of a closed path to an agent, in place of the reporter's earlier report or
// else of the older of two other reports. A report is ignored if it is less than half a silence timeout newer
// than the one that it would replace, as agents would otherwise announce the same report to each other
// endlessly.
func (l *List) addReport(number int, reporter uint16, at time.Duration) {
	reports := &l.agents[number].ensurePath().reports
	place := 0
	for i, r := range reports {
		if r.isSet && r.reporter == reporter {
			place = i
			break
		}
		if old := reports[place]; old.isSet && (!r.isSet || r.reportedAt < old.reportedAt) {
			place = i
		}
	}
	if old := reports[place]; old.isSet && at-old.reportedAt < l.settings.SilenceTimeout/2 {
		return
	}
	reports[place] = oneWayReport{
		reporter: reporter, reportedAt: at, isSet: true, announcements: l.announceTimes,
	}
	l.markPending(number)
}

// isOneWay reports whether two other agents recently reported that an agent does not receive their messages.
func (l *List) isOneWay(now time.Duration, a *agent) bool {
	p := a.pathOrEmpty()
	return l.isRecent(now, p.reports[0]) && l.isRecent(now, p.reports[1])
}

// IsPathClosed reports whether this agent receives messages from another one, but not the reverse.
func (l *List) IsPathClosed(now time.Duration, number int) bool {
	if !l.isOther(number) {
		return false
	}
	return slices.ContainsFunc(l.agents[number].pathOrEmpty().reports[:], func(r oneWayReport) bool {
		return int(r.reporter) == l.settings.Self && l.isRecent(now, r)
	})
}
