package openids

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetained(t *testing.T) {
	var r Retained
	start := time.Now()
	require.False(t, r.Has("00000000000000aa", start))
	r.Add("00000000000000aa", start)
	r.Add("not an id", start)
	require.True(t, r.Has("00000000000000AA", start), "the same number")
	require.False(t, r.Has("not an id", start))
	r.Add("00000000000000aa", start.Add(retentionTime-1))
	r.Add("00000000000000bb", start.Add(retentionTime-1))
	require.True(t, r.Has("00000000000000aa", start.Add(retentionTime)), "added again")
	require.Equal(t, []string{"00000000000000aa", "00000000000000bb"}, r.All(start.Add(retentionTime)))
	require.False(t, r.Has("00000000000000aa", start.Add(2*retentionTime)))
	require.Empty(t, r.All(start.Add(2*retentionTime)))
}

// However many requests there are, the memory for their ids is bounded.
func TestRetainedIsBounded(t *testing.T) {
	var r Retained
	start := time.Now()
	for i := range 3 * maxRetained {
		r.Add(fmt.Sprintf("%016x", i), start)
	}
	require.Len(t, r.added, maxRetained)
	require.LessOrEqual(t, cap(r.order), 2*maxRetained)
	require.False(t, r.Has(fmt.Sprintf("%016x", 2*maxRetained-1), start))
	require.True(t, r.Has(fmt.Sprintf("%016x", 2*maxRetained), start))
}
