package replica

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/internal/golden"
)

// TestGoldenSums checks that the sums of given records have not changed, as replicas of different builds are compared
// by their sums.
func TestGoldenSums(t *testing.T) {
	l, err := New(InitialSnapshot(1_800_000_000_000), Limits{})
	require.NoError(t, err)
	var sums []byte
	add := func(sum uint64) { sums = binary.BigEndian.AppendUint64(sums, sum) }
	add(l.Last().Sum)
	for i, data := range []string{"one", "", "three"} {
		require.NoError(t, l.Append(Record{Seq: uint64(i) + 1, Data: []byte(data)}))
		add(l.Last().Sum)
	}
	last := l.Last()
	require.NoError(t, l.Compact(Snapshot{Epoch: last.Epoch, Seq: last.Seq, Sum: last.Sum, Data: []byte("state")}))
	add(l.Snapshot().Digest())
	golden.Bytes(t, "sums", sums)
}
