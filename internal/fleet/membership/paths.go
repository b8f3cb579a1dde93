package membership

import (
	"slices"
	"time"
)

const (
	// closedAfterSends is the number of messages in a row that another agent must not have received, the first
	// of them sent closedAfter after what it received last, until the path to it counts as closed.
	closedAfterSends = 8
	closedAfter      = 3 * time.Second
	// sentUnit is the unit of path.sentAt.
	sentUnit = 100 * time.Millisecond
	// maxReports is the number of reporters that are remembered for an agent; that many make it OneWay.
	maxReports = 2
	// reportTimeouts is the number of silence timeouts for which a report is remembered.
	reportTimeouts = 2
)

// path is what is known of the network paths between this agent and another one. In a large fleet most agents
// exchange no messages for long, so it is allocated when needed.
type path struct {
	lastReceived time.Duration
	hasReceived  bool
	nextSent     uint8                    // the index of the oldest entry in sentAt
	sentAt       [closedAfterSends]uint32 // of the last messages, in units since startedAt plus 1; 0: none
	reports      [maxReports]oneWayReport
}

// emptyPath stands for a path of which nothing is known; it is never written to.
var emptyPath path

func (a *agent) pathOrEmpty() *path {
	if a.path == nil {
		return &emptyPath
	}
	return a.path
}

func (a *agent) ownPath() *path {
	if a.path == nil {
		a.path = &path{}
	}
	return a.path
}

// oneWayReport is the report of an agent that it receives another one and is not received by it.
type oneWayReport struct {
	by            uint16
	reportedAt    time.Duration
	isSet         bool
	announcements uint8 // how often it is still to be announced
}

func (l *List) isRecent(now time.Duration, r oneWayReport) bool {
	return r.isSet && now-r.reportedAt <= reportTimeouts*l.settings.SilenceTimeout
}

// NoteSent reports that a message, with or without an update, is sent to another agent.
func (l *List) NoteSent(now time.Duration, to int) {
	if !l.isOther(to) {
		return
	}
	p := l.agents[to].ownPath()
	p.sentAt[p.nextSent] = uint32((now-l.startedAt)/sentUnit) + 1
	p.nextSent = (p.nextSent + 1) % closedAfterSends
}

// checkReachable compares what another agent has received, as the age in its update tells, with what was sent
// to it.
func (l *List) checkReachable(now time.Duration, from int, receivedAge byte) {
	received := now - time.Duration(receivedAge)*ageUnit // or earlier
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
		if r.isSet && int(r.by) == l.settings.Self && now-received < l.settings.SilenceTimeout/2 {
			r.isSet = false
		}
	}
}

// addReport remembers a report of a time, in the place of the reporter's earlier one or of the older of two
// others. A report of about the same time as the remembered one is not new: it would be announced in a
// circle.
func (l *List) addReport(number int, by uint16, at time.Duration) {
	reports := &l.agents[number].ownPath().reports
	place := 0
	for i, r := range reports {
		if r.isSet && r.by == by {
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
	reports[place] = oneWayReport{by: by, reportedAt: at, isSet: true, announcements: l.announceTimes}
	l.markPending(number)
}

// isOneWay reports whether two other agents recently reported that an agent does not receive them.
func (l *List) isOneWay(now time.Duration, a *agent) bool {
	p := a.pathOrEmpty()
	return l.isRecent(now, p.reports[0]) && l.isRecent(now, p.reports[1])
}

// IsPathClosed reports whether this agent receives another one and is not received by it.
func (l *List) IsPathClosed(now time.Duration, number int) bool {
	if !l.isOther(number) {
		return false
	}
	return slices.ContainsFunc(l.agents[number].pathOrEmpty().reports[:], func(r oneWayReport) bool {
		return int(r.by) == l.settings.Self && l.isRecent(now, r)
	})
}
