package fleet

import (
	"errors"

	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// startVoter makes this agent one of those that keep the log.
func (n *Node) startVoter(now ClockReading) (err error) {
	voters := make([]uint32, 0, len(n.settings.Voters))
	for _, v := range n.settings.Voters {
		voters = append(voters, uint32(v))
	}
	n.voter, err = raftlog.New(raftlog.Config{
		Agent: uint32(n.settings.Self), Voters: voters,
		Nonce: n.settings.Incarnation, Seed: n.settings.Seed, Volatile: !n.settings.IsDurable,
	}, steadyTime(now), n.settings.Stored)
	n.granter = lease.NewGranter(lease.GranterSettings{
		Terms: n.settings.Terms, Agents: n.settings.Agents,
		MayGrant: func(now ClockReading, from int, r lease.Request) bool {
			return n.mayGrantLease(now, from, r.Incarnation, r.Note)
		},
	})
	return err
}

// status is the voter's.
func (n *Node) voterStatus() raftlog.Status { return n.voter.Status() }

// vote gives the voter an input, and does what follows from it.
func (n *Node) stepVoter(now ClockReading, in raftlog.Input) {
	for in != nil {
		out := n.voter.Step(steadyTime(now), in)
		in = nil
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
			if n.settings.IsDurable {
				n.output.Persist = out.Persist
			} else {
				in = raftlog.Persisted{Token: out.Persist.Token}
			}
		}
		if out.SnapshotWanted && in == nil {
			in = n.voterSnapshot(now)
		}
	}
	if n.mustStandDown {
		n.standDown()
		return
	}
	n.confirmLeases(now)
}

// standDown ends this agent's part among the voters: it can't follow the log any more, so it must not grant
// leases on it. It goes on as an agent that is behind, within the floor, until it is of a later build.
func (n *Node) standDown() {
	if n.voter != nil {
		n.addEvent(Event{Kind: VoterStopped, Position: n.applied, Err: errUnknownRecordsFull})
	}
	n.voter, n.granter, n.isStopped = nil, nil, true
}

// restored takes the state above that the log goes on from.
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

// committed takes a record that the voters agreed on. The copy may have it already, from others.
func (n *Node) handleCommitted(now ClockReading, e raftlog.Entry) {
	n.delivered++
	if n.log.Last().Epoch != n.voterStatus().Identity.Epoch {
		return // a later log has replaced this one here already, which this voter belongs to no more soon
	}
	err := n.log.Append(replica.Record{Seq: n.delivered, Data: e.Data})
	if errors.Is(err, replica.ErrFull) && n.machines.isFull {
		n.mustStandDown = true
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

// voterSnapshot is the state above as of the last record that the log gave out, where that is what the
// machines have.
func (n *Node) voterSnapshot(now ClockReading) raftlog.Input {
	n.applyNew(now)
	if n.applied.Seq != n.delivered || n.applied.Epoch != n.voterStatus().Identity.Epoch {
		return nil
	}
	data, err := n.machines.snapshot()
	if err != nil {
		return nil
	}
	s := replica.Snapshot{Epoch: n.applied.Epoch, Seq: n.applied.Seq, Sum: n.applied.Sum, Data: data}
	return raftlog.Compact{Index: n.voterStatus().AppliedIndex, Data: encodeSnapshot(s)}
}

// confirm takes what the voter knows for sure to whoever waits for a lease, and tells of changes of the
// leader.
func (n *Node) confirmLeases(now ClockReading) {
	s := n.voterStatus()
	if leads := s.Phase == raftlog.Leading; leads != n.isLeading {
		n.isLeading = leads
		kind := LeadershipLost
		if leads {
			kind = LeadershipGained
		}
		n.addEvent(Event{Kind: kind, Position: n.applied})
	}
	if s.Phase == raftlog.Broken && !n.isStopped {
		n.isStopped = true
		n.addEvent(Event{Kind: VoterStopped, Err: s.Err})
	}
	if !s.FreshAsOf.After(n.freshAsOf) || s.Identity.Epoch == 0 {
		return
	}
	n.freshAsOf = s.FreshAsOf
	if n.log.Last().Epoch == s.Identity.Epoch {
		n.gossip.MarkCaughtUp()
	}
	age := now.Mono - steadyReading(s.FreshAsOf)
	asked := ClockReading{Unix: now.Unix - age, Mono: now.Mono - age}
	at := replica.Position{Epoch: s.Identity.Epoch, Seq: n.delivered}
	n.applyNew(now) // what stands above has to know of all that a grant names
	for _, a := range n.granter.HandleConfirmed(now, asked, at) {
		n.sendWithUpdate(now, a.To, channelLeaseGrant, a.Grant.Encode())
	}
}

// asked takes an agent's request for a lease. Only a voter of a log that goes on answers; who asks
// another one asks the next.
func (n *Node) handleLeaseRequest(now ClockReading, from int, b []byte) {
	r, err := lease.DecodeRequest(b)
	if err != nil || n.voter == nil {
		n.dropped++
		return
	}
	out, _ := n.granter.HandleRequest(now, from, r)
	for _, a := range out {
		n.sendWithUpdate(now, a.To, channelLeaseGrant, a.Grant.Encode())
	}
}
