package fleet

import (
	"dunestep/internal/fleet/gossip"
	"dunestep/internal/fleet/raftlog"
)

// voterReadyFactor is how many times longer a voter without a store waits until it is ready. A fleet is
// restarted one agent after the other as each reports that it is ready: one that did so before the others had
// added it again would have the next one stopped, and with a majority of the voters the log would be lost.
const voterReadyFactor = 5

// startGossip starts to exchange records with other agents. A voter does too: until it belongs to a log
// again, others have what it lacks.
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

// runGossip announces what the voters' log has brought, and does what is due.
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

// Ready reports whether a process that starts may report that it is ready: it has caught up, or the time for
// that is over. It has caught up if it has the records of the others, holds a lease if there is an
// application, and, as a voter, has its place in the log.
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

// IsCaughtUp reports whether a process that starts has the records of the others, or the time for that is
// over; a lease, or a place among the voters, may still be missing.
func (n *Node) IsCaughtUp(now ClockReading) bool {
	return n.hasRecords(now) || now.Mono-n.startedAt >= n.settings.ReadyTimeout
}

// hasRecords reports whether this agent has all records that others had when it started.
func (n *Node) hasRecords(now ClockReading) bool {
	return n.gossip.CatchUpState(now.Mono) == gossip.CaughtUp
}

// isSettledVoter reports whether this voter has its place in the log, and no other one is to be added or
// replaced.
func (n *Node) isSettledVoter() bool {
	s := n.voterStatus()
	isInLog := s.Phase == raftlog.Voting || s.Phase == raftlog.Leading
	return isInLog && !s.IsJointConfig && len(s.Members) == len(n.settings.Voters)
}
