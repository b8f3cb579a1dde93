package fleet

import "dunestep/internal/fleet/replica"

// compactThreshold is the fraction of the replica's limits at which it is compacted.
const compactThreshold = 0.75

// Applied returns the position of the last record that this agent has applied.
func (n *Node) Applied() replica.Position { return n.applied }

// applyNew applies the records of the replica that the state machines have not applied yet, or restores them
// from its snapshot.
func (n *Node) applyNew(now ClockReading) {
	if n.log.Last() == n.applied {
		return
	}
	epoch := n.applied.Epoch
	if s := n.log.Snapshot(); s.Epoch != n.applied.Epoch || s.Seq > n.applied.Seq {
		n.restoreMachines(s)
	}
	for n.applied.Seq < n.log.Last().Seq {
		r, isKnown := n.log.Record(n.applied.Seq + 1)
		if !isKnown {
			break
		}
		n.applyRecord(r)
	}
	n.applied = n.log.Last()
	if n.settings.Application != nil {
		n.settings.Application.RecordsApplied(now, n.applied.Epoch != epoch)
		n.nextApplicationCall = 0
	}
	n.holder.SetApplied(n.applied)
	n.output.HasApplied = true
	n.compactIfFull()
}

func (n *Node) applyRecord(r replica.Record) {
	n.applied.Seq = r.Seq
	if err := n.machines.apply(r.Seq, r.Data); err != nil {
		n.addEvent(Event{Kind: UnknownRecord, Position: n.applied, Err: err})
	}
	if _, id, _, isValid := decodeRecord(r.Data); isValid && id.origin == n.proposals.origin {
		n.proposals.settle(id.number, Committed)
	}
}

// restoreMachines restores the state machines from a snapshot. If the snapshot cannot be decoded, as it is
// from an agent of a later build, the error is reported and the state machines are reset.
func (n *Node) restoreMachines(s replica.Snapshot) {
	if s.Epoch > n.applied.Epoch && n.applied.Epoch > 0 {
		n.addEvent(Event{Kind: LogRestarted, Position: s.Position()})
	}
	if err := n.machines.restore(s.Data); err != nil {
		n.addEvent(Event{Kind: VoterStopped, Err: err})
		// State machines accept the initial state.
		_ = n.machines.restore(nil)
	}
	n.applied = s.Position()
}

// compactIfFull replaces the replica's records by a snapshot once they exceed compactThreshold of its limits.
func (n *Node) compactIfFull() {
	limits := n.log.Limits()
	hasFewRecords := float64(n.log.Len()) < compactThreshold*float64(limits.MaxRecords)
	if hasFewRecords && float64(n.log.Bytes()) < compactThreshold*float64(limits.MaxRecordBytes) {
		return
	}
	data, err := n.machines.snapshot()
	if err != nil {
		return // too large: the records are kept
	}
	// An error means that the snapshot exceeds the limits: the records are kept.
	_ = n.log.Compact(replica.Snapshot{
		Epoch: n.applied.Epoch, Seq: n.applied.Seq, Sum: n.applied.Sum, Data: data,
	})
}
