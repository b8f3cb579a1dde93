package spread

import (
	"errors"
	"time"

	"dunestep/fleet/chronicle"
)

// bucket bounds bytes a second; what was not used is kept for a second.
type bucket struct {
	rate, left float64
	least      float64 // room for one message at least
	at         time.Duration
}

func newBucket(set Settings, now time.Duration) bucket {
	most := float64(max(set.BytesPerSecond, 2*set.MessageBytes))
	return bucket{rate: float64(set.BytesPerSecond), left: most, least: most, at: now}
}

func (b *bucket) refill(now time.Duration) {
	b.left = min(b.left+b.rate*(now-b.at).Seconds(), b.least)
	b.at = now
}

func (b *bucket) has(bytes int) bool { return b.left >= float64(bytes) }

func (b *bucket) pay(bytes int) bool {
	if !b.has(bytes) {
		return false
	}
	b.charge(bytes)
	return true
}

// charge takes what has come in any case; the debt is bounded, so that others cannot stop an agent for long.
func (b *bucket) charge(bytes int) { b.left = max(b.left-float64(bytes), -b.least) }

func (b *bucket) wait(bytes int) time.Duration {
	return time.Duration((float64(bytes)-b.left)/b.rate*float64(time.Second)) + time.Millisecond
}

// assembly is what has come of a record or a snapshot in pieces, from the first byte on.
type assembly struct {
	is    bool
	of    piece // without its data
	data  []byte
	other bool // the last piece that came was of something else
}

func (s *Spreader) piece(from int, p piece) {
	if s.set.GiveOnly {
		return
	}
	limits := s.log.Limits()
	most := limits.Bytes
	if p.Snapshot {
		most = limits.Snapshot
	}
	if p.Size < 0 || p.Size > most || p.Offset < 0 || p.Offset > p.Size || len(p.Data) > p.Size-p.Offset ||
		len(p.Data) == 0 && p.Size > 0 || !s.follows(p) {
		s.fig.Refused++
		s.got(from, len(p.Data), p.Epoch, p.Last, false)
		return
	}
	if !s.begun.is || p.Offset == 0 && s.begun.of.Check != p.Check && s.begun.other {
		s.begun = assembly{is: true, of: p}
		s.begun.of.Data = nil
	}
	a := &s.begun
	grows := a.of.Check == p.Check && a.of.Size == p.Size && a.of.Snapshot == p.Snapshot && a.of.Seq == p.Seq &&
		a.of.Epoch == p.Epoch && a.of.Sum == p.Sum && p.Offset == len(a.data)
	if grows {
		a.data = append(a.data, p.Data...)
	}
	a.other = a.of.Check != p.Check
	if grows && len(a.data) == a.of.Size {
		s.whole(from)
	}
	more := !s.log.Last().Covers(chronicle.Position{Epoch: p.Epoch, Seq: p.Last})
	s.got(from, len(p.Data), p.Epoch, p.Last, grows && more)
}

// follows tells whether a whole one of these could be taken: by it nothing is gathered that was asked for
// before, and came late.
func (s *Spreader) follows(p piece) bool {
	last := s.log.Last()
	if p.Snapshot {
		return !last.Covers(chronicle.Position{Epoch: p.Epoch, Seq: p.Seq})
	}
	return p.Epoch == last.Epoch && p.Seq == last.Seq+1 || p.Epoch > last.Epoch && p.Seq == 1
}

// whole takes what has come in pieces.
func (s *Spreader) whole(from int) {
	of, data := s.begun.of, s.begun.data
	s.begun = assembly{}
	if !of.Snapshot {
		_, err := s.log.Take(chronicle.Part{
			Epoch: of.Epoch, First: of.Seq, Prior: of.Sum, After: of.Check,
			Records: [][]byte{data},
		})
		s.wrong(from, err)
		return
	}
	snap := chronicle.Snapshot{Epoch: of.Epoch, Seq: of.Seq, Sum: of.Sum, Data: data}
	if snap.Digest() != of.Check {
		s.fig.Refused++
		return
	}
	taken, err := s.log.Install(snap)
	s.wrong(from, err)
	if taken {
		s.fig.Snapshots++
		s.out.Anew = true
	}
}

func (s *Spreader) wrong(from int, err error) {
	switch {
	case errors.Is(err, chronicle.ErrDiverged):
		s.diverged(from)
	case err != nil:
		s.fig.Refused++
	}
}
