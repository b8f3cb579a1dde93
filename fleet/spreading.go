package fleet

import (
	"dunestep/fleet/consensus"
	"dunestep/fleet/spread"
)

// startSpread begins to exchange records with other agents. A voter does too: until it belongs to a log
// again, others have what it lacks.
func (n *Node) startSpread(now Reading) {
	n.spread = spread.New(spread.Settings{
		Agents: n.set.Agents, Self: n.set.Self, Voters: n.set.Voters,
		Seed: n.set.Seed, Deadline: n.set.Ready,
	}, n.log, now.Mono)
	n.spreads = n.log.Last()
}

func (n *Node) spreadHeard(now Reading, from int, b []byte) {
	n.spreadDo(now, n.spread.Step(now.Mono, from, b))
}

// spreadTurn tells others of what the voters' log has brought, and does what is due.
func (n *Node) spreadTurn(now Reading) {
	n.spread.Vouching(n.holder.Holds(now))
	if n.log.Last() != n.spreads {
		n.spreads = n.log.Last()
		n.spreadDo(now, n.spread.News(now.Mono))
	}
	if now.Mono >= n.spread.Next() {
		n.spreadDo(now, n.spread.Tick(now.Mono))
	}
}

func (n *Node) spreadDo(now Reading, out spread.Output) {
	for _, s := range out.Sends {
		n.say(now, s.To, channelSpread, s.Data)
	}
	if out.Diverged && !n.differs[out.With] {
		n.differs[out.With] = true
		n.event(Event{Kind: Differs, Agent: out.With, At: n.log.Last()})
	}
	n.spreads = n.log.Last()
}

// Ready tells whether a process that starts may say that it is ready: it has what others have, and a
// lease where something above acts by it, or the time for that is over. CaughtUp is false in that case.
func (n *Node) Ready(now Reading) (ready, caughtUp bool) {
	caughtUp = n.spread.CaughtUp(now.Mono) == spread.CaughtUp
	if n.set.Above != nil {
		caughtUp = caughtUp && n.holder.Holds(now)
	}
	bound := n.set.Ready
	if n.voter != nil {
		caughtUp = caughtUp && n.belongs()
		if !n.set.Lasts {
			bound *= voterPatience
		}
	}
	return caughtUp || now.Mono-n.began >= bound, caughtUp
}

// Knows tells whether a process that starts has what others have, or the time for that is over; a lease, or a
// place among the voters, may still be to come.
func (n *Node) Knows(now Reading) bool {
	return n.spread.CaughtUp(now.Mono) == spread.CaughtUp || now.Mono-n.began >= n.set.Ready
}

// voterPatience is how many times longer a voter that keeps nothing waits. A fleet is restarted one agent
// after the other as each says that it is ready: one that said so before the others had taken it back would
// have the next one go, and with a majority of the voters the log.
const voterPatience = 5

// belongs tells whether this voter has its place in the log, and no other is to be taken back or replaced.
func (n *Node) belongs() bool {
	s := n.status()
	in := s.Phase == consensus.Voting || s.Phase == consensus.Leading
	return in && !s.Joint && len(s.Members) == len(n.set.Voters)
}
