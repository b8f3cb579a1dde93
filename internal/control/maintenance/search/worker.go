package search

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"math"
	"slices"

	"dunestep/internal/control/maintenance"
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
	at, who int8
	what    what
}

type what uint8

const (
	agreedLate what = iota
	begins
	learns
	leadsOn
	troubled
	proposed
	agentLearns
	granted
	passes
)

func (t taken) String() string {
	text := [...]string{
		"it is agreed late that it is free", "voter %d begins anew", "voter %d learns a record",
		"voter %d leads", "voter %d leads, and sees trouble", "voter %d proposes that it is free",
		"agent %d learns a record", "agent %d is granted a lease", "time passes",
	}[t.what]
	if bytes.ContainsRune([]byte(text), '%') {
		text = fmt.Sprintf(text, t.who)
	}
	return fmt.Sprintf("%d: %s", t.at, text)
}

// worker has what it has asked parts for.
type worker struct {
	*search
	jobs   *modelcheck.Jobs[job]
	steps  []taken
	agreed map[agreeing]*place
	learnt map[learning]voter
	led    map[leading]led
	passed map[passing]sums
	kept   map[keeping]kept
}

type agreeing struct {
	last *place
	p    *proposal
}

type learning struct {
	sum uint64
	p   *place
	at  int8
}

type leading struct {
	sum     uint64
	p       *place
	at      int8
	trouble bool
}

type passing struct {
	sum uint64
	p   *place
	at  int8
}

type keeping struct {
	p        *place
	at       int8
	standing lease.Standing
	how      policy.Mode
}

// kept is what an agent keeps off.
type kept struct {
	below uint32
	turn  bool
}

func newWorker(s *search, jobs *modelcheck.Jobs[job]) *worker {
	return &worker{
		search: s, jobs: jobs, agreed: map[agreeing]*place{}, learnt: map[learning]voter{},
		led:    map[leading]led{},
		passed: map[passing]sums{}, kept: map[keeping]kept{},
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

func (k *worker) agree(w *world, p *proposal) {
	w.log = remembered(k, k.agreed, agreeing{w.log, p}, func() *place { return k.search.agree(w.log, p) })
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
		k.forget(&n)
		k.apart.Note(k.key(&n, false))
	} else {
		k.forget(w)
	}
	if !k.seen.Note(k.key(w, k.set.Whole)) {
		return
	}
	if w.log.state == maintenance.Free && w.now < back {
		k.free.Add(1)
	}
	k.follow(w)
}

// sum tells what a council does from what others do.
func (k *worker) sum(v *voter) uint64 {
	if k.set.Whole {
		return v.sums[maintenance.Everything]
	}
	return v.sums[maintenance.Alive]
}

// forget leaves out what cannot matter any more: of leases, those for which another stands; where the window
// returns, is over or past Back, what voters have seen, as all that they can still propose is that it has
// ended, and each can have learnt by then what there is to know.
func (k *worker) forget(w *world) {
	for i := range w.agents[:k.set.Agents] {
		w.agents[i].forget()
	}
	state := w.log.state
	returns := state == maintenance.Returning || state == maintenance.Ended || state == maintenance.Stopped
	if !returns && w.now < back {
		return
	}
	w.troubles, w.restarts, w.sent = 0, 0, never
	if returns {
		w.pending = nil
	}
	for i := range w.voters[:k.set.Voters] {
		w.voters[i] = k.beginsAnew(w, voter{known: w.log.depth})
	}
}

// known is what a lease covers that is known already.
const known = -1

// forget keeps the newest lease of those that cover the same.
func (a *agent) forget() {
	count := int8(0)
	for _, g := range a.grants[:a.count] {
		if g = a.as(g); count > 0 && a.grants[count-1].covers == g.covers {
			count--
		}
		a.grants[count] = g
		count++
	}
	clear(a.grants[count:])
	a.count = count
}

func (a *agent) as(g grant) grant {
	if a.known >= g.covers {
		g.covers = known
	}
	return g
}

// then goes on with a world on which a step was taken, or leaves it to a worker that has nothing to do.
func (k *worker) then(w *world, n *world, who int, what what) {
	k.steps = append(k.steps, taken{w.now, int8(who), what})
	if !k.jobs.Wanted() || w.now >= end-2 || !k.jobs.Give(job{*n, slices.Clone(k.steps)}) {
		k.visit(n)
	}
	k.steps = k.steps[:len(k.steps)-1]
}

func (k *worker) follow(w *world) {
	if w.pending != nil {
		n := *w
		k.agree(&n, w.pending)
		n.pending = nil
		k.then(w, &n, 0, agreedLate)
	}
	for v := range k.set.Voters {
		k.followVoter(w, v)
	}
	for a := range k.set.Agents {
		k.followAgent(w, a)
	}
	if w.now < end {
		n := *w
		k.pass(&n)
		k.then(w, &n, 0, passes)
	}
}

// pass has a step of time pass, and forgets what has no meaning any more.
func (k *worker) pass(w *world) {
	w.now++
	w.before = w.log.depth
	for i := range w.agents[:k.set.Agents] {
		a := &w.agents[i]
		count := int8(0)
		for _, g := range a.grants[:a.count] {
			if w.now-g.asked < length {
				a.grants[count] = g
				count++
			}
		}
		a.count = count
	}
	for i := range w.voters[:k.set.Voters] {
		v := &w.voters[i]
		v.sums = remembered(k, k.passed, passing{k.sum(v), w.log.up(v.known), w.now}, func() sums {
			return k.sums(v.council, int(w.now))
		})
	}
}

func (k *worker) followVoter(w *world, i int) {
	v := w.voters[i]
	if w.restarts > 0 {
		n := *w
		n.restarts--
		n.voters[i] = k.beginsAnew(w, v)
		k.then(w, &n, i, begins)
	}
	if v.known < w.log.depth {
		n, p := *w, w.log.up(v.known+1)
		n.voters[i] = remembered(k, k.learnt, learning{k.sum(&v), p, w.now}, func() voter {
			return k.learns(v.council, p, int(w.now), int(w.now))
		})
		k.then(w, &n, i, learns)
	}
	k.leads(w, i, leadsOn)
	if w.troubles > 0 {
		k.leads(w, i, troubled)
	}
}

func (k *worker) beginsAnew(w *world, v voter) voter {
	at := int(w.now)
	if k.set.Without == "begin" {
		at -= most
	}
	p := w.log.up(v.known)
	return remembered(k, k.learnt, learning{0, p, w.now}, func() voter {
		return k.learns(maintenance.NewProposer(k.council()), p, at, int(w.now))
	})
}

// leads has what a council proposes be agreed at once; that the window is free, late as well.
func (k *worker) leads(w *world, i int, how what) {
	v, n := w.voters[i], *w
	if how == troubled {
		n.troubles--
	}
	l := remembered(k, k.led, leading{k.sum(&v), w.log.up(v.known), w.now, how == troubled}, func() led {
		return k.search.leads(v.council, int(w.now), how == troubled)
	})
	n.voters[i].council, n.voters[i].sums = l.council, l.sums
	for _, p := range l.records {
		if p.frees && n.pending == nil && k.set.Troubles > 0 {
			m := n
			m.pending = p
			k.then(w, &m, i, proposed)
		}
		k.agree(&n, p)
	}
	if l.changed || n.log != w.log {
		k.then(w, &n, i, how)
	}
}

func (k *worker) followAgent(w *world, i int) {
	if w.agents[i].known < w.log.depth {
		n := *w
		n.agents[i].known++
		k.then(w, &n, i, agentLearns)
	}
	a, g := &w.agents[i], grant{w.now, w.before}
	if !k.set.Whole {
		g = a.as(g)
	}
	if a.left > 0 && a.count < mostGrants && !slices.Contains(a.grants[:a.count], g) {
		n := *w
		b := &n.agents[i]
		b.left--
		b.grants[b.count] = g
		b.count++
		k.then(w, &n, i, granted)
	}
}

// how is how an agent acts now.
func (w *world) how(a *agent) policy.Mode {
	for _, g := range a.grants[:a.count] {
		if w.now-g.asked < length && a.known >= g.covers {
			a.last = w.now
			return policy.ModeFull
		}
	}
	if a.last != never && w.now-a.last < floor {
		return policy.ModeFloor
	}
	return policy.ModeBottom
}

// decide has each agent send a request, and tells what is wrong with it.
func (k *worker) decide(w *world) string {
	for i := range w.agents[:k.set.Agents] {
		a := &w.agents[i]
		how := w.how(a)
		p, off := w.log.up(a.known), kept{}
		if p.part != nil || how == policy.ModeBottom {
			off = k.keepsOff(w, a, p, how)
		}
		if text := k.sends(w, i, off); text != "" {
			return text
		}
	}
	if w.log.state == maintenance.Free && w.now < back && w.now < w.sent+lingers {
		return fmt.Sprintf("what was sent at %d arrives while the node is free", w.sent)
	}
	return ""
}

// keepsOff is what an agent keeps off, as the protections leave it.
func (k *worker) keepsOff(w *world, a *agent, p *place, how policy.Mode) kept {
	at := w.now
	switch {
	case k.set.Without == "own clock":
		at = max(a.last, from-1)
	case k.set.Without == "early return" && at >= back && at < to+to-back:
		at -= to - back
	}
	standing := lease.Floor
	if how == policy.ModeFull {
		standing = lease.Full
	} else if a.last == never {
		standing = lease.New
	}
	return remembered(k, k.kept, keeping{p, at, standing, how}, func() kept {
		part := p.part
		if part == nil {
			part = k.part(k.root.machine)
		}
		avoid := part.Exclusions(reading(int(at)), standing, k.acting[how])
		if avoid == nil {
			return kept{}
		}
		return kept{avoid.Tenants["east"]["n"], avoid.AllTenants != nil && avoid.AllTenants("n", "")}
	})
}

// sends has an agent send a request of a key that is moved last, unless it keeps off the node, and one of a
// key that is moved first.
func (k *worker) sends(w *world, i int, off kept) string {
	if off.below > 0 && (w.now < from || w.now >= to) {
		return fmt.Sprintf("agent %d keeps off the node outside the window's time", i)
	}
	if off.below == math.MaxUint32 || off.turn {
		return ""
	}
	if w.now < back && w.log.state == maintenance.Free {
		return fmt.Sprintf("agent %d sends to the node while it is free", i)
	}
	w.sent = w.now
	return ""
}

// sum tells a council from others that may do another thing some time.
func (v *voter) sum(w *world, whole bool) uint64 {
	lags := v.known < w.log.depth
	switch {
	case whole:
		return v.sums[maintenance.Everything]
	case w.troubles > 0 && lags:
		return v.sums[maintenance.Lagging]
	case w.troubles > 0:
		return v.sums[maintenance.Alive]
	case lags && w.log.state == maintenance.Paused:
		return v.sums[maintenance.QuietLagging]
	case lags:
		return 0
	}
	return v.sums[maintenance.Quiet]
}

// key is a hash of the state. Agents, and voters, that have changed places are the same.
func (k *worker) key(w *world, whole bool) uint64 {
	b := make([]byte, 0, 128)
	b = binary.LittleEndian.AppendUint16(b, w.log.id)
	pending := uint16(0)
	if w.pending != nil {
		pending = w.pending.id
	}
	b = binary.LittleEndian.AppendUint16(b, pending)
	b = append(b, byte(w.now), byte(w.before), byte(w.troubles), byte(w.restarts),
		byte(min(w.now-w.sent, lingers)))
	var agents [mostAgents][4 + 2*mostGrants]byte
	for i, a := range w.agents[:k.set.Agents] {
		last := byte(min(int(w.now)-int(a.last), floor))
		if k.set.Without == "own clock" {
			last = byte(a.last)
		}
		e := append(agents[i][:0], byte(a.known), byte(a.left), last, byte(a.count))
		for _, g := range a.grants[:a.count] {
			e = append(e, byte(g.asked), byte(g.covers))
		}
	}
	each := agents[:k.set.Agents]
	slices.SortFunc(each, func(x, y [4 + 2*mostGrants]byte) int { return bytes.Compare(x[:], y[:]) })
	for i := range each {
		b = append(b, each[i][:]...)
	}
	var voters [mostVoters][9]byte
	for i, v := range w.voters[:k.set.Voters] {
		binary.LittleEndian.PutUint64(append(voters[i][:0], byte(v.known))[1:9], v.sum(w, whole))
	}
	all := voters[:k.set.Voters]
	slices.SortFunc(all, func(x, y [9]byte) int { return bytes.Compare(x[:], y[:]) })
	for i := range all {
		b = append(b, all[i][:]...)
	}
	return maphash.Bytes(k.seed, b)
}
