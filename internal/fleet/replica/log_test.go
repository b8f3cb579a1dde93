package replica

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newFilledLog returns a log of an epoch with the given records.
func newFilledLog(t require.TestingT, epoch uint64, limits Limits, data ...string) *Log {
	l, err := New(InitialSnapshot(epoch), limits)
	require.NoError(t, err)
	for i, d := range data {
		require.NoError(t, l.Append(Record{Seq: uint64(i + 1), Data: []byte(d)}))
	}
	return l
}

// TestAppendSegmentRejectsUnrelatedSegments checks that a segment which does not continue the log is rejected, and that
// the log is unchanged then.
func TestAppendSegmentRejectsUnrelatedSegments(t *testing.T) {
	segment := func(l *Log, first uint64) Segment { s, _ := l.Segment(first, 1<<20); return s }
	abc := newFilledLog(t, 2, Limits{}, "a", "b", "c")
	corrupt := segment(abc, 2)
	corrupt.Records = [][]byte{[]byte("b"), []byte("C")}
	for name, c := range map[string]struct {
		segment  Segment
		appended int
		err      error
	}{
		"all records":                       {segment(abc, 1), 2, nil},
		"only the new records":              {segment(abc, 2), 2, nil},
		"gap":                               {segment(abc, 3), 0, ErrGap},
		"wrong sums":                        {corrupt, 0, ErrCorrupt},
		"other earlier records":             {segment(newFilledLog(t, 2, Limits{}, "x", "b", "c"), 2), 0, ErrDiverged},
		"other record inside":               {segment(newFilledLog(t, 2, Limits{}, "x", "b", "c"), 1), 0, ErrDiverged},
		"earlier epoch":                     {segment(newFilledLog(t, 1, Limits{}, "a", "b", "c"), 1), 0, ErrOldEpoch},
		"later epoch":                       {segment(newFilledLog(t, 3, Limits{}, "a", "b", "c"), 1), 3, nil},
		"later epoch without its beginning": {segment(newFilledLog(t, 3, Limits{}, "a", "b", "c"), 2), 0, ErrNewEpoch},
		"numbers overflow":                  {Segment{Epoch: 2, First: 1<<64 - 1, Records: [][]byte{nil, nil}}, 0, ErrCorrupt},
		"number zero":                       {Segment{Epoch: 2}, 0, ErrCorrupt},
	} {
		l := newFilledLog(t, 2, Limits{}, "a")
		before := l.Last()
		appended, err := l.AppendSegment(c.segment)
		require.ErrorIs(t, err, c.err, name)
		require.Equal(t, c.appended, appended, name)
		if err != nil {
			require.Equal(t, before, l.Last(), name)
		} else {
			require.Equal(t, c.segment.Sum, l.Last().Sum, name)
		}
	}
	order, err := abc.Compare(Position{Epoch: 2, Seq: 9, Sum: 7})
	require.NoError(t, err)
	require.Positive(t, order)
	_, err = abc.Compare(Position{Epoch: 2, Seq: 2, Sum: 7})
	require.ErrorIs(t, err, ErrDiverged)
	require.ErrorIs(t, abc.Append(Record{Seq: 2, Data: []byte("x")}), ErrDiverged)
}

// TestLimitsCompactAndInstall checks the limits, Compact and Install.
func TestLimitsCompactAndInstall(t *testing.T) {
	l := newFilledLog(t, 1, Limits{MaxRecords: 3, MaxRecordBytes: 4, MaxSnapshotBytes: 2}, "a", "b")
	require.ErrorIs(t, l.Append(Record{Seq: 3, Data: []byte("ccc")}), ErrFull)
	require.ErrorIs(t, l.Append(Record{Seq: 3, Data: []byte("ccccc")}), ErrTooLarge)
	sum, _ := l.SumAt(1)
	require.ErrorIs(t, l.Compact(Snapshot{Epoch: 1, Seq: 1, Sum: sum, Data: []byte("long")}), ErrTooLarge)
	require.ErrorIs(t, l.Compact(Snapshot{Epoch: 1, Seq: 1, Sum: sum + 1}), ErrDiverged)
	require.ErrorIs(t, l.Compact(Snapshot{Epoch: 1, Seq: 3, Sum: sum}), ErrGap)
	require.NoError(t, l.Compact(Snapshot{Epoch: 1, Seq: 1, Sum: sum, Data: []byte("S")}))
	require.NoError(t, l.Append(Record{Seq: 3, Data: []byte("ccc")}))
	require.Equal(t, newFilledLog(t, 1, Limits{}, "a", "b", "ccc").Last(), l.Last(), "a sum does not depend on compaction")
	require.Equal(t, 4, l.Bytes())

	behind := newFilledLog(t, 1, Limits{})
	isInstalled, err := behind.Install(l.Snapshot())
	require.NoError(t, err)
	require.True(t, isInstalled)
	isInstalled, err = behind.Install(newFilledLog(t, 1, Limits{}).Snapshot())
	require.NoError(t, err)
	require.False(t, isInstalled, "an older snapshot is not installed")
	_, err = behind.Install(InitialSnapshot(0))
	require.ErrorIs(t, err, ErrOldEpoch)
}

// TestReplicaIsAPrefixOfTheNewestEpoch checks that a replica is always a prefix of the newest epoch that it has seen,
// and stays within its limits, for any order of segments and snapshots of two epochs.
func TestReplicaIsAPrefixOfTheNewestEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sources []*Log
		for epoch := range uint64(2) {
			var data []string
			for i := range rapid.IntRange(1, 12).Draw(t, "length") {
				data = append(data, fmt.Sprint(epoch, i))
			}
			sources = append(sources, newFilledLog(t, epoch+1, Limits{}, data...))
		}
		l := newFilledLog(t, 1, Limits{MaxRecords: 5})
		for range 30 {
			src := sources[rapid.IntRange(0, 1).Draw(t, "epoch")]
			before := l.Last()
			seq := rapid.Uint64Range(0, src.Last().Seq).Draw(t, "seq")
			sum, _ := src.SumAt(seq)
			snap := Snapshot{Epoch: src.snapshot.Epoch, Seq: seq, Sum: sum}
			switch rapid.IntRange(0, 2).Draw(t, "input") {
			case 0:
				s, _ := src.Segment(seq, rapid.IntRange(1, 20).Draw(t, "bytes"))
				if len(s.Records) > 0 && rapid.Bool().Draw(t, "corrupt") {
					s.Records = slices.Clone(s.Records)
					s.Records[0] = append(slices.Clone(s.Records[0]), '!')
				}
				_, err := l.AppendSegment(s)
				require.NotErrorIs(t, err, ErrDiverged)
			case 1:
				_, _ = l.Install(snap)
			case 2:
				_ = l.Compact(snap)
			}
			last := l.Last()
			require.True(t, last.Covers(before))
			sum, isKnown := sources[last.Epoch-1].SumAt(last.Seq)
			require.True(t, isKnown && sum == last.Sum)
			require.LessOrEqual(t, l.Len(), 5)
		}
	})
}
