package gossip

import (
	"errors"

	"dunestep/internal/fleet/replica"
)

// partialItem is the beginning of a record or a snapshot that is received in chunks.
type partialItem struct {
	isStarted         bool
	header            chunk // first chunk, without its data
	data              []byte
	lastChunkDiffered bool // the last received chunk was of another item
}

// isContinuedBy reports whether a chunk is the next chunk of the item.
func (p *partialItem) isContinuedBy(c chunk) bool {
	h := p.header
	return h.ItemSum == c.ItemSum && h.ItemBytes == c.ItemBytes && h.Snapshot == c.Snapshot && h.Seq == c.Seq &&
		h.Epoch == c.Epoch && h.PriorSum == c.PriorSum && c.Offset == len(p.data)
}

// handleChunk adds a chunk to the partial item. Another item replaces the partial one only after two chunks
// in a row that do not belong to it.
func (r *Replicator) handleChunk(from int, c chunk) {
	if r.settings.NeverPull {
		return
	}
	if !r.isWithinLimits(c) || !r.extendsLog(c) {
		r.stats.Rejected++
		r.endPull(from, pullResult{bytes: len(c.Data), epoch: c.Epoch, lastSeq: c.LastSeq})
		return
	}
	isOtherItem := r.partial.header.ItemSum != c.ItemSum
	if !r.partial.isStarted || c.Offset == 0 && isOtherItem && r.partial.lastChunkDiffered {
		r.partial = partialItem{isStarted: true, header: c}
		r.partial.header.Data = nil
	}
	p := &r.partial
	isContinued := p.isContinuedBy(c)
	if isContinued {
		p.data = append(p.data, c.Data...)
	}
	p.lastChunkDiffered = p.header.ItemSum != c.ItemSum
	if isContinued && len(p.data) == p.header.ItemBytes {
		r.completeItem(from)
	}
	isSenderAhead := !r.log.Last().Covers(replica.Position{Epoch: c.Epoch, Seq: c.LastSeq})
	r.endPull(from, pullResult{
		bytes: len(c.Data), epoch: c.Epoch, lastSeq: c.LastSeq, hasMore: isContinued && isSenderAhead,
	})
}

// isWithinLimits reports whether a chunk lies within its item, and the item within the size limits of the
// log.
func (r *Replicator) isWithinLimits(c chunk) bool {
	limits := r.log.Limits()
	maxBytes := limits.MaxRecordBytes
	if c.Snapshot {
		maxBytes = limits.MaxSnapshotBytes
	}
	if c.ItemBytes < 0 || c.ItemBytes > maxBytes || c.Offset < 0 || c.Offset > c.ItemBytes {
		return false
	}
	return len(c.Data) <= c.ItemBytes-c.Offset && (len(c.Data) > 0 || c.ItemBytes == 0)
}

// extendsLog reports whether the complete item could be added to the log. Delayed chunks of items that the
// log already has are not collected.
func (r *Replicator) extendsLog(c chunk) bool {
	last := r.log.Last()
	if c.Snapshot {
		return !last.Covers(replica.Position{Epoch: c.Epoch, Seq: c.Seq})
	}
	return c.Epoch == last.Epoch && c.Seq == last.Seq+1 || c.Epoch > last.Epoch && c.Seq == 1
}

// completeItem adds the record or the snapshot of the partial item, which is complete, to the log.
func (r *Replicator) completeItem(from int) {
	h, data := r.partial.header, r.partial.data
	r.partial = partialItem{}
	if !h.Snapshot {
		_, err := r.log.AppendSegment(replica.Segment{
			Epoch: h.Epoch, First: h.Seq, PriorSum: h.PriorSum, Sum: h.ItemSum,
			Records: [][]byte{data},
		})
		r.noteItemError(from, err)
		return
	}
	s := replica.Snapshot{Epoch: h.Epoch, Seq: h.Seq, Sum: h.PriorSum, Data: data}
	if s.Digest() != h.ItemSum {
		r.stats.Rejected++
		return
	}
	isInstalled, err := r.log.Install(s)
	r.noteItemError(from, err)
	if isInstalled {
		r.stats.Snapshots++
		r.output.IsRestarted = true
	}
}

// noteItemError counts the error of adding an item; nil is ignored.
func (r *Replicator) noteItemError(from int, err error) {
	switch {
	case errors.Is(err, replica.ErrDiverged):
		r.noteDiverged(from)
	case err != nil:
		r.stats.Rejected++
	}
}
