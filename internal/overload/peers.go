package overload

import (
	"time"

	"dunestep/internal/balancer"
)

const (
	peerEvidenceValidFor = 400 * time.Millisecond
	maxPeerEvidence      = 16 // agents whose evidence is kept
	peersPerMessage      = 8  // recipients of a message
	evidenceInterval     = 150 * time.Millisecond
	maxLateStart         = 200 * time.Millisecond // an announced start that is further in the past is ignored
	maxEarlyStart        = time.Second            // an announced start that is further in the future is ignored
)

// peerEvidence is the latest evidence of another agent; receivedAt zero: none.
type peerEvidence struct {
	from              int
	logFactor, weight float64
	receivedAt        time.Duration
}

func (p *peerEvidence) isFresh(now time.Duration) bool {
	return p.receivedAt > 0 && now-p.receivedAt < peerEvidenceValidFor
}

// hasNoFreshPeer reports whether there is no fresh evidence from any other agent.
func (e *episode) hasNoFreshPeer(now time.Duration) bool {
	for i := range e.peers {
		if e.peers[i].isFresh(now) {
			return false
		}
	}
	return true
}

// recordPeer stores an agent's evidence, replacing its previous one or else the oldest of all.
func (e *episode) recordPeer(now time.Duration, from int, m message) {
	slot := &e.peers[0]
	for i := range e.peers {
		p := &e.peers[i]
		if p.receivedAt > 0 && p.from == from {
			slot = p
			break
		}
		if p.receivedAt < slot.receivedAt {
			slot = p
		}
	}
	*slot = peerEvidence{from: from, logFactor: m.logFactor, weight: m.weight, receivedAt: now}
}

// sendToPeers sends this agent's evidence to other agents; in a large fleet, to a few that are drawn at
// random.
func (c *Controller) sendToPeers(kind messageKind) {
	others := c.settings.Balancers - 1
	if !c.settings.Limits.Gossip || others < 1 {
		return
	}
	e := &c.episode
	e.sentAt = c.now
	m := message{kind: kind, logFactor: e.own.logSum / max(e.own.weight, 1e-9), weight: e.own.weight}
	if kind == messageShedding {
		m.startsAt = e.sheddingFrom
	}
	data := m.encode()
	first := c.rng.IntN(others)
	for i := range min(peersPerMessage, others) {
		peer := (c.settings.Self + 1 + (first+i)%others) % c.settings.Balancers
		c.actions = append(c.actions, balancer.Action{Kind: balancer.SendToPeer, Peer: peer, Data: data})
	}
}

// onPeerMessage processes another agent's message; a malformed one is dropped. Shedding that it announces
// is joined if this agent's own responses support it. During shedding, a later start extends it, once.
func (c *Controller) onPeerMessage(from int, data []byte) {
	m, ok := decodeMessage(data)
	if !ok || from < 0 || from >= c.settings.Balancers || from == c.settings.Self {
		return
	}
	e := &c.episode
	if e.recordPeer(c.now, from, m); c.config.Disabled {
		return
	}
	if m.kind == messageServedAgain && c.outage.phase == phaseOutage {
		c.outage.trialTokens = max(c.outage.trialTokens, 1) // allow a trial at once,
		c.outage.lastSentAt = 0                             // after a reset of the balancer's view
	}
	if e.own.weight >= minSparseWeight && c.now >= e.sentAt+evidenceInterval {
		c.sendToPeers(messageEvidence) // evidence of usual service counts too
	}
	if m.kind != messageShedding || m.startsAt <= c.now-maxLateStart || m.startsAt >= c.now+maxEarlyStart {
		return
	}
	if e.isShedding && !e.isExtended && m.startsAt > e.sheddingFrom+episodeOverAfter &&
		e.ownEvidenceAgrees(c.now) {
		e.isExtended, e.sheddingUntil = true, m.startsAt+c.config.MaxShedding
	}
	if !e.isShedding {
		e.announcedStart = m.startsAt
		c.joinShedding()
	}
}
