package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/internal/fleet/internal/roundtrip"
	"dunestep/internal/fleet/replica"
)

// Message is a message to another agent.
type Message struct {
	To   int
	Data []byte
}

// Output is the result of an input.
type Output struct {
	Messages      []Message
	HasNewRecords bool
	IsRestarted   bool // the log has a new snapshot, from which the state machine has to be restored
	HasDiverged   bool // another agent has a different record at a position: to be reported to an operator
	DivergedFrom  int  // that agent, if HasDiverged
}

// Stats contains counters since the start.
type Stats struct {
	Malformed uint64 // messages that could not be decoded, or from unknown agents
	Rejected  uint64 // segments and chunks that did not fit the log
	Throttled uint64 // requests without a reply, as the byte budget was exhausted
	Diverged  uint64 // messages from agents with a differing replica
	Served    uint64 // segments and chunks sent in reply to pulls
	Snapshots uint64 // snapshots installed
}

// Replicator is one agent's part in the gossip.
type Replicator struct {
	settings Settings
	log      *replica.Log
	rng      *rand.Rand
	stats    Stats
	output   Output
	now      time.Duration

	// Pushes.
	lastAnnounced replica.Position
	pushInterval  time.Duration // between the next push and the one after it
	nextPush      time.Duration
	lastPush      time.Duration
	equalDigests  int // received digests with the position of this replica, since the last new record

	// Pulls.
	aheadPeers    []aheadPeer
	isPulling     bool
	pullPeer      int
	pullWaitUntil time.Duration // timeout of the pull in progress, or earliest time of the next pull
	pullStarted   time.Duration
	roundTrip     roundtrip.Estimate
	partial       partialItem

	sendBudget    byteBudget
	receiveBudget byteBudget

	catchUp catchUp
}

// New returns a Replicator for a log. It requests digests from other agents with the first Tick. A caller
// that appends to the log itself has to call RecordsAdded.
func New(settings Settings, log *replica.Log, now time.Duration) *Replicator {
	settings = settings.withDefaults()
	r := &Replicator{
		settings: settings, log: log, rng: rand.New(rand.NewPCG(settings.Seed, uint64(settings.Self))), now: now,
		lastAnnounced: log.Last(), pushInterval: settings.IdleInterval, lastPush: now - settings.PushInterval,
	}
	r.nextPush = now + r.jittered(settings.IdleInterval)
	r.sendBudget, r.receiveBudget = newByteBudget(settings, now), newByteBudget(settings, now)
	r.catchUp = catchUp{
		deadline: now + settings.CatchUpDeadline, nextRequestAt: now,
		requestID: r.rng.Uint32() | 1,
	}
	return r
}

// Stats returns the counters since the start.
func (r *Replicator) Stats() Stats { return r.stats }

// jittered returns a duration drawn from 3/4 to 5/4 of d.
func (r *Replicator) jittered(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.rng.Int64N(int64(d)/2+1))
}

// Next returns the time when Tick is due.
func (r *Replicator) Next() time.Duration {
	next := r.nextPush
	if r.catchUp.state != CaughtUp {
		next = min(next, r.catchUp.nextRequestAt)
	}
	if r.isPulling || len(r.aheadPeers) > 0 {
		next = min(next, r.pullWaitUntil)
	}
	return next
}

// Tick performs the actions that are due: requests for digests, pushes and pulls.
func (r *Replicator) Tick(now time.Duration) Output {
	r.beginInput(now)
	r.requestDigests()
	if r.isPulling && now >= r.pullWaitUntil {
		r.pullTimedOut()
	}
	if now >= r.nextPush {
		r.push()
	}
	r.pullIfDue()
	return r.output
}

// RecordsAdded notifies the Replicator that the caller has appended records to the log, or replaced it.
func (r *Replicator) RecordsAdded(now time.Duration) Output {
	r.beginInput(now)
	r.noteNewRecords()
	return r.output
}

// Step processes a message from another agent.
func (r *Replicator) Step(now time.Duration, from int, data []byte) Output {
	r.beginInput(now)
	message, err := decode(data)
	if err != nil || from < 0 || from >= r.settings.Agents || from == r.settings.Self {
		r.stats.Malformed++
		return r.output
	}
	switch m := message.(type) {
	case digest:
		r.handleDigest(from, m)
	case pull:
		r.handlePull(from, m)
	case segment:
		r.handleSegment(from, m)
	case chunk:
		r.handleChunk(from, m)
	}
	r.noteNewRecords()
	r.pullIfDue()
	return r.output
}

func (r *Replicator) beginInput(now time.Duration) {
	r.now = max(now, r.now)
	r.output = Output{}
	r.sendBudget.refill(r.now)
	r.receiveBudget.refill(r.now)
}

func (r *Replicator) send(to int, data []byte) {
	r.output.Messages = append(r.output.Messages, Message{To: to, Data: data})
}

// noteNewRecords schedules a push if the log has changed.
func (r *Replicator) noteNewRecords() {
	last := r.log.Last()
	if last == r.lastAnnounced {
		return
	}
	r.output.HasNewRecords = true
	r.output.IsRestarted = r.output.IsRestarted || last.Epoch != r.lastAnnounced.Epoch
	r.lastAnnounced, r.equalDigests = last, 0
	r.pushInterval = r.settings.PushInterval
	jitter := time.Duration(r.rng.Int64N(int64(r.settings.PushInterval)/4 + 1))
	r.nextPush = min(r.nextPush, max(r.now, r.lastPush+r.settings.PushInterval)+jitter)
	r.aheadPeers = slices.DeleteFunc(r.aheadPeers, func(p aheadPeer) bool { return last.Covers(p.position) })
	r.checkCaughtUp()
}

// noteDiverged reports that an agent's replica differs, and forgets the agent.
func (r *Replicator) noteDiverged(from int) {
	r.stats.Diverged++
	r.output.HasDiverged, r.output.DivergedFrom = true, from
	r.forgetPeer(from)
}

// ownDigest returns the digest of this replica.
func (r *Replicator) ownDigest() digest {
	last := r.log.Last()
	return digest{Epoch: last.Epoch, Seq: last.Seq, Sum: last.Sum, Trusted: r.catchUp.isTrusted()}
}

// pickPeers returns up to count other agents, drawn at random.
func (r *Replicator) pickPeers(count int) (peers []int) {
	count = min(count, r.settings.Agents-1)
	for len(peers) < count {
		agent := r.rng.IntN(r.settings.Agents)
		if agent != r.settings.Self && !slices.Contains(peers, agent) {
			peers = append(peers, agent)
		}
	}
	return peers
}
