// Package membership says who of a fleet is there: from what an agent hears itself, and from what others say that
// they hear.
//
// It sends nothing. Into messages that go to other agents anyway it puts a word of a bounded number of bytes:
// its own incarnation, how long ago it heard the one that the message is for, how long ago each of a run of
// agents was heard by anybody, and some events (somebody left, began anew, or hears nobody). From what comes
// the latest hearing of each agent is kept. Ages are rounded up on each way, so that nobody seems to be there
// for longer by being talked about. An agent that is not heard of for some time is silent; what that time is
// grows with the fleet, as words have to reach all of it.
//
// Each process has an incarnation. That an agent has left is said of one incarnation, and of the agent's
// later ones nothing. An agent that hears that it has left, or of a later incarnation of its own, is one
// higher from then on, which all take: so a wrong word about it ends.
//
// A way can be closed in one direction. Each word tells its receiver how long ago it was heard; one who has
// sent some messages, hears the other, and is not heard by it, says so. An agent that two others say does not
// hear them is cut off on that side. One that is heard by nobody sees it in what others say of it (Connection).
//
// What a lie can do: as long as it is told, an agent that is gone seems to be there, or one that is there to
// have left; the first ends with it, the second is refuted by the agent itself. It can't bring in an agent
// beyond the fleet's numbers, nor take memory: that is some 120 bytes for each number.
//
// It does no input or output, and knows no clock: time is that of one steady clock. The same settings and
// calls give the same words. A List is not safe for concurrent use.
package membership

import (
	"errors"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/internal/fleet/internal/compact"
)

// Status is what is known of an agent.
type Status uint8

const (
	// Unknown: nothing was heard of it, and not enough time has passed to call it silent.
	Unknown Status = iota
	// Alive: it was heard lately.
	Alive
	// Suspect: it was not heard for half of the time after which it is silent.
	Suspect
	// OneWay: it is heard, and does not hear.
	OneWay
	// Silent: nothing was heard of it for long.
	Silent
	// Left: it has told that it goes.
	Left
)

func (s Status) String() string {
	return [...]string{"unheard", "here", "doubted", "cut off on one side", "silent", "left"}[min(s, Left)]
}

// present tells whether one with this status has to be counted with.
func (s Status) isPresent() bool { return s < Silent }

// Connection is what an agent knows of its own connection.
type Connection uint8

const (
	// Connected: it hears others, and is heard.
	Connected Connection = iota
	// Unconfirmed: it hears others, and nobody says that it was heard lately.
	Unconfirmed
	// Isolated: it hears nobody.
	Isolated
)

// Settings are one agent's. Zero values are the defaults.
type Settings struct {
	Agents         int // numbers 0 to Agents-1, 65535 at most
	Self           int
	StartedAt      time.Duration // of the process, in Unix time: its incarnation
	Seed           uint64
	SilenceTimeout time.Duration // after which an agent is silent; 25 s and 200 ms for each agent
	ShrinkDelay    time.Duration // how long fewer have to be there until Alive tells so; 10 s
}

// Stats count since the start.
type Stats struct {
	Dropped  uint64 // words that were malformed, or from or of numbers that there are not
	Refuted  uint64 // wrong words about this agent
	Restarts uint64 // of others, seen
}

const (
	// refutationBits are those of an incarnation in which an agent refutes; the others are its start in Unix seconds.
	refutationBits = 8
	// maxAheadSeconds is how far in the future another's start may be: clocks may be off by that.
	maxAheadSeconds = 3600
	// unit is that of ages; unknown stands for those that are longer than it can tell.
	ageUnit    = 500 * time.Millisecond
	ageUnknown = 255
	sentUnit   = 100 * time.Millisecond
	// closedAfterSends is how many messages in a row another must not have heard, the first of them closedAfter
	// after what it heard last, until the way to it counts as closed.
	closedAfterSends = 8
	closedAfter      = 3 * time.Second
	// leaveGrace is for how long one that has left may still be heard.
	leaveGrace = 10 * time.Second
	// firstAnnouncements is how often one that was not known yet is told of: when all begin, there is nothing else.
	firstAnnouncements = 1
)

// heard is what each word tells of many agents: it lies side by side.
type contact struct {
	lastContact time.Duration // the latest that anybody heard it; below zero: never
	known       bool          // it was heard of in this incarnation, or an earlier one
	left        bool
}

type agent struct {
	incarnation   uint64
	leftAt        time.Duration // when that became known here
	path          *path         // nil: nothing went between the two, nor was said of them
	announcements uint8         // how often news of it is still to be told
}

// ways is what is known of those between this agent and another. In a large fleet most agents have had
// nothing
// to do with each other for long.
type path struct {
	lastReceived time.Duration // the latest that this agent heard it
	hasReceived  bool
	nextSent     uint8
	sentAt       [closedAfterSends]uint32 // when the last messages went to it, in tenths of a second, oldest at next
	reports      [2]oneWayReport
}

// none stands for ways of which nothing is known; it is not written to.
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

// accuser is one that hears an agent, and is not heard by it.
type oneWayReport struct {
	by            uint16
	reportedAt    time.Duration
	isSet         bool
	announcements uint8
}

// List is one agent's.
type List struct {
	settings        Settings
	rng             *rand.Rand
	stats           Stats
	startedAt       time.Duration
	isLeaving       bool
	selfConfirmedAt time.Duration // the latest that others say they heard this agent
	agents          []agent
	contacts        []contact // by agent
	pendingNews     []uint64  // a bit for each agent of which something may still be to be told
	announceTimes   uint8     // how often news is told by each
	ageBuffer       []byte    // room for those of a word

	presentCount   int // by Alive
	shrinkSeenAt   time.Duration
	maxSinceShrink int // since then
	isShrinking    bool
}

// New returns a List that knows of nobody.
func New(set Settings, now time.Duration) *List {
	set.Agents = min(max(set.Agents, 1), 1<<16-1)
	set.Self = min(max(set.Self, 0), set.Agents-1)
	if set.SilenceTimeout <= 0 {
		set.SilenceTimeout = 25*time.Second + time.Duration(set.Agents)*200*time.Millisecond
	}
	if set.ShrinkDelay <= 0 {
		set.ShrinkDelay = 10 * time.Second
	}
	r := &List{
		settings: set, rng: rand.New(rand.NewPCG(set.Seed, uint64(set.Self))), startedAt: now, selfConfirmedAt: now,
		agents: make([]agent, set.Agents), contacts: make([]contact, set.Agents),
		pendingNews: make([]uint64, (set.Agents+63)/64), presentCount: set.Agents, announceTimes: 3,
	}
	for n := set.Agents; n > 1; n /= 2 {
		r.announceTimes += 4
	}
	r.agents[set.Self].incarnation = uint64(max(set.StartedAt, 0)/time.Second) << refutationBits
	r.contacts[set.Self].known = true
	r.announce(set.Self, r.announceTimes)
	return r
}

// Stats are counts since the start.
func (r *List) Stats() Stats { return r.stats }

// Incarnation is the agent's own.
func (r *List) Incarnation() uint64 { return r.agents[r.settings.Self].incarnation }

// Leave has all further words say that this process goes.
func (r *List) Leave() { r.isLeaving = true }

// NoteSent tells of a message that goes to another agent, whether or not with a word.
func (r *List) NoteSent(now time.Duration, to int) {
	if !r.isOther(to) {
		return
	}
	a := r.agents[to].ownPath()
	a.sentAt[a.nextSent] = uint32((now-r.startedAt)/sentUnit) + 1
	a.nextSent = (a.nextSent + 1) % closedAfterSends
}

// NoteReceived tells of a message of another agent's that came without a word.
func (r *List) NoteReceived(now time.Duration, from int) {
	if r.isOther(from) {
		a := r.agents[from].ownPath()
		a.hasReceived, a.lastReceived = true, max(a.lastReceived, now)
		r.noteContact(from, now)
	}
}

func (r *List) isOther(number int) bool {
	return number >= 0 && number < len(r.agents) && number != r.settings.Self
}

// age is how long ago in units, rounded up.
func encodeAge(now, then time.Duration, known bool) byte {
	if !known {
		return ageUnknown
	}
	return byte(min((max(now-then, 0)+ageUnit-1)/ageUnit, ageUnknown))
}

// Update returns what to put into a message to another agent, of at most so many bytes; nil where that is too
// few. 64 tell of some 40 agents. Words in voters' grants should be longer, of some 200 bytes: voters hear
// all agents, and all hear them.
func (r *List) Update(now time.Duration, to, most int) []byte {
	if !r.isOther(to) || most < headerBytes {
		return nil
	}
	r.contacts[r.settings.Self].lastContact = now
	w := update{
		Incarnation: r.Incarnation(), Leaving: r.isLeaving,
		ReceivedAge: encodeAge(now, r.agents[to].pathOrEmpty().lastReceived, r.agents[to].pathOrEmpty().hasReceived),
	}
	w.Events = r.pickEvents(now, min(maxEvents, (most-headerBytes)/eventBytes))
	start := r.rng.IntN(len(r.agents))
	w.FirstAgent = uint16(start)
	for i := range min(len(r.agents), most) {
		if i += start; i >= len(r.contacts) {
			i -= len(r.contacts)
		}
		h := &r.contacts[i]
		r.ageBuffer = append(r.ageBuffer, encodeAge(now, h.lastContact, h.known && !h.left))
	}
	w.Ages, r.ageBuffer = r.ageBuffer, r.ageBuffer[:0]
	return w.encode(most)
}

// tell has news of an agent be told so often from now on.
func (r *List) announce(number int, times uint8) {
	r.agents[number].announcements = times
	r.markNews(number)
}

func (r *List) markNews(number int) { r.pendingNews[number/64] |= 1 << (number % 64) }

// nextNews is the next agent from a number on of which something may be to be told; at the end len(agents).
func (r *List) nextNews(from int) int {
	for i := from / 64; i < len(r.pendingNews); i++ {
		set := r.pendingNews[i]
		if i == from/64 {
			set &= ^uint64(0) << (from % 64)
		}
		if set != 0 {
			return i*64 + bits.TrailingZeros64(set)
		}
	}
	return len(r.agents)
}

// events are those that are still to be told, in half of the room, what is new of agents that were known
// before others, each from a place drawn at random on; and at times one that is no news, for who has missed
// it.
func (r *List) pickEvents(now time.Duration, most int) (out []event) {
	start := r.rng.IntN(len(r.agents))
	news := (most + 1) / 2
	for _, urgent := range []bool{true, false} {
		for i := r.nextNews(start); i < len(r.agents) && len(out) < news; i = r.nextNews(i + 1) {
			out = r.appendNews(now, i, urgent, out, news)
		}
		for i := r.nextNews(0); i < start && len(out) < news; i = r.nextNews(i + 1) {
			out = r.appendNews(now, i, urgent, out, news)
		}
	}
	if a, h := &r.agents[start], r.contacts[start]; h.known && len(out) < most && r.rng.IntN(4) == 0 {
		out = append(out, event{Agent: uint16(start), Incarnation: a.incarnation, Left: h.left, By: uint16(start)})
	}
	return out
}

// appendNews appends what is still to be told of an agent.
func (r *List) appendNews(now time.Duration, i int, urgent bool, out []event, most int) []event {
	number, a, left := uint16(i), &r.agents[i], r.contacts[i].left
	if a.announcements > 0 && (left || a.announcements > firstAnnouncements) == urgent {
		a.announcements--
		out = append(out, event{Agent: number, Incarnation: a.incarnation, Left: left, By: number})
	}
	by := &a.pathOrEmpty().reports
	for c := range by {
		if acc := &by[c]; urgent && acc.announcements > 0 && r.isRecent(now, *acc) && len(out) < most {
			acc.announcements--
			out = append(out, event{
				Agent: number, Incarnation: a.incarnation, By: acc.by,
				Age: encodeAge(now, acc.reportedAt, true),
			})
		}
	}
	if a.announcements == 0 && by[0].announcements == 0 && by[1].announcements == 0 {
		r.pendingNews[i/64] &^= 1 << (i % 64)
	}
	return out
}

func (r *List) isRecent(now time.Duration, a oneWayReport) bool {
	return a.isSet && now-a.reportedAt <= 2*r.settings.SilenceTimeout
}

// ErrInvalidUpdate: what came is no word, or from nobody.
var ErrInvalidUpdate = errors.New("not an agent's word")

// ApplyUpdate takes the word of a message that came from another agent.
func (r *List) ApplyUpdate(now time.Duration, from int, data []byte) error {
	var w update
	err := compact.Unmarshal(data, &w)
	if err != nil || !r.isOther(from) || len(w.Events) > maxEvents || !r.isPlausible(now, w.Incarnation) ||
		int(w.FirstAgent) >= len(r.agents) || len(w.Ages) > len(r.agents) {
		r.stats.Dropped++
		return errors.Join(ErrInvalidUpdate, err)
	}
	if w.Incarnation >= r.agents[from].incarnation {
		r.NoteReceived(now, from)
		r.noteIncarnation(now, from, w.Incarnation, w.Leaving)
		r.checkReachable(now, from, w.ReceivedAge)
	}
	number := int(w.FirstAgent)
	for _, units := range w.Ages {
		if units != ageUnknown {
			r.noteContact(number, now-time.Duration(units)*ageUnit)
		}
		if number++; number == len(r.agents) {
			number = 0
		}
	}
	for _, e := range w.Events {
		r.applyEvent(now, e)
	}
	return nil
}

// noteContact takes that somebody has heard an agent at a time.
func (r *List) noteContact(number int, at time.Duration) {
	h := &r.contacts[number]
	if number == r.settings.Self {
		r.selfConfirmedAt = max(r.selfConfirmedAt, at)
	}
	if !h.known || at > h.lastContact {
		h.lastContact = at
	}
	h.known = true
	// NoteReceived after it left, it has begun anew, by an incarnation that is not known yet.
	if h.left && at > r.agents[number].leftAt+leaveGrace {
		h.left = false
		r.agents[number].incarnation++
		r.announce(number, r.announceTimes)
	}
}

// plausible: a start that is not far in the future.
func (r *List) isPlausible(now time.Duration, incarnation uint64) bool {
	seconds := uint64(max((r.settings.StartedAt+now-r.startedAt)/time.Second, 0))
	return incarnation>>refutationBits <= seconds+maxAheadSeconds
}

// reborn takes a later incarnation, or that the present one has left.
func (r *List) noteIncarnation(now time.Duration, number int, incarnation uint64, left bool) {
	a, h := &r.agents[number], &r.contacts[number]
	if incarnation < a.incarnation || incarnation == a.incarnation && (!left || h.left) {
		return
	}
	r.announce(number, r.announceTimes)
	if a.incarnation == 0 && !left {
		a.announcements = firstAnnouncements
	} else if incarnation>>refutationBits != a.incarnation>>refutationBits {
		r.stats.Restarts++
	}
	if incarnation > a.incarnation {
		if a.path != nil {
			a.path.reports, a.path.sentAt = [2]oneWayReport{}, [closedAfterSends]uint32{}
		}
	}
	a.incarnation, h.left, a.leftAt = incarnation, left, now
}

// checkReachable looks whether the other hears what is sent to it: by now it has heard something so long ago.
func (r *List) checkReachable(now time.Duration, from int, units byte) {
	a := &r.agents[from]
	heard := now - time.Duration(units)*ageUnit // or earlier
	if units != ageUnknown {
		r.selfConfirmedAt = max(r.selfConfirmedAt, heard)
	}
	w := a.pathOrEmpty()
	if oldest := w.sentAt[w.nextSent]; oldest > 0 && r.startedAt+time.Duration(oldest)*sentUnit > heard+closedAfter {
		r.addReport(from, uint16(r.settings.Self), now)
		return
	}
	by := &a.pathOrEmpty().reports
	for i := range by {
		if c := &by[i]; c.isSet && int(c.by) == r.settings.Self && now-heard < r.settings.SilenceTimeout/2 {
			c.isSet = false
		}
	}
}

// accuse notes that one was not heard by an agent at a time, in place of the older of two others. What was
// told of the same time before is no news: it would be told in a circle.
func (r *List) addReport(number int, by uint16, at time.Duration) {
	accusers := &r.agents[number].ownPath().reports
	place := 0
	for i, c := range accusers {
		if c.isSet && c.by == by {
			place = i
			break
		}
		if old := accusers[place]; old.isSet && (!c.isSet || c.reportedAt < old.reportedAt) {
			place = i
		}
	}
	if old := accusers[place]; old.isSet && at-old.reportedAt < r.settings.SilenceTimeout/2 {
		return
	}
	accusers[place] = oneWayReport{by: by, reportedAt: at, isSet: true, announcements: r.announceTimes}
	r.markNews(number)
}

// event takes what another tells of an agent.
func (r *List) applyEvent(now time.Duration, e event) {
	number := int(e.Agent)
	if number >= len(r.agents) || int(e.By) >= len(r.agents) || !r.isPlausible(now, e.Incarnation) {
		r.stats.Dropped++
		return
	}
	if number == r.settings.Self {
		r.refute(e)
		return
	}
	if h := &r.contacts[number]; !h.known {
		h.known, h.lastContact = true, now-r.settings.SilenceTimeout/2 // it was there at some time
	}
	if e.By == e.Agent {
		r.noteIncarnation(now, number, e.Incarnation, e.Left)
	} else if e.Incarnation >= r.agents[number].incarnation && int(e.By) != r.settings.Self {
		r.addReport(number, e.By, now-time.Duration(e.Age)*ageUnit)
	}
}

// refute refutes what is wrong of this agent.
func (r *List) refute(e event) {
	self := &r.agents[r.settings.Self]
	if e.Incarnation > self.incarnation || e.Incarnation == self.incarnation && e.Left && !r.isLeaving {
		self.incarnation = e.Incarnation + 1
		r.announce(r.settings.Self, r.announceTimes)
		r.stats.Refuted++
	}
}

// Status is what is known of an agent by now. This agent is Alive to itself until it leaves.
func (r *List) Status(now time.Duration, number int) Status {
	if number < 0 || number >= len(r.agents) {
		return Silent
	}
	h := r.contacts[number]
	silent := now-h.lastContact > r.settings.SilenceTimeout
	switch {
	case number == r.settings.Self && r.isLeaving, h.left:
		return Left
	case number == r.settings.Self:
		return Alive
	case !h.known && now-r.startedAt <= r.settings.SilenceTimeout:
		return Unknown
	case !h.known || silent:
		return Silent
	case r.isOneWay(now, &r.agents[number]):
		return OneWay
	case now-h.lastContact > r.settings.SilenceTimeout/2:
		return Suspect
	}
	return Alive
}

// cut: two have seen it.
func (r *List) isOneWay(now time.Duration, a *agent) bool {
	return r.isRecent(now, a.pathOrEmpty().reports[0]) && r.isRecent(now, a.pathOrEmpty().reports[1])
}

// IsPathClosed tells whether this agent hears another, and is not heard by it: of the one way alone.
func (r *List) IsPathClosed(now time.Duration, number int) bool {
	if !r.isOther(number) {
		return false
	}
	return slices.ContainsFunc(r.agents[number].pathOrEmpty().reports[:], func(c oneWayReport) bool {
		return int(c.by) == r.settings.Self && r.isRecent(now, c)
	})
}

// Connection is what the agent knows of its own connection.
func (r *List) Connection(now time.Duration) Connection {
	hears := now-r.startedAt <= r.settings.SilenceTimeout
	for i := range r.agents {
		a := &r.agents[i]
		hears = hears || i != r.settings.Self && a.pathOrEmpty().hasReceived && now-a.pathOrEmpty().lastReceived <= r.settings.SilenceTimeout
	}
	switch {
	case !hears:
		return Isolated
	case now-r.selfConfirmedAt > r.settings.SilenceTimeout:
		return Unconfirmed
	}
	return Connected
}

// Alive is how many agents have to be counted with, this one included: those that were heard lately, and at
// the beginning all of whom nothing is known yet. More are told at once, fewer only when they have been fewer
// for a while, so that nobody takes a larger part for a moment's silence.
func (r *List) PresentCount(now time.Duration) int {
	count := 0
	for i := range r.agents {
		if r.Status(now, i).isPresent() {
			count++
		}
	}
	switch {
	case count >= r.presentCount:
		r.presentCount, r.isShrinking = count, false
	case !r.isShrinking:
		r.isShrinking, r.shrinkSeenAt, r.maxSinceShrink = true, now, count
	default:
		r.maxSinceShrink = max(r.maxSinceShrink, count)
		if now-r.shrinkSeenAt >= r.settings.ShrinkDelay {
			r.presentCount, r.isShrinking = max(r.maxSinceShrink, 1), false
		}
	}
	return r.presentCount
}
