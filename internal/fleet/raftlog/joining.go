package raftlog

import (
	"slices"
	"time"
)

// How a store becomes a member of a log.
//
// A store without a log sends hello messages to all configured voters. If there is a leader, it adds the
// store as a learner under the next raft ID that was never used; the store receives its ID in a welcome
// message, catches up, and becomes a voter. It replaces the earlier store of its agent, or a voter whose
// agent is not configured any more (membership.go). A hello with a higher nonce proves that the agent's
// earlier store is gone, as an agent must not run two.

// recentHelloIntervals is the number of hello intervals for which a hello counts as recent.
const recentHelloIntervals = 4

// leaderlessElections is the number of election timeouts without a leader after which a member sends hellos
// again.
const leaderlessElections = 3

// receivedHello is the last hello of a configured voter.
type receivedHello struct {
	hello
	at time.Time
}

// joinState is what a voter knows about other stores from messages outside the log, with the times of its own
// hellos and configuration changes.
type joinState struct {
	hellos             map[uint32]receivedHello // last hello of each configured voter, by agent
	nextHello          time.Time
	lastConfChange     time.Time // last time this voter, as the leader, proposed a configuration change
	liveLogSeenAt      time.Time
	isAbandonRequested bool
}

func (v *Voter) helloInterval() time.Duration { return v.config.electionTimeout() / 2 }

// isRecent reports whether a hello is recent enough to base a decision on it.
func (v *Voter) isRecent(h receivedHello) bool {
	return v.now.Sub(h.at) < recentHelloIntervals*v.helloInterval()
}

// isLongLeaderless reports whether this member has had no leader for more than leaderlessElections election
// timeouts.
func (v *Voter) isLongLeaderless() bool {
	return v.leaderID() == 0 && v.now.Sub(v.leaderSeenAt) > leaderlessElections*v.config.electionTimeout()
}

// runJoining sends hellos while this voter lacks a working log, and founds or leaves a log depending on the
// hellos of the others.
func (v *Voter) runJoining() {
	if v.now.Before(v.joining.nextHello) {
		return
	}
	v.joining.nextHello = v.now.Add(v.helloInterval())
	if v.raftNode == nil || v.isLongLeaderless() || v.isStuck() {
		for _, a := range v.config.Voters {
			if a != v.config.Agent {
				v.deferMessage(a, v.ownHello().encode())
			}
		}
	}
	switch {
	case v.raftNode == nil:
		v.foundLog()
	case v.hasLostLogBeforeSnapshot(), v.mayAbandonLog():
		v.leaveLog()
	}
}

func (v *Voter) ownHello() hello {
	h := hello{
		nonce: v.identity.Nonce, epoch: v.identity.Epoch, id: v.identity.ID,
		promisedNonce: v.identity.PromisedNonce, highestEpochSeen: v.identity.HighestEpochSeen,
	}
	if v.raftNode != nil {
		if h.state = hasLog; v.isStuck() {
			h.state = stuckLog
		}
	}
	return h
}

// handleHello processes a hello, and reports whether it is acceptable. A hello from an agent that is not a
// configured voter is answered but not remembered.
func (v *Voter) handleHello(from uint32, h hello) (isAccepted bool) {
	if slices.Contains(v.config.Voters, from) {
		if !v.noteHello(from, h) {
			return false
		}
		v.notePromise(from, h)
		v.relayHello(from, h)
	}
	if !h.isReply {
		reply := v.ownHello()
		reply.isReply = true
		v.deferMessage(from, reply.encode())
	}
	if v.raftNode != nil {
		v.sendMembership(from, h)
	}
	return true
}

// noteHello remembers the hello of a configured voter, and reports whether it is acceptable.
func (v *Voter) noteHello(from uint32, h hello) (isAccepted bool) {
	last, isKnown := v.joining.hellos[from]
	switch {
	case h.nonce == 0 || !v.isPlausibleEpoch(max(h.epoch, h.highestEpochSeen)):
		return false
	case !slices.Contains(v.config.Voters, from) || from == v.config.Agent:
		return false
	case isKnown && last.nonce > h.nonce:
		return false // a delayed hello of a store that is gone
	}
	v.joining.hellos[from] = receivedHello{h, v.now}
	v.noteEpoch(max(h.epoch, h.highestEpochSeen))
	return true
}

// relayHello forwards the hello of a store without a log to the leader: the leader may not be a configured
// voter any more, or the store may not be able to reach it.
func (v *Voter) relayHello(from uint32, h hello) {
	leader := v.state.member(v.leaderID())
	if h.state == noLog && leader != nil && leader.agent != from && leader.id != v.identity.ID {
		v.deferMessage(leader.agent, h.encodeRelay(from))
	}
}

// plausibleNonce is a nonce in Unix milliseconds, of the year 2039. Every voter accepts epochs of up to twice
// this value.
const plausibleNonce = 1 << 41

// isPlausibleEpoch reports whether an epoch is low enough to be followed by higher ones. Epochs begin with a
// founder's nonce, which follows the Unix time. The times of inputs cannot serve as the bound, as their clock
// may start at zero when the machine boots.
func (v *Voter) isPlausibleEpoch(epoch uint64) bool {
	return epoch/2 <= max(v.identity.Nonce, plausibleNonce)
}

func (v *Voter) noteEpoch(epoch uint64) {
	if epoch > v.identity.HighestEpochSeen {
		v.identity.HighestEpochSeen, v.isIdentityUnwritten = epoch, true
	}
}

// sendMembership notifies a store of its raft ID in this log, or of its removal from it.
func (v *Voter) sendMembership(to uint32, h hello) {
	if h.epoch == v.identity.Epoch && h.id != 0 {
		if h.id < v.state.nextID && v.state.member(h.id) == nil {
			v.deferMessage(to, removed{h.epoch, h.id}.encode())
		}
		return
	}
	for _, m := range v.state.members {
		if m.agent == to && m.nonce == h.nonce {
			w := welcome{nonce: h.nonce, epoch: v.identity.Epoch, id: m.id}
			if slices.Contains(v.state.founders, m) {
				w.founders = v.state.founders
			}
			v.deferMessage(to, w.encode())
		}
	}
}

// handleWelcome joins the log that has assigned a raft ID to this store, and reports whether it did.
func (v *Voter) handleWelcome(w welcome) (isAccepted bool) {
	switch {
	case v.raftNode != nil || w.nonce != v.identity.Nonce:
		return false // this store has a log, or the message is for another store of this agent
	case w.epoch == 0 || w.id == 0 || !v.isPlausibleEpoch(w.epoch):
		return false
	case v.knowsLaterLog(w.epoch) || !v.isPromisedTo(w):
		return false
	}
	return v.joinLog(w) == nil
}

// knowsLaterLog reports whether a configured voter recently reported a log of a higher epoch.
func (v *Voter) knowsLaterLog(epoch uint64) bool {
	for _, a := range v.config.Voters {
		if h := v.joining.hellos[a]; v.isRecent(h) && h.epoch > epoch {
			return true
		}
	}
	return false
}

// isPromisedTo reports whether a new log is of the founder that this store promised to join. A store that is
// added to an existing log needs no promise.
func (v *Voter) isPromisedTo(w welcome) bool {
	if len(w.founders) == 0 {
		return true
	}
	self := member{w.id, v.config.Agent, w.nonce}
	return w.founders[0].nonce == v.identity.PromisedNonce && slices.Contains(w.founders, self)
}

// joinLog makes this store a member of a log.
func (v *Voter) joinLog(w welcome) error {
	v.identity.Epoch, v.identity.ID, v.identity.PromisedNonce = w.epoch, w.id, 0
	v.noteEpoch(w.epoch)
	v.isIdentityUnwritten, v.isResetPending = true, true
	stored := Stored{Identity: v.identity}
	if len(w.founders) > 0 {
		stored.Snapshot = foundingSnapshot(w.founders)
	}
	if err := v.startRaft(stored); err != nil {
		return err
	}
	v.pendingSnapshot = stored.Snapshot
	return nil
}

// handleRemoved leaves the log if this store was removed from it, and reports whether it did.
func (v *Voter) handleRemoved(m removed) (isAccepted bool) {
	if v.raftNode == nil || m.epoch != v.identity.Epoch || m.id != v.identity.ID {
		return false
	}
	v.leaveLog()
	return true
}

// leaveLog turns this store into a new one without a log. Its raft ID is never used again.
func (v *Voter) leaveLog() {
	v.stopRaft()
	v.identity = Identity{
		Nonce:            v.identity.Nonce + 1,
		HighestEpochSeen: max(v.identity.HighestEpochSeen, v.identity.Epoch),
	}
	v.isIdentityUnwritten, v.isResetPending = true, true
	v.confState, v.state, v.appliedIndex, v.fresh = nil, logState{}, 0, freshness{}
	v.joining.isAbandonRequested = false
	v.deferredMessages, v.pendingRestore = nil, nil
}
