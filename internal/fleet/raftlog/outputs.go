package raftlog

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// Identity identifies a store to the other voters. Its zero value is that of an unused store.
type Identity struct {
	Nonce uint64 // unique among all stores of all agents
	Epoch uint64 // epoch of the log that the store belongs to; 0: none
	ID    uint64 // the store's raft ID in that log
	// PromisedNonce is the nonce of the only voter that may found a log with this store while it has none.
	PromisedNonce uint64
	// HighestEpochSeen is the highest epoch of any log that this store was informed of.
	HighestEpochSeen uint64
}

// Stored is the state that was written before the process ended. Its zero value is a new store, or a volatile
// one.
type Stored struct {
	Identity  Identity
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry // contiguous; entries covered by the snapshot may be missing
}

// Persist requests one atomic write. The caller has to answer with Persisted and the same token once the
// write is durable, or at once if nothing is stored. No other Persist is returned before that.
type Persist struct {
	Token     uint64
	Identity  *Identity // nil: unchanged
	Reset     bool      // discard everything that was written before
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	// ReplaceEntries discards all entries that were written before, as the snapshot is of another voter.
	ReplaceEntries bool
	// DropThrough is the index up to which entries are discarded, as the snapshot covers them.
	DropThrough uint64
	// Entries are appended. They replace the entries written before from the index of the first one on.
	Entries []*raftpb.Entry
}

// Apply applies a write to the stored state, as a durable store does.
func (s *Stored) Apply(p *Persist) {
	if p.Reset {
		*s = Stored{Identity: s.Identity}
	}
	if p.Identity != nil {
		s.Identity = *p.Identity
	}
	if p.HardState != nil {
		s.HardState = p.HardState
	}
	if p.Snapshot != nil {
		s.Snapshot = p.Snapshot
	}
	if p.ReplaceEntries {
		s.Entries = nil
	}
	s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *raftpb.Entry) bool {
		isReplaced := len(p.Entries) > 0 && e.GetIndex() >= p.Entries[0].GetIndex()
		return e.GetIndex() <= p.DropThrough || isReplaced
	})
	s.Entries = append(s.Entries, p.Entries...)
}

// Message is a message to the voter of another agent.
type Message struct {
	To    uint32 // receiving agent
	Bytes []byte
}

// Entry is a committed record.
type Entry struct {
	Index, Term uint64
	ID          ProposalID
	Data        []byte
}

// Restore replaces the application's state: at a start, and when the voter was too far behind to receive the
// records themselves.
type Restore struct {
	Epoch, Index uint64
	Data         []byte // nil: the empty state of a new log
}

// Output is the result of one input. Restore takes effect before Committed.
type Output struct {
	Persist        *Persist
	Messages       []Message
	Restore        *Restore
	Committed      []Entry
	SnapshotWanted bool  // a Compact is requested
	Err            error // reason for the rejection of the input, or the failure that stopped the voter
}
