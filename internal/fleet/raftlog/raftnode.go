package raftlog

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	// maxEntryBytesPerMessage bounds the entries of one append message.
	maxEntryBytesPerMessage = 4 << 10
	// maxInFlightAppends is 1, as a long append is fragmented and a short one sent after it would overtake it.
	// Raft would treat that as a loss and resend everything.
	maxInFlightAppends = 1
	// maxUncommittedBytes bounds the entries that wait to be committed, and the entries that are applied in one
	// step.
	maxUncommittedBytes = 256 << 10
)

// startRaft creates the raft node for a store that belongs to a log.
func (v *Voter) startRaft(stored Stored) error {
	s := &storage{MemoryStorage: raft.NewMemoryStorage()}
	v.confState, v.appliedIndex, v.state = &raftpb.ConfState{}, 0, logState{}
	if !raft.IsEmptySnap(stored.Snapshot) {
		if err := s.ApplySnapshot(stored.Snapshot); err != nil {
			return fmt.Errorf("cannot apply the stored snapshot: %w", err)
		}
		if err := v.restoreSnapshot(stored.Snapshot); err != nil {
			return err
		}
	}
	if err := s.load(stored, v.appliedIndex); err != nil {
		return err
	}
	node, err := raft.NewRawNode(&raft.Config{
		ID: v.identity.ID, ElectionTick: v.config.ElectionTicks, HeartbeatTick: v.config.HeartbeatTicks,
		Storage: s, Applied: v.appliedIndex,
		MaxSizePerMsg: maxEntryBytesPerMessage, MaxInflightMsgs: maxInFlightAppends,
		MaxUncommittedEntriesSize: maxUncommittedBytes, MaxCommittedSizePerReady: maxUncommittedBytes,
		CheckQuorum: true, PreVote: true, StepDownOnRemoval: true, Logger: discardLogger{},
	})
	if err != nil {
		return fmt.Errorf("cannot create the raft node: %w", err)
	}
	v.raftNode, v.storage = node, s
	v.lastContact, v.leaderSeenAt = v.now, v.now
	v.resetElectionTimer()
	return nil
}

// stopRaft discards the raft node and its outstanding work.
func (v *Voter) stopRaft() {
	v.raftNode, v.storage, v.pendingReady, v.pendingSnapshot = nil, nil, nil, nil
}

// storage is raft's view of the durable state: the entries since the last snapshot, and some before it for
// voters that are slightly behind.
type storage struct {
	*raft.MemoryStorage
	// confIndex is the index of the last configuration change: a voter added by it cannot use an earlier
	// snapshot.
	confIndex      uint64
	snapshotWanted bool // a newer snapshot is needed for a voter that is far behind
	entryBytes     int  // size of the entries since the last snapshot
}

// Snapshot implements raft.Storage. It returns raft.ErrSnapshotTemporarilyUnavailable, and requests a newer
// snapshot, while the last one is older than the last configuration change.
func (s *storage) Snapshot() (*raftpb.Snapshot, error) {
	snap, err := s.MemoryStorage.Snapshot()
	if err == nil && snap.GetMetadata().GetIndex() < s.confIndex {
		s.snapshotWanted = true
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return snap, err
}

// load loads the hard state and the entries of a store whose snapshot, if any, is already applied.
func (s *storage) load(stored Stored, applied uint64) error {
	hard := &raftpb.HardState{
		Term: new(max(stored.HardState.GetTerm(), stored.Snapshot.GetMetadata().GetTerm())),
		Vote: new(stored.HardState.GetVote()), Commit: new(max(stored.HardState.GetCommit(), applied)),
	}
	if err := s.SetHardState(hard); err != nil {
		return fmt.Errorf("cannot use the stored hard state: %w", err)
	}
	if err := checkContiguous(stored.Entries, applied); err != nil {
		return err
	}
	if err := s.append(stored.Entries); err != nil {
		return err
	}
	last, err := s.LastIndex()
	if err != nil {
		return fmt.Errorf("cannot read the last index: %w", err)
	}
	if hard.GetCommit() > last {
		return fmt.Errorf("records up to %d are committed, but only those up to %d are stored",
			hard.GetCommit(), last)
	}
	return nil
}

// append adds entries and counts their bytes.
func (s *storage) append(entries []*raftpb.Entry) error {
	if err := s.Append(entries); err != nil {
		return fmt.Errorf("cannot append entries: %w", err)
	}
	for _, e := range entries {
		s.entryBytes += len(e.GetData())
	}
	return nil
}

var errMissingRecords = errors.New("stored records are missing")

// checkContiguous returns errMissingRecords unless the entries are contiguous and begin at most one record
// after the applied index.
func checkContiguous(entries []*raftpb.Entry, applied uint64) error {
	for i, e := range entries {
		if first := entries[0].GetIndex(); e.GetIndex() != first+uint64(i) || first > applied+1 {
			return errMissingRecords
		}
	}
	return nil
}

// discardLogger is raft's logger. It discards messages, as Status reports the voter's state, and panics where
// raft expects its logger to; recoverPanic handles that.
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
