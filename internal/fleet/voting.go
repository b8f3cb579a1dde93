package fleet

import (
	"errors"
	"fmt"

	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// startVoter starts the voter of this agent. It returns an error if the stored state cannot be used.
func (n *Node) startVoter(now ClockReading) error {
	voters := make([]uint32, 0, len(n.settings.Voters))
	for _, v := range n.settings.Voters {
		voters = append(voters, uint32(v))
	}
	voter, err := raftlog.New(raftlog.Config{
		Agent: uint32(n.settings.Self), Voters: voters,
		Nonce: n.settings.Incarnation, Seed: n.settings.Seed, Volatile: !n.settings.IsDurable,
	}, steadyTime(now), n.settings.Stored)
	if err != nil {
		return fmt.Errorf("fleet: cannot start the voter: %w", err)
	}
	n.voter = voter
	n.granter = lease.NewGranter(lease.GranterSettings{
		Terms: n.settings.Terms, Agents: n.settings.Agents, MayGrant: n.mayGrantLease,
	})
	return nil
}

func (n *Node) voterStatus() raftlog.Status { return n.voter.Status() }

// stepVoter passes an input to the voter, and carries out the outputs.
func (n *Node) stepVoter(now ClockReading, in raftlog.Input) {
	for in != nil {
		out := n.voter.Step(steadyTime(now), in)
		in = n.carryOut(now, out)
	}
	if n.mustStopVoter {
		n.stopVoter()
		return
	}
	s := n.voterStatus()
	n.reportVoterChange(s)
	n.confirmLeases(now, s)
}

// carryOut carries out an output of the voter, and returns the voter's next input, or nil if there is none.
// Rejected inputs need no handling, as their senders repeat them.
func (n *Node) carryOut(now ClockReading, out raftlog.Output) (next raftlog.Input) {
	for _, m := range out.Messages {
		n.send(now, int(m.To), channelRaft, m.Bytes)
	}
	if out.Restore != nil {
		n.handleRestore(out.Restore)
	}
	for _, e := range out.Committed {
		n.handleCommitted(now, e)
	}
	if out.Persist != nil {
		if !n.settings.IsDurable {
			return raftlog.Persisted{Token: out.Persist.Token}
		}
		n.output.Persist = out.Persist
	}
	if out.SnapshotWanted {
		return n.voterSnapshot(now)
	}
	return nil
}

// stopVoter stops this agent's voter: the agent can no longer append to its replica, so it must not grant
// leases. It continues without a lease, within the floor, until it runs a later build.
func (n *Node) stopVoter() {
	if n.voter != nil {
		n.addEvent(Event{Kind: VoterStopped, Position: n.applied, Err: errUnknownRecordsFull})
	}
	n.voter, n.granter, n.wasStopped = nil, nil, true
}

// handleRestore replaces the replica by the snapshot from which the voters' log continues.
func (n *Node) handleRestore(r *raftlog.Restore) {
	s := replica.InitialSnapshot(r.Epoch)
	if len(r.Data) > 0 {
		var err error
		if s, err = decodeSnapshot(r.Data); err != nil {
			n.addEvent(Event{Kind: VoterStopped, Err: err})
			return
		}
	}
	n.delivered = s.Seq
	if _, err := n.log.Install(s); err != nil {
		n.addEvent(Event{Kind: LogDiverged, Agent: n.settings.Self, Position: s.Position(), Err: err})
	}
}

// handleCommitted appends a record that the voters committed, unless the replica has already received it by
// gossip.
func (n *Node) handleCommitted(now ClockReading, e raftlog.Entry) {
	n.delivered++
	if n.log.Last().Epoch != n.voterStatus().Identity.Epoch {
		return // the replica belongs to a later log, of which this voter is not a member yet
	}
	err := n.log.Append(replica.Record{Seq: n.delivered, Data: e.Data})
	if errors.Is(err, replica.ErrFull) && n.machines.isFull {
		n.mustStopVoter = true
		return
	}
	if err != nil {
		n.addEvent(Event{Kind: LogDiverged, Agent: n.settings.Self, Position: n.log.Last(), Err: err})
		return
	}
	if n.log.Len() >= n.log.Limits().MaxRecords {
		n.applyNew(now)
	}
}

// voterSnapshot returns the input that compacts the voters' log with a snapshot as of the last record that
// the log delivered. It returns nil if the state machines are at another position or the snapshot is too
// large.
func (n *Node) voterSnapshot(now ClockReading) raftlog.Input {
	n.applyNew(now)
	if n.applied.Seq != n.delivered || n.applied.Epoch != n.voterStatus().Identity.Epoch {
		return nil
	}
	data, err := n.machines.snapshot()
	if err != nil {
		return nil // too large
	}
	s := replica.Snapshot{Epoch: n.applied.Epoch, Seq: n.applied.Seq, Sum: n.applied.Sum, Data: data}
	return raftlog.Compact{Index: n.voterStatus().AppliedIndex, Data: encodeSnapshot(s)}
}
