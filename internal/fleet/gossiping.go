package fleet

import (
	"dunestep/internal/fleet/gossip"
	"dunestep/internal/fleet/raftlog"
)

// voterReadyFactor multiplies ReadyTimeout for a voter without a store. A rolling restart stops the next
// agent once the previous one is ready. If a voter were ready before the others had added it to the log
// again, the restart could stop a majority of the voters, and the log would be lost.
const voterReadyFactor = 5

// startGossip starts to exchange records with other agents. A voter takes part too: until it is a member of a
// log again, it receives the records from other agents.
func (n *Node) startGossip(now ClockReading) {
	n.gossip = gossip.New(gossip.Settings{
		Agents: n.settings.Agents, Self: n.settings.Self, Voters: n.settings.Voters,
		Seed: n.settings.Seed, CatchUpDeadline: n.settings.ReadyTimeout,
	}, n.log, now.Mono)
	n.lastGossiped = n.log.Last()
}

func (n *Node) handleGossip(now ClockReading, from int, b []byte) {
	n.carryOutGossip(now, n.gossip.Step(now.Mono, from, b))
}

// runGossip announces the records that the voters' log has added, and calls Tick if it is due.
func (n *Node) runGossip(now ClockReading) {
	n.gossip.SetTrust(gossip.Trust(n.holder.Holds(now)))
	if n.log.Last() != n.lastGossiped {
		n.lastGossiped = n.log.Last()
		n.carryOutGossip(now, n.gossip.RecordsAdded(now.Mono))
	}
	if now.Mono >= n.gossip.Next() {
		n.carryOutGossip(now, n.gossip.Tick(now.Mono))
	}
}

func (n *Node) carryOutGossip(now ClockReading, out gossip.Output) {
	for _, m := range out.Messages {
		n.sendWithUpdate(now, m.To, channelGossip, m.Data)
	}
	if out.HasDiverged && !n.diverged[out.DivergedFrom] {
		n.diverged[out.DivergedFrom] = true
		n.addEvent(Event{Kind: LogDiverged, Agent: out.DivergedFrom, Position: n.log.Last()})
	}
	n.lastGossiped = n.log.Last()
}

// Ready reports whether this process may report that it is ready, and whether it has caught up after its
// start. It is ready if it has caught up or ReadyTimeout has passed. It has caught up if it has the records
// of the other agents, holds a lease (if there is an application) and is a member of the log (if it is a
// voter). For a voter without a store, the timeout is multiplied by voterReadyFactor.
func (n *Node) Ready(now ClockReading) (isReady, isCaughtUp bool) {
	isCaughtUp = n.hasRecords(now)
	if n.settings.Application != nil {
		isCaughtUp = isCaughtUp && n.holder.Holds(now)
	}
	timeout := n.settings.ReadyTimeout
	if n.voter != nil {
		isCaughtUp = isCaughtUp && n.isSettledVoter()
		if !n.settings.IsDurable {
			timeout *= voterReadyFactor
		}
	}
	return isCaughtUp || now.Mono-n.startedAt >= timeout, isCaughtUp
}

// IsCaughtUp reports whether a process that has started has the records of the other agents, or ReadyTimeout
// has passed. It may not hold a lease yet, and as a voter not be a member of the log yet.
func (n *Node) IsCaughtUp(now ClockReading) bool {
	return n.hasRecords(now) || now.Mono-n.startedAt >= n.settings.ReadyTimeout
}

// hasRecords reports whether this agent has all records that other agents had when it started.
func (n *Node) hasRecords(now ClockReading) bool {
	return n.gossip.CatchUpState(now.Mono) == gossip.CaughtUp
}

// isSettledVoter reports whether this voter is a member of the log and no change of the members is pending.
func (n *Node) isSettledVoter() bool {
	s := n.voterStatus()
	isInLog := s.Phase == raftlog.Voting || s.Phase == raftlog.Leading
	return isInLog && !s.IsJointConfig && len(s.Members) == len(n.settings.Voters)
}
