package raftlog

import "go.etcd.io/raft/v3/raftpb"

// How a log is founded.
//
// A log is founded by the configured voter with the lowest number, and only when two conditions are met:
// every configured voter recently reported that it has no log and has promised to join only a log founded by
// this process; and no live log was observed (LiveLogSeen) for Config.FoundingQuietPeriod. A voter honors
// only its last promise: it joins no other founder's new log, and belongs to at most one log. Therefore, if
// all agents have the same configuration, two logs cannot both have a majority. No log is founded while
// another one can continue, because the voters of that one have a log.
//
// Not covered: agents with different configurations may found two logs if the voters of one configuration can
// reach neither a voter of the other one nor an agent that knows the other log. Each log has its own epoch,
// and all other agents follow the log with the highest one.

// notePromise records the promise of a store without a log to join only a log founded by the sender's
// process.
func (v *Voter) notePromise(from uint32, h hello) {
	isFounder := from == v.config.Voters[0]
	if v.raftNode == nil && isFounder && h.state == noLog && h.nonce != v.identity.PromisedNonce {
		v.identity.PromisedNonce, v.isIdentityUnwritten = h.nonce, true
	}
}

// handleLiveLogSeen restarts the quiet period that precedes the founding of a log.
func (v *Voter) handleLiveLogSeen(in LiveLogSeen) {
	if v.isPlausibleEpoch(in.Epoch) {
		v.noteEpoch(in.Epoch)
		v.joining.liveLogSeenAt = v.now
	}
}

// isQuietPeriodOver reports whether no live log was observed for Config.FoundingQuietPeriod.
func (v *Voter) isQuietPeriodOver() bool {
	return v.now.Sub(v.joining.liveLogSeenAt) >= v.config.FoundingQuietPeriod
}

// foundLog founds a log if this voter is the founder and all configured voters are ready for it.
func (v *Voter) foundLog() {
	if v.config.Voters[0] != v.config.Agent || !v.isQuietPeriodOver() {
		return
	}
	founders, isComplete := v.founders()
	if !isComplete {
		return
	}
	epoch := max(v.identity.Nonce, v.identity.HighestEpochSeen+1)
	if v.joinLog(welcome{nonce: v.identity.Nonce, epoch: epoch, id: founders[0].id, founders: founders}) != nil {
		return
	}
	for _, m := range founders[1:] {
		v.deferMessage(m.agent, welcome{nonce: m.nonce, epoch: epoch, id: m.id, founders: founders}.encode())
	}
}

// founders returns the members of a log that this voter founds, itself first. isComplete reports whether each
// configured voter has no log and has promised to join the log of this process.
func (v *Voter) founders() (founders []member, isComplete bool) {
	founders = []member{{1, v.config.Agent, v.identity.Nonce}}
	for i, a := range v.config.Voters[1:] {
		h, isKnown := v.joining.hellos[a]
		if !isKnown || !v.isRecent(h) || h.state != noLog || h.promisedNonce != v.identity.Nonce {
			return nil, false
		}
		founders = append(founders, member{uint64(i) + 2, a, h.nonce})
	}
	return founders, true
}

// foundingSnapshot returns the initial snapshot of a log, which is the same at all its founders.
func foundingSnapshot(founders []member) *raftpb.Snapshot {
	s := logState{founders: founders, members: founders, nextID: uint64(len(founders)) + 1}
	conf := &raftpb.ConfState{}
	for _, m := range founders {
		conf.Voters = append(conf.Voters, m.id)
	}
	return &raftpb.Snapshot{
		Data:     s.encode(nil),
		Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(uint64(1))},
	}
}
