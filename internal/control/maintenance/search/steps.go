package search

import (
	"bytes"
	"fmt"
	"slices"

	"dunestep/internal/control/maintenance"
)

// takenStep is a step that was taken, at a time in steps and by a voter or agent.
type takenStep struct {
	at, node int8
	kind     stepKind
}

// stepKind is the kind of a step.
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
	timeAdvances
)

func (t takenStep) String() string {
	text := [...]string{
		"a delayed record is agreed: the server is free", "voter %d is restarted", "voter %d applies a record",
		"voter %d leads", "voter %d leads, and observes a fault", "voter %d proposes that the server is free",
		"agent %d applies a record", "agent %d is granted a lease", "time passes",
	}[t.kind]
	if bytes.ContainsRune([]byte(text), '%') {
		text = fmt.Sprintf(text, t.node)
	}
	return fmt.Sprintf("%d: %s", t.at, text)
}

// exploreStep continues the search with the state next, which follows state by a step, or offers it to an
// idle worker.
func (k *worker) exploreStep(state *systemState, next *systemState, who int, kind stepKind) {
	k.steps = append(k.steps, takenStep{state.now, int8(who), kind})
	if !k.jobs.HasIdleWorker() || state.now >= lastStep-2 || !k.jobs.Offer(job{*next, slices.Clone(k.steps)}) {
		k.visit(next)
	}
	k.steps = k.steps[:len(k.steps)-1]
}

// exploreAllSteps explores each possible step from a state.
func (k *worker) exploreAllSteps(state *systemState) {
	if state.pendingFree != nil {
		next := *state
		k.appendRecord(&next, state.pendingFree)
		next.pendingFree = nil
		k.exploreStep(state, &next, 0, freeAgreedLate)
	}
	for v := range k.setup.Voters {
		k.exploreVoterSteps(state, v)
	}
	for a := range k.setup.Agents {
		k.exploreAgentSteps(state, a)
	}
	if state.now < lastStep {
		next := *state
		k.advanceTime(&next)
		k.exploreStep(state, &next, 0, timeAdvances)
	}
}

// advanceTime advances a state by one step of time, and drops expired leases.
func (k *worker) advanceTime(state *systemState) {
	state.now++
	state.recordsOneStepAgo = state.log.depth
	for i := range state.agents[:k.setup.Agents] {
		a := &state.agents[i]
		count := int8(0)
		for _, g := range a.grants[:a.grantCount] {
			if state.now-g.requestedAt < leaseLength {
				a.grants[count] = g
				count++
			}
		}
		a.grantCount = count
	}
	for i := range state.voters[:k.setup.Voters] {
		v := &state.voters[i]
		key := advanceKey{k.fingerprint(v), state.log.at(v.applied), state.now}
		v.fingerprints = cached(k, k.fingerprintResults, key, func() fingerprints {
			return k.fingerprintsOf(v.proposer, int(state.now))
		})
	}
}

// exploreVoterSteps explores each possible step of a voter.
func (k *worker) exploreVoterSteps(state *systemState, i int) {
	v := state.voters[i]
	if state.restarts > 0 {
		next := *state
		next.restarts--
		next.voters[i] = k.restartVoter(state, v)
		k.exploreStep(state, &next, i, voterRestarts)
	}
	if v.applied < state.log.depth {
		next, p := *state, state.log.at(v.applied+1)
		next.voters[i] = cached(k, k.voterResults, learnKey{k.fingerprint(&v), p, state.now}, func() voter {
			return k.learn(v.proposer, p, int(state.now), int(state.now))
		})
		k.exploreStep(state, &next, i, voterLearns)
	}
	k.exploreLeaderStep(state, i, voterLeads)
	if state.faults > 0 {
		k.exploreLeaderStep(state, i, voterSeesFault)
	}
}

// restartVoter returns a voter just after a restart, with the same records applied.
func (k *worker) restartVoter(state *systemState, v voter) voter {
	at := int(state.now)
	if k.setup.Without == "begin" {
		at -= maxAge
	}
	p := state.log.at(v.applied)
	return cached(k, k.voterResults, learnKey{0, p, state.now}, func() voter {
		return k.learn(maintenance.NewProposer(k.proposerSettings()), p, at, int(state.now))
	})
}

// exploreLeaderStep explores a leader's check of its windows. Its proposals are agreed at once; a record
// that declares the servers free may also be agreed later.
func (k *worker) exploreLeaderStep(state *systemState, i int, kind stepKind) {
	v, next := state.voters[i], *state
	if kind == voterSeesFault {
		next.faults--
	}
	key := leadKey{k.fingerprint(&v), state.log.at(v.applied), state.now, kind}
	result := cached(k, k.leaderResults, key, func() leaderResult {
		return k.runAsLeader(v.proposer, int(state.now), kind)
	})
	next.voters[i].proposer, next.voters[i].fingerprints = result.proposer, result.fingerprints
	for _, p := range result.records {
		if p.declaresFree && next.pendingFree == nil && k.setup.Faults > 0 {
			later := next
			later.pendingFree = p
			k.exploreStep(state, &later, i, freeProposed)
		}
		k.appendRecord(&next, p)
	}
	if result.changed || next.log != state.log {
		k.exploreStep(state, &next, i, kind)
	}
}

// exploreAgentSteps explores each possible step of an agent.
func (k *worker) exploreAgentSteps(state *systemState, i int) {
	if state.agents[i].applied < state.log.depth {
		next := *state
		next.agents[i].applied++
		k.exploreStep(state, &next, i, agentLearns)
	}
	a, g := &state.agents[i], leaseGrant{state.now, state.recordsOneStepAgo}
	if !k.setup.Exhaustive {
		g = a.withoutApplied(g)
	}
	if a.grantsLeft > 0 && a.grantCount < maxGrants && !slices.Contains(a.grants[:a.grantCount], g) {
		next := *state
		nextAgent := &next.agents[i]
		nextAgent.grantsLeft--
		nextAgent.grants[nextAgent.grantCount] = g
		nextAgent.grantCount++
		k.exploreStep(state, &next, i, leaseGranted)
	}
}
