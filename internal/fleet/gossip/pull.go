package gossip

import (
	"errors"
	"slices"

	"dunestep/internal/fleet/replica"
)

const (
	// maxAheadPeers is the maximum number of agents that are remembered as being ahead.
	maxAheadPeers = 8
	// maxAttempts is the number of pulls without a reply after which an agent is forgotten.
	maxAttempts = 6
	// minTimeoutDivisor is the divisor of Settings.ReplyTimeout that gives the minimum timeout of a pull.
	minTimeoutDivisor = 4
)

// aheadPeer is an agent whose replica is ahead of this one.
type aheadPeer struct {
	agent    int
	position replica.Position
	attempts int // successive pulls without a reply
}

func (r *Replicator) forgetPeer(agent int) {
	r.aheadPeers = slices.DeleteFunc(r.aheadPeers, func(p aheadPeer) bool { return p.agent == agent })
}

// rememberPeer remembers an agent that is ahead. It replaces the least recently added one if there are too
// many.
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

// pullIfDue pulls from one of the agents that are ahead, unless a pull is in progress or the byte budget does
// not cover a message.
func (r *Replicator) pullIfDue() {
	if r.isPulling || len(r.aheadPeers) == 0 || r.now < r.pullWaitUntil {
		return
	}
	if !r.receiveBudget.covers(r.settings.MaxMessageBytes) {
		r.pullWaitUntil = r.now + r.receiveBudget.waitFor(r.settings.MaxMessageBytes)
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
	r.isPulling, r.pullPeer, r.pullStarted, r.pullWaitUntil = true, agent, r.now, r.now+timeout
	r.send(agent, encode(kindPull, p))
}

// pullTimedOut ends a pull that received no reply. After maxAttempts the agent is forgotten until it sends
// another digest.
func (r *Replicator) pullTimedOut() {
	r.isPulling, r.pullWaitUntil = false, r.now
	for i := range r.aheadPeers {
		if p := &r.aheadPeers[i]; p.agent == r.pullPeer {
			if p.attempts++; p.attempts >= maxAttempts {
				r.forgetPeer(r.pullPeer)
			}
			return
		}
	}
}

// pullResult is the result of a received segment or chunk.
type pullResult struct {
	bytes          int
	epoch, lastSeq uint64 // position of the sender's last record
	hasMore        bool   // the message advanced the replica or the partial item, and the sender has more
}

// endPull ends the pull to which a message from an agent replies, if there is one, and pulls from the same
// agent again if it has more. An agent whose message advanced nothing is forgotten until it sends another
// digest.
func (r *Replicator) endPull(from int, got pullResult) {
	r.receiveBudget.charge(got.bytes)
	if r.isPulling && r.pullPeer == from {
		r.isPulling, r.pullWaitUntil = false, r.now
		r.roundTrip.AddSample(r.now - r.pullStarted)
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

// segmentOrigin states whether a segment was pulled or pushed.
type segmentOrigin uint8

const (
	pulledSegment segmentOrigin = iota
	pushedSegment               // an announcement, which also serves as the digest of the sender
)

// originOf returns the origin of a segment. A pushed segment contains the last record of the sender and is
// not from an agent whose reply is awaited.
func (r *Replicator) originOf(from int, s segment) segmentOrigin {
	isUpToLast := s.First+uint64(len(s.Records)) == s.LastSeq+1
	isAwaited := r.isPulling && r.pullPeer == from
	if isUpToLast && !isAwaited {
		return pushedSegment
	}
	return pulledSegment
}

func (r *Replicator) handleSegment(from int, s segment) {
	origin := r.originOf(from, s)
	if !r.settings.NeverPull {
		r.appendSegment(from, s, origin)
	}
	if origin == pushedSegment {
		r.handleDigest(from, digest{Epoch: s.Epoch, Seq: s.LastSeq, Sum: s.Sum})
	}
}

func (r *Replicator) appendSegment(from int, s segment, origin segmentOrigin) {
	appended, err := r.log.AppendSegment(replica.Segment{
		Epoch: s.Epoch, First: s.First, PriorSum: s.PriorSum, Sum: s.Sum, Records: s.Records,
	})
	isFull := errors.Is(err, replica.ErrFull)
	isMissingEarlier := errors.Is(err, replica.ErrGap) || errors.Is(err, replica.ErrNewEpoch)
	switch {
	case errors.Is(err, replica.ErrDiverged):
		r.noteDiverged(from)
	case origin == pushedSegment && isMissingEarlier:
		return // the caller handles the segment as a digest, which leads to a pull of the missing records
	case err != nil && !isFull:
		r.stats.Rejected++
	}
	if appended > 0 {
		r.partial = partialItem{}
	}
	last := r.log.Last()
	hasMore := err == nil && appended > 0 && s.Epoch == last.Epoch && s.LastSeq > last.Seq
	r.endPull(from, pullResult{
		bytes: totalBytes(s.Records), epoch: s.Epoch, lastSeq: s.LastSeq,
		hasMore: hasMore,
	})
	if isFull {
		r.pullWaitUntil = r.now + r.settings.ReplyTimeout
	}
}

func totalBytes(records [][]byte) (n int) {
	for _, r := range records {
		n += len(r)
	}
	return n
}
