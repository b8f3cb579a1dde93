package storm

import (
	"time"

	"dunestep/decide"
)

const (
	factorHalf  = 300 * time.Millisecond
	rateHalf    = 400 * time.Millisecond
	usualHalf   = 3 * time.Second
	smallHalf   = 700 * time.Millisecond // for an agent that meets too few answers in that time
	evidenceFor = 400 * time.Millisecond
	peersHeard  = 16 // whose evidence is kept
	peersTold   = 8  // at once
	tellEvery   = 150 * time.Millisecond
	lookEvery   = 10 * time.Millisecond

	ownLeast    = 8.0 // answers in a moment, for an agent's own evidence to count by itself
	smallLeast  = 2.0 // in the longer time
	poolLeast   = 20.0
	aloneLeast  = 12.0
	poolEnd     = 12.0 // answers that must say that it is over
	unusual     = 1.25 // factor from which on there is something to tell
	supporting  = 1.4  // factor of all evidence, for an agent to join a purge
	slowServer  = 1.2  // factor at one server
	everywhere  = 0.7  // of the servers heard: slow ones, in a spell
	heardLately = 2 * time.Second
	carriedMost = 0.9 // of what comes: where more is sent on, a purge would cost more than the spell

	learnsFor   = 5 * time.Second // what is usual, before anything is unusual
	steadyFor   = 150 * time.Millisecond
	deafShare   = 0.7                   // of a purge's share: makes up for agents that do not see the spell
	startsIn    = 60 * time.Millisecond // the time that the news needs
	startsLate  = 200 * time.Millisecond
	startsEarly = time.Second
	settleFrom  = 700 * time.Millisecond // of a purge: by then what was queued is done
	healthy     = 0.9                    // factor with the crowd gone
	helped      = 0.6                    // of the largest factor in the purge
	usualAgain  = 1.1
	grown       = 1.35 // times the factor after a purge in vain: another spell on top
	grownToJoin = 1.15 // likewise, where another agent says so
	grownAfter  = 1800 * time.Millisecond
	joinAfter   = 1500 * time.Millisecond
	levelHalf   = 3 * time.Second
	overAfter   = time.Second
)

// spell is what is made of work that is slow at every server at once.
type spell struct {
	own   evidence // latest answers of this agent
	small evidence // the same, over a longer time
	peers [peersHeard]peerSays

	slowSince time.Duration // zero: it is not slow
	quiet     time.Duration // since when work is as usual; zero: it is not
	looked    time.Duration
	told      time.Duration

	called  time.Duration // when a purge begins that was heard of and not joined yet
	purging bool
	longer  bool          // a purge was lengthened
	deaf    bool          // it goes by the clock
	from    time.Duration // of the purge
	until   time.Duration
	cap     float64 // requests a second let through
	planned float64 // factor when it was planned
	settled float64 // largest factor in it, once what was queued is done
	vain    int     // purges of this spell that did not end it
	ended   time.Duration
	next    time.Duration // no purge before
	level   float64       // factor since the purge
	levelAt time.Duration
}

// peerSays is the latest evidence of another agent.
type peerSays struct {
	from        int
	log, weight float64
	at          time.Duration
}

func newSpell() spell {
	return spell{own: evidence{faded: faded{half: factorHalf}}, small: evidence{faded: faded{half: smallHalf}}}
}

// answered takes an answer in: how its time compares with the usual one.
func (s *spell) answered(now time.Duration, r float64) {
	for _, e := range [...]*evidence{&s.own, &s.small} {
		e.sum *= e.fade(now)
		e.add(r)
	}
}

// pooled is the factor by all evidence at hand, and how many answers it rests on. An agent that hears of no
// other goes by its own answers, over a longer time.
func (s *spell) pooled(now time.Duration) (factor, weight float64) {
	s.own.sum *= s.own.fade(now)
	if s.alone(now) && s.own.weight < aloneLeast {
		s.small.sum *= s.small.fade(now)
		return s.small.factor(), s.small.weight
	}
	all := s.own
	if all.weight > mostWeight {
		all.sum, all.weight = all.sum/all.weight*mostWeight, mostWeight
	}
	for i := range s.peers {
		if p := &s.peers[i]; p.at > 0 && now-p.at < evidenceFor {
			all.sum += p.log * p.weight
			all.weight += p.weight
		}
	}
	return all.factor(), all.weight
}

// alone tells whether no other agent was heard of late.
func (s *spell) alone(now time.Duration) bool {
	for i := range s.peers {
		if p := &s.peers[i]; p.at > 0 && now-p.at < evidenceFor {
			return false
		}
	}
	return true
}

// supports tells whether this agent's own answers say the same as the others: what they say alone, forged or
// not, never makes it refuse.
func (s *spell) supports(now time.Duration) bool {
	if s.own.weight >= ownLeast {
		return s.own.factor() >= unusual
	}
	s.small.sum *= s.small.fade(now)
	return s.small.weight >= smallLeast && s.small.factor() >= unusual
}

// heard keeps a peer's evidence, in place of its last one or of the oldest.
func (s *spell) heard(now time.Duration, from int, m message) {
	place := &s.peers[0]
	for i := range s.peers {
		p := &s.peers[i]
		if p.at > 0 && p.from == from {
			place = p
			break
		}
		if p.at < place.at {
			place = p
		}
	}
	*place = peerSays{from: from, log: m.log, weight: m.weight, at: now}
}

// watchSpell looks at what there is of evidence.
func (g *Gate) watchSpell() {
	s := &g.spell
	if g.now < s.looked+lookEvery {
		return
	}
	s.looked = g.now
	g.watchRepeats()
	g.watchThrottle()
	if !g.settled() { // what is slow then is what comes back
		s.slowSince, s.called, s.purging = 0, 0, false
		return
	}
	factor, weight := s.pooled(g.now)
	if (s.purging || s.own.weight >= smallLeast && s.own.factor() > unusual) && g.now >= s.told+tellEvery {
		g.tellSpell(saysEvidence)
	}
	if s.purging {
		if g.now >= s.from {
			g.watchPurge(factor, weight)
		}
		return
	}
	g.joinPurge()
	s.noteQuiet(g.now, factor, weight)
	if !g.isSlow(factor, weight) || !s.may(g.now, factor, grown) {
		s.slowSince = 0
		return
	}
	if s.slowSince == 0 {
		s.slowSince = g.now
	}
	if g.now-s.slowSince >= steadyFor {
		g.planPurge(g.start())
		g.log("slow spell: work takes %.1f times the usual, %.0f%% of requests find room; purge for %v at most",
			factor, 100*g.carried(), g.fig.PurgeFor)
		g.tellSpell(saysPurge)
	}
}

// purges tells whether this agent takes part in purges. Where it is one of many that send little each, and
// has a throttle, it does not, unless that is set: all spells seen at that size ran their course, purged or
// not.
func (g *Gate) purges() bool {
	return g.fig.PurgeSparse || g.fig.InVain >= 1 || !g.module.Sparse()
}

// isSlow tells whether all evidence says, and this agent's own does not deny, that work is slow at every
// server, and that requests find no room for it.
func (g *Gate) isSlow(factor, weight float64) bool {
	s := &g.spell
	least := poolLeast
	if s.alone(g.now) {
		least = aloneLeast
	}
	known := g.firstAnswer > 0 && g.now >= g.firstAnswer+learnsFor
	return g.purges() && known && weight >= least && factor >= g.fig.SpellFactor &&
		factor >= g.fig.SpellFactor/g.able() && s.supports(g.now) &&
		g.slowShare() >= everywhere && g.carried() < carriedMost
}

// able is what the servers that take requests can do, as a part of what is usual. Guards against a purge
// where servers are missing: with many of them out or cold, work takes longer everywhere for want of room,
// and to rest those that are left mends nothing.
func (g *Gate) able() float64 {
	can := 0.0
	for _, s := range g.inOrder {
		if !s.ready {
			continue
		}
		warmth := 1.0
		if age, cold := g.now-s.entry.StartedAt, g.set.Rules.SlowStartDuration; s.entry.StartedAt > 0 && age < cold {
			from := g.set.Rules.SlowStartCapacity
			warmth = from + (1-from)*max(float64(age)/float64(cold), 0)
		}
		can += warmth
	}
	return min(max(can/max(g.fleet(), 1), 0.1), 1)
}

// noteQuiet notices that a spell is over.
func (s *spell) noteQuiet(now time.Duration, factor, weight float64) {
	switch {
	case weight < poolEnd || factor >= slowServer:
		s.quiet = 0
	case s.quiet == 0:
		s.quiet = now
	case now-s.quiet > overAfter:
		s.next, s.vain = 0, 0
	}
}

// may tells whether a purge is of use: not again in a spell that it did not end, unless work has become
// slower still, which is another spell on top.
func (s *spell) may(now time.Duration, factor, grown float64) bool {
	if now >= s.next {
		return true
	}
	since := now - s.ended
	if since < overAfter {
		return false
	}
	if s.level == 0 {
		s.level, s.levelAt = factor, now
	}
	is := factor > grown*s.level && since > grownAfter
	l := faded{half: levelHalf, at: s.levelAt}
	s.level += (factor - s.level) * (1 - l.fade(now))
	s.levelAt = now
	return is
}

// start is when a purge is to begin: as soon as the others can know. Where no other agent is heard it is the
// next beat of the clock that all machines read, so that those that see the spell meet all the same, and the
// purge lasts for a beat more.
func (g *Gate) start() time.Duration {
	s := &g.spell
	if g.set.Balancers == 1 || !s.alone(g.now) {
		return g.now + startsIn
	}
	s.deaf = true
	return g.now.Truncate(g.fig.PurgeLeast) + g.fig.PurgeLeast
}

// planPurge lets through a part of what the servers carry now, from the given time on.
func (g *Gate) planPurge(from time.Duration) {
	s := &g.spell
	s.purging, s.longer, s.from, s.until = true, false, from, from+g.fig.PurgeFor
	deeper := 1.0
	if s.deaf {
		s.until += g.fig.PurgeLeast
		deeper = deafShare
	}
	s.planned, _ = s.pooled(g.now)
	// What was served of late is partly from before the spell.
	s.cap = deeper * g.fig.PurgeShare * min(g.served.perSecond(g.now), g.usual.perSecond(g.now)/s.planned)
	s.settled, s.slowSince, s.called = 0, 0, 0
}

// watchPurge ends a purge when its time is up, or before when it shows that work is quick: it takes less than
// usual with the crowd gone, or far less than before in the same purge.
func (g *Gate) watchPurge(factor, weight float64) {
	s := &g.spell
	in := g.now - s.from
	if in > settleFrom && in < g.fig.PurgeLeast && weight >= poolEnd {
		s.settled = max(s.settled, factor)
	}
	quick := in > settleFrom && factor < healthy ||
		in > g.fig.PurgeLeast && factor < min(helped*s.settled, usualAgain)
	switch {
	case quick && weight >= poolEnd:
		s.next = g.now + g.fig.PurgeAgain // unless it stays over: see noteQuiet
		g.log("slow spell over after %v of purge, work takes %.1f times the usual",
			in.Round(time.Millisecond), factor)
	case g.now >= s.until:
		s.next = g.now + g.fig.PurgeAgain<<min(s.vain, 6)
		s.vain++
		g.log("slow spell goes on after the purge, work takes %.1f times the usual; none for %v", factor,
			s.next-g.now)
	default:
		return
	}
	s.purging, s.deaf, s.ended, s.quiet, s.level = false, false, g.now, 0, 0
	g.damper.heardOf(g.now) // what was not sent on could not be answered
}

// purgeRoom is the part of all that is offered that a purge lets in: less where work has become slower still.
func (g *Gate) purgeRoom() float64 {
	s := &g.spell
	deeper := 1.0
	if factor, weight := s.pooled(g.now); weight >= poolEnd {
		deeper = min(1, s.planned/factor)
	}
	return deeper * s.cap / max(g.came.perSecond(g.now), 1)
}

func (g *Gate) inPurge() bool {
	return g.spell.purging && g.now >= g.spell.from && g.now < g.spell.until
}

// Damps tells whether requests are held back at this moment: for a slow spell, an outage or a storm of
// repeats.
func (g *Gate) Damps() bool { return g.inPurge() || g.damper.phase != calm || g.repeats.on }

// tellSpell tells other agents, a few of a large fleet at a time.
func (g *Gate) tellSpell(says byte) {
	others := g.set.Balancers - 1
	if !g.set.Limits.Gossip || others < 1 {
		return
	}
	s := &g.spell
	s.told = g.now
	m := message{says: says, log: s.own.sum / max(s.own.weight, 1e-9), weight: s.own.weight}
	if says == saysPurge {
		m.begins = s.from
	}
	data := m.encode()
	first := g.rng.IntN(others)
	for i := range min(peersTold, others) {
		peer := (g.set.Self + 1 + (first+i)%others) % g.set.Balancers
		g.acts = append(g.acts, decide.Action{Kind: decide.SendToPeer, Peer: peer, Data: data})
	}
}

// heardPeer takes another agent's message in. A purge that it announces is joined where this agent's own
// answers speak for it; one that begins while another is under way lengthens that one, once.
func (g *Gate) heardPeer(from int, data []byte) {
	m, ok := decodeMessage(data)
	if !ok || from < 0 || from >= g.set.Balancers || from == g.set.Self {
		return
	}
	s := &g.spell
	if s.heard(g.now, from, m); g.fig.Off {
		return
	}
	if m.says == saysServed && g.damper.phase == outage {
		g.damper.trials = max(g.damper.trials, 1) // another agent is served again: worth a trial at once
		g.damper.sent = 0                         // by what is seen anew
	}
	if s.own.weight >= smallLeast && g.now >= s.told+tellEvery {
		g.tellSpell(saysEvidence) // that all is as usual here counts too
	}
	if m.says != saysPurge || m.begins <= g.now-startsLate || m.begins >= g.now+startsEarly {
		return
	}
	if s.purging && !s.longer && m.begins > s.from+overAfter && s.supports(g.now) {
		s.longer, s.until = true, m.begins+g.fig.PurgeFor
	}
	if !s.purging {
		s.called = m.begins
		g.joinPurge()
	}
}

// joinPurge joins a purge that was heard of, as soon as this agent's own answers speak for it: some see the
// spell a little later.
func (g *Gate) joinPurge() {
	s := &g.spell
	if !g.purges() || !g.settled() || s.purging || s.called == 0 || s.ended > 0 && g.now < s.ended+joinAfter {
		return
	}
	if g.now > s.called+g.fig.PurgeFor { // the others did it; it is not proposed again for that long either
		s.called, s.ended, s.level, s.next = 0, g.now, 0, g.now+g.fig.PurgeAgain
		return
	}
	factor, _ := s.pooled(g.now)
	if g.now > s.called+g.fig.PurgeFor/2 || factor < supporting/g.able() || !s.supports(g.now) ||
		!s.may(g.now, factor, grownToJoin) {
		return
	}
	g.planPurge(s.called)
	g.log("slow spell: joins a purge")
	if g.set.Balancers > peersTold+1 {
		g.tellSpell(saysPurge) // it may not have reached all
	}
}
