package gossip

import (
	"errors"

	"dunestep/internal/fleet/replica"
)

// partialItem is the beginning of a record or a snapshot that is received in chunks.
type partialItem struct {
	isStarted bool
	header    chunk // of the first chunk, without its data
	data      []byte
	hasOther  bool // the last chunk that came was of another item
}

// isContinuedBy reports whether a chunk is the next one of the item.
func (p *partialItem) isContinuedBy(c chunk) bool {
	h := p.header
	return h.ItemSum == c.ItemSum && h.ItemBytes == c.ItemBytes && h.Snapshot == c.Snapshot && h.Seq == c.Seq &&
		h.Epoch == c.Epoch && h.PriorSum == c.PriorSum && c.Offset == len(p.data)
}

// handleChunk adds a chunk to the partial item. Another item replaces it only if two chunks in a row are of
// another one.
func (r *Replicator) handleChunk(from int, c chunk) {
	if r.settings.NeverPull {
		return
	}
	if !r.isWithinLimits(c) || !r.extendsLog(c) {
		r.stats.Rejected++
		r.endPull(from, received{bytes: len(c.Data), epoch: c.Epoch, lastSeq: c.LastSeq})
		return
	}
	isOtherItem := r.partial.header.ItemSum != c.ItemSum
	if !r.partial.isStarted || c.Offset == 0 && isOtherItem && r.partial.hasOther {
		r.partial = partialItem{isStarted: true, header: c}
		r.partial.header.Data = nil
	}
	p := &r.partial
	isContinued := p.isContinuedBy(c)
	if isContinued {
		p.data = append(p.data, c.Data...)
	}
	p.hasOther = p.header.ItemSum != c.ItemSum
	if isContinued && len(p.data) == p.header.ItemBytes {
		r.completeItem(from)
	}
	isSenderAhead := !r.log.Last().Covers(replica.Position{Epoch: c.Epoch, Seq: c.LastSeq})
	r.endPull(from, received{
		bytes: len(c.Data), epoch: c.Epoch, lastSeq: c.LastSeq, hasMore: isContinued && isSenderAhead,
	})
}

// isWithinLimits reports whether a chunk lies inside its item, and the item within the limits of the log.
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

// extendsLog reports whether the complete item could be taken, so that chunks which were pulled earlier and
// come late are not collected.
func (r *Replicator) extendsLog(c chunk) bool {
	last := r.log.Last()
	if c.Snapshot {
		return !last.Covers(replica.Position{Epoch: c.Epoch, Seq: c.Seq})
	}
	return c.Epoch == last.Epoch && c.Seq == last.Seq+1 || c.Epoch > last.Epoch && c.Seq == 1
}

// completeItem takes the record or the snapshot whose chunks are complete.
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

func (r *Replicator) noteItemError(from int, err error) {
	switch {
	case errors.Is(err, replica.ErrDiverged):
		r.noteDiverged(from)
	case err != nil:
		r.stats.Rejected++
	}
}
