package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestFairnessOrder: the tiers, and the rank of a key within one.
func TestFairnessOrder(t *testing.T) {
	order := newFairnessOrder(deployment(1, 0).Classes)
	within, early := priority{}, priority{ignoresRetryAfter: true}
	over, overAndEarly := priority{overQuota: true}, priority{overQuota: true, ignoresRetryAfter: true}
	first := []int{
		order.tier("rezervare", within), order.tier("rezervare", early), order.tier("consult", within),
		order.tier("consult", early), order.tier("rezervare", over), order.tier("consult", overAndEarly),
	}
	require.IsIncreasing(t, first)
	require.Equal(t, order.tier("consult", within), order.tier("unheard of", within))
	for _, tier := range first {
		order.add(epoch, tier)
	}
	last := -1.0
	for _, tier := range first {
		before := order.fractionBefore(epoch, tier, 0.5)
		require.Greater(t, before, last)
		last = before
	}
	rapid.Check(t, func(t *rapid.T) {
		key, now := rapid.String().Draw(t, "key"), epoch+time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "now"))
		a, b := keyRank(key, now, time.Minute), keyRank(key, now+20*time.Second, time.Minute)
		moved := b - a
		if moved < 0 {
			moved++
		}
		if a < 0 || a >= 1 || moved < 0.33 || moved > 0.34 {
			t.Fatalf("from %v to %v in a third of a rotation", a, b)
		}
	})
}
