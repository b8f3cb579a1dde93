package raftlog

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// storage is raft's view of what is safe. It holds the entries since the last snapshot and a little more.
type storage struct {
	*raft.MemoryStorage
	confIndex      uint64 // of the last change of voters: a snapshot from before it is of no use to one added since
	snapshotWanted bool   // a newer snapshot is needed for a voter that is far behind
	entryBytes     int    // of entries since the last snapshot
}

// Snapshot returns the last one, if it is new enough for whoever it is for.
func (s *storage) Snapshot() (*raftpb.Snapshot, error) {
	snap, err := s.MemoryStorage.Snapshot()
	if err == nil && snap.GetMetadata().GetIndex() < s.confIndex {
		s.snapshotWanted = true
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return snap, err
}

// start makes the raft node of a store that belongs to a log.
func (v *Voter) startRaft(st Stored) error {
	s := &storage{MemoryStorage: raft.NewMemoryStorage()}
	v.confState, v.appliedIndex, v.state = &raftpb.ConfState{}, 0, logState{}
	if !raft.IsEmptySnap(st.Snapshot) {
		if err := s.ApplySnapshot(st.Snapshot); err != nil {
			return err
		}
		if err := v.restoreSnapshot(st.Snapshot); err != nil {
			return err
		}
	}
	hard := &raftpb.HardState{
		Term: new(max(st.HardState.GetTerm(), st.Snapshot.GetMetadata().GetTerm())), Vote: new(st.HardState.GetVote()),
		Commit: new(max(st.HardState.GetCommit(), v.appliedIndex)),
	}
	if err := s.SetHardState(hard); err != nil {
		return err
	}
	if err := checkContiguous(st.Entries, v.appliedIndex); err != nil {
		return err
	}
	if err := s.Append(st.Entries); err != nil {
		return err
	}
	for _, e := range st.Entries {
		s.entryBytes += len(e.GetData())
	}
	if last, _ := s.LastIndex(); hard.GetCommit() > last {
		return fmt.Errorf("%d records are agreed, but only %d are there", hard.GetCommit(), last)
	}
	node, err := raft.NewRawNode(&raft.Config{
		ID: v.identity.ID, ElectionTick: v.config.ElectionTicks, HeartbeatTick: v.config.HeartbeatTicks,
		Storage: s, Applied: v.appliedIndex, MaxSizePerMsg: maxEntryBytesPerMessage, MaxInflightMsgs: maxInFlightAppends,
		MaxUncommittedEntriesSize: maxUncommittedBytes, MaxCommittedSizePerReady: maxUncommittedBytes,
		CheckQuorum: true, PreVote: true, StepDownOnRemoval: true, Logger: discardLogger{},
	})
	if err != nil {
		return err
	}
	v.raftNode, v.storage = node, s
	v.lastContact, v.leaderSeenAt = v.now, v.now
	v.resetElectionTimer()
	return nil
}

func checkContiguous(entries []*raftpb.Entry, applied uint64) error {
	for i, e := range entries {
		if first := entries[0].GetIndex(); e.GetIndex() != first+uint64(i) || first > applied+1 {
			return errors.New("records are missing")
		}
	}
	return nil
}

// stop takes the voter out of its log. What was outstanding of it is void.
func (v *Voter) stopRaft() {
	v.raftNode, v.storage, v.pendingReady, v.pendingSnapshot = nil, nil, nil, nil
}

// rest begins the time anew after which the voter stands for election. Raft's own way of it draws from a
// source that can't be seeded, so raft is told of time only while the voter leads, and when to forget a
// leader and to stand is decided here: between one and two times the election time after the last word.
func (v *Voter) resetElectionTimer() {
	e := v.config.electionTimeout()
	v.campaignAt = v.now.Add(e + time.Duration(v.rng.Int64N(int64(e))))
}

// pass does what is due by time.
func (v *Voter) runDue() {
	v.runJoining()
	v.sendDueResends()
	if v.raftNode == nil {
		return
	}
	switch {
	case v.isLeader():
		v.runLeader()
	case !v.now.Before(v.campaignAt):
		v.resetElectionTimer()
		// ErrProposalDropped and the like mean that it can't stand now: as a learner, say.
		_ = v.raftNode.Campaign()
	case v.leaderID() != 0 && !v.now.Before(v.lastContact.Add(v.config.electionTimeout())):
		_ = v.raftNode.ForgetLeader()
	}
}

// lead is a leader's time. After a pause it is told of so many ticks that it steps down if nobody answers.
func (v *Voter) runLeader() {
	v.leaderSeenAt = v.now
	if term := v.raftNode.BasicStatus().GetTerm(); term != v.lastLedTerm {
		v.lastLedTerm, v.lastTick = term, v.now
	}
	if most := v.now.Add(-v.config.electionTimeout()); v.lastTick.Before(most) {
		v.lastTick = most
	}
	for v.isLeader() && !v.now.Before(v.lastTick.Add(v.config.Tick)) {
		v.lastTick = v.lastTick.Add(v.config.Tick)
		v.raftNode.Tick()
		if len(v.confState.GetVoters())+len(v.confState.GetVotersOutgoing()) == 1 {
			v.fresh.noteCovered(v.now, v.safeCommitIndex())
		}
	}
	if !v.isLeader() {
		v.resetElectionTimer() // nobody answers
		return
	}
	v.retrySnapshots()
	v.reconfigure()
}

// agreed returns the index up to which all that was ever agreed is known to be agreed, or 0 where that is
// not known yet, as no record of the leader's own term is agreed.
func (v *Voter) safeCommitIndex() uint64 {
	b := v.raftNode.BasicStatus()
	if term, err := v.storage.Term(b.GetCommit()); err != nil || term != b.GetTerm() {
		return 0
	}
	return b.GetCommit()
}

// retrySnapshots begins anew with voters whose snapshot may have been lost.
func (v *Voter) retrySnapshots() {
	if v.joining.snapshotsInFlight == nil {
		v.joining.snapshotsInFlight = map[uint64]time.Time{}
	}
	v.raftNode.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		since, is := v.joining.snapshotsInFlight[id]
		switch {
		case pr.State != tracker.StateSnapshot:
			delete(v.joining.snapshotsInFlight, id)
		case !is:
			v.joining.snapshotsInFlight[id] = v.now
		case v.now.Sub(since) > 5*v.config.electionTimeout():
			delete(v.joining.snapshotsInFlight, id)
			v.raftNode.ReportSnapshot(id, raft.SnapshotFailure)
		}
	})
}

func (v *Voter) propose(kind byte, id ProposalID, data []byte) error {
	switch {
	case len(data) > MaxProposalBytes:
		return ErrTooLong
	case v.raftNode == nil || v.leaderID() == 0:
		return ErrNoLeader
	}
	if o, _ := v.state.outcome(id, v.appliedIndex); o == Committed {
		return nil
	} else if o != Unknown {
		return ErrTooOld
	}
	if err := v.raftNode.Propose(encodeRecord(kind, id, data)); err != nil {
		return ErrBusy
	}
	return nil
}

// received takes a message. One that can't be read, or is not for this voter, is dropped and counted.
func (v *Voter) handleMessage(in MessageReceived) {
	r := &reader{b: in.Bytes}
	if r.u8() != wireVersion {
		v.droppedMessages++
		return
	}
	ok := false
	switch r.u8() {
	case wireRaft:
		ok = v.stepRaft(in.From, r)
	case wireHello:
		h := readHello(r)
		ok = !r.tooShort && h.state <= stuckLog && v.handleHello(in.From, h)
	case wireRelay:
		from, h := r.u32(), readHello(r)
		ok = !r.tooShort && h.state == noLog && v.noteHello(from, h)
	case wireWelcome:
		w := readWelcome(r)
		ok = !r.tooShort && v.handleWelcome(w)
	case wireRemoved:
		g := removed{r.u64(), r.u64()}
		ok = !r.tooShort && v.handleRemoved(g)
	}
	if !ok {
		v.droppedMessages++
	}
}

func (v *Voter) stepRaft(from uint32, r *reader) bool {
	e := envelope{r.u64(), r.u64(), r.u64(), r.u64(), r.u64()}
	if r.tooShort || v.raftNode == nil || e.epoch != v.identity.Epoch {
		return false
	}
	m := &raftpb.Message{}
	if proto.Unmarshal(r.b, m) != nil || !v.isAcceptable(m) {
		return false
	}
	v.joining.routes.put(m.GetFrom(), from)
	before := v.raftNode.BasicStatus()
	// An error says that the message is of no use now, or from one that is not a member any more.
	_ = v.raftNode.Step(m)
	after := v.raftNode.BasicStatus()
	fromLeader := after.GetTerm() == m.GetTerm() && after.Lead == m.GetFrom() && isSentByLeader(m.GetType())
	if after.GetTerm() != before.GetTerm() || after.GetVote() != before.GetVote() || fromLeader {
		v.lastContact = v.now
		v.resetElectionTimer()
	}
	if fromLeader {
		v.leaderSeenAt = v.now
	}
	v.updateFreshness(e, m, fromLeader)
	return true
}

func isSentByLeader(t raftpb.MessageType) bool {
	return t == raftpb.MsgApp || t == raftpb.MsgHeartbeat || t == raftpb.MsgSnap
}

// refresh takes what a message says of how fresh its sender is.
func (v *Voter) updateFreshness(e envelope, m *raftpb.Message, fromLeader bool) {
	term := v.raftNode.BasicStatus().GetTerm()
	if fromLeader && !v.isLeader() {
		if at := stampTime(e.reading); e.incarnation == v.fresh.incarnation && !at.After(v.now) {
			v.fresh.noteCovered(at, e.index)
		}
		if m.GetType() == raftpb.MsgHeartbeat && e.round > 0 {
			every := time.Duration(v.config.HeartbeatTicks) * v.config.Tick
			last := v.fresh.leaderRound[m.GetFrom()].startedAt
			if last > 0 && stampTime(e.round).Sub(stampTime(last)) > every*5/4 {
				v.fresh.lateHeartbeatAt = v.now
			}
			v.fresh.leaderRound = map[uint64]heartbeatRound{m.GetFrom(): {e.round, term}}
		}
	}
	if v.isLeader() && m.GetType() == raftpb.MsgHeartbeatResp && m.GetTerm() == term && e.round > 0 {
		v.fresh.beginTerm(term)
		v.fresh.noteReading(m.GetFrom(), clockReading{incarnation: e.incarnation, reading: e.reading, receivedAt: timeStamp(v.now)})
		if v.fresh.noteAck(v.identity.ID, m.GetFrom(), e.round, v.confState) {
			v.fresh.noteCovered(stampTime(v.fresh.confirmed.startedAt), v.fresh.confirmed.index)
		}
	}
}

// bears says whether a message is one that raft takes without harm to itself.
func (v *Voter) isAcceptable(m *raftpb.Message) bool {
	from := m.GetFrom()
	if m.GetTo() != v.identity.ID || from == 0 || from == v.identity.ID || raft.IsLocalMsgTarget(from) {
		return false
	}
	last, _ := v.storage.LastIndex()
	switch m.GetType() {
	case raftpb.MsgProp:
		for _, e := range m.GetEntries() {
			if e.GetType() != raftpb.EntryNormal || len(e.GetData()) < recordHeaderBytes ||
				len(e.GetData()) > recordHeaderBytes+MaxProposalBytes {
				return false
			}
		}
		return len(m.GetEntries()) > 0
	case raftpb.MsgApp:
		for i, e := range m.GetEntries() {
			if e.GetIndex() != m.GetIndex()+1+uint64(i) || e.GetTerm() == 0 || e.GetTerm() > m.GetTerm() {
				return false
			}
		}
		return m.GetTerm() > 0
	case raftpb.MsgHeartbeat:
		return m.GetTerm() > 0 && (v.isWritePending || m.GetCommit() <= last)
	case raftpb.MsgSnap:
		t, _, err := decodeLogState(m.GetSnapshot().GetData())
		return m.GetTerm() > 0 && m.GetSnapshot().GetMetadata().GetIndex() > 0 && err == nil && t.nextID > v.identity.ID
	case raftpb.MsgAppResp, raftpb.MsgVote, raftpb.MsgVoteResp, raftpb.MsgPreVote, raftpb.MsgPreVoteResp,
		raftpb.MsgHeartbeatResp:
		return m.GetTerm() > 0
	}
	return false
}

// pump takes out of raft what is to be done, up to what has to be written first.
func (v *Voter) drainReady(out *Output) {
	for !v.isWritePending {
		v.releaseMessages(out)
		if v.raftNode != nil && v.raftNode.HasReady() {
			rd := v.raftNode.Ready()
			v.pendingReady = &rd
		}
		if p := v.nextPersist(); p != nil {
			v.isWritePending, out.Persist = true, p
			return
		}
		if v.pendingReady == nil {
			return
		}
		v.applyReady(out)
	}
}

// release sends what was held, if all that it rests on is written.
func (v *Voter) releaseMessages(out *Output) {
	if !v.isIdentityUnwritten && !v.isResetPending {
		out.Messages = append(out.Messages, v.deferredMessages...)
		v.deferredMessages = nil
	}
}

// nextPersist returns what is to be written before anything else happens, or nil.
func (v *Voter) nextPersist() *Persist {
	p := &Persist{Reset: v.isResetPending}
	if v.isIdentityUnwritten {
		id := v.identity
		p.Identity = &id
	}
	if v.pendingSnapshot != nil {
		first, _ := v.storage.FirstIndex()
		p.Snapshot, p.DropThrough = v.pendingSnapshot, first-1
	}
	if rd := v.pendingReady; rd != nil {
		if !raft.IsEmptyHardState(rd.HardState) {
			p.HardState = rd.HardState
		}
		p.Entries = rd.Entries
		if !raft.IsEmptySnap(rd.Snapshot) {
			p.Snapshot, p.ReplaceEntries, p.DropThrough = rd.Snapshot, true, 0
		}
	}
	v.isIdentityUnwritten, v.isResetPending, v.pendingSnapshot = false, false, nil
	if p.Identity == nil && !p.Reset && p.Snapshot == nil && p.HardState == nil && len(p.Entries) == 0 {
		return nil
	}
	v.writeToken++
	p.Token = v.writeToken
	return p
}

func (v *Voter) handlePersisted(token uint64, out *Output) {
	if !v.isWritePending || token != v.writeToken {
		return
	}
	v.isWritePending = false
	if v.pendingReady != nil {
		v.applyReady(out)
	}
}

// finish does what raft asked for, now that it is written.
func (v *Voter) applyReady(out *Output) {
	rd := v.pendingReady
	v.pendingReady = nil
	if !raft.IsEmptySnap(rd.Snapshot) {
		must(v.storage.ApplySnapshot(rd.Snapshot))
		must(v.restoreSnapshot(rd.Snapshot))
		v.storage.entryBytes = 0
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		must(v.storage.SetHardState(rd.HardState))
	}
	must(v.storage.Append(rd.Entries))
	for _, e := range rd.Entries {
		v.storage.entryBytes += len(e.GetData())
	}
	for _, m := range rd.Messages {
		v.sendRaft(m)
	}
	if v.pendingRestore != nil {
		out.Restore, out.Committed, v.pendingRestore = v.pendingRestore, nil, nil
	}
	for _, e := range rd.CommittedEntries {
		v.applyEntry(e, out)
	}
	v.raftNode.Advance(*rd)
	if len(rd.CommittedEntries) > 0 && !inConf(v.confState, v.identity.ID) && v.state.nextID > v.identity.ID {
		v.leaveLog()
	}
}

// must is for what can fail only if raft's state and this one's do not fit together; guard stops the voter.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// restore takes over a snapshot's table, and gives out the state above.
func (v *Voter) restoreSnapshot(snap *raftpb.Snapshot) error {
	t, above, err := decodeLogState(snap.GetData())
	if err != nil {
		return err
	}
	meta := snap.GetMetadata()
	v.state, v.confState, v.appliedIndex = t, meta.GetConfState(), meta.GetIndex()
	v.pendingRestore = &Restore{Epoch: v.identity.Epoch, Index: v.appliedIndex, Data: above}
	return nil
}

func (v *Voter) applyEntry(e *raftpb.Entry, out *Output) {
	v.appliedIndex = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		c := &raftpb.ConfChangeV2{}
		if proto.Unmarshal(e.GetData(), c) != nil || !v.state.isValidChange(c, v.confState) {
			return
		}
		v.confState = v.raftNode.ApplyConfChange(c)
		v.state.applyChange(c, v.confState)
		v.storage.confIndex = v.appliedIndex
	case raftpb.EntryNormal:
		d := e.GetData()
		if len(d) < recordHeaderBytes {
			return // a new leader's, which is empty
		}
		id := readID(d[1:])
		if v.state.settle(id, v.appliedIndex, d[0] == kindProposal) {
			out.Committed = append(out.Committed, Entry{v.appliedIndex, e.GetTerm(), id, d[recordHeaderBytes:]})
		}
	}
}

// send gives a message of raft's to the agent that it is for.
func (v *Voter) sendRaft(m *raftpb.Message) {
	to, ok := v.agentOf(m.GetTo())
	if !ok {
		return
	}
	e := envelope{epoch: v.identity.Epoch}
	switch m.GetType() {
	case raftpb.MsgHeartbeat, raftpb.MsgApp:
		if b := v.raftNode.BasicStatus(); v.isLeader() && b.GetTerm() == m.GetTerm() {
			v.fresh.beginTerm(b.GetTerm())
			a := v.fresh.coveredReadings[m.GetTo()]
			e.incarnation, e.reading, e.index = a.incarnation, a.reading, v.fresh.confirmed.index
			if m.GetType() == raftpb.MsgHeartbeat {
				e.round = timeStamp(v.now)
				v.fresh.beginRound(e.round, v.safeCommitIndex())
			}
		}
	case raftpb.MsgHeartbeatResp:
		if r := v.fresh.leaderRound[m.GetTo()]; r.index == m.GetTerm() {
			e.round, e.incarnation, e.reading = r.startedAt, v.fresh.incarnation, timeStamp(v.now)
		}
	}
	b, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(e.append(nil), m)
	if err != nil {
		v.droppedMessages++
		return
	}
	if m.GetType() != raftpb.MsgApp || !v.isLongAppendInFlight(m, len(b)) {
		v.deferredMessages = append(v.deferredMessages, Message{to, b})
	}
	if v.shouldResend(m, len(b)) && len(v.resends) < 8*MaxVoters {
		v.resends = append(v.resends, resend{v.now.Add(v.config.Tick / 4), v.identity.ID, Message{to, b}})
	}
}

// repeat is a message that is sent once more a little later, as long as the voter has the number that sent
// it.
type resend struct {
	at time.Time
	id uint64
	Message
}

// shouldResend says whether a message is sent twice. An election needs four messages in a row, a leader that is
// heard by few each of them, and a record that is lost waits for the next heartbeat: at 30% loss most
// attempts fail. What comes twice does no harm. But for votes, nothing is sent twice unless heartbeats were
// lost lately.
func (v *Voter) shouldResend(m *raftpb.Message, size int) bool {
	long := 5 * v.config.electionTimeout()
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote, raftpb.MsgVoteResp, raftpb.MsgPreVoteResp:
		return true
	case raftpb.MsgHeartbeat:
		return v.isLeader() && v.fresh.hasRecentLoss(m.GetTo(), v.now, long)
	case raftpb.MsgApp:
		return v.isLeader() && size < longMessageBytes && len(m.GetEntries()) > 0 && v.fresh.hasRecentLoss(m.GetTo(), v.now, long)
	case raftpb.MsgHeartbeatResp, raftpb.MsgAppResp:
		return !v.fresh.lateHeartbeatAt.IsZero() && v.now.Sub(v.fresh.lateHeartbeatAt) < long
	}
	return false
}

// sendDueResends sends again what is due.
func (v *Voter) sendDueResends() {
	for len(v.resends) > 0 && !v.now.Before(v.resends[0].at) {
		if v.resends[0].id == v.identity.ID {
			v.deferredMessages = append(v.deferredMessages, v.resends[0].Message)
		}
		v.resends = v.resends[1:]
	}
}

// underway says whether a long message with the same records was sent a moment ago. Raft sends it again
// with each heartbeat that is answered, however long its pieces take; more and more of them would crowd out
// all else.
func (v *Voter) isLongAppendInFlight(m *raftpb.Message, size int) bool {
	if size < longMessageBytes {
		return false
	}
	last := v.joining.longAppends[m.GetTo()]
	if last.index == m.GetIndex()+1 && v.now.Sub(last.at) < v.config.electionTimeout()/2 {
		return true
	}
	if v.joining.longAppends == nil || len(v.joining.longAppends) > 4*MaxVoters {
		v.joining.longAppends = map[uint64]longAppend{}
	}
	v.joining.longAppends[m.GetTo()] = longAppend{m.GetIndex() + 1, v.now}
	return false
}

func (v *Voter) agentOf(id uint64) (uint32, bool) {
	if m := v.state.member(id); m != nil {
		return m.agent, true
	}
	return v.joining.routes.get(id)
}

// compacted takes a snapshot of the state above, and lets go of what it replaces but for a little.
func (v *Voter) handleCompact(in Compact) error {
	switch {
	case v.raftNode == nil || in.Index != v.appliedIndex:
		return ErrStaleSnapshot
	case len(in.Data) > MaxSnapshotBytes:
		return ErrTooLong
	}
	if last, _ := v.storage.MemoryStorage.Snapshot(); last.GetMetadata().GetIndex() >= in.Index {
		return nil
	}
	snap, err := v.storage.CreateSnapshot(in.Index, v.confState, v.state.encode(in.Data))
	if err != nil {
		return err
	}
	v.pendingSnapshot = snap
	v.storage.snapshotWanted, v.storage.entryBytes = false, 0
	if to := v.compactThrough(in.Index); to > 0 {
		return v.storage.MemoryStorage.Compact(to)
	}
	return nil
}

// compactThrough returns up to where records are let go: what is kept behind a snapshot is bounded by its size.
func (v *Voter) compactThrough(index uint64) uint64 {
	first, _ := v.storage.FirstIndex()
	size := 0
	for i := index; i >= first; i-- {
		e, err := v.storage.Entries(i, i+1, 0)
		if err != nil || len(e) == 0 {
			return 0
		}
		if size += len(e[0].GetData()) + 16; size > retainedBytes {
			return i
		}
	}
	return 0
}

func (v *Voter) needsSnapshot() bool {
	return v.raftNode != nil && !v.isWritePending && (v.storage.snapshotWanted || v.storage.entryBytes > snapshotAfterBytes)
}

// quiet is raft's logger: what is worth telling is in Status. Panics stay what they are, for guard.
type discardLogger struct{}

func (discardLogger) Debug(...any)                   {}
func (discardLogger) Debugf(string, ...any)          {}
func (discardLogger) Error(...any)                   {}
func (discardLogger) Errorf(string, ...any)          {}
func (discardLogger) Info(...any)                    {}
func (discardLogger) Infof(string, ...any)           {}
func (discardLogger) Warning(...any)                 {}
func (discardLogger) Warningf(string, ...any)        {}
func (discardLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (discardLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
