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

// detail selects which differences between states a hash distinguishes.
type detail uint8

const (
	relevantState detail = iota // only differences that still have an effect
	fullState                   // all differences
)

// job is a state from which a worker continues.
type job struct {
	state systemState
	steps []step
}

// worker explores states. It caches the results of components, which are equal for equal keys.
type worker struct {
	*search
	jobs              *modelcheck.JobQueue[job]
	steps             []step
	positions         map[positionKey]*logPosition
	voterResults      map[voterKey]voter
	recordResults     map[voterKey][]*proposal
	replyResults      map[replyKey]voterReply
	agentResults      map[agentKey]agent
	decisionResults   map[agentKey]decision
	completionResults map[voterKey]bool
}

// positionKey is a position and the record that is appended there.
type positionKey struct {
	last *logPosition
	p    *proposal
}

// voterKey identifies an operation of a voter, with everything that its result depends on.
type voterKey struct {
	kind                             stepKind
	i, now, applied                  int8
	fingerprint, proposerFingerprint uint64
	p                                *logPosition
}

// replyKey identifies a voter's reply to an agent, with everything that it depends on.
type replyKey struct {
	kind                   stepKind
	voter                  uint64
	p                      *logPosition
	v, i, incarnation, now int8
	agent                  uint64
	proposerFingerprint    uint64
}

// agentKey identifies an operation of an agent, with everything that its result depends on.
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
		decisionResults: map[agentKey]decision{}, completionResults: map[voterKey]bool{},
	}
}

// cached returns the result cached in m for a key. If there is none, it calls do and caches its result.
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

// appendRecord appends a record to a state's log. A report is applied at once by all voters and agents that
// have applied every record before it. That loses no behaviour: a report has no effect on an agent, and a
// voter that has not applied it only leads later.
func (k *worker) appendRecord(state *systemState, p *proposal) {
	before := state.log
	state.log = cached(k, k.positions, positionKey{before, p}, func() *logPosition {
		return k.search.appendRecord(before, p)
	})
	if state.log == before || state.log.depth > before.depth {
		return
	}
	for i := range k.voterNumbers {
		if state.voters[i].applied == before.depth {
			k.learnVoter(state, i, state.log)
		}
	}
	for i := range state.agents {
		if state.agents[i].applied == before.depth {
			k.learnAgent(state, i, state.log)
		}
	}
}

// learnVoter applies the records up to a position at a voter.
func (k *worker) learnVoter(state *systemState, i int, p *logPosition) {
	v := state.voters[i]
	key := voterKey{
		kind: voterLearns, i: int8(i), now: state.now, fingerprint: v.fingerprint,
		proposerFingerprint: v.proposerFingerprint, p: p,
	}
	state.voters[i] = cached(k, k.voterResults, key, func() voter {
		fork := v.fork()
		k.learn(&fork, p, int(state.now))
		return fork
	})
}

// learnAgent applies the records up to a position at an agent.
func (k *worker) learnAgent(state *systemState, i int, p *logPosition) {
	a := &state.agents[i]
	key := agentKey{kind: agentLearns, i: int8(i), fingerprint: a.fingerprint, p: p}
	result := cached(k, k.agentResults, key, func() agent {
		fork := a.agent.Fork()
		fork.Learn(p.stateMachine)
		return agent{agent: fork, fingerprint: k.agentFingerprint(fork)}
	})
	a.applied, a.agent, a.fingerprint = p.depth, result.agent, result.fingerprint
}

// visit checks a state. If the state is new, it explores all steps from it.
func (k *worker) visit(state *systemState) {
	if k.violated.Load() {
		return
	}
	if text := k.checkDecisions(state); text != "" {
		k.addViolation(text, k.steps)
		return
	}
	distinguished := relevantState
	if k.setup.Exhaustive {
		distinguished = fullState
		reduced := *state
		reduced.dropRedundantLeases()
		k.distinct.Add(k.hash(&reduced, relevantState))
	} else {
		state.dropRedundantLeases()
	}
	if !k.seen.Add(k.hash(state, distinguished)) {
		return
	}
	switch state.log.status {
	case policy.StatusAccepted:
		k.accepted.Add(1)
	case policy.StatusRejected:
		k.rejected.Add(1)
	}
	k.exploreAllSteps(state)
}

func (k *worker) replyKey(state *systemState, i, v int, kind stepKind) replyKey {
	granter, a := &state.voters[v], &state.agents[i]
	return replyKey{
		kind: kind, voter: granter.fingerprint, proposerFingerprint: granter.proposerFingerprint,
		p: state.log.at(granter.applied), v: int8(v), i: int8(i), incarnation: a.incarnation,
		now: state.now, agent: a.fingerprint,
	}
}

// checkDecisions makes a decision at each agent, and returns a description of the first violation, or an
// empty string if there is none.
func (k *worker) checkDecisions(state *systemState) string {
	for i := range state.agents {
		a := &state.agents[i]
		standing := lease.New
		for _, g := range a.grants[:a.grantCount] {
			if state.now-g.requestedAt < leaseSeconds && a.applied >= g.coveredRecords {
				standing = lease.Full
			}
		}
		key := agentKey{
			kind: timeAdvances, i: int8(i), now: state.now, standing: standing, fingerprint: a.fingerprint,
			p: state.log.at(a.applied),
		}
		d := cached(k, k.decisionResults, key, func() decision { return k.decide(*a, int(state.now), standing) })
		a.agent, a.fingerprint = d.after.agent, d.after.fingerprint
		switch {
		case d.mode != policy.ModeFull:
		case d.version < state.newestActedOn:
			return fmt.Sprintf("agent %d acts on version %d after another acted on %d",
				i, d.version, state.newestActedOn)
		case uint64(d.version) > state.log.stateMachine.State().InForce.Number:
			return fmt.Sprintf("agent %d acts on version %d, which was never activated", i, d.version)
		default:
			state.newestActedOn = d.version
		}
	}
	return ""
}

// checkCompletion reports whether the change is complete, or completes without further faults.
func (k *worker) checkCompletion(state *systemState) bool {
	v := state.voters[0]
	key := voterKey{
		applied: v.applied, now: state.now, fingerprint: v.fingerprint,
		proposerFingerprint: v.proposerFingerprint, p: state.log,
	}
	return !state.log.open || cached(k, k.completionResults, key, func() bool {
		return k.changeCompletes(v, state.log, int(state.now))
	})
}

// hash returns a hash of the state. Once the change is complete, the voters' knowledge of leases and its
// age no longer have an effect, because reports and decisions concern an open change.
func (k *worker) hash(state *systemState, detail detail) uint64 {
	b := make([]byte, 0, 160)
	b = binary.LittleEndian.AppendUint16(b, state.log.id)
	pending := uint16(0)
	if state.pendingPostponement != nil {
		pending = state.pendingPostponement.id
	}
	b = binary.LittleEndian.AppendUint16(b, pending)
	b = append(b, byte(state.now), byte(state.newestActedOn), byte(state.grants), byte(state.restarts),
		byte(state.postponements), byte(state.recordsOneSecondAgo))
	for i := range state.agents {
		a := &state.agents[i]
		b = append(b, byte(a.applied), byte(a.incarnation), byte(a.grantCount))
		for _, g := range a.grants[:a.grantCount] {
			b = append(b, byte(g.requestedAt), byte(g.coveredRecords))
		}
		b = binary.LittleEndian.AppendUint64(b, a.fingerprint)
	}
	for i := range k.voterNumbers {
		v := &state.voters[i]
		b = append(b, byte(v.applied))
		if detail == fullState || state.log.open {
			b = binary.LittleEndian.AppendUint64(b, v.fingerprint)
			b = binary.LittleEndian.AppendUint64(b, v.proposerFingerprint)
		}
	}
	return maphash.Bytes(k.seed, b)
}

// keepGrants drops the leases for which keep returns false.
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

// alreadyCovered is the value of coveredRecords once the agent has applied all records that a lease covers.
const alreadyCovered = -1

// dropRedundantLeases drops each lease for which there is another that was requested at the same time or
// later and covers no more records.
func (state *systemState) dropRedundantLeases() {
	for i := range state.agents {
		a := &state.agents[i]
		for j := range a.grants[:a.grantCount] {
			if g := &a.grants[j]; a.applied >= g.coveredRecords {
				g.coveredRecords = alreadyCovered
			}
		}
		all := a.grants[:a.grantCount]
		slices.SortFunc(all, func(x, y leaseGrant) int {
			return int(x.requestedAt-y.requestedAt)*100 + int(y.coveredRecords-x.coveredRecords)
		})
		for j := int8(0); j < a.grantCount; j++ {
			g := a.grants[j]
			coversNoMore := func(o leaseGrant) bool { return o.coveredRecords <= g.coveredRecords }
			if slices.ContainsFunc(a.grants[j+1:a.grantCount], coversNoMore) {
				copy(a.grants[j:], a.grants[j+1:])
				a.grantCount--
				j--
			}
		}
		clear(a.grants[a.grantCount:])
	}
}
