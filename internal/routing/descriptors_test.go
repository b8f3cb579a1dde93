package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The quotas are kept for any order of calls, and an eighth of the descriptors stays reserved for clients.
func TestDescriptorQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 80).Draw(t, "limit")
		d, total := NewDescriptors(limit), max(limit-32, 8)
		var downstream, upstream int
		share := rapid.IntRange(1, 9).Draw(t, "clients in ten")
		for _, side := range rapid.SliceOfN(rapid.IntRange(0, 9), 80, 200).Draw(t, "side") {
			switch {
			case side < share:
				ok, full := d.AcquireDownstream()
				require.Equal(t, downstream < total*5/8 && downstream+upstream < total, ok)
				require.Equal(t, ok && downstream+1 > total/6 || !ok && downstream >= total*5/8, full)
				if ok {
					downstream++
				}
			case d.AcquireUpstream():
				upstream++
			default:
				require.GreaterOrEqual(t, upstream+max(downstream, total/8), total)
			}
			require.LessOrEqual(t, upstream+max(downstream, total/8), total)
			closeIdle, urgent := d.Pressure()
			require.Equal(t, []bool{downstream > total/6, downstream > total/4}, []bool{closeIdle, urgent})
		}
		for ; downstream > 0; downstream-- {
			d.ReleaseDownstream()
		}
		for ; upstream > 0; upstream-- {
			d.ReleaseUpstream()
		}
		require.Equal(t, *NewDescriptors(limit), *d)
	})
}
