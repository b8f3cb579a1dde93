package search

import (
	"bytes"
	"encoding/binary"
	"hash/maphash"
	"slices"

	"dunestep/internal/control/maintenance"
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
	steps []takenStep
}

// worker explores states. It caches the results of components, which are equal for equal keys.
type worker struct {
	*search
	jobs               *modelcheck.JobQueue[job]
	steps              []takenStep
	positions          map[positionKey]*logPosition
	voterResults       map[learnKey]voter
	leaderResults      map[leadKey]leaderResult
	fingerprintResults map[advanceKey]fingerprints
	exclusionResults   map[exclusionKey]exclusion
}

// positionKey is a position and the record that is appended there.
type positionKey struct {
	last *logPosition
	p    *proposal
}

// learnKey identifies the result of a proposer that applies a state at a time.
type learnKey struct {
	fingerprint uint64
	p           *logPosition
	at          int8
}

// leadKey identifies the result of a leader's check of its windows at a time.
type leadKey struct {
	fingerprint uint64
	p           *logPosition
	at          int8
	kind        stepKind
}

// advanceKey identifies the fingerprints of a proposer after a step of time.
type advanceKey struct {
	fingerprint uint64
	p           *logPosition
	at          int8
}

// exclusionKey identifies an agent's exclusions by everything that they depend on.
type exclusionKey struct {
	p        *logPosition
	at       int8
	standing lease.Standing
	mode     policy.Mode
}

// exclusion is how an agent excludes the window's server.
type exclusion struct {
	below  uint32 // rank below which keys are excluded; math.MaxUint32: all keys
	byTurn bool   // excluded because it is the server's turn
}

func newWorker(s *search, jobs *modelcheck.JobQueue[job]) *worker {
	return &worker{
		search: s, jobs: jobs, positions: map[positionKey]*logPosition{}, voterResults: map[learnKey]voter{},
		leaderResults:      map[leadKey]leaderResult{},
		fingerprintResults: map[advanceKey]fingerprints{}, exclusionResults: map[exclusionKey]exclusion{},
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

// appendRecord appends a record to a state's log.
func (k *worker) appendRecord(state *systemState, p *proposal) {
	state.log = cached(k, k.positions, positionKey{state.log, p}, func() *logPosition {
		return k.search.appendRecord(state.log, p)
	})
}

// visit checks a state. If the state is new, it explores all steps from it.
func (k *worker) visit(state *systemState) {
	if k.violated.Load() {
		return
	}
	if text := k.checkRequests(state); text != "" {
		k.addViolation(text, k.steps)
		return
	}
	distinguished := relevantState
	if k.setup.Exhaustive {
		distinguished = fullState
		reduced := *state
		k.dropIrrelevant(&reduced)
		k.distinct.Add(k.hash(&reduced, relevantState))
	} else {
		k.dropIrrelevant(state)
	}
	if !k.seen.Add(k.hash(state, distinguished)) {
		return
	}
	if state.log.state == maintenance.Free && state.now < returnFrom {
		k.free.Add(1)
	}
	k.exploreAllSteps(state)
}

// fingerprint returns a hash that is equal for proposers that behave equally.
func (k *worker) fingerprint(v *voter) uint64 {
	if k.setup.Exhaustive {
		return v.fingerprints[maintenance.DetailAll]
	}
	return v.fingerprints[maintenance.DetailEffective]
}

// dropIrrelevant resets what no longer has an effect: redundant leases, and, if the window returns, is over
// or is past returnFrom, what voters have observed. They can only propose the window's end by then, and
// each may have applied all records.
func (k *worker) dropIrrelevant(state *systemState) {
	for i := range state.agents[:k.setup.Agents] {
		state.agents[i].dropRedundantLeases()
	}
	windowState := state.log.state
	isReturning := windowState == maintenance.Returning || windowState == maintenance.Ended ||
		windowState == maintenance.Stopped
	if !isReturning && state.now < returnFrom {
		return
	}
	state.faults, state.restarts, state.lastSentAt = 0, 0, never
	if isReturning {
		state.pendingFree = nil
	}
	for i := range state.voters[:k.setup.Voters] {
		state.voters[i] = k.restartVoter(state, voter{applied: state.log.depth})
	}
}

// alreadyCovered is the value of coveredRecords once the agent has applied all records that a lease covers.
const alreadyCovered = -1

// dropRedundantLeases keeps only the newest of the leases that cover the same records.
func (a *agent) dropRedundantLeases() {
	count := int8(0)
	for _, g := range a.grants[:a.grantCount] {
		if g = a.withoutApplied(g); count > 0 && a.grants[count-1].coveredRecords == g.coveredRecords {
			count--
		}
		a.grants[count] = g
		count++
	}
	clear(a.grants[count:])
	a.grantCount = count
}

// withoutApplied returns a lease with alreadyCovered for its records if the agent has applied them.
func (a *agent) withoutApplied(g leaseGrant) leaseGrant {
	if a.applied >= g.coveredRecords {
		g.coveredRecords = alreadyCovered
	}
	return g
}

// relevantFingerprint returns a hash that is equal for proposers that behave equally in all states that can
// follow.
func (v *voter) relevantFingerprint(state *systemState, detail detail) uint64 {
	isLagging := v.applied < state.log.depth
	switch {
	case detail == fullState:
		return v.fingerprints[maintenance.DetailAll]
	case state.faults > 0 && isLagging:
		return v.fingerprints[maintenance.DetailLagging]
	case state.faults > 0:
		return v.fingerprints[maintenance.DetailEffective]
	case isLagging && state.log.state == maintenance.Paused:
		return v.fingerprints[maintenance.DetailFaultFreeLagging]
	case isLagging:
		return 0
	}
	return v.fingerprints[maintenance.DetailFaultFree]
}

// hash returns a hash of the state, which does not depend on the order of agents or of voters.
func (k *worker) hash(state *systemState, detail detail) uint64 {
	b := make([]byte, 0, 128)
	b = binary.LittleEndian.AppendUint16(b, state.log.id)
	pending := uint16(0)
	if state.pendingFree != nil {
		pending = state.pendingFree.id
	}
	b = binary.LittleEndian.AppendUint16(b, pending)
	b = append(b, byte(state.now), byte(state.recordsOneStepAgo), byte(state.faults), byte(state.restarts),
		byte(min(state.now-state.lastSentAt, maxInFlight)))
	var agents [maxAgents][4 + 2*maxGrants]byte
	for i, a := range state.agents[:k.setup.Agents] {
		last := byte(min(int(state.now)-int(a.lastLeaseAt), floorValidity))
		if k.setup.Without == "own clock" {
			last = byte(a.lastLeaseAt)
		}
		encoded := append(agents[i][:0], byte(a.applied), byte(a.grantsLeft), last, byte(a.grantCount))
		for _, g := range a.grants[:a.grantCount] {
			encoded = append(encoded, byte(g.requestedAt), byte(g.coveredRecords))
		}
	}
	sortedAgents := agents[:k.setup.Agents]
	slices.SortFunc(sortedAgents, func(x, y [4 + 2*maxGrants]byte) int { return bytes.Compare(x[:], y[:]) })
	for i := range sortedAgents {
		b = append(b, sortedAgents[i][:]...)
	}
	var voters [maxVoters][9]byte
	for i, v := range state.voters[:k.setup.Voters] {
		binary.LittleEndian.PutUint64(append(voters[i][:0], byte(v.applied))[1:9],
			v.relevantFingerprint(state, detail))
	}
	sortedVoters := voters[:k.setup.Voters]
	slices.SortFunc(sortedVoters, func(x, y [9]byte) int { return bytes.Compare(x[:], y[:]) })
	for i := range sortedVoters {
		b = append(b, sortedVoters[i][:]...)
	}
	return maphash.Bytes(k.seed, b)
}
