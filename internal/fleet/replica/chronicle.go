// Package replica keeps an agent's copy of what the fleet has agreed on: records one after the other, from
// a snapshot on.
//
// Each record has a sum over itself and all before it, so two copies are the same up to a record exactly
// where their sums there are. A copy never takes what does not follow from what it has: a part of another
// copy is checked as a whole, from the sum before its first record to the one after its last, before any of
// it is taken. Where two copies have the same number with different sums, one of them is wrong, and nobody
// can tell from the two which: that is an error to be told to staff, and neither is changed.
//
// A log that began anew (voters that lost all) has a higher epoch and replaces the former whole. A lower
// epoch is never taken again. Sums guard against accidents of the way and of memory, not against an agent
// that makes up a whole epoch: who may speak is the concern of those who hand in messages.
//
// It does no input or output, and knows no clock. A Log is not safe for concurrent use.
package replica

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"slices"
)

// Errors of a Log. Unless said otherwise, it has not changed.
var (
	// ErrDiverged: two copies differ in what has the same epoch and number.
	ErrDiverged = errors.New("two copies of the log differ in the same record")
	// ErrOldEpoch: it is of a log that was replaced by one that began anew.
	ErrOldEpoch = errors.New("of an earlier epoch of the log")
	// ErrNewEpoch: it is of a log that began anew, and its beginning is not known.
	ErrNewEpoch = errors.New("of a later epoch of the log, whose snapshot is missing")
	// ErrGap: records between are missing.
	ErrGap = errors.New("records before it are missing")
	// ErrFull: the bounds are reached; the state machine has to compact first. What came before is taken.
	ErrFull = errors.New("the log is full until it is compacted")
	// ErrTooLarge: a record or a snapshot that no Log with these bounds could hold.
	ErrTooLarge = errors.New("larger than the bounds of the log")
	// ErrCorrupt: sums do not fit what they are the sums of.
	ErrCorrupt = errors.New("sums do not fit")
)

// Position is a place in a log: the last record, and the sum over all up to it.
type Position struct {
	Epoch, Seq, Sum uint64
}

// Covers tells whether a copy that is here has all that was agreed on at another place: one of the same
// epoch, or of an earlier one, which it has replaced. It goes by numbers: Log.Compare looks at sums too.
func (p Position) Covers(other Position) bool {
	return p.Epoch > other.Epoch || p.Epoch == other.Epoch && p.Seq >= other.Seq
}

// Record is one thing agreed on. The first of an epoch has number 1.
type Record struct {
	Seq  uint64
	Data []byte
}

// MaxSnapshotBytes is what a state machine has made of all records up to one.
type Snapshot struct {
	Epoch, Seq, Sum uint64 // Sum is the one of the log there, not of Data
	Data            []byte
}

// Position is the snapshot's place.
func (s Snapshot) Position() Position { return Position{Epoch: s.Epoch, Seq: s.Seq, Sum: s.Sum} }

// Digest is a sum of all of the snapshot, for the way from one agent to another.
func (s Snapshot) Digest() uint64 { return chainSum(s.Sum, s.Epoch, s.Seq, s.Data) }

// InitialSnapshot is the snapshot that an epoch begins with.
func InitialSnapshot(epoch uint64) Snapshot {
	return Snapshot{Epoch: epoch, Sum: chainSum(0, epoch, 0, nil)}
}

// Segment is some records in order as they go from one copy to another, with the sums before and after them.
type Segment struct {
	Epoch, First  uint64 // First is the number of the first record
	PriorSum, Sum uint64 // sums
	Records       [][]byte
}

// Limits bound a Log. Zero values are the defaults.
type Limits struct {
	MaxRecords       int // kept since the snapshot; 4096
	MaxRecordBytes   int // of their data; 1 MiB
	MaxSnapshotBytes int // bytes of its data; 1 MiB
}

const (
	defaultMaxRecords = 4096
	defaultMaxBytes   = 1 << 20
)

// Log is one copy.
type Log struct {
	limits   Limits
	snapshot Snapshot
	records  []Record
	sums     []uint64 // of each record
	bytes    int
}

// New returns a Log that begins with a snapshot.
func New(s Snapshot, limits Limits) (*Log, error) {
	for _, l := range []struct {
		value *int
		usual int
	}{{&limits.MaxRecords, defaultMaxRecords}, {&limits.MaxRecordBytes, defaultMaxBytes}, {&limits.MaxSnapshotBytes, defaultMaxBytes}} {
		if *l.value <= 0 {
			*l.value = l.usual
		}
	}
	if len(s.Data) > limits.MaxSnapshotBytes {
		return nil, ErrTooLarge
	}
	return &Log{limits: limits, snapshot: s}, nil
}

// Limits are the bounds that hold.
func (l *Log) Limits() Limits { return l.limits }

// Last is the place of the newest record, or of the snapshot where there is none after it.
func (l *Log) Last() Position {
	p := l.snapshot.Position()
	if n := len(l.records); n > 0 {
		p.Seq, p.Sum = l.records[n-1].Seq, l.sums[n-1]
	}
	return p
}

// MaxSnapshotBytes is what the log begins with. Its data is not to be changed.
func (l *Log) Snapshot() Snapshot { return l.snapshot }

// Len is the number of records since the snapshot, MaxRecordBytes that of their data.
func (l *Log) Len() int { return len(l.records) }

// MaxRecordBytes is how many the data of the records since the snapshot has.
func (l *Log) Bytes() int { return l.bytes }

// SumAt is the sum up to a record; ok is false where the log does not reach there, or no longer.
func (l *Log) SumAt(seq uint64) (sum uint64, ok bool) {
	switch {
	case seq == l.snapshot.Seq:
		return l.snapshot.Sum, true
	case seq < l.snapshot.Seq || seq > l.Last().Seq:
		return 0, false
	}
	return l.sums[seq-l.snapshot.Seq-1], true
}

// Compare tells where another copy is: below zero, it is behind, above, it is ahead, and zero, it is the
// same. It gives ErrDiverged where the two differ as far as can be seen from here: what is ahead, or before
// the snapshot, can not be compared.
func (l *Log) Compare(other Position) (int, error) {
	last := l.Last()
	if other.Epoch != last.Epoch {
		return compare(other.Epoch, last.Epoch), nil
	}
	if sum, ok := l.SumAt(other.Seq); ok && sum != other.Sum {
		return 0, ErrDiverged
	}
	return compare(other.Seq, last.Seq), nil
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Append takes the next record, as the voters have committed it. One that is there already is passed over.
func (l *Log) Append(r Record) error {
	last := l.Last()
	if r.Seq > last.Seq+1 || r.Seq == 0 {
		return ErrGap
	}
	if r.Seq <= last.Seq {
		prior, ok := l.SumAt(r.Seq - 1)
		if sum, is := l.SumAt(r.Seq); ok && is && chainSum(prior, last.Epoch, r.Seq, r.Data) != sum {
			return ErrDiverged
		}
		return nil
	}
	if len(r.Data) > l.limits.MaxRecordBytes {
		return ErrTooLarge
	}
	if len(l.records) >= l.limits.MaxRecords || l.bytes+len(r.Data) > l.limits.MaxRecordBytes {
		return ErrFull
	}
	l.records = append(l.records, Record{Seq: r.Seq, Data: slices.Clone(r.Data)})
	l.sums = append(l.sums, chainSum(last.Sum, last.Epoch, r.Seq, r.Data))
	l.bytes += len(r.Data)
	return nil
}

// AppendSegment takes what is new of a part of another copy, and tells how many records that was. Where the part is
// wrong in any place, nothing is taken; with ErrFull, the first ones are. A part that is the beginning of a
// higher epoch replaces all; the state machine has to begin anew then, as it sees from the epoch.
func (l *Log) AppendSegment(p Segment) (taken int, err error) {
	last := l.Last()
	switch {
	case p.Epoch < last.Epoch:
		return 0, ErrOldEpoch
	case p.Epoch > last.Epoch && p.First != 1:
		return 0, ErrNewEpoch
	case p.First == 0 || p.First+uint64(len(p.Records)) < p.First:
		return 0, ErrCorrupt
	}
	if !p.hasValidSums() {
		return 0, ErrCorrupt
	}
	if p.Epoch > last.Epoch {
		begin := InitialSnapshot(p.Epoch)
		if p.PriorSum != begin.Sum {
			return 0, ErrDiverged
		}
		l.reset(begin)
		last = begin.Position()
	}
	if err := l.checkOverlap(p); err != nil {
		return 0, err
	}
	for i, data := range p.Records {
		r := Record{Seq: p.First + uint64(i), Data: data}
		if r.Seq <= last.Seq {
			continue
		}
		if err := l.Append(r); err != nil {
			return taken, err
		}
		taken++
	}
	return taken, nil
}

// fits tells whether the sums of a part are those of its records.
func (p Segment) hasValidSums() bool {
	sum := p.PriorSum
	for i, data := range p.Records {
		sum = chainSum(sum, p.Epoch, p.First+uint64(i), data)
	}
	return sum == p.Sum
}

// agrees looks at the sums of a part where the log has the same records: before it, and in all of it.
func (l *Log) checkOverlap(p Segment) error {
	sum := p.PriorSum
	for i := 0; ; i++ {
		seq := p.First + uint64(i) - 1
		if own, ok := l.SumAt(seq); ok && own != sum {
			return ErrDiverged
		}
		if i == len(p.Records) || seq >= l.Last().Seq {
			return nil
		}
		sum = chainSum(sum, p.Epoch, seq+1, p.Records[i])
	}
}

// Compact gives the log a later beginning: what the state machine has made of the records up to one that the
// log holds. MaxRecords up to there are dropped.
func (l *Log) Compact(s Snapshot) error {
	if len(s.Data) > l.limits.MaxSnapshotBytes {
		return ErrTooLarge
	}
	sum, ok := l.SumAt(s.Seq)
	switch {
	case s.Epoch != l.snapshot.Epoch || !ok:
		return ErrGap
	case sum != s.Sum:
		return ErrDiverged
	}
	n := int(s.Seq - l.snapshot.Seq)
	for _, r := range l.records[:n] {
		l.bytes -= len(r.Data)
	}
	l.records, l.sums = slices.Clone(l.records[n:]), slices.Clone(l.sums[n:])
	l.snapshot = s
	return nil
}

// Install takes the snapshot of another copy where it is ahead; taken is false where this one covers it. All
// records are dropped then, and the state machine has to go on from the snapshot.
func (l *Log) Install(s Snapshot) (taken bool, err error) {
	if len(s.Data) > l.limits.MaxSnapshotBytes {
		return false, ErrTooLarge
	}
	ahead, err := l.Compare(s.Position())
	switch {
	case err != nil:
		return false, err
	case s.Epoch < l.snapshot.Epoch:
		return false, ErrOldEpoch
	case ahead <= 0:
		return false, nil
	}
	s.Data = slices.Clone(s.Data)
	l.reset(s)
	return true, nil
}

func (l *Log) reset(s Snapshot) { l.snapshot, l.records, l.sums, l.bytes = s, nil, nil, 0 }

// Segment returns records from a number on, at most so many bytes of data, but always one where there is one: ok
// is false where that number is not there, or no longer. Its records are not to be changed.
func (l *Log) Segment(first uint64, bytes int) (p Segment, ok bool) {
	prior, known := l.SumAt(first - 1)
	if first == 0 || !known || first > l.Last().Seq {
		return Segment{}, false
	}
	p = Segment{Epoch: l.snapshot.Epoch, First: first, PriorSum: prior, Sum: prior}
	for i := int(first - l.snapshot.Seq - 1); i < len(l.records); i++ {
		data := l.records[i].Data
		if bytes -= len(data); bytes < 0 && len(p.Records) > 0 {
			break
		}
		p.Records, p.Sum = append(p.Records, data), l.sums[i]
	}
	return p, true
}

// Record is the one with a number; ok is false where it is not there, or no longer. It is not to be changed.
func (l *Log) Record(seq uint64) (r Record, ok bool) {
	if seq <= l.snapshot.Seq || seq > l.Last().Seq {
		return Record{}, false
	}
	return l.records[seq-l.snapshot.Seq-1], true
}

// chain is the sum after a record: 64 bits of SHA-256 over the sum before it and all of the record, so that
// neither chance nor a broken machine makes two logs with the same one.
func chainSum(prior, epoch, seq uint64, data []byte) uint64 {
	h := sha256.New()
	var head [32]byte
	for i, v := range []uint64{prior, epoch, seq, uint64(len(data))} {
		binary.BigEndian.PutUint64(head[8*i:], v)
	}
	h.Write(head[:])
	h.Write(data)
	return binary.BigEndian.Uint64(h.Sum(nil))
}
