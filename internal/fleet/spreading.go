package fleet

import (
	"dunestep/internal/fleet/gossip"
	"dunestep/internal/fleet/raftlog"
)

// startGossip begins to exchange records with other agents. A voter does too: until it belongs to a log
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

// runGossip tells others of what the voters' log has brought, and does what is due.
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
	for _, s := range out.Messages {
		n.sendWithUpdate(now, s.To, channelGossip, s.Data)
	}
	if out.HasDiverged && !n.diverged[out.DivergedFrom] {
		n.diverged[out.DivergedFrom] = true
		n.addEvent(Event{Kind: LogDiverged, Agent: out.DivergedFrom, Position: n.log.Last()})
	}
	n.lastGossiped = n.log.Last()
}

// ReadyTimeout tells whether a process that starts may say that it is ready: it has what others have, and a
// lease where something above acts by it, or the time for that is over. CaughtUp is false in that case.
func (n *Node) Ready(now ClockReading) (ready, caughtUp bool) {
	caughtUp = n.gossip.CatchUpState(now.Mono) == gossip.CaughtUp
	if n.settings.Application != nil {
		caughtUp = caughtUp && n.holder.Holds(now)
	}
	bound := n.settings.ReadyTimeout
	if n.voter != nil {
		caughtUp = caughtUp && n.isSettledVoter()
		if !n.settings.IsDurable {
			bound *= voterReadyFactor
		}
	}
	return caughtUp || now.Mono-n.startedAt >= bound, caughtUp
}

// IsCaughtUp tells whether a process that starts has what others have, or the time for that is over; a lease, or a
// place among the voters, may still be to come.
func (n *Node) IsCaughtUp(now ClockReading) bool {
	return n.gossip.CatchUpState(now.Mono) == gossip.CaughtUp || now.Mono-n.startedAt >= n.settings.ReadyTimeout
}

// voterReadyFactor is how many times longer a voter that keeps nothing waits. A fleet is restarted one agent
// after the other as each says that it is ready: one that said so before the others had taken it back would
// have the next one go, and with a majority of the voters the log.
const voterReadyFactor = 5

// belongs tells whether this voter has its place in the log, and no other is to be taken back or replaced.
func (n *Node) isSettledVoter() bool {
	s := n.voterStatus()
	in := s.Phase == raftlog.Voting || s.Phase == raftlog.Leading
	return in && !s.IsJointConfig && len(s.Members) == len(n.settings.Voters)
}
