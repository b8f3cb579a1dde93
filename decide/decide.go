// The decision module. Its whole interface, the settings, events and actions, is in api.go.
//
// "Why this server?": route asks pick, pick walks the ring from the key's point, and each server on the way
// is asked lawful (may it?), trusted (is it well?), coldRoom (is it warm enough?) and crowded (has it room?).

package decide

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dunestep/asking"
	"dunestep/health"
	"dunestep/ring"
)

// The other open figures of the design: see Figures. Times that depend on a deployment are derived from its
// settings instead.
const (
	replicaPoints = 100 // ring points of each server
	roundLength   = time.Second

	swingPenalty = 1.0 // for each change between up and down
	penaltyHalf  = 10 * time.Second
	holdDown     = 20 * time.Second
	fanout       = 2 // k: peers asked before a server is damped, and told each round

	floorShare = 0.5 // of contradictions: when more of the probes than this lie, they are not heeded

	softShare    = 0.35 // of the aim: below this expected time an owner keeps its keys
	homeShare    = 0.12 // of the aim: below this expected time the owner in the own zone is quick enough
	hardShare    = 0.5  // of the aim: above this expected time nothing is sent
	rankShare    = 0.5  // of the most valued class's limit at least, for the class of the least value
	askShare     = 0.05 // of the aim: how long a probe's answer is waited for before the next owner is asked
	askSpan      = 4    // owners asked for a request
	lieGain      = 0.4  // two tests that contradict failed probes are enough to stop asking
	testShare    = 0.1  // of the requests for which no probe is answered: sent all the same
	reportGain   = 0.05
	reportPrior  = 0.25 // of the quick time: the wait for each request that a server says it holds
	spillSpan    = 3    // crowded owners looked at before the least crowded one is taken: see counts
	failShare    = 0.5  // of the aim: what a failure counts as
	surgeRoots   = 2.0  // in flight at a server: the usual mean and this many roots of it
	typicalGain  = 0.1
	typicalStart = 8.0 // of all balancers together, until this one has its own usual count
	sparseShare  = 0.1 // of a request: less than this of what a busy server has in flight is a sparse one's
	carriedUp    = 0.5 // gain of what is sent in a round, where it is more than before
	carriedDown  = 0.02
	idleShare    = 0.1
	latencyGain  = 0.15 // weight of a new sample of latency
	quickStep    = 0.01
	leastSpeed   = 0.25 // of the quickest kind's
	staleAims    = 4.0  // longest aims: after which what was seen has faded by half
	staleMost    = 2 * time.Second

	failGain    = 0.005
	blameShare  = 0.02 // of the attempts: where more fail, it is no key's fault
	poisonSpan  = 3    // distinct healthy servers that a key must fail on to be blamed itself
	poisonHold  = 10 * time.Second
	forgetAfter = 2 * holdDown // after a server's end
)

// retrySpacing is in aims.
var retrySpacing = [...]float64{0, 0.06, 0.18}

// Step tells the Balancer of one event and returns the actions to take, valid until the next Step.
func (b *Balancer) Step(now time.Duration, ev Event) []Action {
	b.acts = b.acts[:0]
	b.now = max(b.now, now)
	switch e := ev.(type) {
	case *Request:
		b.onRequest(e)
	case *AttemptDone:
		b.onDone(e)
	case *StreamStarted:
		if r := b.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			b.begun(r, &r.attempts[e.Attempt])
		}
	case *ClientGone:
		if r := b.requests[e.ID]; r != nil {
			b.close(r)
		}
	case *Membership:
		b.onMembership(e)
	case *ProbeDone:
		b.onProbe(e)
	case *PeerMessage:
		b.onPeer(e)
	case *TimerDue:
		b.onTimer(e.Tag)
	}
	return b.acts
}

func (b *Balancer) onTimer(tag uint64) {
	r := b.requests[uint32(tag>>2)]
	switch purpose := tag & 3; {
	case purpose == tagRound && b.started:
		b.endRound()
	case purpose == tagAsk:
		if b.asking = false; b.discovery.Missing() { // else it is watched again, as at another address
			b.ask()
		}
	case r == nil || r.closed:
	case purpose == tagRetry && r.holding && b.now >= max(r.askUntil, r.paced):
		r.holding = false
		b.route(r)
	}
}

func (b *Balancer) onMembership(e *Membership) {
	if !b.started {
		b.started = true
		b.timer(roundLength, 0, tagRound)
		b.ask()
	} else if e.Kind == SyncFailed {
		b.onDeaf(&e.Word)
	} else if !e.Word.Local {
		b.askAgain = 0
		if !e.Word.Begun {
			b.discovery.Answered(len(e.Servers) > 0)
		}
	}
	if e.Kind == SyncFailed {
		return
	}
	changed := false
	listed := make(map[string]bool, len(e.Servers))
	for i := range e.Servers {
		listed[e.Servers[i].ID] = true
		changed = b.update(&e.Servers[i]) || changed
	}
	if e.Kind != SyncChange {
		for id, s := range b.servers {
			if !listed[id] && s.State != Gone {
				s.State = Gone
				changed = true
			}
		}
	}
	if changed {
		b.seat()
	}
}

// onDeaf asks again where a call has ended: the old list holds, and is soon wrong.
func (b *Balancer) onDeaf(w *Word) {
	if w.End == asking.Silent {
		b.discovery.Fell(b.now, w.Quiet)
	}
	if w.Waiting {
		return
	}
	b.askAgain = 0
	wait := b.discovery.Ended(b.now, w.End, b.rng.Float64())
	if !b.asking {
		b.asking = true
		b.timer(wait, 0, tagAsk)
	}
}

// forgetGone drops the servers that are long gone, with their points. Guards against a ring and maps that
// grow with every release for as long as the balancer runs; a flap within that time finds its penalty kept.
func (b *Balancer) forgetGone() {
	maps.DeleteFunc(b.servers, func(_ string, s *server) bool {
		gone := s.State == Gone && !s.place.Member() && s.inFlight == 0 && b.now-s.leftAt > forgetAfter
		if gone {
			b.detector.Forget(s.record)
			b.ring.Forget(s.place)
			b.outside.Forget(s.apart)
			if b.byHash[s.hash] == s {
				delete(b.byHash, s.hash)
			}
		}
		return gone
	})
}

func (b *Balancer) update(e *Server) (changed bool) {
	s := b.servers[e.ID]
	if s == nil {
		s = &server{
			hash: ring.Hash(e.ID), penalty: b.meanPenalty(), penaltyAt: b.now,
			record: b.detector.Join(),
		}
		s.State, s.ID = Gone, e.ID
		b.servers[e.ID], b.byHash[s.hash] = s, s
	}
	changed = s.State != e.State
	if e.Started != s.Started || s.place == nil { // restarted or new: what was known of it is of another process
		s.latency, s.latencyAtN = 0, 0
		b.detector.Restarted(s.record)
		s.cold.Begin(b.now, b.rng.Float64())
	}
	s.Server, s.pace = *e, b.kind(e.Kind)
	b.keptOff(s)
	s.drained = e.State == Draining || s.drained && e.State == Gone
	return changed
}

// pick returns the first server clockwise from the request's point that may, can and should have it.
func (b *Balancer) pick(r *request) (chosen *server) {
	hash := r.hash
	if !r.keyed && len(b.ring.Members()) > 0 { // the better of two
		hash = b.rng.Uint32()
		if other := b.rng.Uint32(); b.ring.Owner(other).inFlight < b.ring.Owner(hash).inFlight {
			hash = other
		}
	}
	b.heed(r, hash)
	var best, mute, passed, later, owing, ready *server
	span := 0 // of warm servers that would do, while those are full
	r.trial = nil
	bestTime, looked, limit, sparse, owes := math.Inf(1), 0.0, b.hardTime(r), b.sparse(), 0.0
	if chosen = b.newcomer(r, hash, limit, true); chosen != nil {
		return chosen
	}
	// Where crossing zones is priced above a request's whole work (what waste costs), its zone's own owner keeps
	// a key while quick: affinity saves less than a crossing costs. Of the owners asked, two are of it.
	if b.set.Prices.CrossZone > b.set.Prices.Waste && (r.asks < 2 || !b.thin()) {
		b.ring.Walk(hash, func(s *server) bool {
			ok, try := b.vouched(r, s)
			t := b.expected(s)
			if ok && !try && s.Zone == b.set.Zone && t < homeShare*seconds(r.class.Aim) && b.takes(r, s, t, limit) {
				chosen = s
			}
			return chosen == nil
		})
		if chosen != nil {
			return chosen
		}
	}
	b.ring.Walk(hash, func(s *server) bool {
		if !b.lawful(r, s) {
			return true
		}
		ok, try := b.vouched(r, s)
		if !ok || !b.coldRoom(s, try) {
			return true
		}
		t, fits := b.expected(s), b.placed != nil || b.fits(hash, s)
		switch {
		case try && b.copies(r): // the trial is a second copy, and the request is sent on all the same
			r.trial = cmp.Or(r.trial, s)
			return true
		case try:
		case s.record.NotNow(b.now):
			if passed == nil && t <= limit {
				passed = s
			}
			return true
		case r.class.Effect == Unsafe && b.suspect(r, s):
			if later == nil && t <= limit {
				later = s
			}
			return true
		}
		if fits && (try || !b.crowded(r, s, t, limit)) {
			if !sparse || try || b.relieves(s) || b.even(s) >= 1 {
				if sparse && !try && b.searches(s) {
					ready, span = cmp.Or(ready, s), span+1
					return span < fullSpan
				}
				chosen = s
				return false
			} else if even := b.even(s) / b.share(s); owing == nil || even > owes {
				owing, owes = s, even
			}
			return true
		}
		if mute == nil && math.IsInf(t, 1) && s.probeSays != TurnedAway {
			mute = s
		}
		if t < bestTime {
			best, bestTime = s, t
		}
		if fits {
			looked += b.counts(s)
		}
		return looked < spillSpan || bestTime > limit
	})
	if chosen = cmp.Or(chosen, ready, owing); chosen == nil { // all have had their part: the one least over it
		chosen = b.newcomer(r, hash, limit, false)
	}
	// One that likely turns the request away costs little as long as a further attempt is left.
	if chosen == nil && len(r.attempts)+1 < r.class.most {
		chosen = passed
	}
	if r.deadline < r.aimBy && !r.low { // its client gives less than the aim: that is no sign of a crowd
		limit = min(r.class.hard, seconds(r.deadline-b.now))
	}
	if chosen == nil && bestTime <= limit {
		chosen = best
	}
	if chosen = cmp.Or(chosen, later, passed, r.trial); chosen == r.trial {
		r.trial = nil
	}
	// What rests on failed probes alone is put to the test now and then, or false ones would never be noticed.
	if chosen == nil && mute != nil && b.rng.Float64() < testShare {
		chosen, r.tests = mute, true
	}
	if chosen == nil && b.pace.quick > r.class.hard {
		b.pace.quick *= 0.9 // or a fleet that looks slow, to which nothing is sent, would never be tried again
	}
	return chosen
}

// listed tells whether the list allows sending: not from the moment told of a drain or an end.
func (b *Balancer) listed(s *server) bool {
	return !s.drained && (s.State == Ready || b.set.Rules.OnlyDrainingBind && s.State == Gone)
}

// fits passes on the part of a small server's keys that its listed size leaves over, the same keys at every
// balancer: uniform points give all as many. Guards against small machines that drown while large ones idle,
// where own counts are too few to show it; a size listed wrongly moves keys for nothing.
func (b *Balancer) fits(hash uint32, s *server) bool {
	lot := (hash ^ s.hash) * 0x9E3779B1 // spreads the bits
	return float64(lot)/(1<<32)*b.largest <= b.size(s)
}

// size is a server's listed size, by how quick its kind of machine has been.
func (b *Balancer) size(s *server) float64 {
	if k := s.pace; k.quick > 0 && b.quickest > 0 {
		return s.Weight * min(max(b.quickest/k.quick, leastSpeed), 1)
	}
	return s.Weight
}

// measure finds the quickest kind of machine, the largest size among the members, and the sum of those up.
func (b *Balancer) measure() {
	b.quickest = 0
	for _, k := range b.kinds {
		if k.known(b.sparse()) && (b.quickest == 0 || k.quick < b.quickest) {
			b.quickest = k.quick
		}
	}
	b.largest, b.broadest, b.sizes, b.anyCold = 0, 1, 0, false
	for _, s := range b.ring.Members() {
		b.largest, b.anyCold = max(b.largest, b.size(s)), b.anyCold || b.warmth(s) < 1
		b.broadest = max(b.broadest, s.place.Points())
		if !s.record.IsDown() && b.now >= s.dampedUntil {
			b.sizes += b.share(s)
		}
	}
}

// lawful keeps the rules: no draining or gone server, none to be kept off, no second visit, no repeat outside
// its group.
func (b *Balancer) lawful(r *request, s *server) bool {
	if !b.listed(s) || keepsOff(r, s) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == s {
			return false
		}
		if a.neverRan || r.class.Effect == Safe {
			continue
		}
		if r.class.Effect == Unsafe || b.now-a.noted.At >= r.class.Memory-b.set.Tick {
			return false
		}
		if r.class.Scope == ScopeZone && s.Zone != a.server.Zone ||
			r.class.Scope == ScopeCell && s.Cell != a.server.Cell {
			return false
		}
	}
	return true
}

// expected is the time that a further request would likely take there: the latency seen, scaled to what is
// in flight, fading to the fleet's quick time when old; never less than the present silence, nor than what a
// probe or report says. Guards against slow, crowded and silent servers; a rare heavy request looks so too.
func (b *Balancer) expected(s *server) float64 {
	// Of a new server nothing is known: idle it is taken for a quick one, under the usual load for a usual one.
	// Guards against sending it at once all that the others have no room for, and against never trying it.
	t := b.pace.quick + max(b.latency-b.pace.quick, b.pace.quick)*float64(s.inFlight)/(b.typical+1)
	if s.latency > 0 {
		t = s.latency
		if t > b.pace.quick {
			age := float64(b.now-s.sampledAt) / float64(b.staleHalf)
			t = b.pace.quick + (t-b.pace.quick)*math.Exp2(-age)
		}
		const others = 2 // stands for what other balancers have in flight there
		if f := (float64(s.inFlight) + 1 + others) / (s.latencyAtN + others); f > 1 {
			t *= f
		} else if t > b.pace.quick { // its queue has run empty since: what was slow for its crowd is not left idle
			t = b.pace.quick + (t-b.pace.quick)*f
		}
	}
	if b.lies <= floorShare { // a probe in the queue waits as long as a request would
		wait := time.Duration(0)
		if b.now-s.heardAt < b.staleHalf {
			wait = s.probeTime
		}
		if s.probeOut {
			wait = max(wait, b.now-s.probedAt)
		}
		t = max(t, b.pace.quick+seconds(wait))
		if s.probeFailedAt > 0 && b.now-s.probeFailedAt < roundLength {
			return math.Inf(1)
		}
	}
	if b.reported(s) {
		z := b.zone(s)
		t = max(t, b.pace.quick+z.wait/max(z.held, 0.1)*s.held)
	}
	if s.inFlight > 0 {
		t = max(t, seconds(b.now-s.silentSince))
	}
	return t
}

// thin tells whether this balancer sends a server less than one request in the time that what it saw itself
// lasts: then it goes by what servers say when asked, and in answers, else by its own counts and times.
func (b *Balancer) thin() bool { return b.rate*seconds(b.staleHalf) < b.ringSize() }

// reported tells whether the server said lately how many requests it holds, and that is to count.
func (b *Balancer) reported(s *server) bool {
	return s.heldAt > 0 && b.now-s.heldAt < b.staleHalf && b.thin()
}

// sparse tells whether this balancer is one of so many, and thin, that what it has in flight at a server says
// nothing of how busy that is: with few balancers the bounded load by own requests in flight is enough.
func (b *Balancer) sparse() bool {
	return typicalStart < sparseShare*float64(b.set.Balancers) && b.thin()
}

// even is what a server has left of its part of this balancer's requests: the bounded load over a longer
// time, for a sparse one, which has nothing in flight at most servers whenever it looks.
func (b *Balancer) even(s *server) float64 {
	b.book.Open(&s.account, b.rng.Float64())
	return b.book.Credit(&s.account, b.share(s)/max(b.sizes, 1e-9))
}

// crowded tells whether an owner passes the request on: over the bounded load while no longer quick (below
// the soft time affinity saves more than a spill), or too slow for the request's aim.
func (b *Balancer) crowded(r *request, s *server, t, limit float64) bool {
	// Its probe is not answered in the time that the request waits for it.
	unheard := s.probeOut && float64(b.now-s.probedAt) >= askShare*float64(r.class.Aim) && b.lies <= floorShare
	if t > limit || unheard || float64(s.inFlight) > max(b.typical+surgeRoots*math.Sqrt(b.typical), 1) {
		return true
	}
	load, mean := float64(s.inFlight), float64(b.inFlight+1)/b.ringSize()
	if b.reported(s) {
		load, mean = s.held, b.meanHeld
	}
	return t > softShare*seconds(r.class.Aim) && load+1 > b.fig.BoundedLoad*mean
}

// hardTime is the longest expected time at which the request is still sent.
func (b *Balancer) hardTime(r *request) float64 {
	t := min(r.class.hard, b.hardShare*seconds(min(r.aimBy, r.deadline)-b.now))
	if r.low && t > b.pace.quick { // a share of the queue: what even an idle server takes is not counted
		if t = b.pace.quick + b.fig.LowShare*(t-b.pace.quick); !b.set.Limits.Peers {
			t += (1 - b.fig.LowShare) / 2 / b.fig.LowShare * (t - b.pace.quick) // a guess: see package quota
		}
	}
	return t
}

func (b *Balancer) onRequest(e *Request) {
	if b.requests[e.ID] != nil {
		return
	}
	c := b.classes[e.Class]
	if c == nil { // unknown: treated like the least repeatable
		c = &class{Class: Class{Aim: e.Budget, Deadline: e.Budget, Effect: Unsafe}, hard: seconds(e.Budget)}
		c.lane, c.most = -1, b.set.Limits.MaxAttempts
	}
	r := &request{id: e.ID, class: c, units: 1, deadline: b.now + max(e.Budget, 0), tenant: b.tenantOf(e)}
	aim := c.Aim + time.Duration(c.AimStretch*float64(e.Work))
	r.aimBy = b.now + min(aim, c.Deadline)
	// A repeat's budget under the longest seen is what the client's deadline leaves: it is this old. Guards
	// against serving repeats that come too late to count; a client with short budgets of its own is hurt
	// where repeats are not marked. Where they are, a first try that was long on its way is not taken for one.
	c.budget = max(c.budget, e.Budget)
	if e.Budget < c.budget-b.set.Tick && (e.Retry || !b.set.MarksRetry) {
		r.aimBy -= c.Deadline - e.Budget
	}
	if c.LateWorth > 0 {
		r.aimBy = r.deadline
	}
	if e.Work > 0 {
		w := seconds(e.Work)
		b.meanWork = cmp.Or(b.meanWork, w)
		b.meanWork += 0.01 * (w - b.meanWork)
		r.units = w / b.meanWork
	}
	if e.Key != "" {
		r.keyed, r.hash = true, ring.Hash(e.Key)
	}
	r.low = b.quota.Over(b.now, e.billed())
	b.tokens = min(b.tokens+b.fig.RetryRatio, b.fig.RetryReserve)
	b.spares = min(b.spares+b.fig.SpareRatio, b.fig.SpareReserve)
	b.requests[e.ID] = r
	if r.keyed && b.poisoned(r.hash) || r.aimBy <= b.now {
		b.giveUp(r)
	} else {
		b.route(r)
	}
}

// route sends the request on, or ends it at once.
func (b *Balancer) route(r *request) {
	var s *server
	if !b.late(r, 0) && len(r.attempts) < r.class.most {
		s = b.pick(r)
	}
	switch {
	case s != nil && !b.afford(r, s):
		b.giveUp(r)
	case s != nil && (!b.unknown(r, s) || r.asks == askSpan && b.pace.quick+b.meanWait <= b.hardTime(r)):
		b.dispatch(r, s)
		if t := r.trial; t != nil {
			b.send(r, t)
			r.attempts[len(r.attempts)-1].copy = true
			r.copies, r.copied = r.copies+1, r.copied+1
		}
	case s != nil && r.asks < askSpan:
		b.askFirst(r, s)
	default:
		b.await(r)
	}
}

// askFirst probes an owner of which nothing was heard lately; the first owner asked that answers gets the
// request. A large fleet's balancer meets a server too seldom to know it by its own attempts: a probe tells
// dead, silent and crowded ones apart before an attempt is spent, the only one of an unsafe request. It costs
// a probe and its time; probes that fail falsely are noticed (see learn) and asked for no more.
func (b *Balancer) askFirst(r *request, s *server) {
	if r.asks++; !s.probeOut {
		b.probe(s)
	}
	wait := min(time.Duration(askShare*float64(r.class.Aim)), r.deadline-b.now)
	s.waiting = append(s.waiting, r)
	r.holding, r.askUntil = true, b.now+wait
	b.timer(wait, r.id, tagRetry)
}

// unknown tells whether a server must be asked before it is sent to: nothing was heard of it for half an aim,
// and it is not one that the request tests. Who asked in vain and finds only such servers takes one unasked
// while probes wait little on the whole, else it is refused.
func (b *Balancer) unknown(r *request, s *server) bool {
	return b.set.Limits.Probes && b.set.Prices.Probe <= b.set.Prices.LateFail && b.lies <= floorShare &&
		b.now-s.heardAt >= r.class.Aim/2 && !r.tests && (b.thin() || s.record.IsDown())
}

func (b *Balancer) send(r *request, s *server) {
	limit := b.allow(r, s, r.deadline-b.now)
	if aimed := r.aimBy - b.now - b.set.Tick; !r.class.Stream && aimed > 0 {
		limit = min(limit, aimed) // an answer after the aim is worth nothing and keeps the server busy
	}
	held, despite := -1.0, time.Duration(0)
	if s.probeFailedAt > 0 && b.now-s.probeFailedAt < b.staleHalf {
		despite = s.probeTime // an answer sooner than this contradicts the probe's silence
		if s.probeSays == ServerError || s.probeSays == NoConnection {
			despite = r.class.Deadline // any answer contradicts an error
		}
	}
	if b.reported(s) {
		held = s.held
		s.held++
	}
	r.attempts = append(r.attempts, attempt{
		server: s, load: int32(s.inFlight), held: held,
		despite: despite, noted: b.detector.Start(b.now, s.record, r.class.lane, limit),
	})
	r.open++
	if s.inFlight == 0 {
		s.silentSince = b.now
	}
	b.waits(&r.attempts[len(r.attempts)-1], 1)
	b.sentRound += r.units
	s.cold.Spend(r.units)
	b.reach.Tried(b.now, s.Zone)
	b.book.Sent(&s.account, r.units)
	b.act(Action{Kind: Send, ID: r.id, Server: s.ID, After: limit})
	b.noteSend(r, s)
}

func (b *Balancer) onDone(e *AttemptDone) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].done {
		return
	}
	a := &r.attempts[e.Attempt]
	a.done, a.neverRan = true, e.Outcome.NeverRan()
	r.open--
	if a.copy {
		r.copies--
	}
	b.waits(a, -1)
	b.hear(r, a, e)
	if e.Finished || r.closed {
		b.close(r)
	} else if r.open == r.copies && !r.stream && !r.holding {
		r.spared = a.neverRan
		b.again(r)
	}
}

// again retries where the class allows it, the aim leaves time and retries are not crowding out first tries.
func (b *Balancer) again(r *request) {
	n := len(r.attempts)
	wait := b.spaced(r, retrySpacing[min(n-int(r.copied)-1, len(retrySpacing)-1)])
	// What is too slow for a further attempt is for pick to say; the mean holds failures too.
	left := r.aimBy - b.now - wait
	if n >= r.class.most || b.tokens < 1 && !r.spared || seconds(left) < b.latency || b.late(r, wait) {
		b.giveUp(r)
		return
	}
	r.pays = true
	if r.holding = wait > 0; r.holding {
		b.timer(wait, r.id, tagRetry)
	} else {
		b.route(r)
	}
}

// afford pays for a further attempt, out of the budget that guards against storms of them. Where the last one
// never ran it adds nothing to what runs: at a server not in trouble it is paid for out of a larger budget.
func (b *Balancer) afford(r *request, s *server) bool {
	budget := &b.tokens
	switch {
	case !r.pays:
		return true
	case r.spared && b.detector.Verdict(s.record, r.class.lane) == health.Well:
		budget = &b.spares
	}
	if *budget < 1 {
		return false
	}
	*budget--
	r.pays = false
	return true
}

// giveUp gives the final answer: a refusal where the rules let the client be told that trying again is
// harmless, else a failure.
func (b *Balancer) giveUp(r *request) {
	answer := Action{Kind: Refuse, ID: r.id}
	for i := range r.attempts {
		a, c := &r.attempts[i], r.class
		anywhere := c.Effect == Keyed && c.Scope == ScopeAll && b.now-a.noted.At < c.Memory
		if !a.neverRan && c.Effect != Safe && !anywhere {
			answer.Kind = Fail
		}
	}
	if answer.Kind == Refuse && b.set.Limits.RetryAfter {
		answer.After = min(time.Duration((0.5+b.rng.Float64())*float64(r.class.Aim)), b.set.Limits.MaxRetryAfter)
	}
	b.answer(r, answer)
	b.close(r)
}

// learn takes what an outcome says of the server and of the key.
func (b *Balancer) learn(r *request, a *attempt, e *AttemptDone) {
	s := a.server
	b.reached(s, a, e)
	b.report(s, e.Load)
	if a.held >= 0 && (e.Outcome == Served || e.Outcome == NoAnswer) {
		z := b.zone(s)
		z.wait += reportGain * (max(seconds(e.Latency)-b.pace.quick, 0) - z.wait)
		z.held += reportGain * (a.held - z.held)
	}
	if a.despite > 0 { // what a failed probe said was not heeded: true, unless served sooner than its silence
		b.lies *= 1 - lieGain
		if e.Outcome == Served && e.Latency < a.despite {
			b.lies += lieGain
		}
	}
	if e.Outcome == NotSent || e.Outcome == CalledOff || e.Evidence.Ours { // on this side, or by the client
		b.found(s, a, e, r.class)
		return
	}
	b.charge(r, s, e)
	switch e.Outcome {
	case Served:
		b.failing -= failGain * b.failing
		s.silentSince, s.heardAt, s.probeTime = b.now, b.now, 0
		b.sample(s, seconds(e.Latency), int(a.load))
		b.pace.sample(seconds(e.Latency))
		s.pace.sample(seconds(e.Latency))
		s.lastServed = b.now
		delete(b.keys, r.hash)
		b.found(s, a, e, r.class)
		return
	case TurnedAway, ServerError, ConnectionLost:
		s.silentSince = b.now
	}
	if e.Outcome == TurnedAway {
		b.sample(s, max(seconds(e.Latency), s.latency, seconds(r.class.Aim)*softShare), int(a.load))
		b.found(s, a, e, r.class)
		return
	}
	b.failing += failGain * (1 - b.failing)
	if r.keyed && e.Outcome != NoConnection && b.blameKey(r.hash, s, a.noted.At) {
		b.detector.End(b.now, s.record, a.noted, health.Void, e.Latency, &e.Evidence)
		return
	}
	// A failure counts as an answer near the aim. Guards against servers that fail quickly and so look idle.
	b.sample(s, max(seconds(e.Latency), failShare*seconds(min(r.class.Aim, r.deadline-a.noted.At))), int(a.load))
	b.found(s, a, e, r.class)
}

// found tells the detector how an attempt ended.
func (b *Balancer) found(s *server, a *attempt, e *AttemptDone, c *class) {
	b.judged(s, b.detector.End(b.now, s.record, a.noted, ends[e.Outcome], e.Latency, &e.Evidence), c)
}

// judged takes in what the detector found. A server that was down or comes back gets its cold budget anew.
func (b *Balancer) judged(s *server, found health.Change, c *class) {
	switch found {
	case health.Same:
		return
	case health.ClassDown:
		b.log("down %s for %s: %s", s.ID, c.Name, s.record.Because())
		return
	case health.ClassUp:
		b.log("up %s for %s: %s", s.ID, c.Name, s.record.Because())
		return
	case health.WentDown:
		b.log("down %s: %s", s.ID, s.record.Because())
	case health.CameUp:
		if s.record.Absent() {
			s.backAt = b.now
		}
		b.log("up %s: %s", s.ID, s.record.Because())
	}
	s.cold.Begin(b.now, b.rng.Float64())
	b.doubted()
}

// swing raises the penalty of a server that is not in the state of the round before: what went down and came
// back inside a round has not swung. Nor has what one cause near this balancer takes down with most others.
func (b *Balancer) swing(s *server) {
	if down := s.record.IsDown(); down != s.downThen && b.detector.Doubt() == "" {
		s.downThen = down
		s.penalty, s.penaltyAt = s.penaltyNow(b.now)+swingPenalty, b.now
		if s.penalty > b.fig.SuppressLimit && b.now >= s.dampedUntil {
			b.dampOrAsk(s)
		}
	}
}

// endRound judges each server by the round's sends and starts the next round.
func (b *Balancer) endRound() {
	b.timer(roundLength, 0, tagRound)
	b.detector.Round()
	for _, s := range b.ring.Members() {
		b.judged(s, b.detector.Judge(b.now, s.record), nil)
		b.swing(s)
	}
	// Up fast and down slowly: what is held back because servers look slow or cold must not make it look as if a
	// warm server carried that little, or the cold ones among them would be starved for good.
	gain := carriedUp
	if b.sentRound < b.rate {
		gain = carriedDown
	}
	if b.countInFlight(0); b.sentRound >= idleShare*b.rate { // a round that sends next to nothing shows nothing
		b.rate += gain * (b.sentRound - b.rate)
		b.typical += typicalGain * (b.area/seconds(roundLength)/b.ringSize() - b.typical)
	} else {
		b.latency /= 2 // it holds failures, by which nothing would be sent again
	}
	b.area, b.sentRound = 0, 0
	b.lies *= math.Exp2(-float64(roundLength) / float64(penaltyHalf)) // so that they are asked again
	if mean, tell := b.quota.Round(); tell {
		b.tell(rateMessage(mean))
	}
	maps.DeleteFunc(b.keys, func(_ uint32, k *blame) bool { return b.now > max(k.at+poisonHold, k.until) })
	b.forgetGone()
	b.resettle()
	b.measure()
	b.placeAll()
	b.doubted()
	if b.askAgain > 0 && b.now >= b.askAgain {
		b.ask()
	}
}

// trusted tells whether a server is on the ring for this balancer, or owed a trial. When most of the ring
// looks bad for one cause near this balancer, only the expected time decides.
func (b *Balancer) trusted(r *request, s *server) (ok, trial bool) {
	damped := b.now < s.dampedUntil
	if b.cutOff(s) {
		due := r.class.Effect != Unsafe && b.reach.Due(b.now, s.Zone)
		return due, due
	}
	if b.detector.Doubt() != "" || !damped && b.detector.Verdict(s.record, r.class.lane) != health.Down {
		return true, false
	}
	// What listens there next may be another server, of which a list that can't be heard would have told.
	if s.record.Absent() && b.discovery.Deaf(b.now) {
		return false, false
	}
	// With probes it is asked first; one that hangs on a class alone can prove itself by that class only.
	cheap := !damped && (r.class.Effect != Unsafe || b.set.Limits.Probes || !s.record.IsDown())
	return cheap, cheap
}

// suspect tells whether others should be asked first with what must not run twice.
func (b *Balancer) suspect(r *request, s *server) bool {
	return b.detector.Verdict(s.record, r.class.lane) == health.Suspect && b.detector.Doubt() == ""
}

// copies tells whether a trial of the request may be a second copy, so that it costs the client nothing.
func (b *Balancer) copies(r *request) bool {
	return r.class.Effect == Safe && !r.class.Stream && r.class.copies && !b.set.Limits.Probes &&
		len(r.attempts) == 0 && r.class.most > 1
}

// blameKey notes a key's failure on a server that answers others, and tells whether the key is to blame: it
// failed on several. Guards against requests that break whichever server gets them. Where attempts fail
// right and left, whatever their keys, an unlucky key proves nothing.
func (b *Balancer) blameKey(key uint32, s *server, sent time.Duration) bool {
	if s.lastServed+roundLength < sent || b.failing > blameShare {
		return false
	}
	bl := b.keys[key]
	if bl == nil {
		bl = &blame{}
		b.keys[key] = bl
	}
	bl.at = b.now
	if len(bl.on) < poisonSpan && !slices.Contains(bl.on, s) {
		if bl.on = append(bl.on, s); len(bl.on) == poisonSpan {
			bl.until = b.now + poisonHold
			b.log("key %08x blamed", key)
		}
	}
	return len(bl.on) > 1
}

// poisoned tells whether the key is blamed; one request in a while is let through to see.
func (b *Balancer) poisoned(key uint32) bool {
	bl := b.keys[key]
	if bl == nil || len(bl.on) < poisonSpan {
		return false
	} else if b.now >= bl.until {
		bl.until = b.now + poisonHold
		return false
	}
	return true
}

// warmth is the share of its capacity that a server surely has: by its listed start, or by its return after
// no connection came up, since a process that was gone likely comes back cold whatever the list says.
func (b *Balancer) warmth(s *server) float64 { return b.cold.Warmth(b.now, max(s.backAt, s.Started)) }

// coldRoom keeps to this balancer's part of a cold server's budget, of which a down one's trials come too.
func (b *Balancer) coldRoom(s *server, trial bool) bool {
	w, size := b.warmth(s), 1.0
	trial = trial && !b.cutOff(s) // which is tried by the zone
	if b.largest > 0 {
		size = s.Weight / b.largest
	}
	return w >= 1 && !trial || s.cold.Room(b.terms(), b.now, w, b.rate/b.ringSize(), size, trial)
}

// rankClasses sets how long an expected time each class accepts. All wait in the same queues, so the one that
// accepts most would shut the others out: none accepts more than the most valued, and less by its value in
// the goal, where a class's worth counts in the whole and any class may be the worst one.
func (b *Balancer) rankClasses() {
	b.hardShare = hardShare
	if miss := b.set.Goal.TailMiss; b.set.Goal.SlowEnd > 0 && miss > 0 && miss < 1 {
		// Where the tail counts, no more than this part may miss the aim: by exponential times, that is so
		// while the mean is under the aim over ln(1/miss). A request refused in time is no miss.
		b.hardShare = min(hardShare, 1/math.Log(1/miss))
	}
	byWorth := func(p, q Class) int { return cmp.Compare(p.Worth, q.Worth) }
	top := slices.MaxFunc(b.set.Classes, byWorth)
	goal := b.set.Goal
	value := func(c Class) float64 { return goal.Whole*c.Worth/max(top.Worth, 1e-9) + goal.WorstClass }
	for _, c := range b.classes {
		rank := 1.0
		if v := value(top); v > 0 {
			rank = rankShare + (1-rankShare)*value(c.Class)/v
		}
		c.hard = b.hardShare * min(seconds(c.Aim), rank*seconds(top.Aim))
	}
}

// tell sends a message to k peers, or to all where there are no more: never to all of a large fleet.
func (b *Balancer) tell(data []byte) {
	others := b.set.Balancers - 1
	if !b.set.Limits.Peers {
		return
	}
	first := b.rng.IntN(max(others, 1))
	for i := range min(fanout, others) {
		peer := (b.set.Self + 1 + (first+i)%others) % b.set.Balancers
		b.act(Action{Kind: Tell, Peer: peer, Data: data})
	}
}

// ask subscribes where discovery must be asked; a failure is followed by another try, and so is silence well
// before the rules take this balancer as told of what it has not heard.
func (b *Balancer) ask() {
	if b.set.OnRequest {
		b.discovery.Called(b.now)
		b.askAgain = b.now + max(b.set.Rules.AskWithin/4, roundLength)
		b.act(Action{Kind: Subscribe})
	}
}

func (b *Balancer) onProbe(e *ProbeDone) {
	s := b.servers[e.Server]
	if s == nil {
		return
	}
	s.probeOut, s.probeSays, s.probeTime = false, e.Outcome, e.Latency
	b.report(s, e.Load)
	if e.Outcome == Served {
		s.heardAt, s.probeFailedAt = b.now, 0
	} else {
		s.probeFailedAt = b.now
	}
	switch wait := seconds(e.Latency); e.Outcome {
	case TurnedAway: // too many wait there already
		b.meanWait += typicalGain * (b.hardShare*seconds(b.longest) - b.meanWait)
	case Served, NoAnswer:
		b.meanWait += typicalGain * (wait - b.meanWait)
	}
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		if r.holding && !r.closed && r.asks > 0 && b.now >= r.paced {
			r.holding = false
			b.route(r)
		}
	}
}

// dampOrAsk damps a flapping server: with peers after a damp-req to k of them, else by the local score. A
// peer's silence for a round counts as agreement when the next swing comes.
func (b *Balancer) dampOrAsk(s *server) {
	if b.set.Limits.Peers && b.set.Balancers > 1 && b.now-s.asked > holdDown {
		s.asked = b.now
		b.tell(dampMessage(msgDampReq, s, b.now))
		return
	}
	b.damp(s)
}

func (b *Balancer) damp(s *server) {
	s.dampedUntil = b.now + holdDown
	b.log("damped %s", s.ID)
	b.placeAll()
}

func (b *Balancer) onPeer(e *PeerMessage) {
	m := parseMessage(e.Data)
	if e.From < 0 || e.From >= b.set.Balancers || e.From == b.set.Self {
		return
	}
	if m.kind == msgRate {
		b.quota.Heard(m.score)
		return
	}
	s := b.byHash[m.hash]
	switch {
	case s == nil || !s.place.Member():
	case m.kind == msgDampReq:
		b.act(Action{Kind: Tell, Peer: e.From, Data: dampMessage(msgDampResp, s, b.now)})
	case m.kind == msgDampResp && s.asked > 0 && b.now-s.asked <= roundLength && b.now >= s.dampedUntil &&
		min(s.penaltyNow(b.now), m.score) > b.fig.SuppressLimit/2:
		b.damp(s)
	}
}
