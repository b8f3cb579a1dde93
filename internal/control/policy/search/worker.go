package search

import (
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"slices"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/modelcheck"
)

// job is a state from which a worker is to go on.
type job struct {
	w     world
	steps []taken
}

// taken is a step that was.
type taken struct {
	at, who, other int8
	what           what
}

type what uint8

const (
	agreedLate what = iota
	voterBegins
	voterLearns
	reports
	leads
	agentLearns
	grants
	told
	agentBegins
	passes
)

func (t taken) String() string {
	text := [...]string{
		"a postponement is agreed", "voter %d begins anew", "voter %d learns a record",
		"voter %d reports",
		"voter %d leads", "agent %d learns a record", "agent %d is granted a lease by voter %d",
		"agent %d is heard by voter %d",
		"agent %d begins anew", "a second passes",
	}[t.what]
	switch t.what {
	case agreedLate, passes:
	case grants, told:
		text = fmt.Sprintf(text, t.who, t.other)
	default:
		text = fmt.Sprintf(text, t.who)
	}
	return fmt.Sprintf("%d s: %s", t.at, text)
}

// worker has what it has asked parts for.
type worker struct {
	*search
	jobs    *modelcheck.Jobs[job]
	steps   []taken
	agreed  map[agreeing]*place
	voters  map[voterAsked]voter
	records map[voterAsked][]*proposal
	met     map[meeting]hears
	learnt  map[agentAsked]agent
	decided map[agentAsked]decided
	ended   map[voterAsked]bool
}

type agreeing struct {
	last *place
	p    *proposal
}

// voterAsked is what a voter is asked: what comes of it is the same for the same.
type voterAsked struct {
	what          what
	i, now, known int8
	sum, councils uint64
	p             *place
}

type meeting struct {
	what            what
	voter           uint64
	p               *place
	v, i, life, now int8
	agent           uint64
	councils        uint64
}

type agentAsked struct {
	what     what
	i, now   int8
	standing lease.Standing
	sum      uint64
	p        *place
}

func newWorker(s *search, jobs *modelcheck.Jobs[job]) *worker {
	return &worker{
		search: s, jobs: jobs, agreed: map[agreeing]*place{}, voters: map[voterAsked]voter{},
		records: map[voterAsked][]*proposal{}, met: map[meeting]hears{}, learnt: map[agentAsked]agent{},
		decided: map[agentAsked]decided{}, ended: map[voterAsked]bool{},
	}
}

// remembered gives what a part was asked before, or asks it.
func remembered[K comparable, V any](k *worker, m map[K]V, key K, ask func() V) V {
	v, is := m[key]
	if !is {
		k.Lock()
		v = ask()
		k.Unlock()
		m[key] = v
	}
	return v
}

// agree adds a record to a log. Those that have all but a report know of it too: it means nothing to an
// agent,
// and a voter that does not know of it only leads later.
func (k *worker) agree(w *world, p *proposal) {
	was := w.log
	w.log = remembered(k, k.agreed, agreeing{was, p}, func() *place { return k.search.agree(was, p) })
	if w.log == was || w.log.depth > was.depth {
		return
	}
	for i := range k.all {
		if w.voters[i].known == was.depth {
			k.learns(w, i, w.log)
		}
	}
	for i := range w.agents {
		if w.agents[i].known == was.depth {
			k.agentLearns(w, i, w.log)
		}
	}
}

// learns has a voter learn what is agreed up to a place.
func (k *worker) learns(w *world, i int, p *place) {
	v := w.voters[i]
	key := voterAsked{what: voterLearns, i: int8(i), now: w.now, sum: v.sum, councils: v.councils, p: p}
	w.voters[i] = remembered(k, k.voters, key, func() voter {
		n := v.fork()
		k.search.learns(&n, p, int(w.now))
		return n
	})
}

func (k *worker) agentLearns(w *world, i int, p *place) {
	a := &w.agents[i]
	n := remembered(k, k.learnt, agentAsked{what: agentLearns, i: int8(i), sum: a.sum, p: p}, func() agent {
		part := a.part.Fork()
		part.Learn(p.machine)
		return agent{part: part, sum: k.agentSum(part)}
	})
	a.known, a.part, a.sum = p.depth, n.part, n.sum
}

// visit looks at a state and goes on to all that can follow.
func (k *worker) visit(w *world) {
	if k.broken.Load() {
		return
	}
	if text := k.decide(w); text != "" {
		k.breach(text, k.steps)
		return
	}
	if k.set.Whole {
		n := *w
		n.forget()
		k.apart.Note(k.key(&n, false))
	} else {
		w.forget()
	}
	if !k.seen.Note(k.key(w, k.set.Whole)) {
		return
	}
	switch w.log.end {
	case policy.StatusAccepted:
		k.search.taken.Add(1)
	case policy.StatusRejected:
		k.notTaken.Add(1)
	}
	k.follow(w)
}

// then goes on with a world on which a step was taken, or leaves it to a worker that has nothing to do.
func (k *worker) then(w, n *world, t taken) {
	t.at = w.now
	k.steps = append(k.steps, t)
	if !k.jobs.Wanted() || int(w.now) >= k.set.Seconds-1 || !k.jobs.Give(job{*n, slices.Clone(k.steps)}) {
		k.visit(n)
	}
	k.steps = k.steps[:len(k.steps)-1]
}

func (k *worker) follow(w *world) {
	if w.pending != nil {
		n := *w
		k.agree(&n, w.pending)
		n.pending = nil
		k.then(w, &n, taken{what: agreedLate})
	}
	for v := range k.all {
		k.followVoter(w, v)
	}
	for a := range w.agents {
		k.followAgent(w, a)
	}
	if int(w.now) < k.set.Seconds {
		n := *w
		k.pass(&n)
		k.then(w, &n, taken{what: passes})
	} else if !k.ends(w) {
		k.breach("the change has neither the one end nor the other", k.steps)
	}
}

// pass has a second pass, and forgets what has no meaning any more.
func (k *worker) pass(w *world) {
	w.now++
	w.before = w.log.depth
	for i := range w.agents {
		a := &w.agents[i]
		a.keep(func(g grant) bool { return w.now-g.asked < length })
	}
	for i := range k.all {
		v := w.voters[i]
		key := voterAsked{
			what: passes, i: int8(i), now: w.now, sum: v.sum, councils: v.councils,
			p: w.log.up(v.known),
		}
		w.voters[i] = remembered(k, k.voters, key, func() voter {
			n := v
			k.sums(&n, int(w.now))
			return n
		})
	}
}

// keep keeps some of the leases.
func (a *agent) keep(some func(grant) bool) {
	count := int8(0)
	for _, g := range a.grants[:a.count] {
		if some(g) {
			a.grants[count] = g
			count++
		}
	}
	clear(a.grants[count:])
	a.count = count
}

// known is what a lease covers that is known already.
const known = -1

// forget leaves out leases for which another stands, that was asked for as late and covers no more.
func (w *world) forget() {
	for i := range w.agents {
		a := &w.agents[i]
		for j := range a.grants[:a.count] {
			if g := &a.grants[j]; a.known >= g.covers {
				g.covers = known
			}
		}
		all := a.grants[:a.count]
		slices.SortFunc(all, func(x, y grant) int { return int(x.asked-y.asked)*100 + int(y.covers-x.covers) })
		for j := int8(0); j < a.count; j++ {
			g := a.grants[j]
			stands := func(o grant) bool { return o.covers <= g.covers }
			if slices.ContainsFunc(a.grants[j+1:a.count], stands) {
				copy(a.grants[j:], a.grants[j+1:])
				a.count--
				j--
			}
		}
		clear(a.grants[a.count:])
	}
}

func (k *worker) followVoter(w *world, i int) {
	v := w.voters[i]
	who := taken{who: int8(i)}
	if w.restarts > 0 {
		n, p := *w, w.log.up(v.known)
		n.restarts--
		key := voterAsked{what: voterBegins, i: int8(i), now: w.now, p: p}
		n.voters[i] = remembered(k, k.voters, key, func() voter {
			return k.beginsAnew(i, p, int(w.now))
		})
		who.what = voterBegins
		k.then(w, &n, who)
	}
	if v.known < w.log.depth {
		n := *w
		k.learns(&n, i, w.log.up(v.known+1))
		who.what = voterLearns
		k.then(w, &n, who)
	}
	k.propose(w, i, reports)
	k.propose(w, i, leads)
}

// propose has what a voter proposes be agreed at once: what it reports stays true, so later is as if it had
// been said later. A postponement names a time, and may come late.
func (k *worker) propose(w *world, i int, what what) {
	v, n := w.voters[i], *w
	key := voterAsked{what: what, i: int8(i), now: w.now, sum: v.sum, councils: v.councils, p: w.log.up(v.known)}
	ask := func() []*proposal { return k.due(v, int(w.now), what == leads) }
	for _, p := range remembered(k, k.records, key, ask) {
		if !p.postpones {
			k.agree(&n, p)
		} else if n.later > 0 {
			n.pending, n.later = p, n.later-1
		}
	}
	if n.log != w.log || n.pending != w.pending {
		k.then(w, &n, taken{who: int8(i), what: what})
	}
}

func (k *worker) followAgent(w *world, i int) {
	a := w.agents[i]
	if a.known < w.log.depth {
		n := *w
		k.agentLearns(&n, i, w.log.up(a.known+1))
		k.then(w, &n, taken{who: int8(i), what: agentLearns})
	}
	for v := range k.all {
		if w.grants > 0 && w.voters[v].known >= w.before {
			k.grant(w, i, v)
		}
		if k.set.Without != "decline" {
			k.tells(w, i, v)
		}
	}
	if w.restarts > 0 {
		n, p := *w, w.log.up(a.known)
		n.restarts--
		n.agents[i] = remembered(k, k.learnt, agentAsked{what: agentBegins, i: int8(i), p: p}, func() agent {
			return k.newAgent(i, p, 0)
		})
		n.agents[i].life = a.life + 1
		k.then(w, &n, taken{who: int8(i), what: agentBegins})
	}
}

func (k *worker) meeting(w *world, i, v int, what what) meeting {
	vo, a := &w.voters[v], &w.agents[i]
	return meeting{
		what: what, voter: vo.sum, councils: vo.councils, p: w.log.up(vo.known),
		v: int8(v), i: int8(i), life: a.life,
		now: w.now, agent: a.sum,
	}
}

func (k *worker) tells(w *world, i, v int) {
	h := remembered(k, k.met, k.meeting(w, i, v, told), func() hears {
		return k.hears(w.voters[v], i, w.agents[i], int(w.now))
	})
	if h.changed {
		n := *w
		n.voters[v] = h.voter
		k.then(w, &n, taken{who: int8(i), other: int8(v), what: told})
	}
}

// grant is what package lease does: what the voter was told by the leader may be a second old, and it has all
// that was agreed then; the lease counts from when it was asked for. It is asked for and granted in one step:
// one that was longer on its way is shorter, and its note older.
func (k *worker) grant(w *world, i, v int) {
	m := k.meeting(w, i, v, grants)
	h := remembered(k, k.met, m, func() hears { return k.asked(w.voters[v], m.p, i, w.agents[i], int(w.now)) })
	if !h.granted {
		return
	}
	n := *w
	n.grants--
	n.voters[v] = h.voter
	a := &n.agents[i]
	a.keep(func(g grant) bool { return g.covers < n.before })
	a.grants[a.count] = grant{n.now, n.before}
	a.count++
	k.then(w, &n, taken{who: int8(i), other: int8(v), what: grants})
}

// decide has each agent make a decision, and tells what is wrong with it.
func (k *worker) decide(w *world) string {
	for i := range w.agents {
		a := &w.agents[i]
		standing := lease.New
		for _, g := range a.grants[:a.count] {
			if w.now-g.asked < length && a.known >= g.covers {
				standing = lease.Full
			}
		}
		key := agentAsked{
			what: passes, i: int8(i), now: w.now, standing: standing, sum: a.sum,
			p: w.log.up(a.known),
		}
		d := remembered(k, k.decided, key, func() decided { return k.decides(*a, int(w.now), standing) })
		a.part, a.sum = d.after.part, d.after.sum
		switch {
		case d.how != policy.ModeFull:
		case d.version < w.acted:
			return fmt.Sprintf("agent %d acts on version %d after another acted on %d", i, d.version, w.acted)
		case uint64(d.version) > w.log.machine.State().InForce.Number:
			return fmt.Sprintf("agent %d acts on version %d, which was never activated", i, d.version)
		default:
			w.acted = d.version
		}
	}
	return ""
}

func (k *worker) ends(w *world) bool {
	v := w.voters[0]
	key := voterAsked{known: v.known, now: w.now, sum: v.sum, councils: v.councils, p: w.log}
	return !w.log.open || remembered(k, k.ended, key, func() bool { return k.search.ends(v, w.log, int(w.now)) })
}

// key is a hash of the state. Once the change has come to its end, what voters know of leases and for how
// long
// they have known of it can't matter any more, as reports and decisions are about an open one.
func (k *worker) key(w *world, whole bool) uint64 {
	b := make([]byte, 0, 160)
	b = binary.LittleEndian.AppendUint16(b, w.log.id)
	pending := uint16(0)
	if w.pending != nil {
		pending = w.pending.id
	}
	b = binary.LittleEndian.AppendUint16(b, pending)
	b = append(b, byte(w.now), byte(w.acted), byte(w.grants), byte(w.restarts), byte(w.later), byte(w.before))
	for i := range w.agents {
		a := &w.agents[i]
		b = append(b, byte(a.known), byte(a.life), byte(a.count))
		for _, g := range a.grants[:a.count] {
			b = append(b, byte(g.asked), byte(g.covers))
		}
		b = binary.LittleEndian.AppendUint64(b, a.sum)
	}
	for i := range k.all {
		v := &w.voters[i]
		b = append(b, byte(v.known))
		if whole || w.log.open {
			b = binary.LittleEndian.AppendUint64(b, v.sum)
			b = binary.LittleEndian.AppendUint64(b, v.councils)
		}
	}
	return maphash.Bytes(k.seed, b)
}
