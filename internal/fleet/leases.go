package fleet

import (
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/membership"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// requestLease sends a request for a lease if one is due.
func (n *Node) requestLease(now ClockReading) {
	voter, r, isDue := n.holder.Tick(now)
	if !isDue {
		return
	}
	if n.settings.Application != nil {
		r.Note = n.settings.Application.LeaseNote()
	}
	n.sendWithUpdate(now, voter, channelLeaseRequest, r.Encode())
}

// handleLeaseRequest processes an agent's request for a lease. Only a voter whose log can make progress
// replies; an agent that receives no reply sends its request to the next voter.
func (n *Node) handleLeaseRequest(now ClockReading, from int, b []byte) {
	r, err := lease.DecodeRequest(b)
	if err != nil || n.voter == nil {
		n.dropped++
		return
	}
	// The voter confirms its position by heartbeats, whether or not the granter requests a read.
	replies, _ := n.granter.HandleRequest(now, from, r)
	n.sendGrants(now, replies)
}

func (n *Node) handleLeaseGrant(now ClockReading, from int, b []byte) {
	g, err := lease.DecodeGrant(b)
	if err != nil {
		n.dropped++
		return
	}
	n.holder.HandleGrant(now, from, g)
}

func (n *Node) sendGrants(now ClockReading, replies []lease.Reply) {
	for _, r := range replies {
		n.sendWithUpdate(now, r.To, channelLeaseGrant, r.Grant.Encode())
	}
}

// confirmLeases grants the pending requests if the voter has confirmed its position as of a later time.
func (n *Node) confirmLeases(now ClockReading, s raftlog.Status) {
	if !s.FreshAsOf.After(n.freshAsOf) || s.Identity.Epoch == 0 {
		return
	}
	n.freshAsOf = s.FreshAsOf
	if n.log.Last().Epoch == s.Identity.Epoch {
		n.gossip.MarkCaughtUp()
	}
	age := now.Mono - steadyReading(s.FreshAsOf)
	startedAt := ClockReading{Unix: now.Unix - age, Mono: now.Mono - age}
	position := replica.Position{Epoch: s.Identity.Epoch, Seq: n.delivered}
	n.applyNew(now) // the application must have applied all records up to the position in the grant
	n.sendGrants(now, n.granter.HandleConfirmed(now, startedAt, position))
}

// mayGrantLease reports whether the application allows a lease for an agent.
func (n *Node) mayGrantLease(now ClockReading, agent int, r lease.Request) bool {
	return n.settings.Application == nil ||
		n.settings.Application.MayGrantLease(now, agent, r.Incarnation, r.Note)
}

// Standing returns how the agent may act at the time of the reading, which must be a new one for each
// decision. If there is an application, which depends on the Unix time, an agent whose clock is off acts
// within the floor only.
func (n *Node) Standing(now ClockReading) lease.Standing {
	s := n.holder.Standing(now)
	if s == lease.Full && n.settings.Application != nil && n.holder.IsClockOff(now) {
		return lease.Floor
	}
	return s
}

// FencePassed reports whether the fence has passed: no agent acts any more without the records that were
// committed at an earlier reading.
func (n *Node) FencePassed(committed, now ClockReading) bool {
	return n.settings.Terms.FencePassed(committed, now)
}

// PresentAgents returns the number of agents that count as present, including this one. It returns 0 if the
// number is not known, as this agent holds no lease or is not connected in both directions.
func (n *Node) PresentAgents(now ClockReading) int {
	if n.Standing(now) != lease.Full || n.members.Connection(now.Mono) != membership.Connected {
		return 0
	}
	return n.members.PresentCount(now.Mono)
}
