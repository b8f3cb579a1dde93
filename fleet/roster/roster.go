// Package roster says who of a fleet is there: from what an agent hears itself, and from what others say that
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
// hear them is cut off on that side. One that is heard by nobody sees it in what others say of it (Self).
//
// What a lie can do: as long as it is told, an agent that is gone seems to be there, or one that is there to
// have left; the first ends with it, the second is refuted by the agent itself. It can't bring in an agent
// beyond the fleet's numbers, nor take memory: that is some 120 bytes for each number.
//
// It does no input or output, and knows no clock: time is that of one steady clock. The same settings and
// calls give the same words. A Roster is not safe for concurrent use.
package roster

import (
	"errors"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/fleet/internal/compact"
)

// Status is what is known of an agent.
type Status uint8

const (
	// Unheard: nothing was heard of it, and not enough time has passed to call it silent.
	Unheard Status = iota
	// Here: it was heard lately.
	Here
	// Doubted: it was not heard for half of the time after which it is silent.
	Doubted
	// OneSided: it is heard, and does not hear.
	OneSided
	// Silent: nothing was heard of it for long.
	Silent
	// Left: it has told that it goes.
	Left
)

func (s Status) String() string {
	return [...]string{"unheard", "here", "doubted", "cut off on one side", "silent", "left"}[min(s, Left)]
}

// present tells whether one with this status has to be counted with.
func (s Status) present() bool { return s < Silent }

// Standing is what an agent knows of its own connection.
type Standing uint8

const (
	// Connected: it hears others, and is heard.
	Connected Standing = iota
	// Unsaid: it hears others, and nobody says that it was heard lately.
	Unsaid
	// Deaf: it hears nobody.
	Deaf
)

// Settings are one agent's. Zero values are the defaults.
type Settings struct {
	Agents  int // numbers 0 to Agents-1, 65535 at most
	Self    int
	Started time.Duration // of the process, in Unix time: its incarnation
	Seed    uint64
	Silence time.Duration // after which an agent is silent; 25 s and 200 ms for each agent
	Hold    time.Duration // how long fewer have to be there until Here tells so; 10 s
}

// Figures count since the start.
type Figures struct {
	Dropped  uint64 // words that were malformed, or from or of numbers that there are not
	Refuted  uint64 // wrong words about this agent
	Restarts uint64 // of others, seen
}

const (
	// wordBits are those of an incarnation in which an agent refutes; the others are its start in Unix seconds.
	wordBits = 8
	// aheadSeconds is how far in the future another's start may be: clocks may be off by that.
	aheadSeconds = 3600
	// unit is that of ages; unknown stands for those that are longer than it can tell.
	unit    = 500 * time.Millisecond
	unknown = 255
	tenth   = 100 * time.Millisecond
	// unheardSends is how many messages in a row another must not have heard, the first of them unheardTime
	// after what it heard last, until the way to it counts as closed.
	unheardSends = 8
	unheardTime  = 3 * time.Second
	// leftGrace is for how long one that has left may still be heard.
	leftGrace = 10 * time.Second
	// firstTimes is how often one that was not known yet is told of: when all begin, there is nothing else.
	firstTimes = 1
)

// heard is what each word tells of many agents: it lies side by side.
type heard struct {
	at    time.Duration // the latest that anybody heard it; below zero: never
	known bool          // it was heard of in this incarnation, or an earlier one
	left  bool
}

type agent struct {
	incarnation uint64
	leftAt      time.Duration // when that became known here
	ways        *ways         // nil: nothing went between the two, nor was said of them
	tell        uint8         // how often news of it is still to be told
}

// ways is what is known of those between this agent and another. In a large fleet most agents have had
// nothing
// to do with each other for long.
type ways struct {
	direct      time.Duration // the latest that this agent heard it
	heardDirect bool
	next        uint8
	sent        [unheardSends]uint32 // when the last messages went to it, in tenths of a second, oldest at next
	accusers    [2]accuser
}

// none stands for ways of which nothing is known; it is not written to.
var none ways

func (a *agent) seen() *ways {
	if a.ways == nil {
		return &none
	}
	return a.ways
}

func (a *agent) own() *ways {
	if a.ways == nil {
		a.ways = &ways{}
	}
	return a.ways
}

// accuser is one that hears an agent, and is not heard by it.
type accuser struct {
	by   uint16
	at   time.Duration
	is   bool
	tell uint8
}

// Roster is one agent's.
type Roster struct {
	set     Settings
	rng     *rand.Rand
	fig     Figures
	begun   time.Duration
	leaving bool
	said    time.Duration // the latest that others say they heard this agent
	agents  []agent
	heard   []heard  // by agent
	news    []uint64 // a bit for each agent of which something may still be to be told
	times   uint8    // how often news is told by each
	ages    []byte   // room for those of a word

	told  int // by Here
	below time.Duration
	most  int // since then
	fewer bool
}

// New returns a Roster that knows of nobody.
func New(set Settings, now time.Duration) *Roster {
	set.Agents = min(max(set.Agents, 1), 1<<16-1)
	set.Self = min(max(set.Self, 0), set.Agents-1)
	if set.Silence <= 0 {
		set.Silence = 25*time.Second + time.Duration(set.Agents)*200*time.Millisecond
	}
	if set.Hold <= 0 {
		set.Hold = 10 * time.Second
	}
	r := &Roster{
		set: set, rng: rand.New(rand.NewPCG(set.Seed, uint64(set.Self))), begun: now, said: now,
		agents: make([]agent, set.Agents), heard: make([]heard, set.Agents),
		news: make([]uint64, (set.Agents+63)/64), told: set.Agents, times: 3,
	}
	for n := set.Agents; n > 1; n /= 2 {
		r.times += 4
	}
	r.agents[set.Self].incarnation = uint64(max(set.Started, 0)/time.Second) << wordBits
	r.heard[set.Self].known = true
	r.tell(set.Self, r.times)
	return r
}

// Figures are counts since the start.
func (r *Roster) Figures() Figures { return r.fig }

// Incarnation is the agent's own.
func (r *Roster) Incarnation() uint64 { return r.agents[r.set.Self].incarnation }

// Leave has all further words say that this process goes.
func (r *Roster) Leave() { r.leaving = true }

// Sent tells of a message that goes to another agent, whether or not with a word.
func (r *Roster) Sent(now time.Duration, to int) {
	if !r.other(to) {
		return
	}
	a := r.agents[to].own()
	a.sent[a.next] = uint32((now-r.begun)/tenth) + 1
	a.next = (a.next + 1) % unheardSends
}

// Heard tells of a message of another agent's that came without a word.
func (r *Roster) Heard(now time.Duration, from int) {
	if r.other(from) {
		a := r.agents[from].own()
		a.heardDirect, a.direct = true, max(a.direct, now)
		r.heardOf(from, now)
	}
}

func (r *Roster) other(number int) bool {
	return number >= 0 && number < len(r.agents) && number != r.set.Self
}

// age is how long ago in units, rounded up.
func age(now, then time.Duration, known bool) byte {
	if !known {
		return unknown
	}
	return byte(min((max(now-then, 0)+unit-1)/unit, unknown))
}

// Word returns what to put into a message to another agent, of at most so many bytes; nil where that is too
// few. 64 tell of some 40 agents. Words in voters' grants should be longer, of some 200 bytes: voters hear
// all agents, and all hear them.
func (r *Roster) Word(now time.Duration, to, most int) []byte {
	if !r.other(to) || most < headBytes {
		return nil
	}
	r.heard[r.set.Self].at = now
	w := word{
		Incarnation: r.Incarnation(), Leaving: r.leaving,
		HeardYou: age(now, r.agents[to].seen().direct, r.agents[to].seen().heardDirect),
	}
	w.Events = r.events(now, min(mostEvents, (most-headBytes)/eventBytes))
	start := r.rng.IntN(len(r.agents))
	w.Start = uint16(start)
	for i := range min(len(r.agents), most) {
		if i += start; i >= len(r.heard) {
			i -= len(r.heard)
		}
		h := &r.heard[i]
		r.ages = append(r.ages, age(now, h.at, h.known && !h.left))
	}
	w.Ages, r.ages = r.ages, r.ages[:0]
	return w.encode(most)
}

// tell has news of an agent be told so often from now on.
func (r *Roster) tell(number int, times uint8) {
	r.agents[number].tell = times
	r.hasNews(number)
}

func (r *Roster) hasNews(number int) { r.news[number/64] |= 1 << (number % 64) }

// nextNews is the next agent from a number on of which something may be to be told; at the end len(agents).
func (r *Roster) nextNews(from int) int {
	for i := from / 64; i < len(r.news); i++ {
		set := r.news[i]
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
func (r *Roster) events(now time.Duration, most int) (out []event) {
	start := r.rng.IntN(len(r.agents))
	news := (most + 1) / 2
	for _, urgent := range []bool{true, false} {
		for i := r.nextNews(start); i < len(r.agents) && len(out) < news; i = r.nextNews(i + 1) {
			out = r.newsOf(now, i, urgent, out, news)
		}
		for i := r.nextNews(0); i < start && len(out) < news; i = r.nextNews(i + 1) {
			out = r.newsOf(now, i, urgent, out, news)
		}
	}
	if a, h := &r.agents[start], r.heard[start]; h.known && len(out) < most && r.rng.IntN(4) == 0 {
		out = append(out, event{Agent: uint16(start), Incarnation: a.incarnation, Left: h.left, By: uint16(start)})
	}
	return out
}

// newsOf appends what is still to be told of an agent.
func (r *Roster) newsOf(now time.Duration, i int, urgent bool, out []event, most int) []event {
	number, a, left := uint16(i), &r.agents[i], r.heard[i].left
	if a.tell > 0 && (left || a.tell > firstTimes) == urgent {
		a.tell--
		out = append(out, event{Agent: number, Incarnation: a.incarnation, Left: left, By: number})
	}
	by := &a.seen().accusers
	for c := range by {
		if acc := &by[c]; urgent && acc.tell > 0 && r.fresh(now, *acc) && len(out) < most {
			acc.tell--
			out = append(out, event{
				Agent: number, Incarnation: a.incarnation, By: acc.by,
				Ago: age(now, acc.at, true),
			})
		}
	}
	if a.tell == 0 && by[0].tell == 0 && by[1].tell == 0 {
		r.news[i/64] &^= 1 << (i % 64)
	}
	return out
}

func (r *Roster) fresh(now time.Duration, a accuser) bool { return a.is && now-a.at <= 2*r.set.Silence }

// ErrWord: what came is no word, or from nobody.
var ErrWord = errors.New("not an agent's word")

// Take takes the word of a message that came from another agent.
func (r *Roster) Take(now time.Duration, from int, data []byte) error {
	var w word
	err := compact.Unmarshal(data, &w)
	if err != nil || !r.other(from) || len(w.Events) > mostEvents || !r.plausible(now, w.Incarnation) ||
		int(w.Start) >= len(r.agents) || len(w.Ages) > len(r.agents) {
		r.fig.Dropped++
		return errors.Join(ErrWord, err)
	}
	if w.Incarnation >= r.agents[from].incarnation {
		r.Heard(now, from)
		r.reborn(now, from, w.Incarnation, w.Leaving)
		r.heardBy(now, from, w.HeardYou)
	}
	number := int(w.Start)
	for _, units := range w.Ages {
		if units != unknown {
			r.heardOf(number, now-time.Duration(units)*unit)
		}
		if number++; number == len(r.agents) {
			number = 0
		}
	}
	for _, e := range w.Events {
		r.event(now, e)
	}
	return nil
}

// heardOf takes that somebody has heard an agent at a time.
func (r *Roster) heardOf(number int, at time.Duration) {
	h := &r.heard[number]
	if number == r.set.Self {
		r.said = max(r.said, at)
	}
	if !h.known || at > h.at {
		h.at = at
	}
	h.known = true
	// Heard after it left, it has begun anew, by an incarnation that is not known yet.
	if h.left && at > r.agents[number].leftAt+leftGrace {
		h.left = false
		r.agents[number].incarnation++
		r.tell(number, r.times)
	}
}

// plausible: a start that is not far in the future.
func (r *Roster) plausible(now time.Duration, incarnation uint64) bool {
	seconds := uint64(max((r.set.Started+now-r.begun)/time.Second, 0))
	return incarnation>>wordBits <= seconds+aheadSeconds
}

// reborn takes a later incarnation, or that the present one has left.
func (r *Roster) reborn(now time.Duration, number int, incarnation uint64, left bool) {
	a, h := &r.agents[number], &r.heard[number]
	if incarnation < a.incarnation || incarnation == a.incarnation && (!left || h.left) {
		return
	}
	r.tell(number, r.times)
	if a.incarnation == 0 && !left {
		a.tell = firstTimes
	} else if incarnation>>wordBits != a.incarnation>>wordBits {
		r.fig.Restarts++
	}
	if incarnation > a.incarnation {
		if a.ways != nil {
			a.ways.accusers, a.ways.sent = [2]accuser{}, [unheardSends]uint32{}
		}
	}
	a.incarnation, h.left, a.leftAt = incarnation, left, now
}

// heardBy looks whether the other hears what is sent to it: by now it has heard something so long ago.
func (r *Roster) heardBy(now time.Duration, from int, units byte) {
	a := &r.agents[from]
	heard := now - time.Duration(units)*unit // or earlier
	if units != unknown {
		r.said = max(r.said, heard)
	}
	w := a.seen()
	if oldest := w.sent[w.next]; oldest > 0 && r.begun+time.Duration(oldest)*tenth > heard+unheardTime {
		r.accuse(from, uint16(r.set.Self), now)
		return
	}
	by := &a.seen().accusers
	for i := range by {
		if c := &by[i]; c.is && int(c.by) == r.set.Self && now-heard < r.set.Silence/2 {
			c.is = false
		}
	}
}

// accuse notes that one was not heard by an agent at a time, in place of the older of two others. What was
// told of the same time before is no news: it would be told in a circle.
func (r *Roster) accuse(number int, by uint16, at time.Duration) {
	accusers := &r.agents[number].own().accusers
	place := 0
	for i, c := range accusers {
		if c.is && c.by == by {
			place = i
			break
		}
		if old := accusers[place]; old.is && (!c.is || c.at < old.at) {
			place = i
		}
	}
	if old := accusers[place]; old.is && at-old.at < r.set.Silence/2 {
		return
	}
	accusers[place] = accuser{by: by, at: at, is: true, tell: r.times}
	r.hasNews(number)
}

// event takes what another tells of an agent.
func (r *Roster) event(now time.Duration, e event) {
	number := int(e.Agent)
	if number >= len(r.agents) || int(e.By) >= len(r.agents) || !r.plausible(now, e.Incarnation) {
		r.fig.Dropped++
		return
	}
	if number == r.set.Self {
		r.aboutSelf(e)
		return
	}
	if h := &r.heard[number]; !h.known {
		h.known, h.at = true, now-r.set.Silence/2 // it was there at some time
	}
	if e.By == e.Agent {
		r.reborn(now, number, e.Incarnation, e.Left)
	} else if e.Incarnation >= r.agents[number].incarnation && int(e.By) != r.set.Self {
		r.accuse(number, e.By, now-time.Duration(e.Ago)*unit)
	}
}

// aboutSelf refutes what is wrong of this agent.
func (r *Roster) aboutSelf(e event) {
	self := &r.agents[r.set.Self]
	if e.Incarnation > self.incarnation || e.Incarnation == self.incarnation && e.Left && !r.leaving {
		self.incarnation = e.Incarnation + 1
		r.tell(r.set.Self, r.times)
		r.fig.Refuted++
	}
}

// Status is what is known of an agent by now. This agent is Here to itself until it leaves.
func (r *Roster) Status(now time.Duration, number int) Status {
	if number < 0 || number >= len(r.agents) {
		return Silent
	}
	h := r.heard[number]
	silent := now-h.at > r.set.Silence
	switch {
	case number == r.set.Self && r.leaving, h.left:
		return Left
	case number == r.set.Self:
		return Here
	case !h.known && now-r.begun <= r.set.Silence:
		return Unheard
	case !h.known || silent:
		return Silent
	case r.cut(now, &r.agents[number]):
		return OneSided
	case now-h.at > r.set.Silence/2:
		return Doubted
	}
	return Here
}

// cut: two have seen it.
func (r *Roster) cut(now time.Duration, a *agent) bool {
	return r.fresh(now, a.seen().accusers[0]) && r.fresh(now, a.seen().accusers[1])
}

// Closed tells whether this agent hears another, and is not heard by it: of the one way alone.
func (r *Roster) Closed(now time.Duration, number int) bool {
	if !r.other(number) {
		return false
	}
	return slices.ContainsFunc(r.agents[number].seen().accusers[:], func(c accuser) bool {
		return int(c.by) == r.set.Self && r.fresh(now, c)
	})
}

// Self is what the agent knows of its own connection.
func (r *Roster) Self(now time.Duration) Standing {
	hears := now-r.begun <= r.set.Silence
	for i := range r.agents {
		a := &r.agents[i]
		hears = hears || i != r.set.Self && a.seen().heardDirect && now-a.seen().direct <= r.set.Silence
	}
	switch {
	case !hears:
		return Deaf
	case now-r.said > r.set.Silence:
		return Unsaid
	}
	return Connected
}

// Here is how many agents have to be counted with, this one included: those that were heard lately, and at
// the beginning all of whom nothing is known yet. More are told at once, fewer only when they have been fewer
// for a while, so that nobody takes a larger part for a moment's silence.
func (r *Roster) Here(now time.Duration) int {
	count := 0
	for i := range r.agents {
		if r.Status(now, i).present() {
			count++
		}
	}
	switch {
	case count >= r.told:
		r.told, r.fewer = count, false
	case !r.fewer:
		r.fewer, r.below, r.most = true, now, count
	default:
		r.most = max(r.most, count)
		if now-r.below >= r.set.Hold {
			r.told, r.fewer = max(r.most, 1), false
		}
	}
	return r.told
}
