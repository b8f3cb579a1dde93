package membership

import (
	"math/rand/v2"
	"time"
)

const (
	// refutationBits are the low bits of an incarnation, which count refutations; the others are the start of
	// the process in Unix seconds.
	refutationBits = 8
	// maxAheadSeconds is the maximum time by which the start of another process may lie in the future, as clocks
	// may be off.
	maxAheadSeconds = 3600
	// leaveGrace is the time after an agent has left during which contacts are still attributed to the process
	// that left.
	leaveGrace = 10 * time.Second
	// firstAnnouncements is the number of times that each agent announces an agent that was unknown. It is low,
	// as all agents are unknown when a fleet starts.
	firstAnnouncements = 1
	// baseAnnounceTimes and announceTimesPerDoubling are the number of times that each agent announces another
	// event: the base, and the addition for each doubling of the fleet's size.
	baseAnnounceTimes, announceTimesPerDoubling = 3, 4
)

// contact is the part of an agent's state that most updates report. It is stored separately from agent, so
// that it is dense in memory.
type contact struct {
	lastContact time.Duration // latest time at which any agent received a message from it, if isKnown
	isKnown     bool          // the agent has run, in this incarnation or an earlier one
	hasLeft     bool
}

// agent is the rest of an agent's state.
type agent struct {
	incarnation   uint64
	leftAt        time.Duration // time at which this agent learned the incarnation, or that it has left
	path          *path         // nil: no messages were exchanged with it, and no closed path was reported
	announcements uint8         // number of times that it is still to be announced
}

// List is one agent's view of the fleet.
type List struct {
	settings  Settings
	rng       *rand.Rand
	stats     Stats
	startedAt time.Duration // by the steady clock
	isLeaving bool
	// selfConfirmedAt is the latest time at which another agent received a message from this one, by its report.
	selfConfirmedAt      time.Duration
	agents               []agent
	contacts             []contact // by agent number
	pendingAnnouncements []uint64  // a bit for each agent of which something may have to be announced
	announceTimes        uint8     // number of times that each agent announces an event
	ageBuffer            []byte    // reused by Update

	// State of PresentCount.
	presentCount   int
	shrinkSeenAt   time.Duration // time at which the present decrease began, if isShrinking
	maxSinceShrink int           // maximum count since then
	isShrinking    bool          // fewer agents are present than presentCount
}

// New returns a List in which all other agents are Unknown.
func New(settings Settings, now time.Duration) *List {
	settings = settings.withDefaults()
	l := &List{
		settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, uint64(settings.Self))),
		startedAt: now, selfConfirmedAt: now,
		agents: make([]agent, settings.Agents), contacts: make([]contact, settings.Agents),
		pendingAnnouncements: make([]uint64, (settings.Agents+63)/64), presentCount: settings.Agents,
		announceTimes: baseAnnounceTimes,
	}
	for n := settings.Agents; n > 1; n /= 2 {
		l.announceTimes += announceTimesPerDoubling
	}
	l.agents[settings.Self].incarnation = uint64(max(settings.StartedAt, 0)/time.Second) << refutationBits
	l.contacts[settings.Self].isKnown = true
	l.announce(settings.Self, l.announceTimes)
	return l
}

// Stats returns the counters since the start.
func (l *List) Stats() Stats { return l.stats }

// Incarnation returns the agent's own incarnation.
func (l *List) Incarnation() uint64 { return l.agents[l.settings.Self].incarnation }

// Leave makes all further updates announce that this process leaves.
func (l *List) Leave() { l.isLeaving = true }

// NoteReceived records that a message without an update was received from another agent.
func (l *List) NoteReceived(now time.Duration, from int) {
	if l.isOther(from) {
		p := l.agents[from].ensurePath()
		p.hasReceived, p.lastReceived = true, max(p.lastReceived, now)
		l.noteContact(from, now)
	}
}

// isOther reports whether a number is that of another agent of the fleet.
func (l *List) isOther(number int) bool {
	return number >= 0 && number < len(l.agents) && number != l.settings.Self
}

// noteContact records that some agent received a message from an agent at a time.
func (l *List) noteContact(number int, at time.Duration) {
	c := &l.contacts[number]
	if number == l.settings.Self {
		l.selfConfirmedAt = max(l.selfConfirmedAt, at)
	}
	if !c.isKnown || at > c.lastContact {
		c.lastContact = at
	}
	c.isKnown = true
	// A contact after it left means that the agent was restarted, with an incarnation that is not known yet.
	if c.hasLeft && at > l.agents[number].leftAt+leaveGrace {
		c.hasLeft = false
		l.agents[number].incarnation++
		l.announce(number, l.announceTimes)
	}
}

// isPlausible reports whether the start time in an incarnation is at most maxAheadSeconds in the future.
func (l *List) isPlausible(now time.Duration, incarnation uint64) bool {
	seconds := uint64(max((l.settings.StartedAt+now-l.startedAt)/time.Second, 0))
	return incarnation>>refutationBits <= seconds+maxAheadSeconds
}

// agentIncarnation is an incarnation of an agent, and whether it has left.
type agentIncarnation struct {
	incarnation uint64
	hasLeft     bool
}

// noteIncarnation records a later incarnation of an agent, or that its present incarnation has left.
func (l *List) noteIncarnation(now time.Duration, number int, n agentIncarnation) {
	a, c := &l.agents[number], &l.contacts[number]
	if n.incarnation < a.incarnation || n.incarnation == a.incarnation && (!n.hasLeft || c.hasLeft) {
		return
	}
	l.announce(number, l.announceTimes)
	if a.incarnation == 0 && !n.hasLeft {
		a.announcements = firstAnnouncements
	} else if n.incarnation>>refutationBits != a.incarnation>>refutationBits {
		l.stats.Restarts++
	}
	if n.incarnation > a.incarnation && a.path != nil {
		a.path.reports, a.path.sentAt = [maxReports]oneWayReport{}, [closedAfterSends]uint32{}
	}
	a.incarnation, c.hasLeft, a.leftAt = n.incarnation, n.hasLeft, now
}
