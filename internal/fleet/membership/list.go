package membership

import (
	"math/rand/v2"
	"time"
)

const (
	// refutationBits are the low bits of an incarnation, which count refutations; the others are the start of
	// the process in Unix seconds.
	refutationBits = 8
	// maxAheadSeconds is how far in the future the start of another process may be, as clocks may be off.
	maxAheadSeconds = 3600
	// leaveGrace is how long an agent that has left may still be received.
	leaveGrace = 10 * time.Second
	// firstAnnouncements is how often an agent that was unknown is announced: when all agents start, there is
	// nothing else.
	firstAnnouncements = 1
	// baseAnnounceTimes and announceTimesPerDoubling determine how often other events are announced by each
	// agent.
	baseAnnounceTimes, announceTimesPerDoubling = 3, 4
)

// contact is what is reported of each agent in most updates. It is stored apart from agent, densely.
type contact struct {
	lastContact time.Duration // the latest one of any agent, if isKnown
	isKnown     bool          // the agent was reported in this incarnation or an earlier one
	hasLeft     bool
}

// agent is what else is known of an agent.
type agent struct {
	incarnation   uint64
	leftAt        time.Duration // when its leaving became known here
	path          *path         // nil: no messages were exchanged, and no reports received of it
	announcements uint8         // how often it is still to be announced
}

// List is one agent's view of the fleet.
type List struct {
	settings  Settings
	rng       *rand.Rand
	stats     Stats
	startedAt time.Duration // by the steady clock
	isLeaving bool
	// selfConfirmedAt is the latest time at which others report to have received this agent.
	selfConfirmedAt      time.Duration
	agents               []agent
	contacts             []contact // by the agent
	pendingAnnouncements []uint64  // a bit for each agent that may have something to be announced
	announceTimes        uint8     // how often an event is announced by each agent
	ageBuffer            []byte    // reused by Update

	// Of PresentCount.
	presentCount   int
	shrinkSeenAt   time.Duration
	maxSinceShrink int
	isShrinking    bool
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

// Leave has all further updates announce that this process leaves.
func (l *List) Leave() { l.isLeaving = true }

// NoteReceived reports that a message without an update was received from another agent.
func (l *List) NoteReceived(now time.Duration, from int) {
	if l.isOther(from) {
		p := l.agents[from].ownPath()
		p.hasReceived, p.lastReceived = true, max(p.lastReceived, now)
		l.noteContact(from, now)
	}
}

func (l *List) isOther(number int) bool {
	return number >= 0 && number < len(l.agents) && number != l.settings.Self
}

// noteContact records that somebody received something from an agent at a time.
func (l *List) noteContact(number int, at time.Duration) {
	c := &l.contacts[number]
	if number == l.settings.Self {
		l.selfConfirmedAt = max(l.selfConfirmedAt, at)
	}
	if !c.isKnown || at > c.lastContact {
		c.lastContact = at
	}
	c.isKnown = true
	// Received after it left, it was restarted, under an incarnation that is not known yet.
	if c.hasLeft && at > l.agents[number].leftAt+leaveGrace {
		c.hasLeft = false
		l.agents[number].incarnation++
		l.announce(number, l.announceTimes)
	}
}

// isPlausible reports whether the start in an incarnation is not far in the future.
func (l *List) isPlausible(now time.Duration, incarnation uint64) bool {
	seconds := uint64(max((l.settings.StartedAt+now-l.startedAt)/time.Second, 0))
	return incarnation>>refutationBits <= seconds+maxAheadSeconds
}

// agentIncarnation is an incarnation of an agent, and whether that has left.
type agentIncarnation struct {
	incarnation uint64
	hasLeft     bool
}

// noteIncarnation records a later incarnation of an agent, or that the present one has left.
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
