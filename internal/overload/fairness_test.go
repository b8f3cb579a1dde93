package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestFairnessOrder checks the order of the tiers and the rank of a key within a tier.
func TestFairnessOrder(t *testing.T) {
	order := newFairnessOrder(deployment(1, 0).Classes)
	regular, early := priority{}, priority{ignoresRetryAfter: true}
	over, overAndEarly := priority{overQuota: true}, priority{overQuota: true, ignoresRetryAfter: true}
	tiers := []int{
		order.tier("rezervare", regular), order.tier("rezervare", early), order.tier("consult", regular),
		order.tier("consult", early), order.tier("rezervare", over), order.tier("consult", overAndEarly),
	}
	require.IsIncreasing(t, tiers)
	require.Equal(t, order.tier("consult", regular), order.tier("unknown", regular))
	for _, tier := range tiers {
		order.add(epoch, tier)
	}
	previous := -1.0
	for _, tier := range tiers {
		before := order.fractionBefore(epoch, tier, 0.5)
		require.Greater(t, before, previous)
		previous = before
	}
	rapid.Check(t, func(t *rapid.T) {
		key, now := rapid.String().Draw(t, "key"), epoch+time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "now"))
		rank, laterRank := keyRank(key, now, time.Minute), keyRank(key, now+20*time.Second, time.Minute)
		moved := laterRank - rank
		if moved < 0 {
			moved++
		}
		if rank < 0 || rank >= 1 || moved < 0.33 || moved > 0.34 {
			t.Fatalf("rank moved from %v to %v in a third of a rotation", rank, laterRank)
		}
	})
}
