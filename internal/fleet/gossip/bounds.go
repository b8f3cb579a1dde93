package gossip

import (
	"errors"
	"time"

	"dunestep/internal/fleet/replica"
)

// bucket bounds bytes a second; what was not used is kept for a second.
type byteBudget struct {
	rate, available float64
	burst           float64 // room for one message at least
	updatedAt       time.Duration
}

func newByteBudget(set Settings, now time.Duration) byteBudget {
	most := float64(max(set.BytesPerSecond, 2*set.MaxMessageBytes))
	return byteBudget{rate: float64(set.BytesPerSecond), available: most, burst: most, updatedAt: now}
}

func (b *byteBudget) refill(now time.Duration) {
	b.available = min(b.available+b.rate*(now-b.updatedAt).Seconds(), b.burst)
	b.updatedAt = now
}

func (b *byteBudget) has(bytes int) bool { return b.available >= float64(bytes) }

func (b *byteBudget) spend(bytes int) bool {
	if !b.has(bytes) {
		return false
	}
	b.charge(bytes)
	return true
}

// charge takes what has come in any case; the debt is bounded, so that others cannot stop an agent for long.
func (b *byteBudget) charge(bytes int) { b.available = max(b.available-float64(bytes), -b.burst) }

func (b *byteBudget) waitFor(bytes int) time.Duration {
	return time.Duration((float64(bytes)-b.available)/b.rate*float64(time.Second)) + time.Millisecond
}

// assembly is what has come of a record or a snapshot in pieces, from the first byte on.
type partialItem struct {
	isStarted bool
	header    chunk // without its data
	data      []byte
	hasOther  bool // the last piece that came was of something else
}

func (s *Replicator) handleChunk(from int, p chunk) {
	if s.settings.NeverPull {
		return
	}
	limits := s.log.Limits()
	most := limits.MaxRecordBytes
	if p.Snapshot {
		most = limits.MaxSnapshotBytes
	}
	if p.ItemBytes < 0 || p.ItemBytes > most || p.Offset < 0 || p.Offset > p.ItemBytes || len(p.Data) > p.ItemBytes-p.Offset ||
		len(p.Data) == 0 && p.ItemBytes > 0 || !s.extendsLog(p) {
		s.stats.Rejected++
		s.endPull(from, len(p.Data), p.Epoch, p.LastSeq, false)
		return
	}
	if !s.partial.isStarted || p.Offset == 0 && s.partial.header.ItemSum != p.ItemSum && s.partial.hasOther {
		s.partial = partialItem{isStarted: true, header: p}
		s.partial.header.Data = nil
	}
	a := &s.partial
	grows := a.header.ItemSum == p.ItemSum && a.header.ItemBytes == p.ItemBytes && a.header.Snapshot == p.Snapshot && a.header.Seq == p.Seq &&
		a.header.Epoch == p.Epoch && a.header.PriorSum == p.PriorSum && p.Offset == len(a.data)
	if grows {
		a.data = append(a.data, p.Data...)
	}
	a.hasOther = a.header.ItemSum != p.ItemSum
	if grows && len(a.data) == a.header.ItemBytes {
		s.completeItem(from)
	}
	more := !s.log.Last().Covers(replica.Position{Epoch: p.Epoch, Seq: p.LastSeq})
	s.endPull(from, len(p.Data), p.Epoch, p.LastSeq, grows && more)
}

// follows tells whether a whole one of these could be taken: by it nothing is gathered that was asked for
// before, and came late.
func (s *Replicator) extendsLog(p chunk) bool {
	last := s.log.Last()
	if p.Snapshot {
		return !last.Covers(replica.Position{Epoch: p.Epoch, Seq: p.Seq})
	}
	return p.Epoch == last.Epoch && p.Seq == last.Seq+1 || p.Epoch > last.Epoch && p.Seq == 1
}

// whole takes what has come in pieces.
func (s *Replicator) completeItem(from int) {
	of, data := s.partial.header, s.partial.data
	s.partial = partialItem{}
	if !of.Snapshot {
		_, err := s.log.AppendSegment(replica.Segment{
			Epoch: of.Epoch, First: of.Seq, PriorSum: of.PriorSum, Sum: of.ItemSum,
			Records: [][]byte{data},
		})
		s.noteTakeError(from, err)
		return
	}
	snap := replica.Snapshot{Epoch: of.Epoch, Seq: of.Seq, Sum: of.PriorSum, Data: data}
	if snap.Digest() != of.ItemSum {
		s.stats.Rejected++
		return
	}
	taken, err := s.log.Install(snap)
	s.noteTakeError(from, err)
	if taken {
		s.stats.Snapshots++
		s.output.IsRestarted = true
	}
}

func (s *Replicator) noteTakeError(from int, err error) {
	switch {
	case errors.Is(err, replica.ErrDiverged):
		s.noteDiverged(from)
	case err != nil:
		s.stats.Rejected++
	}
}
