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

// detail is how much a hash distinguishes.
type detail uint8

const (
	effectiveOnly detail = iota // what still has an effect
	everything
)

// job is a state from which a worker continues.
type job struct {
	world world
	steps []step
}

// worker caches what parts do: for the same key it is the same.
type worker struct {
	*search
	jobs            *modelcheck.JobQueue[job]
	steps           []step
	positions       map[positionKey]*logPosition
	voterResults    map[voterKey]voter
	recordResults   map[voterKey][]*proposal
	replyResults    map[replyKey]voterReply
	agentResults    map[agentKey]agent
	decisionResults map[agentKey]decision
	endResults      map[voterKey]bool
}

// positionKey is a record that is added to a log.
type positionKey struct {
	last *logPosition
	p    *proposal
}

// voterKey is what a voter is to do, and everything that the result depends on.
type voterKey struct {
	kind                             stepKind
	i, now, known                    int8
	fingerprint, proposerFingerprint uint64
	p                                *logPosition
}

// replyKey is a voter's reply to an agent, and everything that it depends on.
type replyKey struct {
	kind                   stepKind
	voter                  uint64
	p                      *logPosition
	v, i, incarnation, now int8
	agent                  uint64
	proposerFingerprint    uint64
}

// agentKey is what an agent is to do, and everything that the result depends on.
type agentKey struct {
	kind        stepKind
	i, now      int8
	standing    lease.Standing
	fingerprint uint64
	p           *logPosition
}

func newWorker(s *search, jobs *modelcheck.JobQueue[job]) *worker {
	return &worker{
		search: s, jobs: jobs, positions: map[positionKey]*logPosition{}, voterResults: map[voterKey]voter{},
		recordResults: map[voterKey][]*proposal{}, replyResults: map[replyKey]voterReply{},
		agentResults:    map[agentKey]agent{},
		decisionResults: map[agentKey]decision{}, endResults: map[voterKey]bool{},
	}
}

// cached is the cached result of a key, or calls do for it.
func cached[K comparable, V any](k *worker, m map[K]V, key K, do func() V) V {
	v, found := m[key]
	if !found {
		k.Lock()
		v = do()
		k.Unlock()
		m[key] = v
	}
	return v
}

// appendRecord adds a record to a world's log. Parts that know everything but a report learn of the report
// too: it has no effect on an agent, and a voter that does not know of it only leads later.
func (k *worker) appendRecord(w *world, p *proposal) {
	before := w.log
	w.log = cached(k, k.positions, positionKey{before, p}, func() *logPosition {
		return k.search.appendRecord(before, p)
	})
	if w.log == before || w.log.depth > before.depth {
		return
	}
	for i := range k.voterNumbers {
		if w.voters[i].known == before.depth {
			k.learnVoter(w, i, w.log)
		}
	}
	for i := range w.agents {
		if w.agents[i].known == before.depth {
			k.learnAgent(w, i, w.log)
		}
	}
}

// learnVoter has a voter learn the agreed state up to a position.
func (k *worker) learnVoter(w *world, i int, p *logPosition) {
	v := w.voters[i]
	key := voterKey{
		kind: voterLearns, i: int8(i), now: w.now, fingerprint: v.fingerprint,
		proposerFingerprint: v.proposerFingerprint, p: p,
	}
	w.voters[i] = cached(k, k.voterResults, key, func() voter {
		n := v.fork()
		k.learn(&n, p, int(w.now))
		return n
	})
}

func (k *worker) learnAgent(w *world, i int, p *logPosition) {
	a := &w.agents[i]
	key := agentKey{kind: agentLearns, i: int8(i), fingerprint: a.fingerprint, p: p}
	n := cached(k, k.agentResults, key, func() agent {
		part := a.agent.Fork()
		part.Learn(p.stateMachine)
		return agent{agent: part, fingerprint: k.agentFingerprint(part)}
	})
	a.known, a.agent, a.fingerprint = p.depth, n.agent, n.fingerprint
}

// visit checks a state, and goes on to all states that can follow.
func (k *worker) visit(w *world) {
	if k.violated.Load() {
		return
	}
	if text := k.checkDecisions(w); text != "" {
		k.addViolation(text, k.steps)
		return
	}
	wanted := effectiveOnly
	if k.setup.Exhaustive {
		wanted = everything
		n := *w
		n.dropRedundantLeases()
		k.distinct.Add(k.hash(&n, effectiveOnly))
	} else {
		w.dropRedundantLeases()
	}
	if !k.seen.Add(k.hash(w, wanted)) {
		return
	}
	switch w.log.status {
	case policy.StatusAccepted:
		k.accepted.Add(1)
	case policy.StatusRejected:
		k.rejected.Add(1)
	}
	k.takeAllSteps(w)
}

func (k *worker) replyKey(w *world, i, v int, kind stepKind) replyKey {
	vo, a := &w.voters[v], &w.agents[i]
	return replyKey{
		kind: kind, voter: vo.fingerprint, proposerFingerprint: vo.proposerFingerprint, p: w.log.at(vo.known),
		v: int8(v), i: int8(i), incarnation: a.incarnation,
		now: w.now, agent: a.fingerprint,
	}
}

// checkDecisions has each agent make a decision, and says what is wrong with one; empty: nothing.
func (k *worker) checkDecisions(w *world) string {
	for i := range w.agents {
		a := &w.agents[i]
		standing := lease.New
		for _, g := range a.grants[:a.grantCount] {
			if w.now-g.requestedAt < leaseSeconds && a.known >= g.covers {
				standing = lease.Full
			}
		}
		key := agentKey{
			kind: secondPasses, i: int8(i), now: w.now, standing: standing, fingerprint: a.fingerprint,
			p: w.log.at(a.known),
		}
		d := cached(k, k.decisionResults, key, func() decision { return k.decide(*a, int(w.now), standing) })
		a.agent, a.fingerprint = d.after.agent, d.after.fingerprint
		switch {
		case d.mode != policy.ModeFull:
		case d.version < w.newestActedOn:
			return fmt.Sprintf("agent %d acts on version %d after another acted on %d", i, d.version, w.newestActedOn)
		case uint64(d.version) > w.log.stateMachine.State().InForce.Number:
			return fmt.Sprintf("agent %d acts on version %d, which was never activated", i, d.version)
		default:
			w.newestActedOn = d.version
		}
	}
	return ""
}

func (k *worker) checkEnd(w *world) bool {
	v := w.voters[0]
	key := voterKey{
		known: v.known, now: w.now, fingerprint: v.fingerprint,
		proposerFingerprint: v.proposerFingerprint, p: w.log,
	}
	return !w.log.open || cached(k, k.endResults, key, func() bool {
		return k.comesToAnEnd(v, w.log, int(w.now))
	})
}

// hash is a hash of the state. Once the change has come to its end, what voters know of leases and for how
// long has no effect any more, as reports and decisions are about an open change.
func (k *worker) hash(w *world, detail detail) uint64 {
	b := make([]byte, 0, 160)
	b = binary.LittleEndian.AppendUint16(b, w.log.id)
	pending := uint16(0)
	if w.pending != nil {
		pending = w.pending.id
	}
	b = binary.LittleEndian.AppendUint16(b, pending)
	b = append(b, byte(w.now), byte(w.newestActedOn), byte(w.grants), byte(w.restarts),
		byte(w.postponements), byte(w.knownASecondAgo))
	for i := range w.agents {
		a := &w.agents[i]
		b = append(b, byte(a.known), byte(a.incarnation), byte(a.grantCount))
		for _, g := range a.grants[:a.grantCount] {
			b = append(b, byte(g.requestedAt), byte(g.covers))
		}
		b = binary.LittleEndian.AppendUint64(b, a.fingerprint)
	}
	for i := range k.voterNumbers {
		v := &w.voters[i]
		b = append(b, byte(v.known))
		if detail == everything || w.log.open {
			b = binary.LittleEndian.AppendUint64(b, v.fingerprint)
			b = binary.LittleEndian.AppendUint64(b, v.proposerFingerprint)
		}
	}
	return maphash.Bytes(k.seed, b)
}

// keepGrants keeps some of the leases.
func (a *agent) keepGrants(keep func(leaseGrant) bool) {
	count := int8(0)
	for _, g := range a.grants[:a.grantCount] {
		if keep(g) {
			a.grants[count] = g
			count++
		}
	}
	clear(a.grants[count:])
	a.grantCount = count
}

// alreadyCovered stands for the records of a lease that the agent knows already.
const alreadyCovered = -1

// dropRedundantLeases drops leases beside another that was requested as late and covers no more records.
func (w *world) dropRedundantLeases() {
	for i := range w.agents {
		a := &w.agents[i]
		for j := range a.grants[:a.grantCount] {
			if g := &a.grants[j]; a.known >= g.covers {
				g.covers = alreadyCovered
			}
		}
		all := a.grants[:a.grantCount]
		slices.SortFunc(all, func(x, y leaseGrant) int {
			return int(x.requestedAt-y.requestedAt)*100 + int(y.covers-x.covers)
		})
		for j := int8(0); j < a.grantCount; j++ {
			g := a.grants[j]
			stands := func(o leaseGrant) bool { return o.covers <= g.covers }
			if slices.ContainsFunc(a.grants[j+1:a.grantCount], stands) {
				copy(a.grants[j:], a.grants[j+1:])
				a.grantCount--
				j--
			}
		}
		clear(a.grants[a.grantCount:])
	}
}
