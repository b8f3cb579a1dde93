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

// detail is how much a hash distinguishes.
type detail uint8

const (
	effectiveOnly detail = iota // what still has an effect
	everything
)

// job is a state from which a worker continues.
type job struct {
	world world
	steps []takenStep
}

// worker caches what parts do: for the same key it is the same.
type worker struct {
	*search
	jobs               *modelcheck.JobQueue[job]
	steps              []takenStep
	positions          map[positionKey]*logPosition
	voterResults       map[learnKey]voter
	leaderResults      map[leadKey]leaderResult
	fingerprintResults map[passKey]fingerprints
	exclusionResults   map[exclusionKey]exclusion
}

// positionKey is a record that is added to a log.
type positionKey struct {
	last *logPosition
	p    *proposal
}

// learnKey is a proposer that learns a state at a time.
type learnKey struct {
	fingerprint uint64
	p           *logPosition
	at          int8
}

// leadKey is a proposer that checks windows as the leader's at a time.
type leadKey struct {
	fingerprint uint64
	p           *logPosition
	at          int8
	kind        stepKind
}

// passKey is a proposer after a step of time.
type passKey struct {
	fingerprint uint64
	p           *logPosition
	at          int8
}

// exclusionKey is everything that an agent's exclusions depend on.
type exclusionKey struct {
	p        *logPosition
	at       int8
	standing lease.Standing
	mode     policy.Mode
}

// exclusion is what an agent keeps off.
type exclusion struct {
	below uint32
	turn  bool
}

func newWorker(s *search, jobs *modelcheck.JobQueue[job]) *worker {
	return &worker{
		search: s, jobs: jobs, positions: map[positionKey]*logPosition{}, voterResults: map[learnKey]voter{},
		leaderResults:      map[leadKey]leaderResult{},
		fingerprintResults: map[passKey]fingerprints{}, exclusionResults: map[exclusionKey]exclusion{},
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

// appendRecord adds a record to a world's log.
func (k *worker) appendRecord(w *world, p *proposal) {
	w.log = cached(k, k.positions, positionKey{w.log, p}, func() *logPosition {
		return k.search.appendRecord(w.log, p)
	})
}

// visit checks a state, and goes on to all states that can follow.
func (k *worker) visit(w *world) {
	if k.violated.Load() {
		return
	}
	if text := k.checkRequests(w); text != "" {
		k.addViolation(text, k.steps)
		return
	}
	wanted := effectiveOnly
	if k.setup.Exhaustive {
		wanted = everything
		n := *w
		k.dropIrrelevant(&n)
		k.distinct.Add(k.hash(&n, effectiveOnly))
	} else {
		k.dropIrrelevant(w)
	}
	if !k.seen.Add(k.hash(w, wanted)) {
		return
	}
	if w.log.state == maintenance.Free && w.now < returnFrom {
		k.free.Add(1)
	}
	k.takeAllSteps(w)
}

// fingerprint distinguishes what a proposer does from what others do.
func (k *worker) fingerprint(v *voter) uint64 {
	if k.setup.Exhaustive {
		return v.fingerprints[maintenance.Everything]
	}
	return v.fingerprints[maintenance.Alive]
}

// dropIrrelevant drops what has no effect any more: leases beside which another stands; where the window
// returns, is over or past returnFrom, what voters have seen, as all that they can still propose is its end,
// and each can have learnt by then what there is to know.
func (k *worker) dropIrrelevant(w *world) {
	for i := range w.agents[:k.setup.Agents] {
		w.agents[i].dropRedundantLeases()
	}
	state := w.log.state
	returns := state == maintenance.Returning || state == maintenance.Ended || state == maintenance.Stopped
	if !returns && w.now < returnFrom {
		return
	}
	w.faults, w.restarts, w.lastSent = 0, 0, never
	if returns {
		w.pending = nil
	}
	for i := range w.voters[:k.setup.Voters] {
		w.voters[i] = k.restartVoter(w, voter{known: w.log.depth})
	}
}

// alreadyCovered stands for the records of a lease that the agent knows already.
const alreadyCovered = -1

// dropRedundantLeases keeps the newest lease of those that cover the same records.
func (a *agent) dropRedundantLeases() {
	count := int8(0)
	for _, g := range a.grants[:a.grantCount] {
		if g = a.withKnown(g); count > 0 && a.grants[count-1].covers == g.covers {
			count--
		}
		a.grants[count] = g
		count++
	}
	clear(a.grants[count:])
	a.grantCount = count
}

// withKnown is a lease without the records that the agent knows already.
func (a *agent) withKnown(g leaseGrant) leaseGrant {
	if a.known >= g.covers {
		g.covers = alreadyCovered
	}
	return g
}

// relevantFingerprint distinguishes a proposer from others that may do something else some time.
func (v *voter) relevantFingerprint(w *world, detail detail) uint64 {
	isLagging := v.known < w.log.depth
	switch {
	case detail == everything:
		return v.fingerprints[maintenance.Everything]
	case w.faults > 0 && isLagging:
		return v.fingerprints[maintenance.Lagging]
	case w.faults > 0:
		return v.fingerprints[maintenance.Alive]
	case isLagging && w.log.state == maintenance.Paused:
		return v.fingerprints[maintenance.QuietLagging]
	case isLagging:
		return 0
	}
	return v.fingerprints[maintenance.Quiet]
}

// hash is a hash of the state. Agents, and voters, that have changed places are the same.
func (k *worker) hash(w *world, detail detail) uint64 {
	b := make([]byte, 0, 128)
	b = binary.LittleEndian.AppendUint16(b, w.log.id)
	pending := uint16(0)
	if w.pending != nil {
		pending = w.pending.id
	}
	b = binary.LittleEndian.AppendUint16(b, pending)
	b = append(b, byte(w.now), byte(w.knownAStepAgo), byte(w.faults), byte(w.restarts),
		byte(min(w.now-w.lastSent, maxInFlight)))
	var agents [maxAgents][4 + 2*maxGrants]byte
	for i, a := range w.agents[:k.setup.Agents] {
		last := byte(min(int(w.now)-int(a.lastLeased), floorValidity))
		if k.setup.Without == "own clock" {
			last = byte(a.lastLeased)
		}
		e := append(agents[i][:0], byte(a.known), byte(a.grantsLeft), last, byte(a.grantCount))
		for _, g := range a.grants[:a.grantCount] {
			e = append(e, byte(g.requestedAt), byte(g.covers))
		}
	}
	each := agents[:k.setup.Agents]
	slices.SortFunc(each, func(x, y [4 + 2*maxGrants]byte) int { return bytes.Compare(x[:], y[:]) })
	for i := range each {
		b = append(b, each[i][:]...)
	}
	var voters [maxVoters][9]byte
	for i, v := range w.voters[:k.setup.Voters] {
		binary.LittleEndian.PutUint64(append(voters[i][:0], byte(v.known))[1:9], v.relevantFingerprint(w, detail))
	}
	all := voters[:k.setup.Voters]
	slices.SortFunc(all, func(x, y [9]byte) int { return bytes.Compare(x[:], y[:]) })
	for i := range all {
		b = append(b, all[i][:]...)
	}
	return maphash.Bytes(k.seed, b)
}
