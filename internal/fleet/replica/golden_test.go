package replica

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/internal/golden"
)

// TestGoldenSums: the sums of the same records are the same in each build, as copies are compared by them.
func TestGoldenSums(t *testing.T) {
	l, err := New(InitialSnapshot(1_800_000_000_000), Limits{})
	require.NoError(t, err)
	var sums []byte
	put := func(sum uint64) { sums = binary.BigEndian.AppendUint64(sums, sum) }
	put(l.Last().Sum)
	for i, data := range []string{"one", "", "three"} {
		require.NoError(t, l.Append(Record{Seq: uint64(i) + 1, Data: []byte(data)}))
		put(l.Last().Sum)
	}
	at := l.Last()
	require.NoError(t, l.Compact(Snapshot{Epoch: at.Epoch, Seq: at.Seq, Sum: at.Sum, Data: []byte("state")}))
	put(l.Snapshot().Digest())
	golden.Bytes(t, "sums", sums)
}
