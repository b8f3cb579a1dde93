package raftlog

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// drainReady carries out the work that raft reports as ready, until a write has to be completed first.
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

// releaseMessages sends the deferred messages if the identity and the reset that they depend on are written.
func (v *Voter) releaseMessages(out *Output) {
	if !v.isIdentityUnwritten && !v.isResetPending {
		out.Messages = append(out.Messages, v.deferredMessages...)
		v.deferredMessages = nil
	}
}

// nextPersist returns the write that has to be completed before anything else happens, or nil if there is
// none.
func (v *Voter) nextPersist() *Persist {
	p := &Persist{Reset: v.isResetPending}
	if v.isIdentityUnwritten {
		identity := v.identity
		p.Identity = &identity
	}
	if v.pendingSnapshot != nil {
		first, err := v.storage.FirstIndex()
		must(err)
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

// handlePersisted continues after the pending write. Reports of other writes are ignored.
func (v *Voter) handlePersisted(in Persisted, out *Output) {
	if !v.isWritePending || in.Token != v.writeToken {
		return
	}
	v.isWritePending = false
	if v.pendingReady != nil {
		v.applyReady(out)
	}
}

// applyReady carries out the pending Ready of raft after its data was written.
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
	must(v.storage.append(rd.Entries))
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
	isRemoved := !isInConfig(v.confState, v.identity.ID) && v.state.nextID > v.identity.ID
	if len(rd.CommittedEntries) > 0 && isRemoved {
		v.leaveLog() // a committed configuration change removed this voter
	}
}

// must panics on an error that only an inconsistency between raft's state and the voter's can cause.
// recoverPanic then stops the voter.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// restoreSnapshot replaces the log's state. The next Step returns the application's state as a Restore.
func (v *Voter) restoreSnapshot(snap *raftpb.Snapshot) error {
	state, application, err := decodeLogState(snap.GetData())
	if err != nil {
		return err
	}
	meta := snap.GetMetadata()
	v.state, v.confState, v.appliedIndex = state, meta.GetConfState(), meta.GetIndex()
	v.pendingRestore = &Restore{Epoch: v.identity.Epoch, Index: v.appliedIndex, Data: application}
	return nil
}

func (v *Voter) applyEntry(e *raftpb.Entry, out *Output) {
	v.appliedIndex = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		v.applyConfChange(e)
	case raftpb.EntryNormal:
		v.applyRecord(e, out)
	}
}

// applyConfChange applies a configuration change. All voters ignore an invalid one.
func (v *Voter) applyConfChange(e *raftpb.Entry) {
	c := &raftpb.ConfChangeV2{}
	if proto.Unmarshal(e.GetData(), c) != nil || !v.state.isValidChange(c, v.confState) {
		return
	}
	v.confState = v.raftNode.ApplyConfChange(c)
	v.state.applyChange(c, v.confState)
	v.storage.confIndex = v.appliedIndex
}

func (v *Voter) applyRecord(e *raftpb.Entry, out *Output) {
	if len(e.GetData()) < recordHeaderBytes {
		return // the empty entry of a new leader
	}
	kind, id, data := decodeRecord(e.GetData())
	if v.state.settle(id, v.appliedIndex, kind) {
		out.Committed = append(out.Committed, Entry{v.appliedIndex, e.GetTerm(), id, data})
	}
}
