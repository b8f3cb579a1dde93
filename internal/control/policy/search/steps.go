package search

import (
	"fmt"
	"slices"
)

// step is a step that was taken.
type step struct {
	at, node, other int8
	kind            stepKind
}

// stepKind is what may happen in a state.
type stepKind uint8

const (
	postponementAgreed stepKind = iota
	voterRestarts
	voterLearns
	voterReports
	voterLeads
	agentLearns
	leaseGranted
	answerReceived
	agentRestarts
	secondPasses
)

func (t step) String() string {
	text := [...]string{
		"a postponement is agreed", "voter %d is restarted", "voter %d learns a record",
		"voter %d reports",
		"voter %d leads", "agent %d learns a record", "agent %d is granted a lease by voter %d",
		"agent %d has its answer received by voter %d",
		"agent %d is restarted", "a second passes",
	}[t.kind]
	switch t.kind {
	case postponementAgreed, secondPasses:
	case leaseGranted, answerReceived:
		text = fmt.Sprintf(text, t.node, t.other)
	default:
		text = fmt.Sprintf(text, t.node)
	}
	return fmt.Sprintf("%d s: %s", t.at, text)
}

// takeStep goes on with the world after a step, or leaves it to a worker that has nothing to do.
func (k *worker) takeStep(w, n *world, t step) {
	t.at = w.now
	k.steps = append(k.steps, t)
	if !k.jobs.HasIdleWorker() || int(w.now) >= k.setup.Seconds-1 ||
		!k.jobs.Offer(job{*n, slices.Clone(k.steps)}) {
		k.visit(n)
	}
	k.steps = k.steps[:len(k.steps)-1]
}

func (k *worker) takeAllSteps(w *world) {
	if w.pending != nil {
		n := *w
		k.appendRecord(&n, w.pending)
		n.pending = nil
		k.takeStep(w, &n, step{kind: postponementAgreed})
	}
	for v := range k.voterNumbers {
		k.takeVoterSteps(w, v)
	}
	for a := range w.agents {
		k.takeAgentSteps(w, a)
	}
	if int(w.now) < k.setup.Seconds {
		n := *w
		k.passSecond(&n)
		k.takeStep(w, &n, step{kind: secondPasses})
	} else if !k.checkEnd(w) {
		k.addViolation("the change is neither activated nor abandoned", k.steps)
	}
}

// passSecond has a second pass, and drops leases that have expired.
func (k *worker) passSecond(w *world) {
	w.now++
	w.knownASecondAgo = w.log.depth
	for i := range w.agents {
		a := &w.agents[i]
		a.keepGrants(func(g leaseGrant) bool { return w.now-g.requestedAt < leaseSeconds })
	}
	for i := range k.voterNumbers {
		v := w.voters[i]
		key := voterKey{
			kind: secondPasses, i: int8(i), now: w.now, fingerprint: v.fingerprint,
			proposerFingerprint: v.proposerFingerprint,
			p:                   w.log.at(v.known),
		}
		w.voters[i] = cached(k, k.voterResults, key, func() voter {
			n := v
			k.updateFingerprints(&n, int(w.now))
			return n
		})
	}
}

func (k *worker) takeVoterSteps(w *world, i int) {
	v := w.voters[i]
	who := step{node: int8(i)}
	if w.restarts > 0 {
		n, p := *w, w.log.at(v.known)
		n.restarts--
		key := voterKey{kind: voterRestarts, i: int8(i), now: w.now, p: p}
		n.voters[i] = cached(k, k.voterResults, key, func() voter {
			return k.restartVoter(i, p, int(w.now))
		})
		who.kind = voterRestarts
		k.takeStep(w, &n, who)
	}
	if v.known < w.log.depth {
		n := *w
		k.learnVoter(&n, i, w.log.at(v.known+1))
		who.kind = voterLearns
		k.takeStep(w, &n, who)
	}
	k.propose(w, i, voterReports)
	k.propose(w, i, voterLeads)
}

// propose has what a voter proposes be agreed at once: what it reports stays true, so an agreement later is
// the same as a proposal later. A postponement names a time, and may be agreed late.
func (k *worker) propose(w *world, i int, kind stepKind) {
	v, n := w.voters[i], *w
	key := voterKey{
		kind: kind, i: int8(i), now: w.now, fingerprint: v.fingerprint,
		proposerFingerprint: v.proposerFingerprint, p: w.log.at(v.known),
	}
	ask := func() []*proposal { return k.due(v, int(w.now), kind) }
	for _, p := range cached(k, k.recordResults, key, ask) {
		if !p.isPostponement {
			k.appendRecord(&n, p)
		} else if n.postponements > 0 {
			n.pending, n.postponements = p, n.postponements-1
		}
	}
	if n.log != w.log || n.pending != w.pending {
		k.takeStep(w, &n, step{node: int8(i), kind: kind})
	}
}

func (k *worker) takeAgentSteps(w *world, i int) {
	a := w.agents[i]
	if a.known < w.log.depth {
		n := *w
		k.learnAgent(&n, i, w.log.at(a.known+1))
		k.takeStep(w, &n, step{node: int8(i), kind: agentLearns})
	}
	for v := range k.voterNumbers {
		if w.grants > 0 && w.voters[v].known >= w.knownASecondAgo {
			k.grant(w, i, v)
		}
		if k.setup.Without != "decline" {
			k.sendAnswer(w, i, v)
		}
	}
	if w.restarts > 0 {
		n, p := *w, w.log.at(a.known)
		n.restarts--
		n.agents[i] = cached(k, k.agentResults, agentKey{kind: agentRestarts, i: int8(i), p: p}, func() agent {
			return k.newAgent(i, p, 0)
		})
		n.agents[i].incarnation = a.incarnation + 1
		k.takeStep(w, &n, step{node: int8(i), kind: agentRestarts})
	}
}

func (k *worker) sendAnswer(w *world, i, v int) {
	h := cached(k, k.replyResults, k.replyKey(w, i, v, answerReceived), func() voterReply {
		return k.receiveAnswer(w.voters[v], i, w.agents[i], int(w.now))
	})
	if h.changed {
		n := *w
		n.voters[v] = h.voter
		k.takeStep(w, &n, step{node: int8(i), other: int8(v), kind: answerReceived})
	}
}

// grant grants a lease as package lease does: what the voter has learnt from the leader may be a second old,
// and it has all that was agreed then; the lease counts from when it was requested. It is requested and
// granted in one step: one that took longer is shorter, and its answer older.
func (k *worker) grant(w *world, i, v int) {
	m := k.replyKey(w, i, v, leaseGranted)
	h := cached(k, k.replyResults, m, func() voterReply {
		return k.requestLease(w.voters[v], m.p, i, w.agents[i], int(w.now))
	})
	if !h.granted {
		return
	}
	n := *w
	n.grants--
	n.voters[v] = h.voter
	a := &n.agents[i]
	a.keepGrants(func(g leaseGrant) bool { return g.covers < n.knownASecondAgo })
	a.grants[a.grantCount] = leaseGrant{n.now, n.knownASecondAgo}
	a.grantCount++
	k.takeStep(w, &n, step{node: int8(i), other: int8(v), kind: leaseGranted})
}
