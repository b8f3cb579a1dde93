package raftlog

import "fmt"

const (
	// snapshotAfterBytes is the size of the entries in memory after which a snapshot is requested.
	snapshotAfterBytes = 192 << 10
	// retainedBytes is the maximum size of the entries that are retained before a snapshot, for voters that are
	// slightly behind.
	retainedBytes = 32 << 10
	// entryOverheadBytes is counted for each retained entry in addition to its data.
	entryOverheadBytes = 16
)

func (v *Voter) needsSnapshot() bool {
	return v.raftNode != nil && !v.isWritePending &&
		(v.storage.snapshotWanted || v.storage.entryBytes > snapshotAfterBytes)
}

// handleCompact creates a snapshot with the application's state, and drops the entries that it covers except
// for the retained ones.
func (v *Voter) handleCompact(in Compact) error {
	switch {
	case v.raftNode == nil || in.Index != v.appliedIndex:
		return ErrStaleSnapshot
	case len(in.Data) > MaxSnapshotBytes:
		return ErrTooLong
	}
	last, err := v.storage.MemoryStorage.Snapshot()
	if err != nil {
		return fmt.Errorf("raftlog: cannot read the last snapshot: %w", err)
	}
	if last.GetMetadata().GetIndex() >= in.Index {
		return nil
	}
	snap, err := v.storage.CreateSnapshot(in.Index, v.confState, v.state.encode(in.Data))
	if err != nil {
		return fmt.Errorf("raftlog: cannot create a snapshot at index %d: %w", in.Index, err)
	}
	v.pendingSnapshot = snap
	v.storage.snapshotWanted, v.storage.entryBytes = false, 0
	if through := v.compactThrough(in.Index); through > 0 {
		if err := v.storage.Compact(through); err != nil {
			return fmt.Errorf("raftlog: cannot drop the entries up to index %d: %w", through, err)
		}
	}
	return nil
}

// compactThrough returns the index up to which entries are dropped, or 0 if none are: the entries after it,
// up to index, have at most retainedBytes.
func (v *Voter) compactThrough(index uint64) uint64 {
	first, err := v.storage.FirstIndex()
	if err != nil {
		return 0
	}
	size := 0
	for i := index; i >= first; i-- {
		e, err := v.storage.Entries(i, i+1, 0)
		if err != nil || len(e) == 0 {
			return 0
		}
		if size += len(e[0].GetData()) + entryOverheadBytes; size > retainedBytes {
			return i
		}
	}
	return 0
}
