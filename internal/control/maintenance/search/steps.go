package search

import (
	"bytes"
	"fmt"
	"slices"

	"dunestep/internal/control/maintenance"
)

// takenStep is a step that was taken.
type takenStep struct {
	at, node int8
	kind     stepKind
}

// stepKind is what may happen in a state.
type stepKind uint8

const (
	freeAgreedLate stepKind = iota
	voterRestarts
	voterLearns
	voterLeads
	voterSeesFault
	freeProposed
	agentLearns
	leaseGranted
	stepPasses
)

func (t takenStep) String() string {
	text := [...]string{
		"it is agreed late that the server is free", "voter %d is restarted", "voter %d learns a record",
		"voter %d leads", "voter %d leads, and sees a fault", "voter %d proposes that the server is free",
		"agent %d learns a record", "agent %d is granted a lease", "time passes",
	}[t.kind]
	if bytes.ContainsRune([]byte(text), '%') {
		text = fmt.Sprintf(text, t.node)
	}
	return fmt.Sprintf("%d: %s", t.at, text)
}

// takeStep goes on with the world after a step, or leaves it to a worker that has nothing to do.
func (k *worker) takeStep(w *world, n *world, who int, kind stepKind) {
	k.steps = append(k.steps, takenStep{w.now, int8(who), kind})
	if !k.jobs.HasIdleWorker() || w.now >= lastStep-2 || !k.jobs.Offer(job{*n, slices.Clone(k.steps)}) {
		k.visit(n)
	}
	k.steps = k.steps[:len(k.steps)-1]
}

// takeAllSteps takes each step that is possible in a state.
func (k *worker) takeAllSteps(w *world) {
	if w.pending != nil {
		n := *w
		k.appendRecord(&n, w.pending)
		n.pending = nil
		k.takeStep(w, &n, 0, freeAgreedLate)
	}
	for v := range k.setup.Voters {
		k.takeVoterSteps(w, v)
	}
	for a := range k.setup.Agents {
		k.takeAgentSteps(w, a)
	}
	if w.now < lastStep {
		n := *w
		k.passStep(&n)
		k.takeStep(w, &n, 0, stepPasses)
	}
}

// passStep has a step of time pass, and drops leases that have expired.
func (k *worker) passStep(w *world) {
	w.now++
	w.knownAStepAgo = w.log.depth
	for i := range w.agents[:k.setup.Agents] {
		a := &w.agents[i]
		count := int8(0)
		for _, g := range a.grants[:a.grantCount] {
			if w.now-g.requestedAt < leaseLength {
				a.grants[count] = g
				count++
			}
		}
		a.grantCount = count
	}
	for i := range w.voters[:k.setup.Voters] {
		v := &w.voters[i]
		key := passKey{k.fingerprint(v), w.log.at(v.known), w.now}
		v.fingerprints = cached(k, k.fingerprintResults, key, func() fingerprints {
			return k.fingerprintsOf(v.proposer, int(w.now))
		})
	}
}

// takeVoterSteps takes each step of a voter.
func (k *worker) takeVoterSteps(w *world, i int) {
	v := w.voters[i]
	if w.restarts > 0 {
		n := *w
		n.restarts--
		n.voters[i] = k.restartVoter(w, v)
		k.takeStep(w, &n, i, voterRestarts)
	}
	if v.known < w.log.depth {
		n, p := *w, w.log.at(v.known+1)
		n.voters[i] = cached(k, k.voterResults, learnKey{k.fingerprint(&v), p, w.now}, func() voter {
			return k.learn(v.proposer, p, int(w.now), int(w.now))
		})
		k.takeStep(w, &n, i, voterLearns)
	}
	k.leadOnce(w, i, voterLeads)
	if w.faults > 0 {
		k.leadOnce(w, i, voterSeesFault)
	}
}

// restartVoter is a voter whose process has just started, and that knows the same records.
func (k *worker) restartVoter(w *world, v voter) voter {
	at := int(w.now)
	if k.setup.Without == "begin" {
		at -= maxAge
	}
	p := w.log.at(v.known)
	return cached(k, k.voterResults, learnKey{0, p, w.now}, func() voter {
		return k.learn(maintenance.NewProposer(k.proposerSettings()), p, at, int(w.now))
	})
}

// leadOnce has what a proposer proposes be agreed at once; that the servers are free, late as well.
func (k *worker) leadOnce(w *world, i int, kind stepKind) {
	v, n := w.voters[i], *w
	if kind == voterSeesFault {
		n.faults--
	}
	key := leadKey{k.fingerprint(&v), w.log.at(v.known), w.now, kind}
	l := cached(k, k.leaderResults, key, func() leaderResult {
		return k.lead(v.proposer, int(w.now), kind)
	})
	n.voters[i].proposer, n.voters[i].fingerprints = l.proposer, l.fingerprints
	for _, p := range l.records {
		if p.declaresFree && n.pending == nil && k.setup.Faults > 0 {
			m := n
			m.pending = p
			k.takeStep(w, &m, i, freeProposed)
		}
		k.appendRecord(&n, p)
	}
	if l.changed || n.log != w.log {
		k.takeStep(w, &n, i, kind)
	}
}

// takeAgentSteps takes each step of an agent.
func (k *worker) takeAgentSteps(w *world, i int) {
	if w.agents[i].known < w.log.depth {
		n := *w
		n.agents[i].known++
		k.takeStep(w, &n, i, agentLearns)
	}
	a, g := &w.agents[i], leaseGrant{w.now, w.knownAStepAgo}
	if !k.setup.Exhaustive {
		g = a.withKnown(g)
	}
	if a.grantsLeft > 0 && a.grantCount < maxGrants && !slices.Contains(a.grants[:a.grantCount], g) {
		n := *w
		b := &n.agents[i]
		b.grantsLeft--
		b.grants[b.grantCount] = g
		b.grantCount++
		k.takeStep(w, &n, i, leaseGranted)
	}
}
