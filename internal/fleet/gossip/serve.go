package gossip

import "dunestep/internal/fleet/replica"

// handlePull replies to a pull with one message of records or of a chunk, within the byte budget. If no
// records follow the position in the pull, the pull is handled as a digest.
func (r *Replicator) handlePull(from int, p pull) {
	reply := r.pullReply(p)
	switch {
	case reply == nil:
		r.handleDigest(from, digest{Epoch: p.Epoch, Seq: p.Seq, Sum: p.Sum})
	case !r.sendBudget.spend(len(reply)):
		r.stats.Throttled++
	default:
		r.stats.Served++
		r.send(from, reply)
	}
}

// pullReply returns the reply to a pull, or nil if no records follow the position or the replicas differ.
func (r *Replicator) pullReply(p pull) []byte {
	last := r.log.Last()
	if last.Epoch < p.Epoch || last.Epoch == p.Epoch && last.Seq <= p.Seq {
		return nil
	}
	first := p.Seq + 1
	if p.Epoch < last.Epoch {
		first = 1
	} else if sum, isKnown := r.log.SumAt(p.Seq); isKnown && sum != p.Sum {
		return nil
	}
	s, isKnown := r.log.Segment(first, r.settings.MaxMessageBytes)
	if !isKnown {
		return r.snapshotChunk(p)
	}
	if len(s.Records[0]) <= r.settings.MaxMessageBytes {
		return encode(kindSegment, segment{
			Epoch: s.Epoch, First: first, PriorSum: s.PriorSum, Sum: s.Sum,
			Records: s.Records, LastSeq: last.Seq,
		})
	}
	return r.recordChunk(p, s)
}

// recordChunk returns a chunk of the first record of a segment, which is larger than a message.
func (r *Replicator) recordChunk(p pull, s replica.Segment) []byte {
	return r.nextChunk(p, s.Records[0], chunk{
		Epoch: s.Epoch, Seq: s.First, PriorSum: s.PriorSum, ItemSum: s.Sum,
	})
}

// snapshotChunk returns a chunk of the snapshot.
func (r *Replicator) snapshotChunk(p pull) []byte {
	s := r.log.Snapshot()
	return r.nextChunk(p, s.Data, chunk{
		Snapshot: true, Epoch: s.Epoch, Seq: s.Seq, PriorSum: s.Sum, ItemSum: s.Digest(),
	})
}

// nextChunk returns the chunk of an item at the offset in the pull, or the first chunk if the pull has no
// part of this item.
func (r *Replicator) nextChunk(p pull, data []byte, c chunk) []byte {
	c.ItemBytes, c.LastSeq = len(data), r.log.Last().Seq
	if p.PartialSum == c.ItemSum && p.Offset > 0 && p.Offset < len(data) {
		c.Offset = p.Offset
	}
	c.Data = data[c.Offset:min(c.Offset+r.settings.MaxMessageBytes, len(data))]
	return encode(kindChunk, c)
}
