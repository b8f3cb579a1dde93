package search

import (
	"fmt"
	"slices"
)

// step is a step that was taken, at a second, with the numbers of one node or two.
type step struct {
	at, node, other int8
	kind            stepKind
}

// stepKind is the kind of a step.
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
	timeAdvances
)

func (s step) String() string {
	text := [...]string{
		"a postponement is agreed", "voter %d is restarted", "voter %d applies a record",
		"voter %d reports",
		"voter %d leads", "agent %d applies a record", "agent %d is granted a lease by voter %d",
		"the answer of agent %d is received by voter %d",
		"agent %d is restarted", "a second passes",
	}[s.kind]
	switch s.kind {
	case postponementAgreed, timeAdvances:
	case leaseGranted, answerReceived:
		text = fmt.Sprintf(text, s.node, s.other)
	default:
		text = fmt.Sprintf(text, s.node)
	}
	return fmt.Sprintf("%d s: %s", s.at, text)
}

// exploreStep continues the search with the state next, which follows state by a step, or offers it to an
// idle worker.
func (k *worker) exploreStep(state, next *systemState, t step) {
	t.at = state.now
	k.steps = append(k.steps, t)
	if !k.jobs.HasIdleWorker() || int(state.now) >= k.setup.Seconds-1 ||
		!k.jobs.Offer(job{*next, slices.Clone(k.steps)}) {
		k.visit(next)
	}
	k.steps = k.steps[:len(k.steps)-1]
}

// exploreAllSteps explores each possible step from a state. At the last second it checks that the change can
// complete.
func (k *worker) exploreAllSteps(state *systemState) {
	if state.pendingPostponement != nil {
		next := *state
		k.appendRecord(&next, state.pendingPostponement)
		next.pendingPostponement = nil
		k.exploreStep(state, &next, step{kind: postponementAgreed})
	}
	for v := range k.voterNumbers {
		k.exploreVoterSteps(state, v)
	}
	for a := range state.agents {
		k.exploreAgentSteps(state, a)
	}
	if int(state.now) < k.setup.Seconds {
		next := *state
		k.advanceTime(&next)
		k.exploreStep(state, &next, step{kind: timeAdvances})
	} else if !k.checkCompletion(state) {
		k.addViolation("the change is neither activated nor abandoned", k.steps)
	}
}

// advanceTime advances a state by one second, and drops expired leases.
func (k *worker) advanceTime(state *systemState) {
	state.now++
	state.recordsOneSecondAgo = state.log.depth
	for i := range state.agents {
		a := &state.agents[i]
		a.keepGrants(func(g leaseGrant) bool { return state.now-g.requestedAt < leaseSeconds })
	}
	for i := range k.voterNumbers {
		v := state.voters[i]
		key := voterKey{
			kind: timeAdvances, i: int8(i), now: state.now, fingerprint: v.fingerprint,
			proposerFingerprint: v.proposerFingerprint,
			p:                   state.log.at(v.applied),
		}
		state.voters[i] = cached(k, k.voterResults, key, func() voter {
			next := v
			k.updateFingerprints(&next, int(state.now))
			return next
		})
	}
}

// exploreVoterSteps explores each possible step of a voter.
func (k *worker) exploreVoterSteps(state *systemState, i int) {
	v := state.voters[i]
	taken := step{node: int8(i)}
	if state.restarts > 0 {
		next, p := *state, state.log.at(v.applied)
		next.restarts--
		key := voterKey{kind: voterRestarts, i: int8(i), now: state.now, p: p}
		next.voters[i] = cached(k, k.voterResults, key, func() voter {
			return k.restartVoter(i, p, int(state.now))
		})
		taken.kind = voterRestarts
		k.exploreStep(state, &next, taken)
	}
	if v.applied < state.log.depth {
		next := *state
		k.learnVoter(&next, i, state.log.at(v.applied+1))
		taken.kind = voterLearns
		k.exploreStep(state, &next, taken)
	}
	k.propose(state, i, voterReports)
	k.propose(state, i, voterLeads)
}

// propose explores a voter's proposals. They are agreed at once, because reports stay true, so that a later
// agreement equals a later proposal. A postponement depends on the time at which it was proposed, so it stays
// pending and may be agreed later.
func (k *worker) propose(state *systemState, i int, kind stepKind) {
	v, next := state.voters[i], *state
	key := voterKey{
		kind: kind, i: int8(i), now: state.now, fingerprint: v.fingerprint,
		proposerFingerprint: v.proposerFingerprint, p: state.log.at(v.applied),
	}
	due := func() []*proposal { return k.due(v, int(state.now), kind) }
	for _, p := range cached(k, k.recordResults, key, due) {
		if !p.isPostponement {
			k.appendRecord(&next, p)
		} else if next.postponements > 0 {
			next.pendingPostponement, next.postponements = p, next.postponements-1
		}
	}
	if next.log != state.log || next.pendingPostponement != state.pendingPostponement {
		k.exploreStep(state, &next, step{node: int8(i), kind: kind})
	}
}

// exploreAgentSteps explores each possible step of an agent.
func (k *worker) exploreAgentSteps(state *systemState, i int) {
	a := state.agents[i]
	if a.applied < state.log.depth {
		next := *state
		k.learnAgent(&next, i, state.log.at(a.applied+1))
		k.exploreStep(state, &next, step{node: int8(i), kind: agentLearns})
	}
	for v := range k.voterNumbers {
		if state.grants > 0 && state.voters[v].applied >= state.recordsOneSecondAgo {
			k.grant(state, i, v)
		}
		if k.setup.Without != "decline" {
			k.sendAnswer(state, i, v)
		}
	}
	if state.restarts > 0 {
		next, p := *state, state.log.at(a.applied)
		next.restarts--
		next.agents[i] = cached(k, k.agentResults, agentKey{kind: agentRestarts, i: int8(i), p: p}, func() agent {
			return k.newAgent(i, p, 0)
		})
		next.agents[i].incarnation = a.incarnation + 1
		k.exploreStep(state, &next, step{node: int8(i), kind: agentRestarts})
	}
}

// sendAnswer explores the receipt of an agent's answer by a voter, if the voter has not received it yet.
func (k *worker) sendAnswer(state *systemState, i, v int) {
	reply := cached(k, k.replyResults, k.replyKey(state, i, v, answerReceived), func() voterReply {
		return k.receiveAnswer(state.voters[v], i, state.agents[i], int(state.now))
	})
	if reply.changed {
		next := *state
		next.voters[v] = reply.voter
		k.exploreStep(state, &next, step{node: int8(i), other: int8(v), kind: answerReceived})
	}
}

// grant explores the grant of a lease by the rules of package lease: the voter's knowledge of the leader
// may be a second old, and the voter has applied all records agreed by then; the lease counts from its
// request. One step covers request and grant: a slower grant equals a shorter lease with an older answer.
func (k *worker) grant(state *systemState, i, v int) {
	key := k.replyKey(state, i, v, leaseGranted)
	reply := cached(k, k.replyResults, key, func() voterReply {
		return k.requestLease(state.voters[v], key.p, i, state.agents[i], int(state.now))
	})
	if !reply.granted {
		return
	}
	next := *state
	next.grants--
	next.voters[v] = reply.voter
	a := &next.agents[i]
	a.keepGrants(func(g leaseGrant) bool { return g.coveredRecords < next.recordsOneSecondAgo })
	a.grants[a.grantCount] = leaseGrant{next.now, next.recordsOneSecondAgo}
	a.grantCount++
	k.exploreStep(state, &next, step{node: int8(i), other: int8(v), kind: leaseGranted})
}
