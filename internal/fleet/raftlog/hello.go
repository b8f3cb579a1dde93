package raftlog

import (
	"encoding/binary"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// How a store becomes a member of a log.
//
// A store that belongs to none says hello to all named voters. Where there is a leader, it adds the store
// as a learner, under the next number that was never used; the store is told its number, catches up, and
// is made a voter in the place of the one that its agent had before, or of one that is not named any
// more. One at a time. A hello with a higher nonce is the proof that the agent's earlier store is gone:
// an agent must not run two.
//
// A log is begun by the named voter with the lowest number, and only when it has heard, a moment ago,
// from every named voter that it has nothing and has promised itself to this very process; and when no
// log that lives was heard of (LiveLogSeen) for Config.FoundingQuietPeriod. A voter keeps to its last promise, takes only the
// log that this founder begins, and belongs to one log at most. So with the same names everywhere two
// logs can't both have a majority, and none is begun while there are voters of one that can go on: they
// have something.
//
// A voter gives its log up if the log can't go on: of its voters, by the newest change that it knows, a
// majority is proved gone, and every other named voter says that it has nothing or is in the same place;
// and it is volatile, or staff say so. It is a new store from then on, with another nonce.
//
// Not covered: agents with different names in their files may begin two logs, if those that are named in
// one can reach none of the other's voters, nor an agent that has heard of its log. Each log has its
// epoch; all others keep to the highest.

// caller is the last that was heard of a named voter.
type peerHello struct {
	hello
	at time.Time
}

type joinState struct {
	hellos             map[uint32]peerHello // of the named voters only
	nextHello          time.Time            // for saying hello
	lastConfChange     time.Time            // when a change of voters was last asked for
	liveLogSeenAt      time.Time            // when a log was last heard of that lives
	isAbandonRequested bool
	routes             routes
	snapshotsInFlight  map[uint64]time.Time  // on their way, by id
	longAppends        map[uint64]longAppend // the last long message of records, by id
}

// appended is a message of records that begins at an index.
type longAppend struct {
	index uint64
	at    time.Time
}

// routes are the agents of members that are not known yet: those who wrote last.
type routes [16]struct {
	id    uint64
	agent uint32
}

func (r *routes) put(id uint64, agent uint32) {
	i := id % uint64(len(r))
	r[i].id, r[i].agent = id, agent
}

func (r *routes) get(id uint64) (uint32, bool) {
	at := r[id%uint64(len(r))]
	return at.agent, at.id == id && id != 0
}

func (v *Voter) helloInterval() time.Duration { return v.config.electionTimeout() / 2 }

// recent says whether a hello is new enough to decide by.
func (v *Voter) isRecent(c peerHello) bool { return v.now.Sub(c.at) < 4*v.helloInterval() }

// greet says hello where that is of use, and decides by what the others said.
func (v *Voter) runJoining() {
	if v.now.Before(v.joining.nextHello) {
		return
	}
	v.joining.nextHello = v.now.Add(v.helloInterval())
	lonely := v.leaderID() == 0 && v.now.Sub(v.leaderSeenAt) > 3*v.config.electionTimeout()
	if v.raftNode == nil || lonely || v.isStuck() {
		for _, a := range v.config.Voters {
			if a != v.config.Agent {
				v.deferMessage(a, v.selfHello(false).encode())
			}
		}
	}
	switch {
	case v.raftNode == nil:
		v.foundLog()
	case lonely && len(v.confState.GetVoters()) == 0 && v.now.Sub(v.leaderSeenAt) > v.config.FoundingQuietPeriod:
		v.leaveLog() // it was to learn from a log that is not there any more
	case v.isStuck() && (v.config.Volatile || v.joining.isAbandonRequested) && v.noLiveLogElsewhere():
		v.leaveLog()
	}
}

// hold keeps a message until what it rests on is written.
func (v *Voter) deferMessage(to uint32, b []byte) {
	v.deferredMessages = append(v.deferredMessages, Message{to, b})
}

func (v *Voter) selfHello(answer bool) hello {
	h := hello{
		nonce: v.identity.Nonce, epoch: v.identity.Epoch, id: v.identity.ID, promisedNonce: v.identity.PromisedNonce, highestEpochSeen: v.identity.HighestEpochSeen,
		isReply: answer,
	}
	if v.raftNode != nil {
		if h.state = hasLog; v.isStuck() {
			h.state = stuckLog
		}
	}
	return h
}

// hello takes one. Those of agents that are not named are answered, and forgotten.
func (v *Voter) handleHello(from uint32, h hello) bool {
	if slices.Contains(v.config.Voters, from) {
		if !v.noteHello(from, h) {
			return false
		}
		v.notePromise(from, h)
		v.relayHello(from, h)
	}
	if !h.isReply {
		v.deferMessage(from, v.selfHello(true).encode())
	}
	if v.raftNode != nil {
		v.answerHello(from, h)
	}
	return true
}

// calls notes what a named voter says.
func (v *Voter) noteHello(from uint32, h hello) bool {
	c, is := v.joining.hellos[from]
	switch {
	case h.nonce == 0 || !v.isPlausibleEpoch(max(h.epoch, h.highestEpochSeen)):
		return false
	case !slices.Contains(v.config.Voters, from) || from == v.config.Agent:
		return false
	case is && c.nonce > h.nonce:
		return false // a store that is gone, late
	}
	v.joining.hellos[from] = peerHello{h, v.now}
	v.noteEpoch(max(h.epoch, h.highestEpochSeen))
	return true
}

// relay passes the hello of a store that has nothing on to the leader, who may not be named any more, or
// not hear of it.
func (v *Voter) relayHello(from uint32, h hello) {
	m := v.state.member(v.leaderID())
	if h.state == noLog && m != nil && m.agent != from && m.id != v.identity.ID {
		v.deferMessage(m.agent, h.encodeRelay(from))
	}
}

// plausible guards epochs against a number that leaves no higher one. They begin with a founder's nonce,
// which goes by the Unix time: the times of inputs may be of a clock that begins with the machine.
func (v *Voter) isPlausibleEpoch(epoch uint64) bool { return epoch/2 <= max(v.identity.Nonce, 1<<41) }

func (v *Voter) noteEpoch(epoch uint64) {
	if epoch > v.identity.HighestEpochSeen {
		v.identity.HighestEpochSeen, v.isIdentityUnwritten = epoch, true
	}
}

// promise binds a store that has nothing to the process that may begin a log with it.
func (v *Voter) notePromise(from uint32, h hello) {
	if v.raftNode == nil && from == v.config.Voters[0] && h.state == noLog && h.nonce != v.identity.PromisedNonce {
		v.identity.PromisedNonce, v.isIdentityUnwritten = h.nonce, true
	}
}

// place tells a store what the log says of it: its number, or that it has none any more.
func (v *Voter) answerHello(from uint32, h hello) {
	if h.epoch == v.identity.Epoch && h.id != 0 {
		if h.id < v.state.nextID && v.state.member(h.id) == nil {
			v.deferMessage(from, removed{h.epoch, h.id}.encode())
		}
		return
	}
	for _, m := range v.state.members {
		if m.agent == from && m.nonce == h.nonce {
			w := welcome{nonce: h.nonce, epoch: v.identity.Epoch, id: m.id}
			if slices.Contains(v.state.founders, m) {
				w.founders = v.state.founders
			}
			v.deferMessage(from, w.encode())
		}
	}
}

// welcomed takes the number that a log has given to this store.
func (v *Voter) handleWelcome(w welcome) bool {
	if v.raftNode != nil || w.nonce != v.identity.Nonce || w.epoch == 0 || w.id == 0 || !v.isPlausibleEpoch(w.epoch) {
		return false
	}
	for _, a := range v.config.Voters {
		if c := v.joining.hellos[a]; v.isRecent(c) && c.epoch > w.epoch {
			return false
		}
	}
	if len(w.founders) > 0 {
		me := member{w.id, v.config.Agent, w.nonce}
		if w.founders[0].nonce != v.identity.PromisedNonce || !slices.Contains(w.founders, me) {
			return false
		}
	}
	return v.joinLog(w) == nil
}

// adopt makes this store a member of a log.
func (v *Voter) joinLog(w welcome) error {
	v.identity.Epoch, v.identity.ID, v.identity.PromisedNonce = w.epoch, w.id, 0
	v.noteEpoch(w.epoch)
	v.isIdentityUnwritten, v.isResetPending = true, true
	st := Stored{Identity: v.identity}
	if len(w.founders) > 0 {
		st.Snapshot = foundingSnapshot(w.founders)
	}
	if err := v.startRaft(st); err != nil {
		return err
	}
	v.pendingSnapshot = st.Snapshot
	return nil
}

// foundingSnapshot is what a log begins with, the same at all its founders.
func foundingSnapshot(founders []member) *raftpb.Snapshot {
	t := logState{founders: founders, members: founders, nextID: uint64(len(founders)) + 1}
	conf := &raftpb.ConfState{}
	for _, m := range founders {
		conf.Voters = append(conf.Voters, m.id)
	}
	return &raftpb.Snapshot{
		Data:     t.encode(nil),
		Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(uint64(1))},
	}
}

// found begins a log, if all named voters are ready for it.
func (v *Voter) foundLog() {
	if v.config.Voters[0] != v.config.Agent || v.now.Sub(v.joining.liveLogSeenAt) < v.config.FoundingQuietPeriod {
		return
	}
	epoch := max(v.identity.Nonce, v.identity.HighestEpochSeen+1)
	founders := []member{{1, v.config.Agent, v.identity.Nonce}}
	for i, a := range v.config.Voters[1:] {
		c, is := v.joining.hellos[a]
		if !is || !v.isRecent(c) || c.state != noLog || c.promisedNonce != v.identity.Nonce {
			return
		}
		founders = append(founders, member{uint64(i) + 2, a, c.nonce})
	}
	if v.joinLog(welcome{nonce: v.identity.Nonce, epoch: epoch, id: 1, founders: founders}) != nil {
		return
	}
	for _, m := range founders[1:] {
		v.deferMessage(m.agent, welcome{nonce: m.nonce, epoch: epoch, id: m.id, founders: founders}.encode())
	}
}

func (v *Voter) handleLiveLog(epoch uint64) {
	if v.isPlausibleEpoch(epoch) {
		v.noteEpoch(epoch)
		v.joining.liveLogSeenAt = v.now
	}
}

// stuck says whether a majority of the voters is proved gone, so that nothing can be agreed any more.
func (v *Voter) isStuck() bool {
	if v.raftNode == nil {
		return false
	}
	return v.hasLostMajority(v.confState.GetVoters()) || v.hasLostMajority(v.confState.GetVotersOutgoing())
}

func (v *Voter) hasLostMajority(ids []uint64) bool {
	left := 0
	for _, id := range ids {
		if m := v.state.member(id); m != nil && !v.isReplaced(*m) {
			left++
		}
	}
	return len(ids) > 0 && left < len(ids)/2+1
}

// replaced says whether a member's store is gone, as its agent has a newer one.
func (v *Voter) isReplaced(m member) bool {
	if m.agent == v.config.Agent {
		return m.nonce < v.identity.Nonce
	}
	return m.nonce < v.joining.hellos[m.agent].nonce
}

// noLiveLogElsewhere says whether all other named voters have nothing, or a log that can't go on.
func (v *Voter) noLiveLogElsewhere() bool {
	for _, a := range v.config.Voters {
		c, is := v.joining.hellos[a]
		if a != v.config.Agent && (!is || !v.isRecent(c) || c.state == hasLog) {
			return false
		}
	}
	return v.now.Sub(v.joining.liveLogSeenAt) >= v.config.FoundingQuietPeriod
}

func (v *Voter) handleRemoved(g removed) bool {
	if v.raftNode == nil || g.epoch != v.identity.Epoch || g.id != v.identity.ID {
		return false
	}
	v.leaveLog()
	return true
}

// leave makes this a new store, that belongs to no log. Its number is never used again.
func (v *Voter) leaveLog() {
	v.stopRaft()
	v.identity = Identity{Nonce: v.identity.Nonce + 1, HighestEpochSeen: max(v.identity.HighestEpochSeen, v.identity.Epoch)}
	v.isIdentityUnwritten, v.isResetPending = true, true
	v.confState, v.state, v.appliedIndex, v.fresh, v.joining.isAbandonRequested = nil, logState{}, 0, freshness{}, false
	v.deferredMessages, v.pendingRestore = nil, nil
}

// reconfigure is a leader's: it asks for the next change of voters that is due, one at a time.
func (v *Voter) reconfigure() {
	if len(v.confState.GetVotersOutgoing()) > 0 || v.now.Sub(v.joining.lastConfChange) < v.config.electionTimeout() ||
		v.appliedIndex < v.raftNode.BasicStatus().GetCommit() {
		return
	}
	if c := v.nextConfChange(); c != nil {
		v.joining.lastConfChange = v.now
		// Dropped where an earlier change is not applied yet: it is asked for again.
		_ = v.raftNode.ProposeConfChange(c)
	}
}

func (v *Voter) nextConfChange() *raftpb.ConfChangeV2 {
	if ids := v.confState.GetLearners(); len(ids) > 0 {
		return v.learnerConfChange(ids[0])
	}
	for _, a := range v.config.Voters {
		c, is := v.joining.hellos[a]
		if is && v.isRecent(c) && c.state == noLog && c.nonce > v.highestNonce(a) {
			ctx := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, a), c.nonce)
			return confChange(ctx, singleChange(raftpb.ConfChangeAddLearnerNode, v.state.nextID))
		}
	}
	if ids := v.confState.GetVoters(); len(ids) > len(v.config.Voters) {
		if id := v.unnamedVoter(); id != 0 {
			return confChange(nil, singleChange(raftpb.ConfChangeRemoveNode, id))
		}
	}
	return nil
}

// learnerConfChange makes one a voter when it has caught up, in the place of the one that is gone; or lets it
// go.
func (v *Voter) learnerConfChange(id uint64) *raftpb.ConfChangeV2 {
	m := v.state.member(id)
	if m == nil || v.isReplaced(*m) || !slices.Contains(v.config.Voters, m.agent) {
		return confChange(nil, singleChange(raftpb.ConfChangeRemoveNode, id))
	}
	caughtUp, silent := false, false
	v.raftNode.WithProgress(func(i uint64, _ raft.ProgressType, pr tracker.Progress) {
		if i == id {
			caughtUp = pr.RecentActive && pr.State == tracker.StateReplicate && pr.Match+8 >= v.appliedIndex
			silent = !pr.RecentActive && v.now.Sub(v.joining.lastConfChange) > 10*v.config.electionTimeout()
		}
	})
	if silent {
		return confChange(nil, singleChange(raftpb.ConfChangeRemoveNode, id))
	}
	if !caughtUp {
		return nil
	}
	add := singleChange(raftpb.ConfChangeAddNode, id)
	for _, o := range v.state.members {
		if o.agent == m.agent && o.id != id {
			return confChange(nil, add, singleChange(raftpb.ConfChangeRemoveNode, o.id))
		}
	}
	if o := v.unnamedVoter(); o != 0 && len(v.confState.GetVoters()) >= len(v.config.Voters) {
		return confChange(nil, add, singleChange(raftpb.ConfChangeRemoveNode, o))
	}
	return confChange(nil, add)
}

// newest returns the highest nonce of an agent's members.
func (v *Voter) highestNonce(agent uint32) (n uint64) {
	for _, m := range v.state.members {
		if m.agent == agent {
			n = max(n, m.nonce)
		}
	}
	return n
}

// unnamed returns a voter whose agent is not named any more, this one last, or 0.
func (v *Voter) unnamedVoter() (id uint64) {
	for _, m := range v.state.members {
		if slices.Contains(v.config.Voters, m.agent) || !slices.Contains(v.confState.GetVoters(), m.id) {
			continue
		}
		if id = m.id; id != v.identity.ID {
			return id
		}
	}
	return id
}

func singleChange(t raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: &id}
}

func confChange(ctx []byte, changes ...*raftpb.ConfChangeSingle) *raftpb.ConfChangeV2 {
	return &raftpb.ConfChangeV2{Changes: changes, Context: ctx}
}
