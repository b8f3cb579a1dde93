package replica

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func filled(t require.TestingT, epoch uint64, limits Limits, data ...string) *Log {
	l, err := New(InitialSnapshot(epoch), limits)
	require.NoError(t, err)
	for i, d := range data {
		require.NoError(t, l.Append(Record{Seq: uint64(i + 1), Data: []byte(d)}))
	}
	return l
}

func TestWhatDoesNotFollowIsNotTaken(t *testing.T) {
	part := func(l *Log, first uint64) Segment { p, _ := l.Segment(first, 1<<20); return p }
	abc := filled(t, 2, Limits{}, "a", "b", "c")
	torn := part(abc, 2)
	torn.Records = [][]byte{[]byte("b"), []byte("C")}
	for name, c := range map[string]struct {
		part  Segment
		taken int
		err   error
	}{
		"all":                {part(abc, 1), 2, nil},
		"the rest":           {part(abc, 2), 2, nil},
		"a gap":              {part(abc, 3), 0, ErrGap},
		"torn":               {torn, 0, ErrCorrupt},
		"another past":       {part(filled(t, 2, Limits{}, "x", "b", "c"), 2), 0, ErrDiverged},
		"differs in between": {part(filled(t, 2, Limits{}, "x", "b", "c"), 1), 0, ErrDiverged},
		"an earlier epoch":   {part(filled(t, 1, Limits{}, "a", "b", "c"), 1), 0, ErrOldEpoch},
		"a later one":        {part(filled(t, 3, Limits{}, "a", "b", "c"), 1), 3, nil},
		"its beginning not":  {part(filled(t, 3, Limits{}, "a", "b", "c"), 2), 0, ErrNewEpoch},
		"numbers run over":   {Segment{Epoch: 2, First: 1<<64 - 1, Records: [][]byte{nil, nil}}, 0, ErrCorrupt},
		"number zero":        {Segment{Epoch: 2}, 0, ErrCorrupt},
	} {
		l := filled(t, 2, Limits{}, "a")
		before := l.Last()
		taken, err := l.AppendSegment(c.part)
		require.ErrorIs(t, err, c.err, name)
		require.Equal(t, c.taken, taken, name)
		if err != nil {
			require.Equal(t, before, l.Last(), name)
		} else {
			require.Equal(t, c.part.Sum, l.Last().Sum, name)
		}
	}
	ahead, err := abc.Compare(Position{Epoch: 2, Seq: 9, Sum: 7})
	require.NoError(t, err)
	require.Positive(t, ahead)
	_, err = abc.Compare(Position{Epoch: 2, Seq: 2, Sum: 7})
	require.ErrorIs(t, err, ErrDiverged)
	require.ErrorIs(t, abc.Append(Record{Seq: 2, Data: []byte("x")}), ErrDiverged)
}

func TestBoundsAndCompaction(t *testing.T) {
	l := filled(t, 1, Limits{MaxRecords: 3, MaxRecordBytes: 4, MaxSnapshotBytes: 2}, "a", "b")
	require.ErrorIs(t, l.Append(Record{Seq: 3, Data: []byte("ccc")}), ErrFull)
	require.ErrorIs(t, l.Append(Record{Seq: 3, Data: []byte("ccccc")}), ErrTooLarge)
	sum, _ := l.SumAt(1)
	require.ErrorIs(t, l.Compact(Snapshot{Epoch: 1, Seq: 1, Sum: sum, Data: []byte("long")}), ErrTooLarge)
	require.ErrorIs(t, l.Compact(Snapshot{Epoch: 1, Seq: 1, Sum: sum + 1}), ErrDiverged)
	require.ErrorIs(t, l.Compact(Snapshot{Epoch: 1, Seq: 3, Sum: sum}), ErrGap)
	require.NoError(t, l.Compact(Snapshot{Epoch: 1, Seq: 1, Sum: sum, Data: []byte("S")}))
	require.NoError(t, l.Append(Record{Seq: 3, Data: []byte("ccc")}))
	require.Equal(t, filled(t, 1, Limits{}, "a", "b", "ccc").Last(), l.Last(), "a sum does not depend on compaction")
	require.Equal(t, 4, l.Bytes())

	behind := filled(t, 1, Limits{})
	taken, err := behind.Install(l.Snapshot())
	require.NoError(t, err)
	require.True(t, taken)
	taken, err = behind.Install(filled(t, 1, Limits{}).Snapshot())
	require.NoError(t, err)
	require.False(t, taken, "a snapshot never takes back")
	_, err = behind.Install(InitialSnapshot(0))
	require.ErrorIs(t, err, ErrOldEpoch)
}

// TestCopiesOfOneLogStayItsBeginnings: whatever parts and snapshots of two epochs come in whatever order, a copy
// is always the beginning of the newest epoch that it has seen, and stays in its bounds.
func TestCopiesOfOneLogStayItsBeginnings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sources []*Log
		for epoch := range uint64(2) {
			var data []string
			for i := range rapid.IntRange(1, 12).Draw(t, "length") {
				data = append(data, fmt.Sprint(epoch, i))
			}
			sources = append(sources, filled(t, epoch+1, Limits{}, data...))
		}
		l := filled(t, 1, Limits{MaxRecords: 5})
		for range 30 {
			src := sources[rapid.IntRange(0, 1).Draw(t, "epoch")]
			before := l.Last()
			seq := rapid.Uint64Range(0, src.Last().Seq).Draw(t, "seq")
			sum, _ := src.SumAt(seq)
			snap := Snapshot{Epoch: src.snapshot.Epoch, Seq: seq, Sum: sum}
			switch rapid.IntRange(0, 2).Draw(t, "input") {
			case 0:
				p, _ := src.Segment(seq, rapid.IntRange(1, 20).Draw(t, "bytes"))
				if len(p.Records) > 0 && rapid.Bool().Draw(t, "corrupt") {
					p.Records = slices.Clone(p.Records)
					p.Records[0] = append(slices.Clone(p.Records[0]), '!')
				}
				_, err := l.AppendSegment(p)
				require.NotErrorIs(t, err, ErrDiverged)
			case 1:
				_, _ = l.Install(snap)
			case 2:
				_ = l.Compact(snap)
			}
			last := l.Last()
			require.True(t, last.Covers(before))
			sum, ok := sources[last.Epoch-1].SumAt(last.Seq)
			require.True(t, ok && sum == last.Sum)
			require.LessOrEqual(t, l.Len(), 5)
		}
	})
}
