package gossip

import (
	"errors"
	"slices"

	"dunestep/internal/fleet/replica"
)

const (
	// maxAheadPeers is the number of agents that are remembered as being ahead.
	maxAheadPeers = 8
	// maxAttempts is how often an agent that does not reply is asked in a row.
	maxAttempts = 6
	// minTimeoutDivisor is the part of Settings.ReplyTimeout for which a reply is waited for at least.
	minTimeoutDivisor = 4
)

// aheadPeer is an agent whose replica is ahead of this one.
type aheadPeer struct {
	agent    int
	position replica.Position
	attempts int // pulls in a row without a reply
}

func (r *Replicator) forgetPeer(agent int) {
	r.aheadPeers = slices.DeleteFunc(r.aheadPeers, func(p aheadPeer) bool { return p.agent == agent })
}

// rememberPeer remembers an agent that is ahead, in the place of the oldest one if there are too many.
func (r *Replicator) rememberPeer(agent int, position replica.Position) {
	r.forgetPeer(agent)
	if r.settings.NeverPull || r.log.Last().Covers(position) {
		return
	}
	if len(r.aheadPeers) >= maxAheadPeers {
		r.aheadPeers = r.aheadPeers[1:]
	}
	r.aheadPeers = append(r.aheadPeers, aheadPeer{agent: agent, position: position})
}

// pullIfDue pulls from one of the agents that are ahead, unless a pull is in progress or the byte budget is
// exhausted.
func (r *Replicator) pullIfDue() {
	if r.isPulling || len(r.aheadPeers) == 0 || r.now < r.pullUntil {
		return
	}
	if !r.receiveBudget.covers(r.settings.MaxMessageBytes) {
		r.pullUntil = r.now + r.receiveBudget.waitFor(r.settings.MaxMessageBytes)
		return
	}
	r.sendPull(r.aheadPeers[r.rng.IntN(len(r.aheadPeers))].agent)
}

func (r *Replicator) sendPull(agent int) {
	last := r.log.Last()
	p := pull{Epoch: last.Epoch, Seq: last.Seq, Sum: last.Sum}
	if r.partial.isStarted {
		p.PartialSum, p.Offset = r.partial.header.ItemSum, len(r.partial.data)
	}
	timeout := r.roundTrip.Timeout(r.settings.ReplyTimeout, minTimeoutDivisor)
	r.isPulling, r.pullPeer, r.pullStarted, r.pullUntil = true, agent, r.now, r.now+timeout
	r.send(agent, encode(kindPull, p))
}

// pullTimedOut ends a pull without a reply. After maxAttempts the agent is forgotten until it sends a digest
// again.
func (r *Replicator) pullTimedOut() {
	r.isPulling, r.pullUntil = false, r.now
	for i := range r.aheadPeers {
		if p := &r.aheadPeers[i]; p.agent == r.pullPeer {
			if p.attempts++; p.attempts >= maxAttempts {
				r.forgetPeer(r.pullPeer)
			}
			return
		}
	}
}

// received is what a segment or a chunk brought.
type received struct {
	bytes          int
	epoch, lastSeq uint64 // the sender's last record
	hasMore        bool   // it brought something, and the sender has more
}

// endPull ends the pull that a message answers, if any, and continues with the sender where it has more. An
// agent that brought nothing is not asked again until it sends a digest.
func (r *Replicator) endPull(from int, got received) {
	r.receiveBudget.charge(got.bytes)
	if r.isPulling && r.pullPeer == from {
		r.isPulling, r.pullUntil = false, r.now
		r.roundTrip.Note(r.now - r.pullStarted)
	}
	r.forgetPeer(from)
	if !got.hasMore {
		return
	}
	r.rememberPeer(from, replica.Position{Epoch: got.epoch, Seq: got.lastSeq})
	if !r.isPulling && r.receiveBudget.covers(r.settings.MaxMessageBytes) && len(r.aheadPeers) > 0 {
		r.sendPull(from)
	}
}

// segmentRole is why a segment was sent.
type segmentRole uint8

const (
	pulledSegment segmentRole = iota
	pushedSegment             // an announcement, which also states how far the sender is
)

func (r *Replicator) roleOf(from int, s segment) segmentRole {
	isUpToLast := s.First+uint64(len(s.Records)) == s.LastSeq+1
	isAwaited := r.isPulling && r.pullPeer == from
	if isUpToLast && !isAwaited {
		return pushedSegment
	}
	return pulledSegment
}

func (r *Replicator) handleSegment(from int, s segment) {
	role := r.roleOf(from, s)
	if !r.settings.NeverPull {
		r.appendSegment(from, s, role)
	}
	if role == pushedSegment {
		r.handleDigest(from, digest{Epoch: s.Epoch, Seq: s.LastSeq, Sum: s.Sum})
	}
}

func (r *Replicator) appendSegment(from int, s segment, role segmentRole) {
	appended, err := r.log.AppendSegment(replica.Segment{
		Epoch: s.Epoch, First: s.First, PriorSum: s.PriorSum, Sum: s.Sum, Records: s.Records,
	})
	isFull := errors.Is(err, replica.ErrFull)
	isMissingEarlier := errors.Is(err, replica.ErrGap) || errors.Is(err, replica.ErrNewEpoch)
	switch {
	case errors.Is(err, replica.ErrDiverged):
		r.noteDiverged(from)
	case role == pushedSegment && isMissingEarlier:
		return // the digest that follows has the missing records pulled
	case err != nil && !isFull:
		r.stats.Rejected++
	}
	if appended > 0 {
		r.partial = partialItem{}
	}
	last := r.log.Last()
	hasMore := err == nil && appended > 0 && s.Epoch == last.Epoch && s.LastSeq > last.Seq
	r.endPull(from, received{bytes: totalBytes(s.Records), epoch: s.Epoch, lastSeq: s.LastSeq, hasMore: hasMore})
	if isFull {
		r.pullUntil = r.now + r.settings.ReplyTimeout
	}
}

func totalBytes(records [][]byte) (n int) {
	for _, r := range records {
		n += len(r)
	}
	return n
}
