package replica

import (
	"cmp"
	"slices"
)

// Limits bound a Log. Values that are not positive select the defaults.
type Limits struct {
	MaxRecords       int // number of records since the snapshot; default 4096
	MaxRecordBytes   int // size of the data of these records in total; default 1 MiB
	MaxSnapshotBytes int // size of the snapshot's data; default 1 MiB
}

const (
	defaultMaxRecords = 4096
	defaultMaxBytes   = 1 << 20
)

func (l Limits) withDefaults() Limits {
	setDefault := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	setDefault(&l.MaxRecords, defaultMaxRecords)
	setDefault(&l.MaxRecordBytes, defaultMaxBytes)
	setDefault(&l.MaxSnapshotBytes, defaultMaxBytes)
	return l
}

// Log is one replica of the log. Callers must not change the data that it returns.
type Log struct {
	limits   Limits
	snapshot Snapshot
	records  []Record
	sums     []uint64 // sum after each record
	bytes    int      // size of the records' data
}

// New returns a Log that begins with a snapshot, or ErrTooLarge if the snapshot exceeds its limit.
func New(s Snapshot, limits Limits) (*Log, error) {
	limits = limits.withDefaults()
	if len(s.Data) > limits.MaxSnapshotBytes {
		return nil, ErrTooLarge
	}
	return &Log{limits: limits, snapshot: s}, nil
}

// Limits returns the limits in effect.
func (l *Log) Limits() Limits { return l.limits }

// Last returns the position of the newest record, or of the snapshot if there is no record after it.
func (l *Log) Last() Position {
	p := l.snapshot.Position()
	if n := len(l.records); n > 0 {
		p.Seq, p.Sum = l.records[n-1].Seq, l.sums[n-1]
	}
	return p
}

// Snapshot returns the snapshot with which the log begins.
func (l *Log) Snapshot() Snapshot { return l.snapshot }

// Len returns the number of records since the snapshot.
func (l *Log) Len() int { return len(l.records) }

// Bytes returns the size of the data of the records since the snapshot.
func (l *Log) Bytes() int { return l.bytes }

// Record returns the record with a sequence number, or false if the log does not contain it, or does not any
// more.
func (l *Log) Record(seq uint64) (Record, bool) {
	if seq <= l.snapshot.Seq || seq > l.Last().Seq {
		return Record{}, false
	}
	return l.records[seq-l.snapshot.Seq-1], true
}

// SumAt returns the sum after a record, or false if the record is before the snapshot or after the last
// record.
func (l *Log) SumAt(seq uint64) (uint64, bool) {
	switch {
	case seq == l.snapshot.Seq:
		return l.snapshot.Sum, true
	case seq < l.snapshot.Seq || seq > l.Last().Seq:
		return 0, false
	}
	return l.sums[seq-l.snapshot.Seq-1], true
}

// Compare returns a negative number if another replica's position is behind this one, a positive number if it
// is ahead, and 0 if it is the same. It returns ErrDiverged if the sums differ at that position. The sum of a
// position that is ahead, or before the snapshot, cannot be compared.
func (l *Log) Compare(other Position) (int, error) {
	last := l.Last()
	if other.Epoch != last.Epoch {
		return cmp.Compare(other.Epoch, last.Epoch), nil
	}
	if sum, isKnown := l.SumAt(other.Seq); isKnown && sum != other.Sum {
		return 0, ErrDiverged
	}
	return cmp.Compare(other.Seq, last.Seq), nil
}

// Append appends the next record that the voters have committed. A record that the log already has is
// ignored. Errors: ErrGap, ErrDiverged, ErrTooLarge, ErrFull.
func (l *Log) Append(r Record) error {
	last := l.Last()
	if r.Seq > last.Seq+1 || r.Seq == 0 {
		return ErrGap
	}
	if r.Seq <= last.Seq {
		return l.checkExisting(r)
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

// checkExisting returns ErrDiverged if a record differs from the one of the same number in the log.
func (l *Log) checkExisting(r Record) error {
	prior, isPriorKnown := l.SumAt(r.Seq - 1)
	sum, isKnown := l.SumAt(r.Seq)
	if isPriorKnown && isKnown && chainSum(prior, l.snapshot.Epoch, r.Seq, r.Data) != sum {
		return ErrDiverged
	}
	return nil
}

// AppendSegment appends the new records of another replica's segment, and returns their number. If any part
// of the segment is wrong, no record is appended; with ErrFull, the first records are. A segment from the
// first record of a higher epoch on replaces the log; the caller recognizes that by the epoch of Last, and
// has to restart the state machine. Errors: ErrOldEpoch, ErrNewEpoch, ErrCorrupt, ErrDiverged, and those of
// Append.
func (l *Log) AppendSegment(s Segment) (appended int, err error) {
	last := l.Last()
	switch {
	case s.Epoch < last.Epoch:
		return 0, ErrOldEpoch
	case s.Epoch > last.Epoch && s.First != 1:
		return 0, ErrNewEpoch
	case s.hasInvalidNumbers() || !s.hasValidSums():
		return 0, ErrCorrupt
	}
	if s.Epoch > last.Epoch {
		initial := InitialSnapshot(s.Epoch)
		if s.PriorSum != initial.Sum {
			return 0, ErrDiverged
		}
		l.reset(initial)
		last = initial.Position()
	}
	if err := l.checkOverlap(s); err != nil {
		return 0, err
	}
	for i, data := range s.Records {
		r := Record{Seq: s.First + uint64(i), Data: data}
		if r.Seq <= last.Seq {
			continue
		}
		if err := l.Append(r); err != nil {
			return appended, err
		}
		appended++
	}
	return appended, nil
}

// checkOverlap returns ErrDiverged if a sum of a segment differs from the log's sum at the same record.
func (l *Log) checkOverlap(s Segment) error {
	sum := s.PriorSum
	for i := 0; ; i++ {
		seq := s.First + uint64(i) - 1
		if own, isKnown := l.SumAt(seq); isKnown && own != sum {
			return ErrDiverged
		}
		if i == len(s.Records) || seq >= l.Last().Seq {
			return nil
		}
		sum = chainSum(sum, s.Epoch, seq+1, s.Records[i])
	}
}

// Segment returns the records from sequence number first on, with at most maxBytes of data but at least one
// record. It returns false if the log does not contain the first one, or does not any more.
func (l *Log) Segment(first uint64, maxBytes int) (Segment, bool) {
	prior, isPriorKnown := l.SumAt(first - 1)
	if first == 0 || !isPriorKnown || first > l.Last().Seq {
		return Segment{}, false
	}
	s := Segment{Epoch: l.snapshot.Epoch, First: first, PriorSum: prior, Sum: prior}
	remaining := maxBytes
	for i := int(first - l.snapshot.Seq - 1); i < len(l.records); i++ {
		data := l.records[i].Data
		if remaining -= len(data); remaining < 0 && len(s.Records) > 0 {
			break
		}
		s.Records, s.Sum = append(s.Records, data), l.sums[i]
	}
	return s, true
}

// Compact drops the records that a snapshot covers, so that the log begins with the snapshot. The log has to
// contain the last record that the snapshot covers. Errors: ErrTooLarge, ErrGap, ErrDiverged.
func (l *Log) Compact(s Snapshot) error {
	if len(s.Data) > l.limits.MaxSnapshotBytes {
		return ErrTooLarge
	}
	sum, isKnown := l.SumAt(s.Seq)
	switch {
	case s.Epoch != l.snapshot.Epoch || !isKnown:
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

// Install replaces the log with another replica's snapshot if the snapshot is ahead, and reports whether it
// did. If so, all records were dropped, and the state machine has to continue from the snapshot. Errors:
// ErrTooLarge, ErrDiverged, ErrOldEpoch.
func (l *Log) Install(s Snapshot) (isInstalled bool, err error) {
	if len(s.Data) > l.limits.MaxSnapshotBytes {
		return false, ErrTooLarge
	}
	order, err := l.Compare(s.Position())
	switch {
	case err != nil:
		return false, err
	case s.Epoch < l.snapshot.Epoch:
		return false, ErrOldEpoch
	case order <= 0:
		return false, nil
	}
	s.Data = slices.Clone(s.Data)
	l.reset(s)
	return true, nil
}

func (l *Log) reset(s Snapshot) { l.snapshot, l.records, l.sums, l.bytes = s, nil, nil, 0 }
